#include "core/machines/heartbeat_intake.h"

#include "core/leader/leader_state.h"
#include "core/machines/command_queue.h"
#include "core/machines/fleet.h"
#include "core/machines/machine.h"
#include "core/machines/machine_registry.h"
#include "core/machines/reclaim_notice.h"
#include "core/machines/reconciliation.h"
#include "model/cloud.h"

/* Late copies are rejected: they don't show the current state and must not renew the lease. So are messages
   of incarnations that are proven over. */
static bool is_newer(const struct ow_machine *machine, const struct ow_heartbeat *heartbeat)
{
    if (heartbeat->incarnation <= machine->liveness.expired_incarnation)
        return false;
    if (heartbeat->incarnation != machine->liveness.incarnation)
        return heartbeat->incarnation > machine->liveness.incarnation;
    return heartbeat->sequence > machine->liveness.sequence;
}

/* All older incarnations are over, and the launches addressed to them can no longer take effect. A machine
   that has died with the incarnation before may have forgotten this leader's fencing token: an older leader
   can then renew its lease again. */
static void begin_incarnation(const struct ow_leader *leader, struct ow_machine *machine,
                              const struct ow_heartbeat *heartbeat)
{
    machine->liveness.incarnation = heartbeat->incarnation;
    machine->liveness.expired_incarnation =
        MAX(machine->liveness.expired_incarnation, heartbeat->incarnation - 1);
    g_array_set_size(machine->direct.unacknowledged_launches, 0);
    if (heartbeat->fencing_token < leader->fencing_token)
        machine->liveness.is_fenced = false;
}

/* Applies the part of a heartbeat that is valid whichever leader's commands the worker accepts. */
static void apply_liveness(struct ow_leader *leader, struct ow_machine *machine,
                           const struct ow_heartbeat *heartbeat)
{
    if (heartbeat->incarnation > machine->liveness.incarnation)
        begin_incarnation(leader, machine, heartbeat);
    /* Also if the incarnation is not new: records that were read since may name older incarnations. */
    ow_reconcile_older_incarnations(leader, machine);
    machine->listed = OW_LISTED_RUNNING;
    machine->liveness.last_message_at = leader->core->now;
    if (machine->liveness.first_message_at == 0)
        machine->liveness.first_message_at = leader->core->now;
    machine->liveness.sequence = heartbeat->sequence;
}

static void note_fenced(struct ow_leader *leader, struct ow_machine *machine)
{
    machine->liveness.is_fenced = true;
    machine->liveness.fenced_at = machine->load.idle_since = leader->core->now;
    machine->liveness.unanswered_since = 0;
    ow_leader_request_cycle(leader);
    g_info("machine has seen fencing token: machine=%s incarnation=%" G_GUINT64_FORMAT
           " fencing_token=%" G_GUINT64_FORMAT,
           machine->name, machine->liveness.incarnation, leader->fencing_token);
}

/* Applies the part of a heartbeat that is valid only if the worker accepts no other leader's commands. */
static void apply_fenced(struct ow_leader *leader, struct ow_machine *machine,
                         const struct ow_heartbeat *heartbeat, GArray *commands)
{
    if (!machine->liveness.is_fenced)
        note_fenced(leader, machine);
    ow_reclaim_notice_apply(leader, machine, heartbeat->reclaim_notice_s);
    ow_reconcile_tasks(leader, machine, heartbeat->tasks, commands);
}

struct ow_machine *ow_heartbeat_intake_apply(struct ow_leader *leader, const struct ow_heartbeat *heartbeat,
                                             GArray *commands)
{
    /* A late copy of a heartbeat must not register a deleted machine again. */
    if (ow_fleet_has_terminated(leader, heartbeat->machine))
        return NULL;
    struct ow_machine *machine = ow_machines_find_or_add(leader, heartbeat->machine);
    if (!is_newer(machine, heartbeat))
        return machine;
    ow_machine_describe(leader, machine, heartbeat->addr, heartbeat->type, heartbeat->zone, heartbeat->spot);
    apply_liveness(leader, machine, heartbeat);
    if (leader->phase != OW_LEADER_READY)
        return machine;
    /* Until the worker has seen this leader's fencing token, an older leader may still start and stop
       its tasks. */
    if (heartbeat->fencing_token == leader->fencing_token)
        apply_fenced(leader, machine, heartbeat, commands);
    else
        ow_command_queue_add_unfenced(leader, machine);
    return machine;
}
