#include "core/leader/heartbeat_answer.h"

#include "core/leader/leader_state.h"
#include "core/machines/heartbeat_intake.h"
#include "core/machines/machine.h"
#include "core/machines/machine_registry.h"
#include "core/machines/reconciliation.h"
#include "core/machines/worker_commands.h"
#include "model/effect.h"
#include "model/worker.h"

/* A worker has one heartbeat in flight, and tries the next controller if it gets no reply within
   OW_HEARTBEAT_TIMEOUT_S. So a heartbeat that follows the last one sooner proves that the leader's reply
   arrived: the machine can be commanded by replies even if commands sent to its own address fail. */
static void note_reply_received(struct ow_machine *machine, double now)
{
    if (machine->liveness.last_heartbeat_at > 0 &&
        now - machine->liveness.last_heartbeat_at < OW_HEARTBEAT_TIMEOUT_S)
        machine->liveness.unanswered_since = 0;
}

static uint64_t incarnation_of(const struct ow_leader *leader, const struct ow_heartbeat *heartbeat)
{
    const struct ow_machine *machine = ow_machines_find(leader, heartbeat->machine);
    return machine != NULL ? machine->liveness.incarnation : 0;
}

/* Whether this is the machine's newest heartbeat. Delayed duplicates say nothing about its present state. */
static bool is_newest(const struct ow_machine *machine, const struct ow_heartbeat *heartbeat)
{
    return machine != NULL && heartbeat->incarnation == machine->liveness.incarnation &&
           heartbeat->sequence == machine->liveness.sequence;
}

/* Whether the reply may carry commands: the worker accepts this leader's commands, and the leader is ready.
   Commands go only to the incarnation that they are meant for, and not in reply to a delayed duplicate. */
static bool may_be_commanded(const struct ow_leader *leader, const struct ow_machine *machine,
                             const struct ow_heartbeat *heartbeat)
{
    return is_newest(machine, heartbeat) && machine->liveness.is_fenced &&
           heartbeat->fencing_token == leader->fencing_token && leader->phase == OW_LEADER_READY;
}

/* The commands of the reply (struct ow_worker_command). `clears` are the clear commands that reconciling
   this heartbeat has produced. */
static GArray *choose_commands(struct ow_leader *leader, struct ow_machine *machine,
                               const struct ow_heartbeat *heartbeat, const GArray *clears)
{
    if (leader->phase == OW_LEADER_REFRESHING)
        return g_array_new(FALSE, FALSE, sizeof(struct ow_worker_command));
    if (!may_be_commanded(leader, machine, heartbeat))
        return ow_reconcile_cancelled(leader, heartbeat);
    GArray *commands = ow_worker_commands_for(leader, machine, NULL);
    g_array_append_vals(commands, clears->data, clears->len);
    return commands;
}

void ow_heartbeat_answer(struct ow_leader *leader, uint64_t request, const struct ow_heartbeat *heartbeat)
{
    uint64_t incarnation_before = incarnation_of(leader, heartbeat);
    g_autoptr(GArray) clears = g_array_new(FALSE, FALSE, sizeof(struct ow_worker_command));
    struct ow_machine *machine = ow_heartbeat_intake_apply(leader, heartbeat, clears);
    if (is_newest(machine, heartbeat)) {
        if (machine->liveness.is_fenced && heartbeat->incarnation == incarnation_before)
            note_reply_received(machine, leader->core->now);
        machine->liveness.last_heartbeat_at = leader->core->now;
    }
    struct ow_effect *effect = ow_effect_new(OW_EFFECT_WORKER_COMMANDS, request);
    /* Until the job table has been read, renewing the worker's lease could keep a task running whose
       cancellation has been acknowledged to a user. A reply without the leader's fencing token does not renew
       the lease, but keeps the worker from trying another controller. */
    effect->fencing_token = leader->phase == OW_LEADER_REFRESHING ? 0 : leader->fencing_token;
    effect->commands = choose_commands(leader, machine, heartbeat, clears);
    ow_core_emit(leader->core, effect);
}
