#include "sharding/sharding_settings_check.h"

#include "sharding/shard_keys.h"

#include <string.h>

/* Tolerance for rounding errors in sums of shares. */
static const double SHARE_SUM_TOLERANCE = 1e-9;
/* Upper bound of the leader's lease as a fraction of the workers' lease: a leader must detect its own expiry
   well before theirs. */
static const double LEASE_SHARE_MAX = 0.5;
/* The store allows this many comparisons per mutation in a transaction. The transaction for a new job
   compares a key of every shard, so this limits the number of shards. */
enum { COMPARISONS_PER_MUTATION = 4 };

G_DEFINE_QUARK(ow_sharding_settings_error, ow_sharding_settings_error)

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

/* ---- the number of shards, and timing ---- */

static bool check_shard_count(const struct ow_sharding_settings *sharding, const struct ow_settings *platform,
                              GError **error)
{
    unsigned comparisons = COMPARISONS_PER_MUTATION * MIN(platform->txn_ops, platform->next_txn_ops);
    guint shards_max = MIN(OW_SHARDS_MAX, comparisons);
    if (sharding->shards->len == 0) {
        g_set_error(error, OW_SHARDING_SETTINGS_ERROR, OW_SHARDING_SETTINGS_ERROR_SHARD_COUNT,
                    "line %lu: control: has no shard", sharding->line);
        return false;
    }
    if (sharding->shards->len > shards_max) {
        g_set_error(error, OW_SHARDING_SETTINGS_ERROR, OW_SHARDING_SETTINGS_ERROR_SHARD_COUNT,
                    "line %lu: control: has %u shards, the maximum is %u", sharding->line,
                    sharding->shards->len, shards_max);
        return false;
    }
    return true;
}

static bool check_timing(const struct ow_sharding_settings *sharding, const struct ow_settings *platform,
                         const struct ow_tuning *tuning, GError **error)
{
    if (tuning->leader_lease_s > LEASE_SHARE_MAX * platform->lease_s) {
        g_set_error(error, OW_SHARDING_SETTINGS_ERROR, OW_SHARDING_SETTINGS_ERROR_TIMING,
                    "line %lu: control: the election's lease_s of %g is more than half of the "
                    "workers' lease of %g s",
                    sharding->line, tuning->leader_lease_s, platform->lease_s);
        return false;
    }
    if (sharding->heartbeat_s >= tuning->leader_lease_s) {
        g_set_error(error, OW_SHARDING_SETTINGS_ERROR, OW_SHARDING_SETTINGS_ERROR_TIMING,
                    "line %lu: control: heartbeat_s of %g is not below the election's lease_s of %g",
                    sharding->line, sharding->heartbeat_s, tuning->leader_lease_s);
        return false;
    }
    return true;
}

/* ---- each shard ---- */

/* A machine type that both shards list, or "any other" if neither lists types; NULL: none in common. */
static const char *common_type(const struct ow_shard_settings *one, const struct ow_shard_settings *other)
{
    if (one->types == NULL || other->types == NULL)
        return one->types == other->types ? "any other" : NULL;
    for (char **type = one->types; *type != NULL; type++)
        if (contains(other->types, *type))
            return *type;
    return NULL;
}

static bool check_overlap(const struct ow_shard_settings *earlier, const struct ow_shard_settings *shard,
                          GError **error)
{
    const char *type = common_type(earlier, shard);
    for (char **zone = earlier->zones; type != NULL && *zone != NULL; zone++) {
        if (!contains(shard->zones, *zone))
            continue;
        g_set_error(error, OW_SHARDING_SETTINGS_ERROR, OW_SHARDING_SETTINGS_ERROR_SHARD,
                    "line %lu: shard %s: %s type in zone %s already belongs to shard %s", shard->line,
                    shard->name, type, *zone, earlier->name);
        return false;
    }
    return true;
}

static bool check_name(const struct ow_sharding_settings *sharding, const struct ow_shard_settings *shard,
                       GError **error)
{
    if (sharding->shards->len == 1 || strcmp(shard->name, OW_DEFAULT_SHARD) != 0)
        return true;
    g_set_error(error, OW_SHARDING_SETTINGS_ERROR, OW_SHARDING_SETTINGS_ERROR_SHARD,
                "line %lu: shard %s: this name is reserved for a fleet with a single shard", shard->line,
                shard->name);
    return false;
}

static bool check_zones(const struct ow_shard_settings *shard, const struct ow_settings *platform,
                        GError **error)
{
    for (char **zone = shard->zones; *zone != NULL; zone++) {
        if (contains(platform->zones, *zone))
            continue;
        g_set_error(error, OW_SHARDING_SETTINGS_ERROR, OW_SHARDING_SETTINGS_ERROR_SHARD,
                    "line %lu: shard %s: zone %s is unknown", shard->line, shard->name, *zone);
        return false;
    }
    return true;
}

static bool check_against_earlier(const struct ow_sharding_settings *sharding, guint index, GError **error)
{
    const struct ow_shard_settings *shard = g_ptr_array_index(sharding->shards, index);
    for (guint i = 0; i < index; i++) {
        const struct ow_shard_settings *earlier = g_ptr_array_index(sharding->shards, i);
        if (strcmp(earlier->name, shard->name) == 0) {
            g_set_error(error, OW_SHARDING_SETTINGS_ERROR, OW_SHARDING_SETTINGS_ERROR_SHARD,
                        "line %lu: shard %s: is defined twice", shard->line, shard->name);
            return false;
        }
        if (!check_overlap(earlier, shard, error))
            return false;
    }
    return true;
}

