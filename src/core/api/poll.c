#include "core/api/poll.h"

#include "core/api/job_answer.h"
#include "core/core_state.h"
#include "core/jobs/job_cache.h"
#include "model/http_status.h"

void ow_poll_job(struct ow_core *core, uint64_t request, const char *id)
{
    const struct ow_job *job = ow_jobs_find(core->jobs, id);
    if (job != NULL && ow_job_over(job)) {
        ow_job_answer(core, request, OW_HTTP_STATUS_OK, job);
        return;
    }
    /* What is over stays over. Anything else, 404 too, may be out of date because of another controller, and
       is answered only from a read that began after the request came. */
    ow_job_cache_refresh(core->job_cache, ow_job_answer_fresh, ow_pending_request_new(request, id));
}
