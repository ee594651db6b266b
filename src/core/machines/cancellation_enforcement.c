#include "core/machines/cancellation_enforcement.h"

#include "core/jobs/attempt.h"
#include "core/leader/leader_state.h"
#include "core/machines/command_queue.h"
#include "core/machines/fleet.h"
#include "core/machines/machine.h"

/* A stop is repeated by a direct command if the task has not ended after this time. */
static const double STOP_RETRY_S = 1;
/* Share of `cancel_s` after which the machine is terminated: the remainder is for the cloud to delete it. */
static const double TERMINATION_SHARE = 0.5;

void ow_cancellation_enforce(struct ow_leader *leader, struct ow_machine *machine)
{
    for (guint i = 0; i < machine->load.attempts->len; i++) {
        const struct ow_attempt *attempt = g_ptr_array_index(machine->load.attempts, i);
        if (!attempt->is_stopping || attempt->job->state != OW_JOB_CANCELLED)
            continue;
        double waited_s = leader->core->now - attempt->stop_at;
        if (waited_s > STOP_RETRY_S && !machine->direct.is_in_flight)
            ow_command_queue_add(leader, machine);
        if (waited_s > TERMINATION_SHARE * leader->core->settings->cancel_s) {
            ow_fleet_terminate(leader, machine, "a cancelled task did not end after stop commands");
            return;
        }
    }
}
