#include "core/machines/reclaim_notice.h"

#include "core/jobs/attempt.h"
#include "core/jobs/attempt_end.h"
#include "core/jobs/execution.h"
#include "core/leader/leader_state.h"
#include "core/machines/machine.h"
#include "core/machines/spot_risk.h"
#include "model/submission.h"

/* A task is stopped for a checkpoint only if at least the checkpoint's duration plus this margin remains. */
static const double CHECKPOINT_MARGIN_S = 1;
/* A task gets at most the checkpoint's duration plus this grace to save it. */
static const double CHECKPOINT_GRACE_S = 2;

void ow_reclaim_notice_apply(struct ow_leader *leader, struct ow_machine *machine, double notice_s)
{
    if (notice_s < 0) {
        machine->reclaim_at = 0;
        return;
    }
    bool is_new = machine->reclaim_at == 0;
    machine->reclaim_at = leader->core->now + notice_s;
    if (!is_new)
        return;
    g_info("machine has reclaim notice: machine=%s kind=%s grace_s=%.1f", machine->name,
           machine->spot ? "spot" : "ordinary", notice_s);
    if (machine->spot)
        ow_spot_risk_observe_reclaim_notice(leader);
}

static bool may_save_checkpoint(const struct ow_attempt *attempt, double left_s)
{
    const struct ow_submission *submission = attempt->job->spec->submission;
    return !attempt->is_stopping && submission->kind != OW_KIND_SERVICE &&
           submission->checkpoint_interval_s > 0 &&
           left_s >= submission->checkpoint_duration_s + CHECKPOINT_MARGIN_S;
}

/* A gang saves its checkpoint together, so all of its tasks are stopped. */
static void stop_for_checkpoint(struct ow_leader *leader, struct ow_attempt *attempt, double left_s)
{
    static const char why[] = "the cloud reclaims its machine";
    const struct ow_submission *submission = attempt->job->spec->submission;
    double grace_s = MIN(left_s, submission->checkpoint_duration_s + CHECKPOINT_GRACE_S);
    if (ow_submission_is_gang(submission))
        ow_execution_stop(leader, attempt->job->execution, grace_s, why);
    else
        ow_attempt_stop(leader, attempt, grace_s, why);
}

void ow_reclaim_notice_checkpoint(struct ow_leader *leader, struct ow_machine *machine)
{
    if (machine->reclaim_at <= 0)
        return;
    double left_s = machine->reclaim_at - leader->core->now;
    for (guint i = machine->load.attempts->len; i > 0; i--) {
        /* Stopping one attempt may end others and remove them from the array. */
        if (i > machine->load.attempts->len)
            continue;
        struct ow_attempt *attempt = g_ptr_array_index(machine->load.attempts, i - 1);
        if (may_save_checkpoint(attempt, left_s))
            stop_for_checkpoint(leader, attempt, left_s);
    }
}
