/* Simulated clusters in initial states shared by several tests. */
#include "sim_internal.h"

#include "check.h"

void sim_set_largest_limits(struct sim_cluster *cluster)
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

struct sim_cluster *sim_with_provisionable_machines(int machines, unsigned provisionable)
{
    struct sim_cluster *cluster = sim_with_machines(machines);
    cluster->provisionable_machines = provisionable;
    return cluster;
}

struct sim_cluster *sim_with_service(int machines, uint32_t replicas)
{
    struct sim_cluster *cluster = sim_with_provisionable_machines(machines, 4);
    uint64_t request = sim_submit(cluster, 0, sim_service("run-1", replicas, 1));
    sim_run(cluster, 6);
    assert_int_equal(sim_response(cluster, request)->status, 201);
    assert_int_equal(sim_count_running(cluster, "run-1"), replicas);
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

static void add_shard(struct ow_sharding_settings *sharding, const char *zone)
{
    struct ow_shard_settings *shard = g_new0(struct ow_shard_settings, 1);
    shard->name = g_strdup(zone);
    shard->zones = g_strsplit(zone, " ", 0);
    shard->share = 0.5;
    g_ptr_array_add(sharding->shards, shard);
}

void sim_enable_sharding(struct sim_cluster *cluster)
{
    cluster->sharding = ow_sharding_settings_new();
    cluster->sharding->is_enabled = true;
    add_shard(cluster->sharding, "east");
    add_shard(cluster->sharding, "west");
}

struct sim_cluster *sim_with_shards(int machines)
{
    struct sim_cluster *cluster = sim_new();
    sim_enable_sharding(cluster);
    sim_start_controllers(cluster);
    sim_add_group(cluster, "east", machines, "east", false);
    sim_add_group(cluster, "west", machines, "west", false);
    sim_run(cluster, 8);
    return cluster;
}
