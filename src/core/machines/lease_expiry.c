#include "core/machines/lease_expiry.h"

#include "core/jobs/attempt_end.h"
#include "core/leader/leader_state.h"
#include "core/machines/machine.h"
#include "model/worker.h"
#include "util/clock_drift.h"

/* Time that a worker may need after the end of its lease until its tasks have ended. */
static const double TASK_END_MARGIN_S = 1.5;

/* Safety rule 2, proof by lease expiry. Prevents a task from starting elsewhere while its last attempt
   still runs on an unreachable worker. The evidence:
   - A worker ends its tasks once lease_s has passed since it sent the last heartbeat that was answered.
   - Once the worker has seen this leader's fencing token, it accepts answers of this leader only. Hence
     nothing is proven of a machine that is not fenced.
   - The last answered heartbeat was sent before the newest message of the incarnation arrived here: late
     copies of older messages renew nothing. */
static bool has_lease_expired(const struct ow_leader *leader, const struct ow_machine *machine)
{
    if (!machine->liveness.is_fenced ||
        machine->liveness.incarnation <= machine->liveness.expired_incarnation)
        return false;
    double renewed_at = MAX(machine->liveness.last_message_at, machine->liveness.fenced_at);
    double lease_limit_s = ow_clock_drift_longest_s(leader->core->settings->lease_s) + TASK_END_MARGIN_S;
    return leader->core->now >= renewed_at + lease_limit_s;
}

void ow_lease_expiry_check(struct ow_leader *leader, struct ow_machine *machine)
{
    if (!has_lease_expired(leader, machine))
        return;
    g_info("lease of worker expired: machine=%s incarnation=%" G_GUINT64_FORMAT " tasks=%u", machine->name,
           machine->liveness.incarnation, machine->load.attempts->len);
    machine->liveness.expired_incarnation = machine->liveness.incarnation;
    while (machine->load.attempts->len > 0)
        ow_attempt_end(leader, g_ptr_array_index(machine->load.attempts, 0), OW_CAUSE_NONE,
                       "the lease of the worker has expired");
}
