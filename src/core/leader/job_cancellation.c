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

/* An attempt of the job that may still start, or NULL. */
static const struct ow_attempt *find_blocker(const struct ow_job *job)
{
    const GPtrArray *attempts = job->execution->attempts;
    for (guint i = 0; i < attempts->len; i++) {
        const struct ow_attempt *attempt = g_ptr_array_index(attempts, i);
        if (!can_only_end(attempt))
            return attempt;
    }
    return NULL;
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
    return find_blocker(job) == NULL;
}

void ow_job_cancellation_log_blocker(const struct ow_leader *leader, const struct ow_job *job, double wait_s)
{
    const struct ow_attempt *attempt = job->execution != NULL ? find_blocker(job) : NULL;
    if (attempt == NULL)
        return;
    const struct ow_machine *machine = attempt->machine;
    g_info("cancellation waits for an attempt that may still start: job=%s wait_s=%.1f task=%u "
           "attempt=%" G_GUINT64_FORMAT " machine=%s state=%d phase=%d is_fenced=%d is_terminating=%d "
           "silent_s=%.1f fencing_token=%" G_GUINT64_FORMAT,
           job->id, wait_s, attempt->task, attempt->number, machine->name, attempt->state, attempt->phase,
           machine->liveness.is_fenced, machine->is_terminating,
           leader->core->now - MAX(machine->liveness.last_message_at, leader->ready_at),
           leader->fencing_token);
}