static bool check_shards(const struct ow_sharding_settings *sharding, const struct ow_settings *platform,
                         GError **error)
{
    for (guint i = 0; i < sharding->shards->len; i++) {
        const struct ow_shard_settings *shard = g_ptr_array_index(sharding->shards, i);
        if (!check_name(sharding, shard, error) || !check_zones(shard, platform, error) ||
            !check_against_earlier(sharding, i, error))
            return false;
    }
    return true;
}

/* ---- coverage: machines of every type must belong to a shard ---- */

static bool is_covered(const struct ow_sharding_settings *sharding, const char *zone)
{
    for (guint i = 0; i < sharding->shards->len; i++) {
        const struct ow_shard_settings *shard = g_ptr_array_index(sharding->shards, i);
        if (shard->types == NULL && contains(shard->zones, zone))
            return true;
    }
    return false;
}

static bool check_coverage(const struct ow_sharding_settings *sharding, const struct ow_settings *platform,
                           GError **error)
{
    for (char **zone = platform->zones; *zone != NULL; zone++) {
        if (is_covered(sharding, *zone))
            continue;
        g_set_error(error, OW_SHARDING_SETTINGS_ERROR, OW_SHARDING_SETTINGS_ERROR_COVERAGE,
                    "line %lu: control: zone %s has no shard for machine types that no shard lists",
                    sharding->line, *zone);
        return false;
    }
    return true;
}

/* ---- quotas ---- */

static bool check_allotments(const struct ow_sharding_settings *sharding, const struct ow_settings *platform,
                             GError **error)
{
    for (guint i = 0; i < sharding->allotments->len; i++) {
        const struct ow_allotment *allotment = g_ptr_array_index(sharding->allotments, i);
        if (!is_team(platform, allotment->team)) {
            g_set_error(error, OW_SHARDING_SETTINGS_ERROR, OW_SHARDING_SETTINGS_ERROR_QUOTA_SHARE,
                        "line %lu: allotment: team %s is unknown", allotment->line, allotment->team);
            return false;
        }
        if (ow_sharding_settings_find_shard(sharding, allotment->shard) < 0) {
            g_set_error(error, OW_SHARDING_SETTINGS_ERROR, OW_SHARDING_SETTINGS_ERROR_QUOTA_SHARE,
                        "line %lu: allotment: shard %s is unknown", allotment->line, allotment->shard);
            return false;
        }
    }
    return true;
}

static double share_sum(const struct ow_sharding_settings *sharding, const char *team)
{
    double sum = 0;
    for (guint i = 0; i < sharding->shards->len; i++)
        sum += ow_sharding_settings_get_share(sharding, team, g_ptr_array_index(sharding->shards, i));
    return sum;
}

static bool check_share_sums(const struct ow_sharding_settings *sharding, const struct ow_settings *platform,
                             GError **error)
{
    for (guint i = 0; i < platform->teams->len; i++) {
        const char *team = g_array_index(platform->teams, struct ow_team_settings, i).name;
        double sum = share_sum(sharding, team);
        if (sum <= 1 + SHARE_SUM_TOLERANCE)
            continue;
        g_set_error(error, OW_SHARDING_SETTINGS_ERROR, OW_SHARDING_SETTINGS_ERROR_QUOTA_SHARE,
                    "line %lu: control: the shards' shares of team %s add up to %g", sharding->line, team,
                    sum);
        return false;
    }
    return true;
}

/* ---- routes ---- */

/* Sets the error for an unknown name in a route. */
static bool refuse_route(const struct ow_route *route, const char *kind, const char *name, GError **error)
{
    g_set_error(error, OW_SHARDING_SETTINGS_ERROR, OW_SHARDING_SETTINGS_ERROR_ROUTE,
                "line %lu: route: %s %s is unknown", route->line, kind, name);
    return false;
}

static bool check_route(const struct ow_sharding_settings *sharding, const struct ow_route *route,
                        const struct ow_settings *platform, GError **error)
{
    for (char **shard = route->shards; *shard != NULL; shard++)
        if (ow_sharding_settings_find_shard(sharding, *shard) < 0)
            return refuse_route(route, "shard", *shard, error);
    if (route->team != NULL && !is_team(platform, route->team))
        return refuse_route(route, "team", route->team, error);
    if (route->zone != NULL && !contains(platform->zones, route->zone))
        return refuse_route(route, "zone", route->zone, error);
    return true;
}

static bool check_routes(const struct ow_sharding_settings *sharding, const struct ow_settings *platform,
                         GError **error)
{
    for (guint i = 0; i < sharding->routes->len; i++)
        if (!check_route(sharding, g_ptr_array_index(sharding->routes, i), platform, error))
            return false;
    return true;
}

bool ow_sharding_settings_check(const struct ow_sharding_settings *sharding,
                                const struct ow_settings *platform, const struct ow_tuning *tuning,
                                GError **error)
{
    if (!sharding->is_enabled)
        return true;
    return check_shard_count(sharding, platform, error) && check_timing(sharding, platform, tuning, error) &&
           check_shards(sharding, platform, error) && check_coverage(sharding, platform, error) &&
           check_allotments(sharding, platform, error) && check_share_sums(sharding, platform, error) &&
           check_routes(sharding, platform, error);
}
