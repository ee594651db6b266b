/* Commands to workers: launches whose record has committed, and stops. */
#include "core/machines/worker_commands.h"
#include "core/election/election.h"
#include "core/jobs/attempt.h"
#include "core/leader/leader_state.h"
#include "core/machines/command_queue.h"
#include "core/machines/heartbeat_intake.h"
#include "core/machines/machine.h"
#include "core/machines/machine_registry.h"
#include "model/effect.h"
#include "model/event.h"
#include "model/worker.h"

enum { COMMANDS_MAX = 400 };
/* Direct commands to machines that may not answer, at a time: so many, and in proportion to our share of a
 * core. */
enum { PROBES_LEAST = 64, PROBES_PER_CORE = 1000 };
static const double DIRECT_PAUSE_S = 3, REFUSED_PAUSE_S = 0.5, UNSENT_PAUSE_S = 0.5;

static void add_command(GArray *commands, enum ow_worker_command_kind kind, const struct ow_attempt *attempt)
{
    struct ow_worker_command command = {
        .kind = kind, .task = attempt->task, .attempt = attempt->number, .grace_s = attempt->stop_grace_s};
    g_strlcpy(command.job, attempt->job->id, sizeof command.job);
    g_array_append_val(commands, command);
}

static void add_attempt_command(struct ow_attempt *attempt, GArray *commands, GArray *starts)
{
    /* Rule 1: no launch leaves before the record that names its attempt and machine has committed: there is
       none for what is only planned. */
    if (attempt->state == OW_ATTEMPT_COMMITTED || attempt->state == OW_ATTEMPT_SENT) {
        /* Also for a task no longer wanted whose launch may be in flight: launched and stopped in one
           go it is known to the worker as ended, and the late launch finds it there. */
        add_command(commands, OW_WORKER_LAUNCH, attempt);
        struct ow_unacknowledged_launch launch = {attempt->job, attempt->task, attempt->number};
        if (starts != NULL)
            g_array_append_val(starts, launch);
        attempt->state = OW_ATTEMPT_SENT;
    }
    if (attempt->stop)
        add_command(commands, OW_WORKER_STOP, attempt);
}

/* Whether there is something to tell the machine of the attempt. A new incarnation has forgotten the tasks of
   the old one; it must not be given them again. */
static bool is_command_due(const struct ow_machine *machine, const struct ow_attempt *attempt)
{
    return attempt->incarnation == machine->liveness.incarnation &&
           (attempt->state != OW_ATTEMPT_SEEN || attempt->stop);
}

GArray *ow_worker_commands_for(struct ow_leader *leader, struct ow_machine *machine, GArray *starts)
{
    GArray *commands = g_array_new(FALSE, FALSE, sizeof(struct ow_worker_command));
    (void)leader;
    for (guint i = 0; i < machine->attempts->len && commands->len < COMMANDS_MAX; i++) {
        struct ow_attempt *attempt = g_ptr_array_index(machine->attempts, i);
        if (is_command_due(machine, attempt))
            add_attempt_command(attempt, commands, starts);
    }
    return commands;
}

/* The machine that a direct command went to, and when. */
struct direct_call {
    char *machine;
    double sent_at;
    bool is_probe;
};

/* Whether nobody knows that the machine would answer. */
static bool is_unheard(const struct ow_machine *machine)
{
    return machine->liveness.last_message_at == 0 || machine->liveness.unanswered_since > 0;
}

/* Probes under way at a time. Those that we can't attend to in time would count as unanswered and be sent
   again: with thousands of them that went on for ever. */
static unsigned probes_most(const struct ow_leader *leader)
{
    return MAX(PROBES_LEAST, (unsigned)(PROBES_PER_CORE * leader->core->settings->core_share));
}

static void direct_call_free(void *data)
{
    struct direct_call *call = data;
    g_free(call->machine);
    g_free(call);
}

static void apply_direct_answer(struct ow_leader *leader, struct ow_machine *machine,
                                const struct ow_event *answer)
{
    g_array_set_size(machine->direct.launches, 0);
    machine->liveness.unanswered_since = 0;
    if (answer->heartbeat != NULL)
        ow_heartbeat_intake_apply(leader, answer->heartbeat, NULL);
    if (answer->status == 409)
        machine->direct.not_before = leader->core->now + REFUSED_PAUSE_S;
}

