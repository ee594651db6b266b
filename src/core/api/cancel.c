#include "core/api/cancel.h"

#include "core/api/job_answer.h"
#include "core/api/job_cache.h"
#include "core/controller.h"
#include "core/election/election.h"
#include "core/records/records.h"
#include "wire/records_json.h"

#include <string.h>

/* A cancellation whose record is on its way. */
struct cancel_call {
    struct ow_pending_request pending;
    uint64_t leader_token; /* as the record names it */
    size_t record_bytes;
};

static void cancel_known(struct ow_controller *controller, uint64_t request, const struct ow_job *job);

static void cancel_fresh(struct ow_controller *controller, void *data, bool ok)
{
    const struct ow_pending_request *pending = data;
    const struct ow_job *job = ow_job_answer_find(controller, pending, ok);
    if (job != NULL)
        cancel_known(controller, pending->request, job);
}

static void cancel_after_read(struct ow_controller *controller, uint64_t request, const char *id)
{
    ow_job_cache_refresh(controller->job_cache, cancel_fresh, ow_pending_request_new(request, id));
}

static void handle_success(struct ow_controller *controller, const struct cancel_call *call,
                           uint64_t revision)
{
    g_info("job %s cancelled by its user", call->pending.id);
    const struct ow_job *job =
        ow_jobs_cancel(controller->jobs, call->pending.id, revision, call->leader_token);
    ow_job_answer(controller, call->pending.request, 200, job);
}

static bool leader_has_changed(const struct ow_store_reply *reply)
{
    return reply->failed != NULL && g_strv_contains((const char *const *)reply->failed, OW_KEY_LEADER);
}

static void handle_conflict(struct ow_controller *controller, const struct cancel_call *call,
                            const struct ow_store_reply *reply)
{
    const struct ow_pending_request *pending = &call->pending;
    if (leader_has_changed(reply)) {
        /* Another one may have read the records already, without this one. */
        ow_election_invalidate(controller->election);
        ow_job_answer_retry(controller, pending->request, "the leader has just changed");
        return;
    }
    /* The job was over before: the fresh record says how. */
    cancel_after_read(controller, pending->request, pending->id);
}

/* Limits fell since the job was accepted: the next try leaves out what is not needed. */
static void handle_too_large(struct ow_controller *controller, const struct cancel_call *call)
{
    ow_limits_refused(&controller->limits, 1, call->record_bytes);
    ow_job_answer_retry(controller, call->pending.request, "the state service takes no record of this size");
}

static void on_cancel_reply(void *owner, void *data, const struct ow_event *answer)
{
    struct ow_controller *controller = owner;
    const struct cancel_call *call = data;
    switch (answer->store.status) {
    case 200:
        handle_success(controller, call, answer->store.revision);
        break;
    case 409:
        handle_conflict(controller, call, &answer->store);
        break;
    case 400:
        handle_too_large(controller, call);
        break;
    default:
        ow_job_answer_no_state_service(controller, call->pending.request);
        break;
    }
}

static char *cancellation_record(const struct ow_controller *controller, const struct ow_job *job,
                                 uint64_t leader_token)
{
    double age_s = controller->now - job->accepted_at;
    struct ow_job_record record = {.state = OW_JOB_CANCELLED,
                                   .accepted_at = controller->time_of_day - age_s,
                                   .leader_token = leader_token,
                                   .submission = job->spec->submission};
    char *text = wire_job_record(&record);
    if (strlen(text) < controller->limits.refused_bytes)
        return text;
    /* Accepted when values were larger. Nothing of it will start, so its types don't matter any more. */
    struct ow_submission short_form = *record.submission;
    short_form.types = NULL;
    record.submission = &short_form;
    g_free(text);
    return wire_job_record(&record);
}

/* The record expects the leader that it names: so it comes before any later take-over, whose reading
   then includes it. */
static void write_cancellation(struct ow_controller *controller, uint64_t request, const struct ow_job *job,
                               uint64_t leader_token)
{
    struct ow_store_request *transaction = ow_store_request_new(OW_STORE_TXN, NULL);
    struct cancel_call *call = g_new0(struct cancel_call, 1);
    char *key = g_strconcat(OW_KEY_JOBS, job->id, NULL);
    ow_store_expect(transaction, OW_KEY_LEADER, leader_token);
    ow_store_expect(transaction, key, job->version);
    ow_store_write(transaction, key, cancellation_record(controller, job, leader_token), 0);
    g_free(key);
    call->pending.request = request;
    g_strlcpy(call->pending.id, job->id, sizeof call->pending.id);
    call->leader_token = leader_token;
    call->record_bytes = ow_store_largest_value(transaction);
    ow_controller_store(controller, transaction, on_cancel_reply, controller, call, g_free);
}

static void cancel_known(struct ow_controller *controller, uint64_t request, const struct ow_job *job)
{
    uint64_t leader_token = ow_election_key(controller->election);
    if (ow_job_over(job))
        ow_job_answer(controller, request, 200, job);
    else if (leader_token == 0)
        ow_job_answer_retry(controller, request, "there is no leader yet");
    else
        write_cancellation(controller, request, job, leader_token);
}

void ow_cancel_job(struct ow_controller *controller, uint64_t request, const char *id)
{
    const struct ow_job *job = ow_jobs_find(controller->jobs, id);
    if (job != NULL)
        cancel_known(controller, request, job);
    else
        cancel_after_read(controller, request, id);
}
