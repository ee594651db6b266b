#include "core/api/submit.h"

#include "core/api/feasibility.h"
#include "core/api/job_answer.h"
#include "core/api/job_reply.h"
#include "core/api/poll.h"
#include "core/core_state.h"
#include "core/jobs/job_cache.h"
#include "core/jobs/job_change.h"
#include "core/machine_types.h"
#include "model/event.h"
#include "model/http_status.h"
#include "model/records.h"
#include "model/submission.h"
#include "wire/records_json.h"

#include <string.h>

/* A reason that users see. */
static const char TOO_LARGE[] = "its description is too large to be recorded";

/* ---- refusals ---- */

/* A refusal that is sent once a read has shown that the job is new. */
struct refusal {
    struct ow_pending_request pending;
    int status;         /* HTTP status */
    const char *reason; /* static or interned */
};

static void refuse_if_new(struct ow_core *core, void *data, enum ow_refresh_result result)
{
    struct refusal *refusal = data;
    const struct ow_pending_request *pending = &refusal->pending;
    if (result == OW_REFRESH_DONE && ow_jobs_find(core->jobs, pending->id) == NULL)
        ow_job_reply_reject(core, pending->request, refusal->status, refusal->reason);
    else
        ow_job_answer_on_refreshed(core, &refusal->pending, result);
}

/* Refuses a submission unless a read shows that its id is known: another controller may have accepted the job
   before, and a repeat must not get status 422 or 400. `reason` must be a static or interned string. */
static void refuse_unless_known(struct ow_core *core, uint64_t request, const char *id, int status,
                                const char *reason)
{
    struct refusal *refusal = g_new0(struct refusal, 1);
    ow_pending_request_init(&refusal->pending, request, id);
    refusal->status = status;
    refusal->reason = reason;
    ow_job_cache_refresh(core->job_cache, refuse_if_new, refusal);
}

/* ---- the record of a new job ---- */

/* A submission whose write is in flight. */
struct submit_call {
    struct ow_submission *submission; /* owned */
    uint64_t request;
    size_t record_bytes;
};

static void submit_call_free(void *data)
{
    struct submit_call *call = data;
    ow_submission_free(call->submission);
    g_free(call);
}

/* Adds the job to the job table and answers. The record has been committed with this revision. Takes
   ownership of `submission`. */
static void accept_job(struct ow_core *core, uint64_t request, uint64_t revision,
                       struct ow_submission *submission)
{
    g_info("job accepted: job=%s class=%s team=%s tasks=%u estimate_s=%.0f deadline_s=%.0f", submission->id,
           submission->class_name, submission->team, submission->tasks, submission->estimate_s,
           submission->deadline_s);
    char id[OW_ID_MAX + 1];
    g_strlcpy(id, submission->id, sizeof id);
    ow_jobs_apply(core->jobs, id, revision, OW_JOB_QUEUED, submission, core->now, 0);
    ow_job_answer(core, request, OW_HTTP_STATUS_CREATED, ow_jobs_find(core->jobs, id));
    ow_job_change_announce(core, revision);
}

/* The store refused this value alone as too large, so a repeat can't succeed: the job is refused for good,
   unless an earlier attempt was committed. */
static void refuse_too_large(struct ow_core *core, const struct submit_call *call)
{
    ow_store_limits_shrink(&core->store_limits, 1, call->record_bytes);
    refuse_unless_known(core, call->request, call->submission->id, OW_HTTP_STATUS_UNPROCESSABLE, TOO_LARGE);
}

static void on_submit_reply(void *owner, void *data, const struct ow_event *answer)
{
    struct ow_core *core = owner;
    struct submit_call *call = data;
    switch (answer->store.status) {
    case OW_HTTP_STATUS_OK:
        accept_job(core, call->request, answer->store.revision, g_steal_pointer(&call->submission));
        break;
    case OW_HTTP_STATUS_CONFLICT: /* another controller was first */
        ow_job_answer_after_read(core, call->request, call->submission->id);
        break;
    case OW_HTTP_STATUS_BAD_REQUEST:
        refuse_too_large(core, call);
        break;
    default:
        ow_job_answer_store_unavailable(core, call->request);
        break;
    }
}