static void on_direct(void *owner, void *data, const struct ow_event *answer)
{
    struct ow_leader *leader = owner;
    const struct direct_call *call = data;
    struct ow_machine *machine = ow_machines_find(leader, call->machine);
    leader->probes -= call->is_probe ? 1 : 0;
    if (machine == NULL)
        return;
    if (answer->heartbeat != NULL && answer->heartbeat->fencing_token > leader->fencing_token) {
        ow_election_observe_fencing_token(leader->core->election, answer->heartbeat->fencing_token, NULL);
        return; /* and with that the leader is gone */
    }
    machine->direct.is_in_flight = false;
    if (answer->status == OW_STATUS_UNSENT) {
        /* Nothing left us, so no launch is unacknowledged, and the machine's connection was not tried. */
        g_array_set_size(machine->direct.launches, 0);
        ow_command_queue_add(leader, machine);
        machine->direct.not_before = leader->core->now + UNSENT_PAUSE_S;
        return;
    }
    if (answer->status == 200 || answer->status == 409) {
        apply_direct_answer(leader, machine, answer);
        return;
    }
    /* No answer: these launches may be carried out minutes later, for as long as the incarnation lasts. */
    g_array_append_vals(machine->direct.unacknowledged_launches, machine->direct.launches->data,
                        machine->direct.launches->len);
    g_array_set_size(machine->direct.launches, 0);
    machine->direct.not_before = leader->core->now + DIRECT_PAUSE_S;
    if (machine->liveness.unanswered_since == 0) {
        g_info("machine %s does not answer", machine->name);
        machine->liveness.unanswered_since = call->sent_at;
    }
}

static void send_direct(struct ow_leader *leader, struct ow_machine *machine)
{
    struct ow_effect *effect = ow_effect_new(OW_EFFECT_DIRECT_COMMANDS, 0);
    struct direct_call *call = g_new0(struct direct_call, 1);
    *call = (struct direct_call){g_strdup(machine->name), leader->core->now, is_unheard(machine)};
    leader->probes += call->is_probe ? 1 : 0;
    machine->direct.is_in_flight = true;
    effect->commands = ow_worker_commands_for(leader, machine, machine->direct.launches);
    effect->addr = g_strdup(machine->addr);
    effect->fencing_token = leader->fencing_token;
    effect->incarnation = MAX(machine->liveness.incarnation, 1);
    effect->request =
        ow_pending_calls_add(leader->core->pending_calls, on_direct, leader, call, direct_call_free);
    ow_core_emit(leader->core, effect);
}

/* Whether the machine can be sent a direct command now. */
static bool is_direct_possible(const struct ow_leader *leader, const struct ow_machine *machine)
{
    if (machine->direct.is_in_flight || machine->addr == NULL ||
        leader->core->now < machine->direct.not_before)
        return false;
    return !is_unheard(machine) || leader->probes < probes_most(leader);
}

static bool has_commands(const struct ow_machine *machine)
{
    for (guint i = 0; i < machine->attempts->len; i++) {
        if (is_command_due(machine, g_ptr_array_index(machine->attempts, i)))
            return true;
    }
    return false;
}

/* Whether a direct command would tell or show anything: a machine that has been fenced meanwhile is left
 * alone. */
static bool is_direct_needed(const struct ow_leader *leader, const struct ow_machine *machine)
{
    return !machine->liveness.is_fenced || is_unheard(machine) ||
           !ow_machine_heard_recently(leader, machine) || has_commands(machine);
}

/* Only the machines on the list are visited: in a large fleet a look at each of them in every round would
   cost as much as their heartbeats. */
void ow_worker_commands_send(struct ow_leader *leader)
{
    for (guint i = ow_command_queue_length(leader); i > 0; i--) {
        struct ow_machine *machine = ow_command_queue_at(leader, i - 1);
        bool needed = is_direct_needed(leader, machine);
        if (needed && !is_direct_possible(leader, machine))
            continue;
        ow_command_queue_take(leader, i - 1);
        if (needed)
            send_direct(leader, machine);
    }
}
