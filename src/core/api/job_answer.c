#include "core/api/job_answer.h"

#include "core/api/cancellation_ack.h"
#include "core/api/job_reply.h"
#include "core/core_state.h"
#include "model/http_status.h"
#include "model/submission.h"

/* When a user whose request could not be handled is to come again. */
enum { RETRY_AFTER_S = 1 };

struct ow_pending_request *ow_pending_request_new(uint64_t request, const char *id)
{
    struct ow_pending_request *pending = g_new0(struct ow_pending_request, 1);
    pending->request = request;
    g_strlcpy(pending->id, id, sizeof pending->id);
    return pending;
}

void ow_job_answer_retry(struct ow_core *core, uint64_t request, const char *text)
{
    ow_core_reject_request(core, request, OW_HTTP_STATUS_UNAVAILABLE, text, RETRY_AFTER_S);
}

void ow_job_answer_store_unavailable(struct ow_core *core, uint64_t request)
{
    ow_job_answer_retry(core, request, "the state service does not answer");
}

void ow_job_answer(struct ow_core *core, uint64_t request, int status, const struct ow_job *job)
{
    if (job->state == OW_JOB_CANCELLED && !job->cancellation_acked)
        ow_cancellation_ack_wait(core->cancellation_ack, request, status, job);
    else
        ow_job_reply_send(core, request, status, job);
}

const struct ow_job *ow_job_answer_find(struct ow_core *core, const struct ow_pending_request *pending,
                                        bool ok)
{
    if (!ok) {
        ow_job_answer_store_unavailable(core, pending->request);
        return NULL;
    }
    const struct ow_job *job = ow_jobs_find(core->jobs, pending->id);
    if (job == NULL)
        ow_core_reject_request(core, pending->request, OW_HTTP_STATUS_NOT_FOUND, "no such job", 0);
    return job;
}

void ow_job_answer_fresh(struct ow_core *core, void *data, bool ok)
{
    const struct ow_pending_request *pending = data;
    const struct ow_job *job = ow_job_answer_find(core, pending, ok);
    if (job != NULL)
        ow_job_answer(core, pending->request, OW_HTTP_STATUS_OK, job);
}
