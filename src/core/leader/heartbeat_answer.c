#include "core/leader/heartbeat_answer.h"

#include "core/leader/leader_state.h"
#include "core/machines/heartbeat_intake.h"
#include "core/machines/machine.h"
#include "core/machines/machine_registry.h"
#include "core/machines/reconciliation.h"
#include "core/machines/worker_commands.h"
#include "model/effect.h"
#include "model/worker.h"

/* A worker has one heartbeat under way at a time, and when it gets no answer turns to the next controller
   after OW_HEARTBEAT_TIMEOUT_S. So a heartbeat that comes sooner after the last one shows that our answer to
   that one arrived: the machine receives our answers, whatever has become of the commands sent to its own
   address. */
static void note_answers_arrive(struct ow_machine *machine, double now)
{
    if (machine->last_heartbeat_at > 0 && now - machine->last_heartbeat_at < OW_HEARTBEAT_TIMEOUT_S)
        machine->unanswered_since = 0;
}

static uint64_t incarnation_of(const struct ow_leader *leader, const struct ow_heartbeat *heartbeat)
{
    const struct ow_machine *machine = ow_machines_find(leader, heartbeat->machine);
    return machine != NULL ? machine->incarnation : 0;
}

/* Whether nothing newer is known of the machine: late copies of heartbeats say nothing. */
static bool is_newest(const struct ow_machine *machine, const struct ow_heartbeat *heartbeat)
{
    return machine != NULL && heartbeat->incarnation == machine->incarnation &&
           heartbeat->sequence == machine->sequence;
}

/* Whether the worker accepts commands of this leader, and this leader knows what to command. Commands go only
   to the incarnation that they are meant for, and not in answer to a late copy. */
static bool may_be_commanded(const struct ow_leader *leader, const struct ow_machine *machine,
                             const struct ow_heartbeat *heartbeat)
{
    return is_newest(machine, heartbeat) && machine->fenced &&
           heartbeat->fencing_token == leader->fencing_token && leader->phase == OW_LEADER_READY;
}

/* The commands of the answer, as struct ow_worker_command. `clears` are those that the heartbeat itself has
   brought about. */
static GArray *choose_commands(struct ow_leader *leader, struct ow_machine *machine,
                               const struct ow_heartbeat *heartbeat, const GArray *clears)
{
    if (leader->phase == OW_LEADER_REFRESH)
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
        if (machine->fenced && heartbeat->incarnation == incarnation_before)
            note_answers_arrive(machine, leader->core->now);
        machine->last_heartbeat_at = leader->core->now;
    }
    struct ow_effect *effect = ow_effect_new(OW_EFFECT_WORKER_COMMANDS, request);
    /* Until the job table has been read, an answer could keep tasks alive whose cancellation has been
       acknowledged to a user. One without our fencing token renews nothing, and the worker stays. */
    effect->fencing_token = leader->phase == OW_LEADER_REFRESH ? 0 : leader->fencing_token;
    effect->commands = choose_commands(leader, machine, heartbeat, clears);
    ow_core_emit(leader->core, effect);
}
