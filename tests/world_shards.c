/* Simulated clusters that are divided into shards, and controllers that stand still. */
#include "world_parts.h"

#include "check.h"

static void add_shard(struct ow_sharding_settings *sharding, const char *zone)
{
    struct ow_shard_settings *shard = g_new0(struct ow_shard_settings, 1);
    shard->name = g_strdup(zone);
    shard->zones = g_strsplit(zone, " ", 0);
    shard->share = 0.5;
    g_ptr_array_add(sharding->shards, shard);
}

void world_divide(struct world *w)
{
    w->sharding = ow_sharding_settings_new();
    w->sharding->enabled = true;
    add_shard(w->sharding, "east");
    add_shard(w->sharding, "west");
}

struct world *world_with_shards(int machines)
{
    struct world *w = world_new();
    world_divide(w);
    world_start_controllers(w);
    world_add_group(w, "east", machines, "east", false);
    world_add_group(w, "west", machines, "west", false);
    world_run(w, 8);
    return w;
}

void world_freeze(struct world *w, int controller)
{
    w->frozen[controller] = true;
    w->frozen_at[controller] = w->now;
}

void world_thaw(struct world *w, int controller)
{
    if (w->frozen[controller] && w->controllers[controller] != NULL)
        ow_shard_manager_resume(w->controllers[controller], w->now - w->frozen_at[controller], w->now);
    w->frozen[controller] = false;
}

uint64_t world_fencing_token(const struct world *w, int controller)
{
    return ow_shard_manager_fencing_token(w->controllers[controller]);
}

int world_shard_leader(const struct world *w, guint shard)
{
    int leader = -1;
    uint64_t highest = 0;
    for (int i = 0; i < WORLD_CONTROLLERS; i++) {
        if (w->controllers[i] == NULL)
            continue;
        const struct ow_shard *view = g_ptr_array_index(ow_shard_manager_shards(w->controllers[i]), shard);
        if (view->status.fencing_token > highest) {
            highest = view->status.fencing_token;
            leader = i;
        }
    }
    return leader;
}

struct ow_submission *world_job_in(const char *id, const char *zone, uint32_t tasks)
{
    struct ow_submission *job = world_job(id, tasks, 1);
    job->zone = g_strdup(zone);
    return job;
}

void world_accept(struct world *w, int controller, struct ow_submission *job)
{
    uint64_t request = world_submit(w, controller, job);
    world_run(w, 3);
    assert_int_equal(world_status(w, request), 201);
}
