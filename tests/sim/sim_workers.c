/* The simulated workers: they execute commands, run tasks, send heartbeats, and end their tasks when their
 * lease expires. Tests set the failures of struct sim_machine, delay direct commands
 * (`delay_direct_commands`), let controllers run out of sockets (`no_sockets`), and set the run time of tasks
 * (`run_time_s`). */
#include "sim_internal.h"
#include "model/effect.h"
#include "model/event.h"
#include "model/worker.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

static const double FETCH_S = 0.5;
/* The latency of a message between a controller and a worker. */
static const double LATENCY_S = 0.01;
/* A heartbeat that reports a change is sent within this time. */
static const double CHANGE_HEARTBEAT_S = 0.5;
/* The time that a worker waits for a response, and then before it tries another controller. */
static const double RESPONSE_TIMEOUT_S = 4;
static const double RETRY_S = 1;
/* The time that a controller waits for the response to direct commands. */
static const double DIRECT_TIMEOUT_S = 3;

struct delayed_command {
    char machine[32];
    uint64_t fencing_token, incarnation;
    GArray *commands;
};

void sim_workers_init(struct sim_cluster *cluster)
{
    cluster->machines = g_ptr_array_new();
    cluster->machines_by_name = g_hash_table_new(g_str_hash, g_str_equal);
    cluster->last_machine_of_task = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    cluster->delayed_commands = g_array_new(FALSE, FALSE, sizeof(struct delayed_command));
}

void sim_workers_clear(struct sim_cluster *cluster)
{
    for (guint i = 0; i < cluster->machines->len; i++) {
        struct sim_machine *machine = sim_machine_at(cluster, i);
        g_array_free(machine->tasks, TRUE);
        g_free(machine);
    }
    for (guint i = 0; i < cluster->delayed_commands->len; i++)
        g_array_free(g_array_index(cluster->delayed_commands, struct delayed_command, i).commands, TRUE);
    g_array_free(cluster->delayed_commands, TRUE);
    g_hash_table_destroy(cluster->machines_by_name);
    g_hash_table_destroy(cluster->last_machine_of_task);
    g_ptr_array_free(cluster->machines, TRUE);
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

/* Whether no message passes between the machine and the controller, in either direction. */
static bool is_partitioned(const struct sim_cluster *cluster, const struct sim_machine *machine,
                           int controller)
{
    return machine->partitioned || controller == cluster->controller_without_workers ||
           (machine->only_reachable_controller >= 0 && controller != machine->only_reachable_controller);
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

static void execute_commands(struct sim_cluster *cluster, struct sim_machine *machine, const GArray *commands)
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
        machine->next_heartbeat_at = MIN(machine->next_heartbeat_at, cluster->now + CHANGE_HEARTBEAT_S);
    }
    if (ok)
        execute_commands(cluster, machine, effect->commands);
    return ok ? 200 : 409;
}

void sim_workers_handle_direct_commands(struct sim_cluster *cluster, int controller, struct ow_effect *effect)
{
    struct sim_machine *machine = sim_machine(cluster, effect->addr);
    struct ow_event *event = ow_event_new(OW_EVENT_DIRECT_REPLY, effect->request);
    bool exists = machine != NULL && !machine->deleted;
    double after_s = LATENCY_S;
    cluster->direct_commands_sent++;
    if (cluster->no_sockets) {
        event->status = OW_STATUS_UNSENT;
        after_s = 0;
    } else if (!exists || machine->hung || machine->unresponsive || cluster->delay_direct_commands ||
               is_partitioned(cluster, machine, controller)) {
        if (exists && holds_commands(cluster, machine))
            delay_commands(cluster, machine, effect);
        after_s = DIRECT_TIMEOUT_S;
    } else {
        event->status = execute_direct_commands(cluster, machine, effect);
        event->heartbeat = sim_heartbeat_new(machine);
    }
    sim_deliver(cluster, controller, cluster->process_nonce[controller], after_s, event);
}

static void release_delayed_commands(struct sim_cluster *cluster)
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
            execute_commands(cluster, machine, delayed->commands);
        }
        g_array_free(delayed->commands, TRUE);
        g_array_remove_index(cluster->delayed_commands, i - 1);
    }
}

