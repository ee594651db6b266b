#include "core/leader/job_cancellation.h"

#include "core/jobs/attempt.h"
#include "core/jobs/attempt_end.h"
#include "core/jobs/execution.h"
#include "core/leader/leader_state.h"
#include "core/machines/machine.h"

/* Whether an attempt of a cancelled job can only end from now on: it is running, on a machine that accepts
   commands of this leader alone. An attempt that has not begun might still begin after the cancellation was
   acknowledged, while its stop is in flight. */
static bool can_only_end(const struct ow_attempt *attempt)
{
    return attempt->is_stopping && attempt->state == OW_ATTEMPT_REPORTED &&
           attempt->machine->liveness.is_fenced &&
           (attempt->phase == OW_PHASE_RUNNING || attempt->phase == OW_PHASE_CHECKPOINTING);
}

bool ow_job_cancellation_apply(struct ow_leader *leader, struct ow_job *job)
{
    /* Before the leader is ready it does not know all attempts of the job. */
    if (leader->phase != OW_LEADER_READY)
        return false;
    ow_leader_request_cycle(leader);
    if (job->execution == NULL)
        return true;
    ow_execution_stop(leader, job->execution, 0, "the job is cancelled");
    const GPtrArray *attempts = job->execution->attempts;
    for (guint i = 0; i < attempts->len; i++)
        if (!can_only_end(g_ptr_array_index(attempts, i)))
            return false;
    return true;
}
