#include "core/machines/unresponsive_machines.h"

#include "core/leader/leader_state.h"
#include "core/machines/fleet.h"
#include "core/machines/machine.h"
#include "core/machines/machine_registry.h"

/* A machine that sends heartbeats but answers no commands is terminated after this time. */
static const double UNRESPONSIVE_S = 10;
/* A machine counts as unresponsive in ow_unresponsive_machines_are_few() after this time. */
static const double COUNTED_UNRESPONSIVE_S = 5;
/* A machine with tasks is terminated when it has been unresponsive for the lease plus this margin. */
static const double LEASE_MARGIN_S = 5;
/* A machine without tasks is terminated when it has been unresponsive for this many leases. */
static const double EMPTY_LIMIT_LEASES = 3;
/* Unresponsive machines count as failures of single machines up to the greater of this number and the fleet's
   size divided by this divisor. */
enum { ISOLATED_UNRESPONSIVE_MAX = 2, ISOLATED_FLEET_DIVISOR = 4 };

/* Seconds for which the machine has failed to answer commands. */
static double unresponsive_s(const struct ow_leader *leader, const struct ow_machine *machine)
{
    double now = leader->core->now;
    if (machine->liveness.is_fenced)
        return machine->liveness.unanswered_since > 0 ? now - machine->liveness.unanswered_since : 0;
    bool should_answer = machine->liveness.last_message_at > 0 || machine->load.attempts->len > 0;
    /* A machine that is still booting can't answer: time counts from its first message. */
    double since =
        MAX(MAX(machine->liveness.known_since, leader->ready_at), machine->liveness.first_message_at);
    return should_answer ? now - since : 0;
}

/* Evidence: machines fail one by one. If more than ISOLATED_UNRESPONSIVE_MAX and more than a quarter of all
   are unresponsive, the cause is more likely this controller or its network, and none is terminated. */
bool ow_unresponsive_machines_are_few(const struct ow_leader *leader)
{
    unsigned unresponsive = 0;
    for (guint i = 0; i < leader->machines->len; i++) {
        const struct ow_machine *machine = g_ptr_array_index(leader->machines, i);
        unresponsive += unresponsive_s(leader, machine) > COUNTED_UNRESPONSIVE_S ? 1 : 0;
    }
    return unresponsive <= ISOLATED_UNRESPONSIVE_MAX ||
           unresponsive <= leader->machines->len / ISOLATED_FLEET_DIVISOR;
}

/* Heartbeats alone don't prove that a machine is healthy. Its tasks have ended with the lease, unless an
   older leader still renews that; in that case only termination ends them. */
void ow_unresponsive_machine_terminate(struct ow_leader *leader, struct ow_machine *machine)
{
    double unresponsive = unresponsive_s(leader, machine);
    double lease_s = leader->core->settings->lease_s;
    double limit_s =
        machine->load.attempts->len > 0 ? lease_s + LEASE_MARGIN_S : EMPTY_LIMIT_LEASES * lease_s;
    if (unresponsive > limit_s)
        ow_fleet_terminate(leader, machine,
                           "the machine does not answer commands, and the state of its tasks is unknown");
    else if (machine->liveness.is_fenced && unresponsive > UNRESPONSIVE_S &&
             ow_machine_heard_recently(leader, machine))
        ow_fleet_terminate(leader, machine, "the machine sends heartbeats but does not answer commands");
}
