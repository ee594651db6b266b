#include "core/api/cancellation_ack.h"

#include "core/api/job_reply.h"
#include "core/core_state.h"
#include "core/election/election.h"
#include "core/leader/job_cancellation.h"
#include "model/http_status.h"
#include "model/peer.h"
#include "model/submission.h"

/* How long a user waits for the leader's acknowledgement before being asked to repeat the request, and how
 * often the cancellation is sent. */
static const double PATIENCE_S = 0.6, RESEND_S = 0.3, RESEND_MOST_S = 2;
/* What another controller announced is sent again if it still matters. */
static const double FORGET_S = 6;
enum { RETRY_S = 1 };

struct waiting_request {
    uint64_t request;
    int status; /* of a good answer */
    double until;
};

struct entry {
    char id[OW_ID_MAX + 1];
    double since, send_at, pause_s;
    double dropped_at;        /* 0: kept until a leader has it */
    GArray *waiting_requests; /* struct waiting_request */
};

struct ow_cancellation_ack {
    struct ow_core *core;
    GHashTable *entries; /* id -> struct entry */
};

static void entry_free(void *item)
{
    struct entry *entry = item;
    g_array_free(entry->waiting_requests, TRUE);
    g_free(entry);
}

struct ow_cancellation_ack *ow_cancellation_ack_new(struct ow_core *core)
{
    struct ow_cancellation_ack *acks = g_new0(struct ow_cancellation_ack, 1);
    acks->core = core;
    acks->entries = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, entry_free);
    return acks;
}

void ow_cancellation_ack_free(struct ow_cancellation_ack *acks)
{
    g_hash_table_destroy(acks->entries);
    g_free(acks);
}

static struct entry *entry_get(struct ow_cancellation_ack *acks, const char *id)
{
    struct entry *entry = g_hash_table_lookup(acks->entries, id);
    if (entry != NULL)
        return entry;
    entry = g_new0(struct entry, 1);
    g_strlcpy(entry->id, id, sizeof entry->id);
    entry->since = acks->core->now;
    entry->dropped_at = acks->core->now + FORGET_S;
    entry->pause_s = RESEND_S;
    entry->waiting_requests = g_array_new(FALSE, FALSE, sizeof(struct waiting_request));
    g_hash_table_insert(acks->entries, entry->id, entry);
    /* The stops go out before anything else does. */
    if (acks->core->leader != NULL)
        ow_job_cancellation_apply(acks->core->leader, ow_jobs_find(acks->core->jobs, id));
    return entry;
}

void ow_cancellation_ack_wait(struct ow_cancellation_ack *acks, uint64_t request, int status,
                              const struct ow_job *job)
{
    struct entry *entry = entry_get(acks, job->id);
    struct waiting_request waiting = {request, status, acks->core->now + PATIENCE_S};
    entry->dropped_at = 0;
    g_array_append_val(entry->waiting_requests, waiting);
}

static void send_to_peers(struct ow_core *core, enum ow_peer_kind kind, const struct ow_job *job,
                          uint64_t fencing_token)
{
    struct ow_peer_message *message = ow_peer_message_new(kind);
    g_strlcpy(message->cancellation.job, job->id, sizeof message->cancellation.job);
    message->cancellation.revision = job->mod_revision;
    message->fencing_token = fencing_token;
    ow_core_send_to_peers(core, message);
}

void ow_cancellation_ack_requested(struct ow_cancellation_ack *acks, const struct ow_peer_message *message)
{
    struct ow_core *core = acks->core;
    /* Committed is committed: it is acted on by whoever leads or thinks so, read or not. */
    if (core->leader == NULL)
        return;
    struct ow_job *job = ow_jobs_cancel(core->jobs, message->cancellation.job, message->cancellation.revision,
                                        message->fencing_token);
    if (job->state != OW_JOB_CANCELLED)
        return;
    if (job->cancellation_acked)
        send_to_peers(core, OW_PEER_CANCELLATION_ACK, job, ow_election_fencing_token(core->election));
    else
        entry_get(acks, message->cancellation.job);
}

void ow_cancellation_ack_received(struct ow_cancellation_ack *acks, const struct ow_peer_message *message)
{
    struct ow_job *job = ow_jobs_find(acks->core->jobs, message->cancellation.job);
    /* Whoever is asked about a job that we still take to be open reads it, and asks the leader then. */
    if (job == NULL)
        return;
    /* The acknowledgement of a leader that was deposed before the cancellation was recorded is worth nothing:
       the one that counts may not have it. A later one has read it before it became ready. */
    if (job->state == OW_JOB_CANCELLED && message->fencing_token >= job->cancel_fencing_token)
        job->cancellation_acked = true;
}

/* Whether we lead, rightly as far as this cancellation goes, and nothing of the job can start any more.
 */
static bool acknowledge(struct ow_core *core, struct ow_job *job)
{
    if (core->leader == NULL || ow_election_fencing_token(core->election) < job->cancel_fencing_token ||
        !ow_job_cancellation_apply(core->leader, job))
        return false;
    job->cancellation_acked = true;
    send_to_peers(core, OW_PEER_CANCELLATION_ACK, job, ow_election_fencing_token(core->election));
    return true;
}

static void answer_all(struct ow_core *core, struct entry *entry, const struct ow_job *job)
{
    if (entry->waiting_requests->len > 0)
        g_info("cancellation of job %s acknowledged by the leader after %.3f s", entry->id,
               core->now - entry->since);
    for (guint i = 0; i < entry->waiting_requests->len; i++) {
        const struct waiting_request *waiting =
            &g_array_index(entry->waiting_requests, struct waiting_request, i);
        ow_job_reply_send(core, waiting->request, waiting->status, job);
    }
}

/* No request waits without end: after its time it is answered that the user should ask again. */
static void refuse_late(struct ow_core *core, struct entry *entry)
{
    for (guint i = entry->waiting_requests->len; i > 0; i--) {
        const struct waiting_request *waiting =
            &g_array_index(entry->waiting_requests, struct waiting_request, i - 1);
        if (core->now < waiting->until)
            continue;
        ow_core_reject_request(core, waiting->request, OW_HTTP_STATUS_UNAVAILABLE,
                               "the leader has not acknowledged the cancellation yet", RETRY_S);
        g_array_remove_index(entry->waiting_requests, i - 1);
    }
}

/* True when the entry is of no use any more. */
static bool step(struct ow_core *core, struct entry *entry)
{
    struct ow_job *job = ow_jobs_find(core->jobs, entry->id);
    if (job->cancellation_acked || acknowledge(core, job)) {
        answer_all(core, entry, job);
        return true;
    }
    refuse_late(core, entry);
    if (entry->dropped_at > 0)
        return core->now > entry->dropped_at;
    if (core->leader == NULL && core->now >= entry->send_at) {
        entry->send_at = core->now + entry->pause_s;
        entry->pause_s = MIN(2 * entry->pause_s, RESEND_MOST_S);
        send_to_peers(core, OW_PEER_CANCELLATION, job, job->cancel_fencing_token);
    }
    return false;
}

void ow_cancellation_ack_tick(struct ow_cancellation_ack *acks)
{
    GHashTableIter iter;
    void *entry;
    g_hash_table_iter_init(&iter, acks->entries);
    while (g_hash_table_iter_next(&iter, NULL, &entry))
        if (step(acks->core, entry))
            g_hash_table_iter_remove(&iter);
}
