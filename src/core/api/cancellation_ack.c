#include "core/api/cancellation_ack.h"

#include "core/api/job_reply.h"
#include "core/core_state.h"
#include "core/election/election.h"
#include "core/leader/job_cancellation.h"
#include "model/peer.h"
#include "model/submission.h"

/* How long a user waits for the leader's acknowledgement before being asked to repeat the request. */
static const double ANSWER_WITHIN_S = 0.6;
/* How often a cancellation is sent to the leader: at first, and at most after the pause has doubled each
 * time. */
static const double RESEND_FIRST_S = 0.3;
static const double RESEND_MAX_S = 2;
/* How long a cancellation that another controller announced is kept: that controller sends it again as long
   as a user asks there. */
static const double FORGET_AFTER_S = 6;

/* A user's request that waits for the acknowledgement. */
struct waiting_request {
    uint64_t request;
    int status;       /* HTTP status of the answer once it is acknowledged */
    double refuse_at; /* when the user is told to ask again */
};

/* A committed cancellation that no leader has acknowledged yet, as far as we know. Times are by the core's
   clock, in seconds. */
struct open_cancellation {
    char id[OW_ID_MAX + 1]; /* of the job */
    double since;
    double send_at;           /* when it is sent to the leader next, if that is not us */
    double resend_s;          /* the pause after that */
    double forget_at;         /* 0: a user has asked here, and it is kept until it is acknowledged */
    GArray *waiting_requests; /* struct waiting_request */
};

struct ow_cancellation_ack {
    struct ow_core *core;
    GHashTable *open; /* job id -> struct open_cancellation, owned */
};

static void open_cancellation_free(void *data)
{
    struct open_cancellation *cancellation = data;
    g_array_free(cancellation->waiting_requests, TRUE);
    g_free(cancellation);
}

struct ow_cancellation_ack *ow_cancellation_ack_new(struct ow_core *core)
{
    struct ow_cancellation_ack *acks = g_new0(struct ow_cancellation_ack, 1);
    acks->core = core;
    acks->open = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, open_cancellation_free);
    return acks;
}

void ow_cancellation_ack_free(struct ow_cancellation_ack *acks)
{
    g_hash_table_destroy(acks->open);
    g_free(acks);
}

static struct open_cancellation *add_open(struct ow_cancellation_ack *acks, const char *id)
{
    struct open_cancellation *cancellation = g_new0(struct open_cancellation, 1);
    g_strlcpy(cancellation->id, id, sizeof cancellation->id);
    cancellation->since = acks->core->now;
    cancellation->forget_at = acks->core->now + FORGET_AFTER_S;
    cancellation->resend_s = RESEND_FIRST_S;
    cancellation->waiting_requests = g_array_new(FALSE, FALSE, sizeof(struct waiting_request));
    g_hash_table_insert(acks->open, cancellation->id, cancellation);
    return cancellation;
}

/* The open cancellation of this job, which is added if need be. */
static struct open_cancellation *ensure_open(struct ow_cancellation_ack *acks, const char *id)
{
    struct open_cancellation *cancellation = g_hash_table_lookup(acks->open, id);
    if (cancellation != NULL)
        return cancellation;
    cancellation = add_open(acks, id);
    /* If we lead, the stops are queued at once, before this step starts anything. */
    if (acks->core->leader != NULL)
        ow_job_cancellation_apply(acks->core->leader, ow_jobs_find(acks->core->jobs, id));
    return cancellation;
}

void ow_cancellation_ack_wait(struct ow_cancellation_ack *acks, uint64_t request, int status,
                              const struct ow_job *job)
{
    struct open_cancellation *cancellation = ensure_open(acks, job->id);
    struct waiting_request waiting = {
        .request = request,
        .status = status,
        .refuse_at = acks->core->now + ANSWER_WITHIN_S,
    };
    cancellation->forget_at = 0;
    g_array_append_val(cancellation->waiting_requests, waiting);
}

/* Sends a message about the job's cancellation to all controllers: whichever leads is among them. */
static void send_to_peers(struct ow_core *core, enum ow_peer_kind kind, const struct ow_job *job,
                          uint64_t fencing_token)
{
    struct ow_peer_message *message = ow_peer_message_new(kind);
    g_strlcpy(message->cancellation.job, job->id, sizeof message->cancellation.job);
    message->cancellation.revision = job->mod_revision;
    message->fencing_token = fencing_token;
    ow_core_send_to_peers(core, message);
}

static void send_acknowledgement(struct ow_core *core, const struct ow_job *job)
{
    send_to_peers(core, OW_PEER_CANCELLATION_ACK, job, ow_election_fencing_token(core->election));
}

