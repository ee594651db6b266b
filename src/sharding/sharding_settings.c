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

/* Defaults of the fields of struct ow_sharding_settings. */
static const double DEFAULT_HEARTBEAT_S = 0.5;
static const double DEFAULT_SUSPICION_PHI = 8;
static const double DEFAULT_PROBE_TIMEOUT_S = 1;
static const double DEFAULT_CANDIDACY_STEP_S = 0.5;
enum { DEFAULT_RELAYS = 3 };

struct ow_sharding_settings *ow_sharding_settings_new(void)
{
    struct ow_sharding_settings *sharding = g_new0(struct ow_sharding_settings, 1);
    *sharding = (struct ow_sharding_settings){
        .heartbeat_s = DEFAULT_HEARTBEAT_S,
        .suspicion_phi = DEFAULT_SUSPICION_PHI,
        .probe_timeout_s = DEFAULT_PROBE_TIMEOUT_S,
        .relays = DEFAULT_RELAYS,
        .candidacy_step_s = DEFAULT_CANDIDACY_STEP_S,
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
