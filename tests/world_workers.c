/* The simulated workers: they carry out commands and report. */
#include "world_parts.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

static const double FETCH_S = 0.5;

struct late_direct {
    char machine[32];
    uint64_t fencing_token, incarnation;
    GArray *commands;
};

void world_workers_init(struct world *w)
{
    w->machines = g_ptr_array_new();
    w->machines_by_name = g_hash_table_new(g_str_hash, g_str_equal);
    w->started_on = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    w->late = g_array_new(FALSE, FALSE, sizeof(struct late_direct));
}

void world_workers_clear(struct world *w)
{
    for (guint i = 0; i < w->machines->len; i++) {
        struct world_machine *machine = world_machine_at(w, i);
        g_array_free(machine->tasks, TRUE);
        g_free(machine);
    }
    for (guint i = 0; i < w->late->len; i++)
        g_array_free(g_array_index(w->late, struct late_direct, i).commands, TRUE);
    g_array_free(w->late, TRUE);
    g_hash_table_destroy(w->machines_by_name);
    g_hash_table_destroy(w->started_on);
    g_ptr_array_free(w->machines, TRUE);
}

static struct world_task *find_task(struct world_machine *machine, const struct ow_worker_command *command)
{
    for (guint i = 0; i < machine->tasks->len; i++) {
        struct world_task *task = &g_array_index(machine->tasks, struct world_task, i);
        if (task->task == command->task && task->attempt == command->attempt &&
            strcmp(task->job, command->job) == 0)
            return task;
    }
    return NULL;
}

/* Whether no message passes between the two, in either direction. */
static bool apart(const struct world *w, const struct world_machine *machine, int controller)
{
    return machine->cut || controller == w->workerless_controller ||
           (machine->only_controller >= 0 && controller != machine->only_controller);
}

static void start_task(struct world *w, struct world_machine *machine,
                       const struct ow_worker_command *command)
{
    if (find_task(machine, command) != NULL)
        return;
    struct world_task task = {.task = command->task,
                              .attempt = command->attempt,
                              .phase = OW_PHASE_FETCHING,
                              .phase_at = w->now + FETCH_S};
    g_strlcpy(task.job, command->job, sizeof task.job);
    for (guint i = 0; i < machine->tasks->len; i++) {
        const struct world_task *other = &g_array_index(machine->tasks, struct world_task, i);
        if (other->task == command->task && strcmp(other->job, command->job) == 0 &&
            other->phase != OW_PHASE_EXITED) {
            task.phase = OW_PHASE_EXITED;
            task.cause = OW_CAUSE_BUSY;
        }
    }
    if (task.phase != OW_PHASE_EXITED) {
        world_check_twice(w, machine, command);
        world_check_over(w, command->job);
        machine->starts++;
    }
    g_array_append_val(machine->tasks, task);
    if (task.phase != OW_PHASE_EXITED) {
        world_check_limit(w, command->job);
        world_check_place(w, machine, command->job);
    }
}

static void obey(struct world *w, struct world_machine *machine, const GArray *commands)
{
    for (guint i = 0; i < commands->len; i++) {
        const struct ow_worker_command *command = &g_array_index(commands, struct ow_worker_command, i);
        struct world_task *task = find_task(machine, command);
        if (command->kind == OW_WORKER_LAUNCH) {
            start_task(w, machine, command);
        } else if (command->kind == OW_WORKER_STOP && task != NULL && task->phase != OW_PHASE_EXITED) {
            task->phase = OW_PHASE_EXITED;
            task->cause = OW_CAUSE_STOPPED;
        } else if (command->kind == OW_WORKER_CLEAR && task != NULL && task->phase == OW_PHASE_EXITED) {
            machine->clears++;
            g_array_remove_index(machine->tasks, (guint)(task - (struct world_task *)machine->tasks->data));
        }
    }
}

void world_workers_take_direct(struct world *w, int controller, struct ow_effect *effect)
{
    struct world_machine *machine = world_machine(w, effect->text);
    struct ow_event *event = world_command(OW_EVENT_DIRECT_REPLY, effect->request);
    w->directs++;
    if (w->no_sockets) {
        event->status = OW_STATUS_UNSENT;
        world_deliver(w, controller, w->controller_nonce[controller], 0, event);
        return;
    }
    if (machine == NULL || machine->gone || machine->hangs || machine->unresponsive || w->hold_directs ||
        apart(w, machine, controller)) {
        if (machine != NULL && !machine->gone && (machine->cut || w->hold_directs)) {
            /* The partition delays the packets; they arrive once it heals. */
            struct late_direct late = {.fencing_token = effect->fencing_token,
                                       .incarnation = effect->incarnation,
                                       .commands = g_steal_pointer(&effect->commands)};
            g_strlcpy(late.machine, machine->name, sizeof late.machine);
            g_array_append_val(w->late, late);
        }
        world_deliver(w, controller, w->controller_nonce[controller], 3, event);
        return;
    }
    bool ok = effect->fencing_token >= machine->fencing_token && effect->incarnation == machine->incarnation;
    if (effect->fencing_token > machine->fencing_token) {
        machine->fencing_token = effect->fencing_token;
        machine->heartbeat_at = MIN(machine->heartbeat_at, w->now + 0.5);
    }
    if (ok)
        obey(w, machine, effect->commands);
    event->status = ok ? 200 : 409;
    event->heartbeat = world_make_heartbeat(machine);
    world_deliver(w, controller, w->controller_nonce[controller], 0.01, event);
}