/* The upper 32 bits of a request number identify the worker's machine (see send_heartbeat()). */
void sim_workers_handle_response(struct sim_cluster *cluster, int controller, const struct ow_effect *effect)
{
    guint index = (guint)(effect->request >> 32) - 1;
    if (index >= cluster->machines->len)
        return; /* no worker waits for it */
    struct sim_machine *machine = sim_machine_at(cluster, index);
    if (!machine->awaits_response || (uint32_t)effect->request != (uint32_t)machine->sequence ||
        machine->hung || machine->unresponsive || is_partitioned(cluster, machine, controller))
        return;
    machine->awaits_response = false;
    machine->next_heartbeat_at = cluster->now + cluster->settings[0].heartbeat_interval_s;
    if (effect->kind == OW_EFFECT_REDIRECT) {
        int redirected =
            effect->redirect_to != NULL ? atoi(effect->redirect_to + strlen("node-")) : controller;
        machine->controller = redirected != controller ? redirected : (controller + 1) % SIM_CONTROLLERS;
        machine->next_heartbeat_at = cluster->now + (redirected != controller ? 0.1 : 1);
        return;
    }
    if (effect->fencing_token < machine->fencing_token)
        return;
    if (effect->fencing_token > machine->fencing_token)
        machine->next_heartbeat_at = cluster->now + CHANGE_HEARTBEAT_S;
    machine->fencing_token = effect->fencing_token;
    machine->lease_renewed_at = machine->heartbeat_sent_at;
    guint before = machine->tasks->len;
    execute_commands(cluster, machine, effect->commands);
    if (machine->tasks->len != before)
        machine->next_heartbeat_at = cluster->now + CHANGE_HEARTBEAT_S;
}

static void step_task(struct sim_cluster *cluster, struct sim_machine *machine, struct sim_task *task)
{
    if (task->phase == OW_PHASE_EXITED || cluster->now < task->next_phase_at)
        return;
    if (task->phase == OW_PHASE_FETCHING) {
        sim_check_not_ended(cluster, task->job);
        task->phase = OW_PHASE_RUNNING;
        const struct sim_requirements *requirements = sim_requirements_of(cluster, task->job);
        task->next_phase_at =
            requirements != NULL && requirements->service ? INFINITY : cluster->now + cluster->run_time_s;
    } else {
        task->phase = OW_PHASE_EXITED;
        task->cause = machine->fails_tasks ? OW_CAUSE_ERROR : OW_CAUSE_DONE;
    }
    if (machine->fails_tasks && task->phase == OW_PHASE_RUNNING)
        task->next_phase_at = cluster->now;
    machine->next_heartbeat_at = MIN(machine->next_heartbeat_at, cluster->now + CHANGE_HEARTBEAT_S);
}

/* A worker whose lease has expired ends its tasks and starts a new incarnation. */
static void expire_lease(struct sim_cluster *cluster, struct sim_machine *machine)
{
    if (cluster->now - machine->lease_renewed_at <= cluster->settings[0].lease_s)
        return;
    machine->incarnation++;
    machine->lease_renewed_at = cluster->now;
    machine->awaits_response = false;
    g_array_set_size(machine->tasks, 0);
}

static void try_next_controller(struct sim_cluster *cluster, struct sim_machine *machine)
{
    machine->controller = (machine->controller + 1) % SIM_CONTROLLERS;
    machine->next_heartbeat_at = cluster->now + RETRY_S;
}

/* The upper 32 bits of the request number are the machine's index plus one, by which the response finds its
 * machine; the lower 32 are the sequence number. */
static void send_heartbeat(struct sim_cluster *cluster, struct sim_machine *machine, guint index)
{
    struct ow_heartbeat *heartbeat = sim_heartbeat_new(machine);
    struct ow_event *event =
        ow_event_new(OW_EVENT_HEARTBEAT, ((uint64_t)(index + 1) << 32) | (uint32_t)machine->sequence);
    event->heartbeat = heartbeat;
    machine->awaits_response = true;
    sim_deliver(cluster, machine->controller, cluster->process_nonce[machine->controller], LATENCY_S, event);
}

static void send_heartbeat_if_due(struct sim_cluster *cluster, struct sim_machine *machine, guint index)
{
    if (machine->awaits_response || cluster->now < machine->next_heartbeat_at || machine->partitioned)
        return;
    machine->heartbeat_sent_at = cluster->now;
    if (cluster->controllers[machine->controller] == NULL || machine->heartbeats_lost ||
        is_partitioned(cluster, machine, machine->controller))
        try_next_controller(cluster, machine);
    else
        send_heartbeat(cluster, machine, index);
}

static void step_machine(struct sim_cluster *cluster, struct sim_machine *machine, guint index)
{
    if (machine->deleted || cluster->now < machine->booted_at)
        return;
    expire_lease(cluster, machine);
    sim_check_cancellations(cluster, machine);
    if (machine->hung)
        return;
    for (guint i = 0; i < machine->tasks->len; i++)
        step_task(cluster, machine, &g_array_index(machine->tasks, struct sim_task, i));
    if (machine->awaits_response && cluster->now - machine->heartbeat_sent_at > RESPONSE_TIMEOUT_S) {
        machine->awaits_response = false;
        try_next_controller(cluster, machine);
    }
    send_heartbeat_if_due(cluster, machine, index);
}

void sim_workers_step(struct sim_cluster *cluster)
{
    release_delayed_commands(cluster);
    for (guint i = 0; i < cluster->machines->len; i++)
        step_machine(cluster, sim_machine_at(cluster, i), i);
}
