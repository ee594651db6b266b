#include "core/machines/direct_commands.h"

#include "core/election/election.h"
#include "core/leader/leader_state.h"
#include "core/machines/command_queue.h"
#include "core/machines/heartbeat_intake.h"
#include "core/machines/machine.h"
#include "core/machines/machine_registry.h"
#include "core/machines/worker_commands.h"
#include "model/effect.h"
#include "model/event.h"
#include "model/http_status.h"
#include "model/worker.h"

/* Limit of probes (calls to machines that are not known to answer) in flight: PROBES_PER_CORE for each core
   of this process, but at least PROBE_LIMIT_MIN. */
enum { PROBE_LIMIT_MIN = 64, PROBES_PER_CORE = 1000 };
/* Pause before the next call to a machine after an unanswered call. */
static const double UNANSWERED_PAUSE_S = 3;
/* Pause before the next call after the worker refused the commands because of their fencing token or
   incarnation. */
static const double REFUSED_PAUSE_S = 0.5;
/* Pause before the next attempt after a call that could not be sent. */
static const double UNSENT_PAUSE_S = 0.5;

/* A call in flight. */
struct direct_call {
    char *machine; /* name: the machine may have been removed when the answer arrives */
    double sent_at;
    bool is_probe; /* to a machine that is not known to answer */
};

static void direct_call_free(void *data)
{
    struct direct_call *call = data;
    g_free(call->machine);
    g_free(call);
}

/* ---- pacing ---- */

/* Whether the machine is not known to answer: no message yet, or unanswered commands. */
static bool needs_probe(const struct ow_machine *machine)
{
    return machine->liveness.last_message_at == 0 || machine->liveness.unanswered_since > 0;
}

/* Limit of probes in flight. Answers that this process can't handle in time count as missing, so their probes
   are sent again: without a limit, thousands of probes would be repeated indefinitely. */
static unsigned probe_limit(const struct ow_leader *leader)
{
    return MAX(PROBE_LIMIT_MIN, (unsigned)(PROBES_PER_CORE * leader->core->settings->core_share));
}

static bool is_call_possible(const struct ow_leader *leader, const struct ow_machine *machine)
{
    if (machine->direct.is_in_flight || machine->addr == NULL ||
        leader->core->now < machine->direct.not_before)
        return false;
    return !needs_probe(machine) || leader->probes < probe_limit(leader);
}

/* Whether a call is still of use: not if a heartbeat has meanwhile shown this leader's fencing token and no
   command is due. */
static bool is_call_needed(const struct ow_leader *leader, const struct ow_machine *machine)
{
    return !machine->liveness.is_fenced || needs_probe(machine) ||
           !ow_machine_heard_recently(leader, machine) || ow_worker_commands_are_due(machine);
}

/* ---- answers ---- */

static void apply_answer(struct ow_leader *leader, struct ow_machine *machine, const struct ow_event *answer)
{
    g_array_set_size(machine->direct.launches, 0);
    machine->liveness.unanswered_since = 0;
    if (answer->heartbeat != NULL)
        ow_heartbeat_intake_apply(leader, answer->heartbeat, NULL);
    if (answer->status == OW_HTTP_STATUS_CONFLICT)
        machine->direct.not_before = leader->core->now + REFUSED_PAUSE_S;
}

/* The call has not left this process: no launch is unacknowledged, and nothing is learnt about
   the machine. */
static void apply_unsent(struct ow_leader *leader, struct ow_machine *machine)
{
    g_array_set_size(machine->direct.launches, 0);
    ow_command_queue_add(leader, machine);
    machine->direct.not_before = leader->core->now + UNSENT_PAUSE_S;
}

/* A missing answer proves nothing (safety rule 2): the launches may be executed minutes later, as long as the
   incarnation lasts. */
static void apply_missing_answer(struct ow_leader *leader, struct ow_machine *machine, double sent_at)
{
    g_array_append_vals(machine->direct.unacknowledged_launches, machine->direct.launches->data,
                        machine->direct.launches->len);
    g_array_set_size(machine->direct.launches, 0);
    machine->direct.not_before = leader->core->now + UNANSWERED_PAUSE_S;
    if (machine->liveness.unanswered_since == 0) {
        g_info("machine does not answer commands: machine=%s", machine->name);
        machine->liveness.unanswered_since = sent_at;
    }
}

static void on_answer(void *owner, void *data, const struct ow_event *answer)
{
    struct ow_leader *leader = owner;
    const struct direct_call *call = data;
    struct ow_machine *machine = ow_machines_find(leader, call->machine);
    leader->probes -= call->is_probe ? 1 : 0;
    if (machine == NULL)
        return;
    if (answer->heartbeat != NULL && answer->heartbeat->fencing_token > leader->fencing_token) {
        /* A newer leader exists: the election ends this leader's term and frees it. */
        ow_election_observe_fencing_token(leader->core->election, answer->heartbeat->fencing_token, NULL);
        return;
    }
    machine->direct.is_in_flight = false;
    if (answer->status == OW_STATUS_UNSENT)
        apply_unsent(leader, machine);
    else if (answer->status == OW_HTTP_STATUS_OK || answer->status == OW_HTTP_STATUS_CONFLICT)
        apply_answer(leader, machine, answer);
    else
        apply_missing_answer(leader, machine, call->sent_at);
}

/* ---- calls ---- */

static void send_call(struct ow_leader *leader, struct ow_machine *machine)
{
    struct ow_effect *effect = ow_effect_new(OW_EFFECT_DIRECT_COMMANDS, 0);
    struct direct_call *call = g_new0(struct direct_call, 1);
    call->machine = g_strdup(machine->name);
    call->sent_at = leader->core->now;
    call->is_probe = needs_probe(machine);
    leader->probes += call->is_probe ? 1 : 0;
    machine->direct.is_in_flight = true;
    effect->commands = ow_worker_commands_for(leader, machine, machine->direct.launches);
    effect->addr = g_strdup(machine->addr);
    effect->fencing_token = leader->fencing_token;
    effect->incarnation = MAX(machine->liveness.incarnation, 1);
    effect->request =
        ow_pending_calls_add(leader->core->pending_calls, on_answer, leader, call, direct_call_free);
    ow_core_emit(leader->core, effect);
}

/* Visits only the machines in the queue: in a large fleet, visiting every machine in every step would cost as
   much as processing their heartbeats. */
void ow_direct_commands_send(struct ow_leader *leader)
{
    for (guint i = ow_command_queue_length(leader); i > 0; i--) {
        struct ow_machine *machine = ow_command_queue_at(leader, i - 1);
        bool is_needed = is_call_needed(leader, machine);
        if (is_needed && !is_call_possible(leader, machine))
            continue;
        ow_command_queue_remove_at(leader, i - 1);
        if (is_needed)
            send_call(leader, machine);
    }
}
