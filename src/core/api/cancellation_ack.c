#include "core/api/cancellation_ack.h"

#include "core/api/job_reply.h"
#include "core/core_state.h"
#include "core/election/election.h"
#include "core/leader/job_cancellation.h"
#include "model/peer.h"
#include "model/submission.h"

/* Timeout for the leader's acknowledgement; after it the user is asked to repeat the request. */
static const double ACK_TIMEOUT_S = 0.6;
/* Exponential backoff for sending a cancellation to the leader: the first and the longest interval. */
static const double RESEND_INITIAL_S = 0.3;
static const double RESEND_MAX_S = 2;
/* How long a cancellation that another controller announced is kept: that controller sends it again as long
   as a user's request waits there. */
static const double ANNOUNCED_RETENTION_S = 6;

/* A user's request that waits for the acknowledgement. */
struct waiting_request {
    uint64_t request;
    int status;          /* HTTP status of the answer after the acknowledgement */
    double times_out_at; /* when the user is asked to repeat the request */
};

/* A committed cancellation without a known acknowledgement of a leader. Times are seconds of the core's
   clock. */
struct open_cancellation {
    char id[OW_ID_MAX + 1]; /* of the job */
    double added_at;
    double next_send_at;      /* when it is sent to the leader next, if another controller leads */
    double resend_interval_s; /* the interval after that */
    double expires_at; /* when it is dropped without acknowledgement; 0: never, as a user requested it here */
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
    cancellation->added_at = acks->core->now;
    cancellation->expires_at = acks->core->now + ANNOUNCED_RETENTION_S;
    cancellation->resend_interval_s = RESEND_INITIAL_S;
    cancellation->waiting_requests = g_array_new(FALSE, FALSE, sizeof(struct waiting_request));
    g_hash_table_insert(acks->open, cancellation->id, cancellation);
    return cancellation;
}

/* The open cancellation of this job, which is added if there is none. */
static struct open_cancellation *find_or_add_open(struct ow_cancellation_ack *acks, const char *id)
{
    struct open_cancellation *cancellation = g_hash_table_lookup(acks->open, id);
    if (cancellation != NULL)
        return cancellation;
    cancellation = add_open(acks, id);
    /* On the leader the stop commands are queued at once, before this step starts any task. */
    if (acks->core->leader != NULL)
        ow_job_cancellation_apply(acks->core->leader, ow_jobs_find(acks->core->jobs, id));
    return cancellation;
}

void ow_cancellation_ack_wait(struct ow_cancellation_ack *acks, uint64_t request, int status,
                              const struct ow_job *job)
{
    struct open_cancellation *cancellation = find_or_add_open(acks, job->id);
    struct waiting_request waiting = {
        .request = request,
        .status = status,
        .times_out_at = acks->core->now + ACK_TIMEOUT_S,
    };
    cancellation->expires_at = 0;
    g_array_append_val(cancellation->waiting_requests, waiting);
}

/* Broadcasts a message about the job's cancellation to all controllers, so that it reaches the leader. */
static void broadcast_cancellation(struct ow_core *core, enum ow_peer_kind kind, const struct ow_job *job,
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
    broadcast_cancellation(core, OW_PEER_CANCELLATION_ACK, job, ow_election_fencing_token(core->election));
}

void ow_cancellation_ack_handle_cancellation(struct ow_cancellation_ack *acks,
                                             const struct ow_peer_message *message)
{
    struct ow_core *core = acks->core;
    if (core->leader == NULL)
        return;
    /* The cancellation is committed, so every controller that leads, or still considers itself leader,
       applies it, even before it reads the record. */
    struct ow_job *job = ow_jobs_cancel(core->jobs, message->cancellation.job, message->cancellation.revision,
                                        message->fencing_token);
    if (job->state != OW_JOB_CANCELLED)
        return;
    if (job->is_cancellation_acknowledged)
        send_acknowledgement(core, job);
    else
        find_or_add_open(acks, message->cancellation.job);
}

void ow_cancellation_ack_handle_ack(struct ow_cancellation_ack *acks, const struct ow_peer_message *message)
{
    struct ow_job *job = ow_jobs_find(acks->core->jobs, message->cancellation.job);
    /* A job that is unknown here, or not known to be cancelled, is read before any user gets an answer about
       it; the acknowledgement is requested then. */
    if (job == NULL)
        return;
    /* An acknowledgement of a leader that was deposed before the cancellation was committed does not count:
       its successor may not know of the cancellation. Every later leader reads it before it becomes ready. */
    if (job->state == OW_JOB_CANCELLED && message->fencing_token >= job->cancel_fencing_token)
        job->is_cancellation_acknowledged = true;
}

/* Acknowledges the cancellation if this controller leads with a sufficient fencing token and no task of the
   job can still start. Returns whether it did. */
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
               core->now - cancellation->added_at);
    for (guint i = 0; i < cancellation->waiting_requests->len; i++) {
        const struct waiting_request *waiting = waiting_at(cancellation, i);
        ow_job_reply_send(core, waiting->request, waiting->status, job);
    }
}

/* Answers requests that have timed out: the user is asked to repeat them. */
static void answer_timed_out(struct ow_core *core, struct open_cancellation *cancellation)
{
    for (guint i = cancellation->waiting_requests->len; i > 0; i--) {
        const struct waiting_request *waiting = waiting_at(cancellation, i - 1);
        if (core->now < waiting->times_out_at)
            continue;
        ow_job_reply_retry_unacknowledged(core, waiting->request);
        g_array_remove_index(cancellation->waiting_requests, i - 1);
    }
}

static void send_if_due(struct ow_core *core, struct open_cancellation *cancellation,
                        const struct ow_job *job)
{
    if (core->leader != NULL || core->now < cancellation->next_send_at)
        return;
    cancellation->next_send_at = core->now + cancellation->resend_interval_s;
    cancellation->resend_interval_s = MIN(2 * cancellation->resend_interval_s, RESEND_MAX_S);
    broadcast_cancellation(core, OW_PEER_CANCELLATION, job, job->cancel_fencing_token);
}

/* Advances a cancellation. Returns whether it can be removed: acknowledged, or expired. */
static bool advance(struct ow_core *core, struct open_cancellation *cancellation)
{
    struct ow_job *job = ow_jobs_find(core->jobs, cancellation->id);
    if (job->is_cancellation_acknowledged || try_acknowledge(core, job)) {
        answer_all(core, cancellation, job);
        return true;
    }
    answer_timed_out(core, cancellation);
    if (cancellation->expires_at > 0)
        return core->now > cancellation->expires_at;
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

void ow_cancellation_ack_log_metrics(const struct ow_cancellation_ack *acks)
{
    const struct ow_core *core = acks->core;
    const struct open_cancellation *oldest = NULL;
    GHashTableIter iter;
    void *item;
    unsigned waiting_requests = 0;
    g_hash_table_iter_init(&iter, acks->open);
    while (g_hash_table_iter_next(&iter, NULL, &item)) {
        const struct open_cancellation *cancellation = item;
        waiting_requests += cancellation->waiting_requests->len;
        if (oldest == NULL || cancellation->added_at < oldest->added_at)
            oldest = cancellation;
    }
    if (oldest == NULL)
        return;
    double wait_s = core->now - oldest->added_at;
    g_info("cancellations not acknowledged: count=%u waiting_requests=%u oldest_job=%s oldest_wait_s=%.1f",
           g_hash_table_size(acks->open), waiting_requests, oldest->id, wait_s);
    if (core->leader != NULL)
        ow_job_cancellation_log_blocker(core->leader, ow_jobs_find(core->jobs, oldest->id), wait_s);
}
