/* The processes of the simulated controllers: start, crash, pause, and which one leads. */
#include "sim_internal.h"

void sim_start_controller(struct sim_cluster *cluster, int controller)
{
    cluster->process_nonce[controller] = ++cluster->nonce;
    cluster->controllers[controller] = ow_shard_manager_new(&cluster->settings[controller], &cluster->tuning,
                                                            cluster->sharding, cluster->nonce);
}

void sim_start_controllers(struct sim_cluster *cluster)
{
    for (int i = 0; i < SIM_CONTROLLERS; i++)
        if (cluster->controllers[i] == NULL)
            sim_start_controller(cluster, i);
}

void sim_kill_controller(struct sim_cluster *cluster, int controller)
{
    ow_shard_manager_free(cluster->controllers[controller]);
    cluster->controllers[controller] = NULL;
    cluster->frozen[controller] = false;
}

void sim_kill_controllers(struct sim_cluster *cluster)
{
    for (int i = 0; i < SIM_CONTROLLERS; i++)
        if (cluster->controllers[i] != NULL)
            sim_kill_controller(cluster, i);
}

int sim_leader(const struct sim_cluster *cluster)
{
    int leader = -1;
    uint64_t highest = 0;
    for (int i = 0; i < SIM_CONTROLLERS; i++) {
        uint64_t fencing_token = cluster->controllers[i] != NULL ? sim_fencing_token(cluster, i) : 0;
        if (fencing_token > highest) {
            highest = fencing_token;
            leader = i;
        }
    }
    return leader;
}

void sim_freeze_controller(struct sim_cluster *cluster, int controller)
{
    cluster->frozen[controller] = true;
    cluster->frozen_at[controller] = cluster->now;
}

void sim_thaw_controller(struct sim_cluster *cluster, int controller)
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

int sim_follower(const struct sim_cluster *cluster)
{
    return (sim_leader(cluster) + 1) % SIM_CONTROLLERS;
}
