#include "core/machines/machine_registry.h"

#include "core/leader/leader_state.h"
#include "core/machines/machine.h"
#include "model/cloud.h"

/* A machine is silent after this many heartbeat intervals without a message. */
static const double MISSED_HEARTBEATS = 2.5;

struct ow_machine *ow_machines_find(const struct ow_leader *leader, const char *name)
{
    return g_hash_table_lookup(leader->machines_by_name, name);
}

struct ow_machine *ow_machines_find_or_add(struct ow_leader *leader, const char *name)
{
    struct ow_machine *machine = ow_machines_find(leader, name);
    if (machine != NULL)
        return machine;
    machine = g_new0(struct ow_machine, 1);
    machine->name = g_strdup(name);
    machine->type = machine->zone = OW_NO_NAME;
    machine->load.slowness = 1;
    machine->provisioned_at = machine->load.idle_since = machine->liveness.known_since = leader->core->now;
    machine->load.attempts = g_ptr_array_new();
    machine->direct.launches = g_array_new(FALSE, FALSE, sizeof(struct ow_unacknowledged_launch));
    machine->direct.unacknowledged_launches =
        g_array_new(FALSE, FALSE, sizeof(struct ow_unacknowledged_launch));
    machine->load.images = g_array_new(FALSE, FALSE, sizeof(struct ow_image_copy));
    g_hash_table_insert(leader->machines_by_name, machine->name, machine);
    g_ptr_array_add(leader->machines, machine);
    return machine;
}

void ow_machine_free(void *item)
{
    struct ow_machine *machine = item;
    g_free(machine->name);
    g_free(machine->addr);
    g_ptr_array_free(machine->load.attempts, TRUE);
    g_array_free(machine->direct.launches, TRUE);
    g_array_free(machine->direct.unacknowledged_launches, TRUE);
    g_array_free(machine->load.images, TRUE);
    g_free(machine);
}

void ow_machine_describe(struct ow_leader *leader, struct ow_machine *machine, const char *addr,
                         const char *type, const char *zone, bool spot)
{
    if (addr != NULL && *addr != '\0' && g_strcmp0(addr, machine->addr) != 0) {
        g_free(machine->addr);
        machine->addr = g_strdup(addr);
    }
    machine->type = ow_type_sets_intern(leader->core->interners.types, type);
    machine->zone = ow_interner_intern(leader->core->interners.zones, zone);
    machine->spot = spot;
}

bool ow_machine_heard_recently(const struct ow_leader *leader, const struct ow_machine *machine)
{
    return leader->core->now - machine->liveness.last_message_at <
           MISSED_HEARTBEATS * leader->core->settings->heartbeat_interval_s;
}

bool ow_machine_is_silent(const struct ow_leader *leader, const struct ow_machine *machine)
{
    /* At a failover, an answer to a command may fence the machine before its next heartbeat arrives, so the
       time counts at the earliest from when this leader became ready. */
    double since =
        MAX(MAX(machine->liveness.last_heartbeat_at, machine->liveness.known_since), leader->ready_at);
    return leader->core->now - since > MISSED_HEARTBEATS * leader->core->settings->heartbeat_interval_s;
}

bool ow_machine_is_usable(const struct ow_leader *leader, const struct ow_machine *machine)
{
    double now = leader->core->now;
    /* Safety rule 4: nothing starts before the machine's heartbeat under this leader's fencing token. Also
       excluded are machines that are silent, answer commands without sending heartbeats (their lease
       expires), are unresponsive, have a reclaim notice, are being terminated, or are in quarantine or on
       probation. */
    return machine->liveness.is_fenced &&
           machine->liveness.incarnation > machine->liveness.expired_incarnation &&
           ow_machine_type_of(leader, machine) != NULL && machine->addr != NULL &&
           ow_machine_heard_recently(leader, machine) && !ow_machine_is_silent(leader, machine) &&
           machine->liveness.unanswered_since == 0 && machine->reclaim_at == 0 && !machine->is_terminating &&
           now >= MAX(machine->faults.quarantine_until, machine->faults.probation_until);
}

bool ow_machine_has_unacknowledged_launch(const struct ow_machine *machine, const struct ow_job *job,
                                          uint32_t task, uint64_t number)
{
    const GArray *lists[] = {machine->direct.launches, machine->direct.unacknowledged_launches};
    for (guint list = 0; list < G_N_ELEMENTS(lists); list++) {
        for (guint i = 0; i < lists[list]->len; i++) {
            const struct ow_unacknowledged_launch *launch =
                &g_array_index(lists[list], struct ow_unacknowledged_launch, i);
            if (launch->job == job && launch->task == task && launch->number == number)
                return true;
        }
    }
    return false;
}
