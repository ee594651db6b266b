#include "sharding/sharding_settings.h"

#include <string.h>

static void free_shard(void *item)
{
    struct ow_shard_settings *shard = item;
    g_free(shard->name);
    g_strfreev(shard->zones);
    g_strfreev(shard->types);
    g_free(shard);
}

static void free_allotment(void *item)
{
    struct ow_allotment *allotment = item;
    g_free(allotment->team);
    g_free(allotment->shard);
    g_free(allotment);
}

static void free_route(void *item)
{
    struct ow_route *route = item;
    g_free(route->class_name);
    g_free(route->team);
    g_free(route->zone);
    g_strfreev(route->shards);
    g_free(route);
}

struct ow_sharding_settings *ow_sharding_settings_new(void)
{
    struct ow_sharding_settings *sharding = g_new0(struct ow_sharding_settings, 1);
    *sharding = (struct ow_sharding_settings){
        .heartbeat_s = 0.5,
        .suspicion_phi = 8,
        .probe_timeout_s = 1,
        .relays = 3,
        .candidacy_step_s = 0.5,
        .shards = g_ptr_array_new_with_free_func(free_shard),
        .allotments = g_ptr_array_new_with_free_func(free_allotment),
        .routes = g_ptr_array_new_with_free_func(free_route),
    };
    return sharding;
}

void ow_sharding_settings_free(struct ow_sharding_settings *sharding)
{
    if (sharding == NULL)
        return;
    g_ptr_array_free(sharding->shards, TRUE);
    g_ptr_array_free(sharding->allotments, TRUE);
    g_ptr_array_free(sharding->routes, TRUE);
    g_free(sharding);
}

int ow_sharding_settings_find_shard(const struct ow_sharding_settings *sharding, const char *name)
{
    for (guint i = 0; i < sharding->shards->len; i++) {
        const struct ow_shard_settings *shard = g_ptr_array_index(sharding->shards, i);
        if (strcmp(shard->name, name) == 0)
            return (int)i;
    }
    return -1;
}

double ow_sharding_settings_get_share(const struct ow_sharding_settings *sharding, const char *team,
                                      const struct ow_shard_settings *shard)
{
    for (guint i = 0; i < sharding->allotments->len; i++) {
        const struct ow_allotment *allotment = g_ptr_array_index(sharding->allotments, i);
        if (strcmp(allotment->team, team) == 0 && strcmp(allotment->shard, shard->name) == 0)
            return allotment->share;
    }
    return shard->share;
}
