/* Simulated clusters in the initial states that several tests share. */
#include "sim_parts.h"

#include "check.h"

void sim_set_large_rates(struct sim_cluster *cluster)
{
    for (int i = 0; i < SIM_CONTROLLERS; i++) {
        struct ow_settings *settings = &cluster->settings[i];
        settings->heartbeat_interval_s = 5;
        settings->lease_s = 26.5;
        settings->cancel_s = 46.5;
        settings->store_rps = 400;
        settings->store_write_rps = 150;
        settings->value_kb = cluster->value_kb = 16;
        settings->txn_ops = cluster->txn_ops = 48;
        settings->cloud_rps = 7;
    }
}

struct sim_cluster *sim_with_machines(int machines)
{
    struct sim_cluster *cluster = sim_new();
    sim_start_controllers(cluster);
    sim_add_machines(cluster, machines);
    sim_run(cluster, 4);
    return cluster;
}

struct sim_cluster *sim_with_capacity(int machines, unsigned capacity)
{
    struct sim_cluster *cluster = sim_with_machines(machines);
    cluster->capacity = capacity;
    return cluster;
}

struct sim_cluster *sim_with_service(int machines, uint32_t replicas)
{
    struct sim_cluster *cluster = sim_with_capacity(machines, 4);
    uint64_t request = sim_submit(cluster, 0, sim_service("run-1", replicas, 1));
    sim_run(cluster, 6);
    assert_int_equal(sim_answer(cluster, request)->status, 201);
    assert_int_equal(sim_running(cluster, "run-1"), replicas);
    return cluster;
}

struct sim_cluster *sim_with_one_controller(void)
{
    struct sim_cluster *cluster = sim_new();
    sim_start_controller(cluster, 0);
    return cluster;
}

struct sim_cluster *sim_with_one_controller_and_machines(int machines)
{
    struct sim_cluster *cluster = sim_with_one_controller();
    sim_add_machines(cluster, machines);
    sim_run(cluster, 6);
    return cluster;
}

struct sim_cluster *sim_with_controllers(int controllers, int machines)
{
    struct sim_cluster *cluster = sim_new();
    for (int i = 0; i < controllers; i++)
        sim_start_controller(cluster, i);
    for (int i = 0; i < machines; i++) {
        char name[16];
        g_snprintf(name, sizeof name, "m-%d", i);
        sim_add_machine(cluster, name, "big", i % 2 == 0 ? "east" : "west", false);
    }
    sim_run(cluster, 4);
    return cluster;
}

struct sim_machine *sim_start_long_job(struct sim_cluster *cluster)
{
    cluster->run_time_s = 100;
    return sim_start_settled_job(cluster, sim_job("run-1", 1, 1));
}

void sim_submit_interleaved(struct sim_cluster *cluster, const char *id, uint32_t tasks)
{
    sim_submit(cluster, 0, sim_job(id, tasks, 0.4));
    sim_run(cluster, 6);
    assert_int_equal(sim_running(cluster, id), tasks);
    for (guint i = 0; i < cluster->machines->len; i++) {
        struct sim_machine *machine = sim_machine_at(cluster, i);
        for (guint k = 0; k < machine->tasks->len; k += 2)
            g_array_index(machine->tasks, struct sim_task, k).phase_at = cluster->now + 1;
    }
    sim_run(cluster, 4);
}
