#include "core/api/cancel.h"

#include "core/api/job_answer.h"
#include "core/api/job_reply.h"
#include "core/core_state.h"
#include "core/election/election.h"
#include "core/jobs/job_cache.h"
#include "model/event.h"
#include "model/http_status.h"
#include "model/records.h"
#include "model/submission.h"
#include "wire/records_json.h"

#include <string.h>

/* A cancellation whose write is in flight. */
struct cancel_call {
    struct ow_pending_request pending;
    uint64_t leader_fencing_token; /* of the leader that the record names */
    size_t record_bytes;
};

/* Cancellation is an optimistic read-write loop: a write that conflicts with a changed record is followed by
   a read and another write, until one is committed or the job is over. */
static void cancel_known(struct ow_core *core, uint64_t request, const struct ow_job *job);

static void on_cancel_refreshed(struct ow_core *core, void *data, enum ow_refresh_result result)
{
    const struct ow_pending_request *pending = data;
    const struct ow_job *job = ow_job_answer_find(core, pending, result);
    if (job != NULL)
        cancel_known(core, pending->request, job);
}

static void cancel_after_read(struct ow_core *core, uint64_t request, const char *id)
{
    ow_job_cache_refresh(core->job_cache, on_cancel_refreshed, ow_pending_request_new(request, id));
}

static void handle_success(struct ow_core *core, const struct cancel_call *call, uint64_t revision)
{
    g_info("job cancelled by user: job=%s", call->pending.id);
    const struct ow_job *job =
        ow_jobs_cancel(core->jobs, call->pending.id, revision, call->leader_fencing_token);
    ow_job_answer(core, call->pending.request, OW_HTTP_STATUS_OK, job);
}

static bool leader_has_changed(const struct ow_store_reply *reply)
{
    return ow_store_reply_failed_on(reply, OW_KEY_LEADER);
}

static void handle_conflict(struct ow_core *core, const struct cancel_call *call,
                            const struct ow_store_reply *reply)
{
    const struct ow_pending_request *pending = &call->pending;
    if (leader_has_changed(reply)) {
        /* A new leader may have read the records without this cancellation, and may start tasks of the job.
         */
        ow_election_invalidate_key(core->election);
        ow_job_reply_retry(core, pending->request, OW_ANSWER_RETRY_LEADER, "the leader has just changed");
        return;
    }
    /* The job's record has changed since it was read: it must be read again to know whether the job is over.
     */
    cancel_after_read(core, pending->request, pending->id);
}

/* The store's size limit has become lower since the job was accepted. The limit is recorded, so that the
   user's next request writes a record without the fields that are not needed. */
static void handle_too_large(struct ow_core *core, const struct cancel_call *call)
{
    ow_store_limits_shrink(&core->store_limits, 1, call->record_bytes);
    ow_job_reply_retry(core, call->pending.request, OW_ANSWER_RETRY_SIZE,
                       "the state service takes no record of this size");
}

static void on_cancel_reply(void *owner, void *data, const struct ow_event *answer)
{
    struct ow_core *core = owner;
    const struct cancel_call *call = data;
    switch (answer->store.status) {
    case OW_HTTP_STATUS_OK:
        handle_success(core, call, answer->store.revision);
        break;
    case OW_HTTP_STATUS_CONFLICT:
        handle_conflict(core, call, &answer->store);
        break;
    case OW_HTTP_STATUS_BAD_REQUEST:
        handle_too_large(core, call);
        break;
    default:
        ow_job_answer_store_unavailable(core, call->pending.request);
        break;
    }
}

/* Encodes the record of the cancelled job; the text is owned by the caller. */
static char *encode_cancelled_record(const struct ow_core *core, const struct ow_job *job,
                                     uint64_t leader_fencing_token)
{
    double age_s = core->now - job->accepted_at;
    struct ow_job_record record = {
        .state = OW_JOB_CANCELLED,
        .accepted_at = core->time_of_day - age_s,
        .leader_fencing_token = leader_fencing_token,
        .submission = job->spec->submission,
    };
    g_autofree char *full_record = wire_job_record_encode(&record);
    if (strlen(full_record) < core->store_limits.refused_value_bytes)
        return g_steal_pointer(&full_record);
    /* The job was accepted when larger values were allowed. None of its tasks will start, so its machine
       types are no longer needed. */
    struct ow_submission without_types = *record.submission;
    without_types.types = NULL;
    record.submission = &without_types;
    return wire_job_record_encode(&record);
}

/* The record is committed only while the leader that it names holds the key. So it precedes any later
   failover, and the new leader reads it before it starts tasks. */
static void write_cancellation(struct ow_core *core, uint64_t request, const struct ow_job *job,
                               uint64_t leader_fencing_token)
{
    g_autofree char *key = g_strconcat(OW_KEY_JOBS, job->id, NULL);
    struct ow_store_request *transaction = ow_store_request_new(OW_STORE_TXN, NULL);
    ow_store_request_compare(transaction, OW_KEY_LEADER, leader_fencing_token);
    ow_store_request_compare(transaction, key, job->mod_revision);
    ow_store_request_put(transaction, key, encode_cancelled_record(core, job, leader_fencing_token), 0);

    struct cancel_call *call = g_new0(struct cancel_call, 1);
    ow_pending_request_init(&call->pending, request, job->id);
    call->leader_fencing_token = leader_fencing_token;
    call->record_bytes = ow_store_request_largest_value(transaction);
    ow_core_call_store(core, transaction, on_cancel_reply, core, call, g_free);
}

static void cancel_known(struct ow_core *core, uint64_t request, const struct ow_job *job)
{
    uint64_t leader_fencing_token = ow_election_key_revision(core->election);
    if (ow_job_is_over(job))
        ow_job_answer(core, request, OW_HTTP_STATUS_OK, job);
    else if (leader_fencing_token == 0)
        ow_job_reply_retry(core, request, OW_ANSWER_RETRY_LEADER, "there is no leader yet");
    else
        write_cancellation(core, request, job, leader_fencing_token);
}

void ow_cancel_job(struct ow_core *core, uint64_t request, const char *id)
{
    const struct ow_job *job = ow_jobs_find(core->jobs, id);
    if (job != NULL)
        cancel_known(core, request, job);
    else
        cancel_after_read(core, request, id);
}