/* Encodes the record; the text is owned by the caller. If it exceeds the value size limit of the key-value
   store, the request is answered, and the result is NULL. Another controller, which does not know of the
   limit, may have accepted the job before. */
static char *encode_record_or_refuse(struct ow_core *core, uint64_t request,
                                     const struct ow_job_record *record)
{
    g_autofree char *text = wire_job_record_encode(record);
    if (strlen(text) < core->store_limits.refused_value_bytes)
        return g_steal_pointer(&text);
    refuse_unless_known(core, request, record->submission->id, OW_HTTP_STATUS_UNPROCESSABLE, TOO_LARGE);
    return NULL;
}

/* The transaction that creates the record, unless another controller has accepted the id. Takes ownership of
   `text`. */
static struct ow_store_request *new_creation_transaction(const char *id, char *text)
{
    g_autofree char *key = g_strconcat(OW_KEY_JOBS, id, NULL);
    struct ow_store_request *transaction = ow_store_request_new(OW_STORE_TXN, NULL);
    ow_store_request_compare(transaction, key, 0);
    ow_store_request_put(transaction, key, text, 0);
    return transaction;
}

/* Writes the record of a new job. Takes ownership of `taken`. */
static void create_job(struct ow_core *core, uint64_t request, struct ow_submission *taken)
{
    g_autoptr(ow_submission) submission = taken;
    struct ow_job_record record = {
        .state = OW_JOB_QUEUED,
        .accepted_at = core->time_of_day,
        .submission = submission,
    };
    char *text = encode_record_or_refuse(core, request, &record);
    if (text == NULL)
        return;
    struct ow_store_request *transaction = new_creation_transaction(submission->id, text);
    struct submit_call *call = g_new0(struct submit_call, 1);
    call->submission = g_steal_pointer(&submission);
    call->request = request;
    call->record_bytes = ow_store_request_largest_value(transaction);
    ow_core_call_store(core, transaction, on_submit_reply, core, call, submit_call_free);
}

/* ---- submissions ---- */

/* Answers a submission that is not recorded: a repeat, one received before this controller is ready, or one
   that can never run. Returns false, without an answer, if the job is new and can run. */
static bool answer_without_recording(struct ow_core *core, uint64_t request,
                                     const struct ow_submission *submission)
{
    if (ow_jobs_find(core->jobs, submission->id) != NULL) {
        /* A repeat is identified by its id alone and never refused, even if its other fields differ. */
        ow_poll_job(core, request, submission->id);
        return true;
    }
    if (!ow_job_cache_is_loaded(core->job_cache) || !ow_machine_types_are_known(core->machine_types)) {
        ow_job_reply_retry(core, request, OW_ANSWER_RETRY_STARTING, "still starting");
        return true;
    }
    const char *reason = ow_infeasible_reason(core, submission);
    if (reason == NULL)
        return false;
    refuse_unless_known(core, request, submission->id, OW_HTTP_STATUS_UNPROCESSABLE, reason);
    return true;
}

void ow_submit_job(struct ow_core *core, uint64_t request, struct ow_submission *submission)
{
    g_autoptr(ow_submission) owned = submission;
    if (!answer_without_recording(core, request, owned))
        create_job(core, request, g_steal_pointer(&owned));
}

void ow_submit_malformed(struct ow_core *core, uint64_t request, const char *id, const char *error)
{
    /* The text is interned because the refusal outlives the event that holds it. */
    if (ow_jobs_find(core->jobs, id) != NULL)
        ow_poll_job(core, request, id);
    else
        refuse_unless_known(core, request, id, OW_HTTP_STATUS_BAD_REQUEST, g_intern_string(error));
}
