/* The simulated workers: they carry out commands and report. */
#include "sim_parts.h"
#include "model/effect.h"
#include "model/event.h"
#include "model/worker.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

static const double FETCH_S = 0.5;

struct late_direct {
    char machine[32];
    uint64_t fencing_token, incarnation;
    GArray *commands;
};

void sim_workers_init(struct sim_cluster *cluster)
{
    cluster->machines = g_ptr_array_new();
    cluster->machines_by_name = g_hash_table_new(g_str_hash, g_str_equal);
    cluster->started_on = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    cluster->late = g_array_new(FALSE, FALSE, sizeof(struct late_direct));
}

void sim_workers_clear(struct sim_cluster *cluster)
{
    for (guint i = 0; i < cluster->machines->len; i++) {
        struct sim_machine *machine = sim_machine_at(cluster, i);
        g_array_free(machine->tasks, TRUE);
        g_free(machine);
    }
    for (guint i = 0; i < cluster->late->len; i++)
        g_array_free(g_array_index(cluster->late, struct late_direct, i).commands, TRUE);
    g_array_free(cluster->late, TRUE);
    g_hash_table_destroy(cluster->machines_by_name);
    g_hash_table_destroy(cluster->started_on);
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

/* Whether no message passes between the two, in either direction. */
static bool apart(const struct sim_cluster *cluster, const struct sim_machine *machine, int controller)
{
    return machine->cut || controller == cluster->workerless_controller ||
           (machine->only_controller >= 0 && controller != machine->only_controller);
}

static void start_task(struct sim_cluster *cluster, struct sim_machine *machine,
                       const struct ow_worker_command *command)
{
    if (find_task(machine, command) != NULL)
        return;
    struct sim_task task = {.task = command->task,
                            .attempt = command->attempt,
                            .phase = OW_PHASE_FETCHING,
                            .phase_at = cluster->now + FETCH_S};
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
        sim_check_twice(cluster, machine, command);
        sim_check_over(cluster, command->job);
        machine->starts++;
    }
    g_array_append_val(machine->tasks, task);
    if (task.phase != OW_PHASE_EXITED) {
        sim_check_limit(cluster, command->job);
        sim_check_place(cluster, machine, command->job);
    }
}

static void obey(struct sim_cluster *cluster, struct sim_machine *machine, const GArray *commands)
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
            machine->clears++;
            g_array_remove_index(machine->tasks, (guint)(task - (struct sim_task *)machine->tasks->data));
        }
    }
}

void sim_workers_take_direct(struct sim_cluster *cluster, int controller, struct ow_effect *effect)
{
    struct sim_machine *machine = sim_machine(cluster, effect->addr);
    struct ow_event *event = sim_command(OW_EVENT_DIRECT_REPLY, effect->request);
    cluster->directs++;
    if (cluster->no_sockets) {
        event->status = OW_STATUS_UNSENT;
        sim_deliver(cluster, controller, cluster->controller_nonce[controller], 0, event);
        return;
    }
    if (machine == NULL || machine->gone || machine->hangs || machine->unresponsive ||
        cluster->hold_directs || apart(cluster, machine, controller)) {
        if (machine != NULL && !machine->gone && (machine->cut || cluster->hold_directs)) {
            /* The partition delays the packets; they arrive once it heals. */
            struct late_direct late = {.fencing_token = effect->fencing_token,
                                       .incarnation = effect->incarnation,
                                       .commands = g_steal_pointer(&effect->commands)};
            g_strlcpy(late.machine, machine->name, sizeof late.machine);
            g_array_append_val(cluster->late, late);
        }
        sim_deliver(cluster, controller, cluster->controller_nonce[controller], 3, event);
        return;
    }
    bool ok = effect->fencing_token >= machine->fencing_token && effect->incarnation == machine->incarnation;
    if (effect->fencing_token > machine->fencing_token) {
        machine->fencing_token = effect->fencing_token;
        machine->heartbeat_at = MIN(machine->heartbeat_at, cluster->now + 0.5);
    }
    if (ok)
        obey(cluster, machine, effect->commands);
    event->status = ok ? 200 : 409;
    event->heartbeat = sim_make_heartbeat(machine);
    sim_deliver(cluster, controller, cluster->controller_nonce[controller], 0.01, event);
}

static void release_late(struct sim_cluster *cluster)
{
    for (guint i = cluster->late->len; i > 0; i--) {
        struct late_direct *late = &g_array_index(cluster->late, struct late_direct, i - 1);
        struct sim_machine *machine = sim_machine(cluster, late->machine);
        if (!machine->gone && (machine->cut || cluster->hold_directs))
            continue;
        if (!machine->gone && late->fencing_token >= machine->fencing_token &&
            late->incarnation == machine->incarnation) {
            machine->fencing_token = late->fencing_token;
            obey(cluster, machine, late->commands);
        }
        g_array_free(late->commands, TRUE);
        g_array_remove_index(cluster->late, i - 1);
    }
}

