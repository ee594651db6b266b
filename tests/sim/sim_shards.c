/* Simulated clusters that are divided into shards, and controllers that stand still. */
#include "sim_parts.h"

#include "check.h"
#include "model/submission.h"

static void add_shard(struct ow_sharding_settings *sharding, const char *zone)
{
    struct ow_shard_settings *shard = g_new0(struct ow_shard_settings, 1);
    shard->name = g_strdup(zone);
    shard->zones = g_strsplit(zone, " ", 0);
    shard->share = 0.5;
    g_ptr_array_add(sharding->shards, shard);
}

void sim_divide(struct sim_cluster *cluster)
{
    cluster->sharding = ow_sharding_settings_new();
    cluster->sharding->is_enabled = true;
    add_shard(cluster->sharding, "east");
    add_shard(cluster->sharding, "west");
}

struct sim_cluster *sim_with_shards(int machines)
{
    struct sim_cluster *cluster = sim_new();
    sim_divide(cluster);
    sim_start_controllers(cluster);
    sim_add_group(cluster, "east", machines, "east", false);
    sim_add_group(cluster, "west", machines, "west", false);
    sim_run(cluster, 8);
    return cluster;
}

void sim_freeze(struct sim_cluster *cluster, int controller)
{
    cluster->frozen[controller] = true;
    cluster->frozen_at[controller] = cluster->now;
}

void sim_thaw(struct sim_cluster *cluster, int controller)
{
    if (cluster->frozen[controller] && cluster->controllers[controller] != NULL)
        ow_shard_manager_resume(cluster->controllers[controller],
                                cluster->now - cluster->frozen_at[controller], cluster->now);
    cluster->frozen[controller] = false;
}

uint64_t sim_fencing_token(const struct sim_cluster *cluster, int controller)
{
    return ow_shard_manager_fencing_token(cluster->controllers[controller]);
}

int sim_shard_leader(const struct sim_cluster *cluster, guint shard)
{
    int leader = -1;
    uint64_t highest = 0;
    for (int i = 0; i < SIM_CONTROLLERS; i++) {
        if (cluster->controllers[i] == NULL)
            continue;
        const struct ow_shard *view =
            g_ptr_array_index(ow_shard_manager_shards(cluster->controllers[i]), shard);
        if (view->status.fencing_token > highest) {
            highest = view->status.fencing_token;
            leader = i;
        }
    }
    return leader;
}

struct ow_submission *sim_job_in(const char *id, const char *zone, uint32_t tasks)
{
    struct ow_submission *job = sim_job(id, tasks, 1);
    job->zone = g_strdup(zone);
    return job;
}

void sim_accept(struct sim_cluster *cluster, int controller, struct ow_submission *job)
{
    uint64_t request = sim_submit(cluster, controller, job);
    sim_run(cluster, 3);
    assert_int_equal(sim_status(cluster, request), 201);
}
