#include "sharding/sharding_settings.h"

#include "sharding/shard_keys.h"

#include <string.h>

/* Sums of shares may exceed 1 by rounding only. */
static const double SHARE_SLACK = 1e-9;
/* A leader must learn that its lease is over long before its workers' leases run out. */
static const double LEASE_SHARE_MAX = 0.5;
/* A transaction may have this many times as many conditions as changes. */
enum { COMPARISONS_PER_MUTATION = 4 };

static void shard_free(void *item)
{
    struct ow_shard_settings *shard = item;
    g_free(shard->name);
    g_strfreev(shard->zones);
    g_strfreev(shard->types);
    g_free(shard);
}

static void allotment_free(void *item)
{
    struct ow_allotment *allotment = item;
    g_free(allotment->team);
    g_free(allotment->shard);
    g_free(allotment);
}

static void route_free(void *item)
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
    sharding->heartbeat_s = 0.5;
    sharding->suspicion_phi = 8;
    sharding->probe_timeout_s = 1;
    sharding->relays = 3;
    sharding->candidacy_step_s = 0.5;
    sharding->shards = g_ptr_array_new_with_free_func(shard_free);
    sharding->allotments = g_ptr_array_new_with_free_func(allotment_free);
    sharding->routes = g_ptr_array_new_with_free_func(route_free);
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

int ow_sharding_settings_shard(const struct ow_sharding_settings *sharding, const char *name)
{
    for (guint i = 0; i < sharding->shards->len; i++) {
        const struct ow_shard_settings *shard = g_ptr_array_index(sharding->shards, i);
        if (strcmp(shard->name, name) == 0)
            return (int)i;
    }
    return -1;
}

double ow_sharding_settings_share(const struct ow_sharding_settings *sharding, const char *team,
                                  const struct ow_shard_settings *shard)
{
    for (guint i = 0; i < sharding->allotments->len; i++) {
        const struct ow_allotment *allotment = g_ptr_array_index(sharding->allotments, i);
        if (strcmp(allotment->team, team) == 0 && strcmp(allotment->shard, shard->name) == 0)
            return allotment->share;
    }
    return shard->share;
}

/* ---- checks: each answers with a fault (g_free), or NULL ---- */

static bool contains(char **list, const char *name)
{
    return list != NULL && g_strv_contains((const char *const *)list, name);
}

static bool is_team(const struct ow_settings *platform, const char *name)
{
    for (guint i = 0; i < platform->teams->len; i++)
        if (strcmp(g_array_index(platform->teams, struct ow_team_settings, i).name, name) == 0)
            return true;
    return false;
}

/* A machine type that both shards name in a zone of both, or "any other" if neither names types. */
static const char *common_type(const struct ow_shard_settings *one, const struct ow_shard_settings *other)
{
    if (one->types == NULL || other->types == NULL)
        return one->types == other->types ? "any other" : NULL;
    for (char **type = one->types; *type != NULL; type++)
        if (contains(other->types, *type))
            return *type;
    return NULL;
}

static char *check_overlap(const struct ow_shard_settings *one, const struct ow_shard_settings *other)
{
    const char *type = common_type(one, other);
    for (char **zone = one->zones; type != NULL && *zone != NULL; zone++)
        if (contains(other->zones, *zone))
            return g_strdup_printf("line %lu: shard %s: has %s type in zone %s, and so has shard %s",
                                   other->line, other->name, type, *zone, one->name);
    return NULL;
}

static char *check_shard(const struct ow_sharding_settings *sharding, guint index,
                         const struct ow_settings *platform)
{
    const struct ow_shard_settings *shard = g_ptr_array_index(sharding->shards, index);
    if (sharding->shards->len > 1 && strcmp(shard->name, OW_DEFAULT_SHARD) == 0)
        return g_strdup_printf("line %lu: shard %s: this name is for the only shard of a fleet", shard->line,
                               shard->name);
    for (char **zone = shard->zones; *zone != NULL; zone++)
        if (!contains(platform->zones, *zone))
            return g_strdup_printf("line %lu: shard %s: zone %s is unknown", shard->line, shard->name, *zone);
    for (guint i = 0; i < index; i++) {
        const struct ow_shard_settings *earlier = g_ptr_array_index(sharding->shards, i);
        if (strcmp(earlier->name, shard->name) == 0)
            return g_strdup_printf("line %lu: shard %s: is there twice", shard->line, shard->name);
        char *fault = check_overlap(earlier, shard);
        if (fault != NULL)
            return fault;
    }
    return NULL;
}

