#include "core/machines/worker_commands.h"

#include "core/invariants.h"
#include "core/jobs/attempt.h"
#include "core/jobs/job.h"
#include "core/leader/leader_state.h"
#include "core/machines/machine.h"
#include "core/records/recorder_state.h"
#include "model/worker.h"

/* A message takes no further attempts once it has this many commands: they follow with the next message. */
enum { COMMANDS_MAX = 400 };

static void add_command(GArray *commands, enum ow_worker_command_kind kind, const struct ow_attempt *attempt)
{
    struct ow_worker_command command = {
        .kind = kind, .task = attempt->task, .attempt = attempt->number, .grace_s = attempt->stop_grace_s};
    g_strlcpy(command.job, attempt->job->id, sizeof command.job);
    g_array_append_val(commands, command);
}

/* Safety rule 1. Prevents a task from running without a record: a later leader would not know of it and
   would start it again. Planned attempts have no committed record yet, and attempts inherited from an earlier
   leader are never launched. */
static bool may_be_launched(const struct ow_attempt *attempt)
{
    return attempt->state == OW_ATTEMPT_COMMITTED || attempt->state == OW_ATTEMPT_SENT;
}

/* The same rule by other evidence than the state: the transaction that carries the record has been answered.
   An inherited attempt has been recorded by an earlier leader, and its serial is 0. */
static bool is_recorded(struct ow_leader *leader, const struct ow_attempt *attempt)
{
    const struct ow_recorder *recorder = leader->recorder;
    uint64_t committed_serial = recorder->transaction_serial - (recorder->is_in_flight ? 1 : 0);
    const struct ow_invariant invariant = {
        .name = "launches_are_recorded",
        .subject = attempt->job->id,
        .fencing_token = leader->fencing_token,
        .age_s = leader->core->now - attempt->placed_at,
    };
    return ow_invariant_check(leader->core, attempt->transaction_serial <= committed_serial, &invariant);
}

/* If an attempt is to be stopped while its launch may be in flight, the message contains the launch again as
   well as the stop: the worker then lists the attempt as exited and ignores a late copy of the launch. */
static void add_attempt_commands(struct ow_leader *leader, struct ow_attempt *attempt, GArray *commands,
                                 GArray *launches)
{
    if (may_be_launched(attempt) && is_recorded(leader, attempt)) {
        add_command(commands, OW_WORKER_LAUNCH, attempt);
        struct ow_unacknowledged_launch launch = {
            .job = attempt->job, .task = attempt->task, .number = attempt->number};
        if (launches != NULL)
            g_array_append_val(launches, launch);
        attempt->state = OW_ATTEMPT_SENT;
    }
    if (attempt->is_stopping)
        add_command(commands, OW_WORKER_STOP, attempt);
}

/* Whether a launch or stop of the attempt is due. Attempts of an older incarnation ended with it and must not
   be launched again in the new one. */
static bool is_command_due(const struct ow_machine *machine, const struct ow_attempt *attempt)
{
    return attempt->incarnation == machine->liveness.incarnation &&
           (attempt->state != OW_ATTEMPT_REPORTED || attempt->is_stopping);
}

bool ow_worker_commands_are_due(const struct ow_machine *machine)
{
    for (guint i = 0; i < machine->load.attempts->len; i++)
        if (is_command_due(machine, g_ptr_array_index(machine->load.attempts, i)))
            return true;
    return false;
}

GArray *ow_worker_commands_for(struct ow_leader *leader, struct ow_machine *machine, GArray *launches)
{
    GArray *commands = g_array_new(FALSE, FALSE, sizeof(struct ow_worker_command));
    for (guint i = 0; i < machine->load.attempts->len && commands->len < COMMANDS_MAX; i++) {
        struct ow_attempt *attempt = g_ptr_array_index(machine->load.attempts, i);
        if (is_command_due(machine, attempt))
            add_attempt_commands(leader, attempt, commands, launches);
    }
    return commands;
}
