/* The simulated workers: they run tasks, send heartbeats, and end their tasks when their lease expires. Tests
 * set the failures of struct sim_machine and the run time of tasks (`run_time_s`). sim_worker_commands.c
 * executes commands. */
#include "sim_internal.h"
#include "model/effect.h"
#include "model/event.h"
#include "model/worker.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

/* The time that a worker waits for a response, and then before it tries another controller. */
static const double RESPONSE_TIMEOUT_S = 4;
static const double RETRY_S = 1;

void sim_workers_init(struct sim_cluster *cluster)
{
    cluster->machines = g_ptr_array_new();
    cluster->machines_by_name = g_hash_table_new(g_str_hash, g_str_equal);
    cluster->last_machine_of_task = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    sim_worker_commands_init(cluster);
}

void sim_workers_clear(struct sim_cluster *cluster)
{
    for (guint i = 0; i < cluster->machines->len; i++) {
        struct sim_machine *machine = sim_machine_at(cluster, i);
        g_array_free(machine->tasks, TRUE);
        g_free(machine);
    }
    sim_worker_commands_clear(cluster);
    g_hash_table_destroy(cluster->machines_by_name);
    g_hash_table_destroy(cluster->last_machine_of_task);
    g_ptr_array_free(cluster->machines, TRUE);
}

/* The upper 32 bits of a request number identify the worker's machine (see send_heartbeat()). */
void sim_workers_handle_response(struct sim_cluster *cluster, int controller, const struct ow_effect *effect)
{
    guint index = (guint)(effect->request >> 32) - 1;
    if (index >= cluster->machines->len)
        return; /* no worker waits for it */
    struct sim_machine *machine = sim_machine_at(cluster, index);
    if (!machine->awaits_response || (uint32_t)effect->request != (uint32_t)machine->sequence ||
        machine->hung || machine->unresponsive || sim_worker_is_partitioned(cluster, machine, controller))
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
        machine->next_heartbeat_at = cluster->now + SIM_CHANGE_HEARTBEAT_S;
    machine->fencing_token = effect->fencing_token;
    machine->lease_renewed_at = machine->heartbeat_sent_at;
    guint before = machine->tasks->len;
    sim_worker_execute(cluster, machine, effect->commands);
    if (machine->tasks->len != before)
        machine->next_heartbeat_at = cluster->now + SIM_CHANGE_HEARTBEAT_S;
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
    machine->next_heartbeat_at = MIN(machine->next_heartbeat_at, cluster->now + SIM_CHANGE_HEARTBEAT_S);
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
    sim_deliver(cluster, machine->controller, cluster->process_nonce[machine->controller],
                SIM_WORKER_LATENCY_S, event);
}

static void send_heartbeat_if_due(struct sim_cluster *cluster, struct sim_machine *machine, guint index)
{
    if (machine->awaits_response || cluster->now < machine->next_heartbeat_at || machine->partitioned)
        return;
    machine->heartbeat_sent_at = cluster->now;
    if (cluster->controllers[machine->controller] == NULL || machine->heartbeats_lost ||
        sim_worker_is_partitioned(cluster, machine, machine->controller))
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
    sim_worker_release_commands(cluster);
    for (guint i = 0; i < cluster->machines->len; i++)
        step_machine(cluster, sim_machine_at(cluster, i), i);
}
