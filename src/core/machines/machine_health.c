#include "core/machines/machine_health.h"

#include "core/leader/leader_state.h"
#include "core/machines/cancellation_enforcement.h"
#include "core/machines/command_queue.h"
#include "core/machines/fleet.h"
#include "core/machines/lease_expiry.h"
#include "core/machines/machine.h"
#include "core/machines/reclaim_notice.h"
#include "core/machines/silent_machines.h"
#include "core/machines/spot_risk.h"
#include "core/machines/unresponsive_machines.h"
#include "core/scheduling/service_moves.h"
#include "model/cloud.h"

/* Whether the machine needs a direct command: it has not seen this leader's fencing token, left commands
   unanswered, or is silent and has replicas of services. A booting machine can't answer yet. */
static bool needs_direct_command(const struct ow_leader *leader, const struct ow_machine *machine)
{
    if (machine->addr == NULL || machine->listed == OW_LISTED_BOOTING)
        return false;
    return !machine->liveness.is_fenced || machine->liveness.unanswered_since > 0 ||
           ow_silent_machine_has_replicas(leader, machine);
}

/* An empty machine in quarantine costs money without taking work; scale-out replaces it if needed. */
static void terminate_if_quarantined(struct ow_leader *leader, struct ow_machine *machine)
{
    if (leader->core->now < machine->faults.quarantine_until && machine->load.attempts->len == 0)
        ow_fleet_terminate(leader, machine, "the machine is in quarantine and empty");
}

void ow_machine_health_tick(struct ow_leader *leader)
{
    /* Counted once, before the checks below change the counts. */
    bool are_unresponsive_few = ow_unresponsive_machines_are_few(leader);
    bool are_silent_few = ow_silent_machines_are_few(leader);
    ow_service_moves_tick(leader);
    ow_spot_risk_tick(leader);
    /* No check removes a machine from the list: a termination is only queued, and the cloud's answer to it
       removes the machine. */
    for (guint i = leader->machines->len; i > 0; i--) {
        struct ow_machine *machine = g_ptr_array_index(leader->machines, i - 1);
        ow_lease_expiry_check(leader, machine);
        ow_reclaim_notice_checkpoint(leader, machine);
        if (needs_direct_command(leader, machine))
            ow_command_queue_add(leader, machine);
        terminate_if_quarantined(leader, machine);
        ow_cancellation_enforce(leader, machine);
        ow_silent_machine_terminate(leader, machine);
        if (are_silent_few)
            ow_silent_machine_terminate_for_replicas(leader, machine);
        if (are_unresponsive_few)
            ow_unresponsive_machine_terminate(leader, machine);
    }
}
