/* Simulated clusters in the initial states that several tests share. */
#include "world_parts.h"

#include "check.h"

void world_set_large_rates(struct world *w)
{
    for (int i = 0; i < WORLD_CONTROLLERS; i++) {
        struct ow_settings *settings = &w->settings[i];
        settings->heartbeat_interval_s = 5;
        settings->lease_s = 26.5;
        settings->cancel_s = 46.5;
        settings->store_rps = 400;
        settings->store_write_rps = 150;
        settings->value_kb = w->value_kb = 16;
        settings->txn_ops = w->txn_ops = 48;
        settings->cloud_rps = 7;
    }
}

struct world *world_with_machines(int machines)
{
    struct world *w = world_new();
    world_start_controllers(w);
    world_add_machines(w, machines);
    world_run(w, 4);
    return w;
}

struct world *world_with_capacity(int machines, unsigned capacity)
{
    struct world *w = world_with_machines(machines);
    w->capacity = capacity;
    return w;
}

struct world *world_with_service(int machines, uint32_t replicas)
{
    struct world *w = world_with_capacity(machines, 4);
    uint64_t request = world_submit(w, 0, world_service("run-1", replicas, 1));
    world_run(w, 6);
    assert_int_equal(world_answer(w, request)->status, 201);
    assert_int_equal(world_running(w, "run-1"), replicas);
    return w;
}

struct world *world_with_one_controller(void)
{
    struct world *w = world_new();
    world_start_controller(w, 0);
    return w;
}

struct world *world_with_one_controller_and_machines(int machines)
{
    struct world *w = world_with_one_controller();
    world_add_machines(w, machines);
    world_run(w, 6);
    return w;
}

struct world *world_with_controllers(int controllers, int machines)
{
    struct world *w = world_new();
    for (int i = 0; i < controllers; i++)
        world_start_controller(w, i);
    for (int i = 0; i < machines; i++) {
        char name[16];
        g_snprintf(name, sizeof name, "m-%d", i);
        world_add_machine(w, name, "big", i % 2 == 0 ? "east" : "west", false);
    }
    world_run(w, 4);
    return w;
}

struct world_machine *world_start_long_job(struct world *w)
{
    w->run_time_s = 100;
    return world_start_settled_job(w, world_job("run-1", 1, 1));
}

void world_submit_interleaved(struct world *w, const char *id, uint32_t tasks)
{
    world_submit(w, 0, world_job(id, tasks, 0.4));
    world_run(w, 6);
    assert_int_equal(world_running(w, id), tasks);
    for (guint i = 0; i < w->machines->len; i++) {
        struct world_machine *machine = world_machine_at(w, i);
        for (guint k = 0; k < machine->tasks->len; k += 2)
            g_array_index(machine->tasks, struct world_task, k).phase_at = w->now + 1;
    }
    world_run(w, 4);
}
