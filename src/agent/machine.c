#include "agent/machine.h"

#include "model/worker.h"

const double AGENT_HEARTBEAT_TIMEOUT_S = 4;

bool agent_machine_open(struct agent_machine *machine, const struct agent_options *options, GError **error)
{
    machine->options = options;
    return agent_history_open(&machine->history, options->history, options->machine) &&
           agent_incarnation_open(&machine->incarnation, options->state_dir, error);
}

void agent_machine_start(struct agent_machine *machine, struct agent_heartbeat_schedule *schedule)
{
    machine->schedule = schedule;
    machine->lease = agent_lease_new(machine->options->lease_s);
    machine->tasks =
        agent_tasks_new(machine->options, &machine->incarnation, machine->lease, &machine->history);
    agent_history_record_incarnation(&machine->history, machine->incarnation.number);
}

char *agent_machine_encode_heartbeat(struct agent_machine *machine)
{
    const struct agent_options *options = machine->options;
    g_autoptr(GArray) tasks = g_array_new(FALSE, FALSE, sizeof(struct ow_task_status));
    struct ow_heartbeat heartbeat = {
        .machine = options->machine,
        .addr = options->advertise,
        .type = options->type,
        .zone = options->zone,
        .spot = options->is_spot,
        .incarnation = machine->incarnation.number,
        .sequence = ++machine->sequence,
        .fencing_token = machine->incarnation.fencing_token,
        .reclaim_notice_s = -1,
        .tasks = tasks,
    };
    agent_tasks_append_status(machine->tasks, tasks);
    return wire_heartbeat_encode(&heartbeat);
}

void agent_machine_check_lease(struct agent_machine *machine)
{
    if (!agent_lease_is_expired(machine->lease))
        return;
    agent_history_record_lease_expiry(&machine->history, machine->incarnation.number);
    agent_tasks_kill_all(machine->tasks);
    agent_incarnation_begin_next(&machine->incarnation);
    agent_lease_restart(machine->lease);
    agent_history_record_incarnation(&machine->history, machine->incarnation.number);
    agent_heartbeat_schedule_record_change(machine->schedule);
}

void agent_machine_poll_tasks(struct agent_machine *machine)
{
    if (agent_tasks_poll(machine->tasks))
        agent_heartbeat_schedule_record_change(machine->schedule);
}

/* ---- commands ---- */

static void record_commands(const struct agent_machine *machine, const struct wire_command_batch *commands,
                            const char *via, bool is_accepted)
{
    const struct agent_history_commands record = {
        .via = via,
        .fencing_token = commands->fencing_token,
        .highest_fencing_token = machine->incarnation.fencing_token,
        .incarnation = machine->incarnation.number,
        .count = commands->commands->len,
        .is_accepted = is_accepted,
    };
    agent_history_record_commands(&machine->history, &record);
}

static void observe_fencing_token(struct agent_machine *machine, uint64_t fencing_token, double now)
{
    if (fencing_token <= machine->incarnation.fencing_token)
        return;
    agent_incarnation_set_fencing_token(&machine->incarnation, fencing_token);
    agent_history_record_fencing_token(&machine->history, fencing_token);
    agent_heartbeat_schedule_record_fencing_token(machine->schedule, now);
}

/* Carries out a batch of commands that was accepted. */
static void apply(struct agent_machine *machine, const struct wire_command_batch *commands, double now)
{
    observe_fencing_token(machine, commands->fencing_token, now);
    if (commands->commands->len == 0)
        return;
    agent_tasks_apply(machine->tasks, commands->commands);
    agent_heartbeat_schedule_record_change(machine->schedule);
}

bool agent_machine_apply_direct(struct agent_machine *machine, const struct wire_command_batch *commands,
                                double now)
{
    bool is_accepted = commands->fencing_token >= machine->incarnation.fencing_token &&
                       commands->incarnation == machine->incarnation.number;
    record_commands(machine, commands, "direct", is_accepted);
    if (is_accepted)
        apply(machine, commands, now);
    return is_accepted;
}

void agent_machine_apply_answer(struct agent_machine *machine, const struct wire_command_batch *commands,
                                const struct agent_sent_heartbeat *heartbeat, double now)
{
    /* The HTTP client's timeout does not advance while the machine is suspended; agent_clock_now() does. */
    bool is_in_time = agent_clock_now() - heartbeat->sent_at <= AGENT_HEARTBEAT_TIMEOUT_S;
    bool is_accepted = is_in_time && commands->fencing_token >= machine->incarnation.fencing_token &&
                       heartbeat->incarnation == machine->incarnation.number;
    record_commands(machine, commands, "answer", is_accepted);
    if (!is_accepted)
        return;
    agent_lease_renew(machine->lease, heartbeat->sent_at);
    apply(machine, commands, now);
}