void ow_cancellation_ack_handle_cancellation(struct ow_cancellation_ack *acks,
                                             const struct ow_peer_message *message)
{
    struct ow_core *core = acks->core;
    if (core->leader == NULL)
        return;
    /* Committed is committed: whoever leads, or still believes to, acts on it, also before reading the
     * record. */
    struct ow_job *job = ow_jobs_cancel(core->jobs, message->cancellation.job, message->cancellation.revision,
                                        message->fencing_token);
    if (job->state != OW_JOB_CANCELLED)
        return;
    if (job->is_cancellation_acknowledged)
        send_acknowledgement(core, job);
    else
        ensure_open(acks, message->cancellation.job);
}

void ow_cancellation_ack_handle_ack(struct ow_cancellation_ack *acks, const struct ow_peer_message *message)
{
    struct ow_job *job = ow_jobs_find(acks->core->jobs, message->cancellation.job);
    /* A job that we don't know, or take to be open, is read before anybody is told of it; the leader is asked
       then. */
    if (job == NULL)
        return;
    /* The acknowledgement of a leader that was deposed before the cancellation was recorded is worth nothing:
       the one that counts may not have it. A later one has read it before it became ready. */
    if (job->state == OW_JOB_CANCELLED && message->fencing_token >= job->cancel_fencing_token)
        job->is_cancellation_acknowledged = true;
}

/* Acknowledges the cancellation if we lead with a token that counts, and nothing of the job can start any
   more. Returns whether that is so. */
static bool try_acknowledge(struct ow_core *core, struct ow_job *job)
{
    if (core->leader == NULL)
        return false;
    if (ow_election_fencing_token(core->election) < job->cancel_fencing_token)
        return false;
    if (!ow_job_cancellation_apply(core->leader, job))
        return false;
    job->is_cancellation_acknowledged = true;
    send_acknowledgement(core, job);
    return true;
}

static const struct waiting_request *waiting_at(const struct open_cancellation *cancellation, guint index)
{
    return &g_array_index(cancellation->waiting_requests, struct waiting_request, index);
}

static void answer_all(struct ow_core *core, const struct open_cancellation *cancellation,
                       const struct ow_job *job)
{
    if (cancellation->waiting_requests->len > 0)
        g_info("cancellation acknowledged by leader: job=%s wait_s=%.3f", cancellation->id,
               core->now - cancellation->since);
    for (guint i = 0; i < cancellation->waiting_requests->len; i++) {
        const struct waiting_request *waiting = waiting_at(cancellation, i);
        ow_job_reply_send(core, waiting->request, waiting->status, job);
    }
}

/* No request waits without end: after its time the user is told to ask again. */
static void refuse_late(struct ow_core *core, struct open_cancellation *cancellation)
{
    for (guint i = cancellation->waiting_requests->len; i > 0; i--) {
        const struct waiting_request *waiting = waiting_at(cancellation, i - 1);
        if (core->now < waiting->refuse_at)
            continue;
        ow_job_reply_retry(core, waiting->request, "the leader has not acknowledged the cancellation yet");
        g_array_remove_index(cancellation->waiting_requests, i - 1);
    }
}

static void send_if_due(struct ow_core *core, struct open_cancellation *cancellation,
                        const struct ow_job *job)
{
    if (core->leader != NULL || core->now < cancellation->send_at)
        return;
    cancellation->send_at = core->now + cancellation->resend_s;
    cancellation->resend_s = MIN(2 * cancellation->resend_s, RESEND_MAX_S);
    send_to_peers(core, OW_PEER_CANCELLATION, job, job->cancel_fencing_token);
}

/* Does what is due for a cancellation. Returns whether it is closed: acknowledged, or to be forgotten. */
static bool advance(struct ow_core *core, struct open_cancellation *cancellation)
{
    struct ow_job *job = ow_jobs_find(core->jobs, cancellation->id);
    if (job->is_cancellation_acknowledged || try_acknowledge(core, job)) {
        answer_all(core, cancellation, job);
        return true;
    }
    refuse_late(core, cancellation);
    if (cancellation->forget_at > 0)
        return core->now > cancellation->forget_at;
    send_if_due(core, cancellation, job);
    return false;
}

void ow_cancellation_ack_tick(struct ow_cancellation_ack *acks)
{
    GHashTableIter iter;
    void *cancellation;
    g_hash_table_iter_init(&iter, acks->open);
    while (g_hash_table_iter_next(&iter, NULL, &cancellation))
        if (advance(acks->core, cancellation))
            g_hash_table_iter_remove(&iter);
}
