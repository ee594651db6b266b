#include "core/api/job_reply.h"

#include "core/core_state.h"
#include "model/effect.h"
#include "model/submission.h"

void ow_job_reply_send(struct ow_core *core, uint64_t request, int status, const struct ow_job *job)
{
    struct ow_effect *effect = ow_effect_new(OW_EFFECT_JOB, request);
    bool over = ow_job_over(job);
    effect->status = status;
    g_strlcpy(effect->id, job->id, sizeof effect->id);
    effect->state = !over && job->running > 0 ? OW_JOB_RUNNING : job->state;
    effect->done = over ? OW_UNCOUNTED : job->done;
    effect->running = over ? OW_UNCOUNTED : job->running;
    effect->reason = g_strdup(job->reason);
    ow_core_emit(core, effect);
}
