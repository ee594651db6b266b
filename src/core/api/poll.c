#include "core/api/poll.h"

#include "core/api/job_answer.h"
#include "core/core_state.h"
#include "model/http_status.h"

void ow_poll_job(struct ow_core *core, uint64_t request, const char *id)
{
    const struct ow_job *job = ow_jobs_find(core->jobs, id);
    /* The state of a finished job is final, so it needs no read. */
    if (job != NULL && ow_job_is_over(job))
        ow_job_answer(core, request, OW_HTTP_STATUS_OK, job);
    else
        ow_job_answer_after_read(core, request, id);
}