/* Every machine must belong to a shard, whatever its type. */
static char *check_zone(const struct ow_sharding_settings *sharding, const char *zone)
{
    for (guint i = 0; i < sharding->shards->len; i++) {
        const struct ow_shard_settings *shard = g_ptr_array_index(sharding->shards, i);
        if (shard->types == NULL && contains(shard->zones, zone))
            return NULL;
    }
    return g_strdup_printf("line %lu: control: no shard takes the types of zone %s that no shard names",
                           sharding->line, zone);
}

static char *check_team_shares(const struct ow_sharding_settings *sharding, const char *team)
{
    double sum = 0;
    for (guint i = 0; i < sharding->shards->len; i++)
        sum += ow_sharding_settings_share(sharding, team, g_ptr_array_index(sharding->shards, i));
    if (sum <= 1 + SHARE_SLACK)
        return NULL;
    return g_strdup_printf("line %lu: control: the shards' shares of team %s add up to %g", sharding->line,
                           team, sum);
}

static char *check_allotment(const struct ow_sharding_settings *sharding,
                             const struct ow_allotment *allotment, const struct ow_settings *platform)
{
    if (!is_team(platform, allotment->team))
        return g_strdup_printf("line %lu: allotment: team %s is unknown", allotment->line, allotment->team);
    if (ow_sharding_settings_shard(sharding, allotment->shard) < 0)
        return g_strdup_printf("line %lu: allotment: shard %s is unknown", allotment->line, allotment->shard);
    return NULL;
}

static char *check_route(const struct ow_sharding_settings *sharding, const struct ow_route *route,
                         const struct ow_settings *platform)
{
    for (char **shard = route->shards; *shard != NULL; shard++)
        if (ow_sharding_settings_shard(sharding, *shard) < 0)
            return g_strdup_printf("line %lu: route: shard %s is unknown", route->line, *shard);
    if (route->team != NULL && !is_team(platform, route->team))
        return g_strdup_printf("line %lu: route: team %s is unknown", route->line, route->team);
    if (route->zone != NULL && !contains(platform->zones, route->zone))
        return g_strdup_printf("line %lu: route: zone %s is unknown", route->line, route->zone);
    return NULL;
}

static char *check_whole(const struct ow_sharding_settings *sharding, const struct ow_settings *platform,
                         const struct ow_tuning *tuning)
{
    unsigned comparisons = COMPARISONS_PER_MUTATION * MIN(platform->txn_ops, platform->next_txn_ops);
    guint most = MIN(OW_SHARDS_MAX, comparisons);
    if (sharding->shards->len == 0)
        return g_strdup_printf("line %lu: control: has no shard", sharding->line);
    if (sharding->shards->len > most)
        return g_strdup_printf("line %lu: control: has %u shards, and at most %u are possible",
                               sharding->line, sharding->shards->len, most);
    if (tuning->leader_lease_s > LEASE_SHARE_MAX * platform->lease_s)
        return g_strdup_printf("line %lu: control: the election's lease_s of %g is more than half of the "
                               "workers' lease of %g s",
                               sharding->line, tuning->leader_lease_s, platform->lease_s);
    if (sharding->heartbeat_s >= tuning->leader_lease_s)
        return g_strdup_printf(
            "line %lu: control: heartbeat_s of %g is not below the election's lease_s of %g", sharding->line,
            sharding->heartbeat_s, tuning->leader_lease_s);
    return NULL;
}

char *ow_sharding_settings_check(const struct ow_sharding_settings *sharding,
                                 const struct ow_settings *platform, const struct ow_tuning *tuning)
{
    if (!sharding->enabled)
        return NULL;
    char *fault = check_whole(sharding, platform, tuning);
    for (guint i = 0; fault == NULL && i < sharding->shards->len; i++)
        fault = check_shard(sharding, i, platform);
    for (char **zone = platform->zones; fault == NULL && *zone != NULL; zone++)
        fault = check_zone(sharding, *zone);
    for (guint i = 0; fault == NULL && i < sharding->allotments->len; i++)
        fault = check_allotment(sharding, g_ptr_array_index(sharding->allotments, i), platform);
    for (guint i = 0; fault == NULL && i < platform->teams->len; i++)
        fault = check_team_shares(sharding, g_array_index(platform->teams, struct ow_team_settings, i).name);
    for (guint i = 0; fault == NULL && i < sharding->routes->len; i++)
        fault = check_route(sharding, g_ptr_array_index(sharding->routes, i), platform);
    return fault;
}
