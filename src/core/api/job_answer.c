#include "core/api/job_answer.h"

#include "core/api/cancellation_ack.h"
#include "core/api/job_reply.h"
#include "core/core_state.h"
#include "core/jobs/job_cache.h"
#include "model/http_status.h"
#include "model/submission.h"

/* A reason that users see. */
static const char STORE_UNAVAILABLE[] = "the state service does not answer";

void ow_pending_request_init(struct ow_pending_request *pending, uint64_t request, const char *id)
{
    pending->request = request;
    g_strlcpy(pending->id, id, sizeof pending->id);
}

struct ow_pending_request *ow_pending_request_new(uint64_t request, const char *id)
{
    struct ow_pending_request *pending = g_new0(struct ow_pending_request, 1);
    ow_pending_request_init(pending, request, id);
    return pending;
}

void ow_job_answer_store_unavailable(struct ow_core *core, uint64_t request)
{
    ow_job_reply_retry(core, request, OW_ANSWER_RETRY_STORE, STORE_UNAVAILABLE);
}

/* Answers a request whose read has failed. */
static void answer_unread(struct ow_core *core, uint64_t request, enum ow_refresh_result result)
{
    enum ow_answer_kind kind =
        result == OW_REFRESH_NOT_LOADED ? OW_ANSWER_RETRY_STARTING : OW_ANSWER_RETRY_STORE;
    ow_job_reply_retry(core, request, kind, STORE_UNAVAILABLE);
}

void ow_job_answer(struct ow_core *core, uint64_t request, int status, const struct ow_job *job)
{
    /* The only place that decides when a cancellation is shown to a user: before the acknowledgement, a
       leader that does not know of it may still start tasks. */
    if (job->state == OW_JOB_CANCELLED && !job->is_cancellation_acknowledged)
        ow_cancellation_ack_wait(core->cancellation_ack, request, status, job);
    else
        ow_job_reply_send(core, request, status, job);
}

void ow_job_answer_after_read(struct ow_core *core, uint64_t request, const char *id)
{
    /* Another controller may already have answered from a newer record than ours. The read starts after the
       request came, so it covers every earlier answer, and users see no state older than one shown before. */
    ow_job_cache_refresh(core->job_cache, ow_job_answer_on_refreshed, ow_pending_request_new(request, id));
}

const struct ow_job *ow_job_answer_find(struct ow_core *core, const struct ow_pending_request *pending,
                                        enum ow_refresh_result result)
{
    if (result != OW_REFRESH_DONE) {
        answer_unread(core, pending->request, result);
        return NULL;
    }
    const struct ow_job *job = ow_jobs_find(core->jobs, pending->id);
    if (job == NULL)
        ow_job_reply_reject(core, pending->request, OW_HTTP_STATUS_NOT_FOUND, "no such job");
    return job;
}

void ow_job_answer_on_refreshed(struct ow_core *core, void *data, enum ow_refresh_result result)
{
    const struct ow_pending_request *pending = data;
    const struct ow_job *job = ow_job_answer_find(core, pending, result);
    if (job != NULL)
        ow_job_answer(core, pending->request, OW_HTTP_STATUS_OK, job);
}
