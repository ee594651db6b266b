#include "core/machines/unresponsive_machines.h"

#include "core/leader/leader_state.h"
#include "core/machines/fleet.h"
#include "core/machines/machine.h"
#include "core/machines/machine_registry.h"

/* A machine whose heartbeats come but which answers no command is terminated after this time. */
static const double UNRESPONSIVE_S = 10;
/* From here on a machine counts among those whose number shows whether the machines are at fault. */
static const double COUNTED_UNRESPONSIVE_S = 5;
/* How long past its lease a machine with tasks may be unresponsive. */
static const double LEASE_MARGIN_S = 5;
/* How long a machine without tasks may be unresponsive, in leases. */
static const double EMPTY_LEASES = 3;
/* So many unresponsive machines are never too many; beyond, the share of the fleet counts. */
enum { UNRESPONSIVE_FEW = 2, UNRESPONSIVE_FEW_ONE_IN = 4 };

/* Seconds since the machine should have answered. */
static double unresponsive_s(const struct ow_leader *leader, const struct ow_machine *machine)
{
    double now = leader->core->now;
    if (machine->liveness.is_fenced)
        return machine->liveness.unanswered_since > 0 ? now - machine->liveness.unanswered_since : 0;
    bool should_answer = machine->liveness.last_message_at > 0 || machine->load.attempts->len > 0;
    /* A machine that still boots can't answer: time counts from its first message. */
    double since =
        MAX(MAX(machine->liveness.known_since, leader->ready_at), machine->liveness.first_message_at);
    return should_answer ? now - since : 0;
}

/* Evidence: machines fail one by one. If more than UNRESPONSIVE_FEW and more than a quarter of all are
   unresponsive, the cause is more likely this controller or its network, and none is terminated for it. */
bool ow_unresponsive_machines_are_few(const struct ow_leader *leader)
{
    unsigned unresponsive = 0;
    for (guint i = 0; i < leader->machines->len; i++) {
        const struct ow_machine *machine = g_ptr_array_index(leader->machines, i);
        unresponsive += unresponsive_s(leader, machine) > COUNTED_UNRESPONSIVE_S ? 1 : 0;
    }
    return unresponsive <= UNRESPONSIVE_FEW ||
           unresponsive <= leader->machines->len / UNRESPONSIVE_FEW_ONE_IN;
}

/* Heartbeats alone are no sign of health. Once the lease has passed the tasks have ended, unless an older
   leader still renews it; waiting longer would not end them then, but termination does. */
void ow_unresponsive_machine_terminate(struct ow_leader *leader, struct ow_machine *machine)
{
    double unresponsive = unresponsive_s(leader, machine);
    double lease_s = leader->core->settings->lease_s;
    double limit_s = machine->load.attempts->len > 0 ? lease_s + LEASE_MARGIN_S : EMPTY_LEASES * lease_s;
    if (unresponsive > limit_s)
        ow_fleet_terminate(leader, machine,
                           "it does not answer commands, and its tasks can't be accounted for");
    else if (machine->liveness.is_fenced && unresponsive > UNRESPONSIVE_S &&
             ow_machine_heard_recently(leader, machine))
        ow_fleet_terminate(leader, machine, "it sends heartbeats but does not answer commands");
}