static void release_late(struct world *w)
{
    for (guint i = w->late->len; i > 0; i--) {
        struct late_direct *late = &g_array_index(w->late, struct late_direct, i - 1);
        struct world_machine *machine = world_machine(w, late->machine);
        if (!machine->gone && (machine->cut || w->hold_directs))
            continue;
        if (!machine->gone && late->fencing_token >= machine->fencing_token &&
            late->incarnation == machine->incarnation) {
            machine->fencing_token = late->fencing_token;
            obey(w, machine, late->commands);
        }
        g_array_free(late->commands, TRUE);
        g_array_remove_index(w->late, i - 1);
    }
}

/* Takes the response to a heartbeat: requests of workers carry their machine's index above 2^32. */
void world_workers_take_answer(struct world *w, int controller, const struct ow_effect *effect)
{
    guint index = (guint)(effect->request >> 32) - 1;
    if (index >= w->machines->len)
        return; /* no worker waits for it */
    struct world_machine *machine = world_machine_at(w, index);
    if (!machine->heartbeat_busy || (uint32_t)effect->request != (uint32_t)machine->seq || machine->hangs ||
        machine->unresponsive || apart(w, machine, controller))
        return;
    machine->heartbeat_busy = false;
    machine->heartbeat_at = w->now + w->settings[0].heartbeat_interval_s;
    if (effect->kind == OW_EFFECT_MISDIRECT) {
        int named = effect->text != NULL ? atoi(effect->text + strlen("node-")) : controller;
        machine->controller = named != controller ? named : (controller + 1) % WORLD_CONTROLLERS;
        machine->heartbeat_at = w->now + (named != controller ? 0.1 : 1);
        return;
    }
    if (effect->fencing_token < machine->fencing_token)
        return;
    if (effect->fencing_token > machine->fencing_token)
        machine->heartbeat_at = w->now + 0.5;
    machine->fencing_token = effect->fencing_token;
    machine->renewed_at = machine->sent_at;
    guint before = machine->tasks->len;
    obey(w, machine, effect->commands);
    if (machine->tasks->len != before)
        machine->heartbeat_at = w->now + 0.5;
}

static void step_task(struct world *w, struct world_machine *machine, struct world_task *task)
{
    if (task->phase == OW_PHASE_EXITED || w->now < task->phase_at)
        return;
    if (task->phase == OW_PHASE_FETCHING) {
        world_check_over(w, task->job);
        task->phase = OW_PHASE_RUNNING;
        const struct world_requirements *requirements = world_requirements_of(w, task->job);
        task->phase_at = requirements != NULL && requirements->service ? INFINITY : w->now + w->run_time_s;
    } else {
        task->phase = OW_PHASE_EXITED;
        task->cause = machine->faulty ? OW_CAUSE_ERROR : OW_CAUSE_DONE;
    }
    if (machine->faulty && task->phase == OW_PHASE_RUNNING)
        task->phase_at = w->now;
    machine->heartbeat_at = MIN(machine->heartbeat_at, w->now + 0.5);
}

static void step_machine(struct world *w, struct world_machine *machine, guint index)
{
    if (machine->gone || w->now < machine->up_at)
        return;
    if (w->now - machine->renewed_at > w->settings[0].lease_s) {
        machine->incarnation++;
        machine->renewed_at = w->now;
        machine->heartbeat_busy = false;
        g_array_set_size(machine->tasks, 0);
    }
    world_check_cancelled(w, machine);
    if (machine->hangs)
        return;
    for (guint i = 0; i < machine->tasks->len; i++)
        step_task(w, machine, &g_array_index(machine->tasks, struct world_task, i));
    if (machine->heartbeat_busy && w->now - machine->sent_at > 4) {
        machine->heartbeat_busy = false;
        machine->controller = (machine->controller + 1) % WORLD_CONTROLLERS;
        machine->heartbeat_at = w->now + 1;
    }
    if (machine->heartbeat_busy || w->now < machine->heartbeat_at || machine->cut)
        return;
    machine->sent_at = w->now;
    if (w->controllers[machine->controller] == NULL || machine->stopped_reporting ||
        apart(w, machine, machine->controller)) {
        machine->controller = (machine->controller + 1) % WORLD_CONTROLLERS;
        machine->heartbeat_at = w->now + 1;
        return;
    }
    struct ow_heartbeat *heartbeat = world_make_heartbeat(machine);
    machine->heartbeat_busy = true;
    struct ow_event *event =
        world_command(OW_EVENT_HEARTBEAT, ((uint64_t)(index + 1) << 32) | (uint32_t)machine->seq);
    event->heartbeat = heartbeat;
    world_deliver(w, machine->controller, w->controller_nonce[machine->controller], 0.01, event);
}

void world_workers_step(struct world *w)
{
    release_late(w);
    for (guint i = 0; i < w->machines->len; i++)
        step_machine(w, world_machine_at(w, i), i);
}