/* Takes the response to a heartbeat: requests of workers carry their machine's index above 2^32. */
void sim_workers_take_answer(struct sim_cluster *cluster, int controller, const struct ow_effect *effect)
{
    guint index = (guint)(effect->request >> 32) - 1;
    if (index >= cluster->machines->len)
        return; /* no worker waits for it */
    struct sim_machine *machine = sim_machine_at(cluster, index);
    if (!machine->heartbeat_busy || (uint32_t)effect->request != (uint32_t)machine->sequence ||
        machine->hangs || machine->unresponsive || apart(cluster, machine, controller))
        return;
    machine->heartbeat_busy = false;
    machine->heartbeat_at = cluster->now + cluster->settings[0].heartbeat_interval_s;
    if (effect->kind == OW_EFFECT_REDIRECT) {
        int named = effect->redirect_to != NULL ? atoi(effect->redirect_to + strlen("node-")) : controller;
        machine->controller = named != controller ? named : (controller + 1) % SIM_CONTROLLERS;
        machine->heartbeat_at = cluster->now + (named != controller ? 0.1 : 1);
        return;
    }
    if (effect->fencing_token < machine->fencing_token)
        return;
    if (effect->fencing_token > machine->fencing_token)
        machine->heartbeat_at = cluster->now + 0.5;
    machine->fencing_token = effect->fencing_token;
    machine->renewed_at = machine->sent_at;
    guint before = machine->tasks->len;
    obey(cluster, machine, effect->commands);
    if (machine->tasks->len != before)
        machine->heartbeat_at = cluster->now + 0.5;
}

static void step_task(struct sim_cluster *cluster, struct sim_machine *machine, struct sim_task *task)
{
    if (task->phase == OW_PHASE_EXITED || cluster->now < task->phase_at)
        return;
    if (task->phase == OW_PHASE_FETCHING) {
        sim_check_over(cluster, task->job);
        task->phase = OW_PHASE_RUNNING;
        const struct sim_requirements *requirements = sim_requirements_of(cluster, task->job);
        task->phase_at =
            requirements != NULL && requirements->service ? INFINITY : cluster->now + cluster->run_time_s;
    } else {
        task->phase = OW_PHASE_EXITED;
        task->cause = machine->faulty ? OW_CAUSE_ERROR : OW_CAUSE_DONE;
    }
    if (machine->faulty && task->phase == OW_PHASE_RUNNING)
        task->phase_at = cluster->now;
    machine->heartbeat_at = MIN(machine->heartbeat_at, cluster->now + 0.5);
}

static void step_machine(struct sim_cluster *cluster, struct sim_machine *machine, guint index)
{
    if (machine->gone || cluster->now < machine->up_at)
        return;
    if (cluster->now - machine->renewed_at > cluster->settings[0].lease_s) {
        machine->incarnation++;
        machine->renewed_at = cluster->now;
        machine->heartbeat_busy = false;
        g_array_set_size(machine->tasks, 0);
    }
    sim_check_cancelled(cluster, machine);
    if (machine->hangs)
        return;
    for (guint i = 0; i < machine->tasks->len; i++)
        step_task(cluster, machine, &g_array_index(machine->tasks, struct sim_task, i));
    if (machine->heartbeat_busy && cluster->now - machine->sent_at > 4) {
        machine->heartbeat_busy = false;
        machine->controller = (machine->controller + 1) % SIM_CONTROLLERS;
        machine->heartbeat_at = cluster->now + 1;
    }
    if (machine->heartbeat_busy || cluster->now < machine->heartbeat_at || machine->cut)
        return;
    machine->sent_at = cluster->now;
    if (cluster->controllers[machine->controller] == NULL || machine->stopped_reporting ||
        apart(cluster, machine, machine->controller)) {
        machine->controller = (machine->controller + 1) % SIM_CONTROLLERS;
        machine->heartbeat_at = cluster->now + 1;
        return;
    }
    struct ow_heartbeat *heartbeat = sim_make_heartbeat(machine);
    machine->heartbeat_busy = true;
    struct ow_event *event =
        sim_command(OW_EVENT_HEARTBEAT, ((uint64_t)(index + 1) << 32) | (uint32_t)machine->sequence);
    event->heartbeat = heartbeat;
    sim_deliver(cluster, machine->controller, cluster->controller_nonce[machine->controller], 0.01, event);
}

void sim_workers_step(struct sim_cluster *cluster)
{
    release_late(cluster);
    for (guint i = 0; i < cluster->machines->len; i++)
        step_machine(cluster, sim_machine_at(cluster, i), i);
}
