/* The commands to the simulated workers: executed at once, or kept for later. Tests delay direct commands
 * (`delay_direct_commands`, `keep_commands_delayed`) and let controllers run out of sockets (`no_sockets`).
 */
#include "sim_internal.h"
#include "model/effect.h"
#include "model/event.h"
#include "model/worker.h"

#include <string.h>

static const double FETCH_S = 0.5;
/* The time that a controller waits for the response to direct commands. */
static const double DIRECT_TIMEOUT_S = 3;

struct delayed_command {
    char machine[32];
    uint64_t fencing_token, incarnation;
    GArray *commands;
};

void sim_worker_commands_init(struct sim_cluster *cluster)
{
    cluster->delayed_commands = g_array_new(FALSE, FALSE, sizeof(struct delayed_command));
}

void sim_worker_commands_clear(struct sim_cluster *cluster)
{
    for (guint i = 0; i < cluster->delayed_commands->len; i++)
        g_array_free(g_array_index(cluster->delayed_commands, struct delayed_command, i).commands, TRUE);
    g_array_free(cluster->delayed_commands, TRUE);
}

bool sim_worker_is_partitioned(const struct sim_cluster *cluster, const struct sim_machine *machine,
                               int controller)
{
    return machine->partitioned || controller == cluster->controller_without_workers ||
           (machine->only_reachable_controller >= 0 && controller != machine->only_reachable_controller);
}

static struct sim_task *find_task(struct sim_machine *machine, const struct ow_worker_command *command)
{
    for (guint i = 0; i < machine->tasks->len; i++) {
        struct sim_task *task = &g_array_index(machine->tasks, struct sim_task, i);
        if (task->task == command->task && task->attempt == command->attempt &&
            strcmp(task->job, command->job) == 0)
            return task;
    }
    return NULL;
}

static void start_task(struct sim_cluster *cluster, struct sim_machine *machine,
                       const struct ow_worker_command *command)
{
    if (find_task(machine, command) != NULL)
        return;
    struct sim_task task = {.task = command->task,
                            .attempt = command->attempt,
                            .phase = OW_PHASE_FETCHING,
                            .next_phase_at = cluster->now + FETCH_S};
    g_strlcpy(task.job, command->job, sizeof task.job);
    for (guint i = 0; i < machine->tasks->len; i++) {
        const struct sim_task *other = &g_array_index(machine->tasks, struct sim_task, i);
        if (other->task == command->task && strcmp(other->job, command->job) == 0 &&
            other->phase != OW_PHASE_EXITED) {
            task.phase = OW_PHASE_EXITED;
            task.cause = OW_CAUSE_BUSY;
        }
    }
    if (task.phase != OW_PHASE_EXITED) {
        sim_check_runs_once(cluster, machine, command);
        sim_check_not_ended(cluster, command->job);
        machine->launches++;
    }
    g_array_append_val(machine->tasks, task);
    if (task.phase != OW_PHASE_EXITED) {
        sim_check_team_limit(cluster, command->job);
        sim_check_placement(cluster, machine, command->job);
    }
}

void sim_worker_execute(struct sim_cluster *cluster, struct sim_machine *machine, const GArray *commands)
{
    for (guint i = 0; i < commands->len; i++) {
        const struct ow_worker_command *command = &g_array_index(commands, struct ow_worker_command, i);
        struct sim_task *task = find_task(machine, command);
        if (command->kind == OW_WORKER_LAUNCH) {
            start_task(cluster, machine, command);
        } else if (command->kind == OW_WORKER_STOP && task != NULL && task->phase != OW_PHASE_EXITED) {
            task->phase = OW_PHASE_EXITED;
            task->cause = OW_CAUSE_STOPPED;
        } else if (command->kind == OW_WORKER_CLEAR && task != NULL && task->phase == OW_PHASE_EXITED) {
            machine->cleared_results++;
            g_array_remove_index(machine->tasks, (guint)(task - (struct sim_task *)machine->tasks->data));
        }
    }
}

/* Whether direct commands to the machine are kept for later: they are executed once it can be reached, or
 * goes on. */
static bool holds_commands(const struct sim_cluster *cluster, const struct sim_machine *machine)
{
    return machine->partitioned || machine->hung || cluster->delay_direct_commands;
}

/* Keeps the commands for later delivery, since a partition delays packets and does not drop them. Takes
 * ownership of the commands out of the effect. */
static void delay_commands(struct sim_cluster *cluster, const struct sim_machine *machine,
                           struct ow_effect *effect)
{
    struct delayed_command delayed = {.fencing_token = effect->fencing_token,
                                      .incarnation = effect->incarnation,
                                      .commands = g_steal_pointer(&effect->commands)};
    g_strlcpy(delayed.machine, machine->name, sizeof delayed.machine);
    g_array_append_val(cluster->delayed_commands, delayed);
}

/* Executes commands for the current incarnation whose fencing token is not lower than the highest seen so
 * far; returns the HTTP status of the response. */
static int execute_direct_commands(struct sim_cluster *cluster, struct sim_machine *machine,
                                   const struct ow_effect *effect)
{
    bool ok = effect->fencing_token >= machine->fencing_token && effect->incarnation == machine->incarnation;
    if (effect->fencing_token > machine->fencing_token) {
        machine->fencing_token = effect->fencing_token;
        machine->next_heartbeat_at = MIN(machine->next_heartbeat_at, cluster->now + SIM_CHANGE_HEARTBEAT_S);
    }
    if (ok)
        sim_worker_execute(cluster, machine, effect->commands);
    return ok ? 200 : 409;
}

void sim_workers_handle_direct_commands(struct sim_cluster *cluster, int controller, struct ow_effect *effect)
{
    struct sim_machine *machine = sim_machine(cluster, effect->addr);
    struct ow_event *event = ow_event_new(OW_EVENT_DIRECT_REPLY, effect->request);
    bool exists = machine != NULL && !machine->deleted;
    double after_s = SIM_WORKER_LATENCY_S;
    cluster->direct_commands_sent++;
    if (cluster->no_sockets) {
        event->status = OW_STATUS_UNSENT;
        after_s = 0;
    } else if (!exists || machine->hung || machine->unresponsive || cluster->delay_direct_commands ||
               sim_worker_is_partitioned(cluster, machine, controller)) {
        if (exists && holds_commands(cluster, machine))
            delay_commands(cluster, machine, effect);
        after_s = DIRECT_TIMEOUT_S;
    } else {
        event->status = execute_direct_commands(cluster, machine, effect);
        event->heartbeat = sim_heartbeat_new(machine);
    }
    sim_deliver(cluster, controller, cluster->process_nonce[controller], after_s, event);
}

void sim_worker_release_commands(struct sim_cluster *cluster)
{
    if (cluster->keep_commands_delayed)
        return;
    for (guint i = cluster->delayed_commands->len; i > 0; i--) {
        struct delayed_command *delayed =
            &g_array_index(cluster->delayed_commands, struct delayed_command, i - 1);
        struct sim_machine *machine = sim_machine(cluster, delayed->machine);
        if (!machine->deleted && holds_commands(cluster, machine))
            continue;
        if (!machine->deleted && delayed->fencing_token >= machine->fencing_token &&
            delayed->incarnation == machine->incarnation) {
            machine->fencing_token = delayed->fencing_token;
            sim_worker_execute(cluster, machine, delayed->commands);
        }
        g_array_free(delayed->commands, TRUE);
        g_array_remove_index(cluster->delayed_commands, i - 1);
    }
}
