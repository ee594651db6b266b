#include "sharding/shard_map.h"

#include "model/submission.h"

#include <string.h>

/* Size of a SHA-256 digest. */
enum { SHA256_BYTES = 32 };

/* ---- machines and jobs ---- */

static bool contains(char **list, const char *name)
{
    return name != NULL && g_strv_contains((const char *const *)list, name);
}

int ow_shard_map_find_shard(const struct ow_sharding_settings *sharding, const char *zone, const char *type)
{
    int shard_of_other_types = -1; /* the shard of the zone that lists no types */
    for (guint i = 0; i < sharding->shards->len; i++) {
        const struct ow_shard_settings *shard = g_ptr_array_index(sharding->shards, i);
        if (!contains(shard->zones, zone))
            continue;
        if (shard->types == NULL)
            shard_of_other_types = (int)i;
        else if (contains(shard->types, type))
            return (int)i;
    }
    return shard_of_other_types;
}

static bool route_matches(const struct ow_route *route, const struct ow_submission *submission)
{
    if (route->class_name != NULL && strcmp(route->class_name, submission->class_name) != 0)
        return false;
    if (route->team != NULL && strcmp(route->team, submission->team) != 0)
        return false;
    return route->zone == NULL || g_strcmp0(route->zone, submission->zone) == 0;
}

char **ow_shard_map_find_route(const struct ow_sharding_settings *sharding,
                               const struct ow_submission *submission)
{
    for (guint i = 0; i < sharding->routes->len; i++) {
        const struct ow_route *route = g_ptr_array_index(sharding->routes, i);
        if (route_matches(route, submission))
            return route->shards;
    }
    return NULL;
}

/* ---- the values that must agree ---- */

/* Takes ownership of both strings. */
static void add_value(GHashTable *values, char *name, char *value)
{
    g_hash_table_replace(values, name, value);
}

/* The names of zones or types, separated by spaces (g_free). */
static char *join_names(char **list)
{
    return list != NULL ? g_strjoinv(" ", list) : g_strdup("(all others)");
}

static void add_shard(GHashTable *values, const struct ow_sharding_settings *sharding,
                      const struct ow_shard_settings *shard, const struct ow_settings *platform)
{
    add_value(values, g_strdup_printf("shard %s: zones", shard->name), join_names(shard->zones));
    add_value(values, g_strdup_printf("shard %s: types", shard->name), join_names(shard->types));
    for (guint i = 0; i < platform->teams->len; i++) {
        const struct ow_team_settings *team = &g_array_index(platform->teams, struct ow_team_settings, i);
        double share = ow_sharding_settings_get_share(sharding, team->name, shard);
        add_value(values, g_strdup_printf("shard %s: share of team %s", shard->name, team->name),
                  g_strdup_printf("%.9g", share));
    }
}

static void add_team(GHashTable *values, const struct ow_team_settings *team)
{
    add_value(values, g_strdup_printf("team %s", team->name),
              g_strdup_printf("CPUs %g of %g, GPUs %g of %g", team->cpus, team->cpus_max, team->gpus,
                              team->gpus_max));
}

GHashTable *ow_shard_map_collect_values(const struct ow_sharding_settings *sharding,
                                        const struct ow_settings *platform, const struct ow_tuning *tuning)
{
    GHashTable *values = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    GString *names = g_string_new(NULL);
    for (guint i = 0; i < sharding->shards->len; i++) {
        const struct ow_shard_settings *shard = g_ptr_array_index(sharding->shards, i);
        g_string_append_printf(names, "%s%s", i > 0 ? " " : "", shard->name);
        add_shard(values, sharding, shard, platform);
    }
    add_value(values, g_strdup("shards"), g_string_free(names, FALSE));
    for (guint i = 0; i < platform->teams->len; i++)
        add_team(values, &g_array_index(platform->teams, struct ow_team_settings, i));
    add_value(values, g_strdup("election lease_s"), g_strdup_printf("%g", tuning->leader_lease_s));
    add_value(values, g_strdup("workers lease_s"), g_strdup_printf("%g", platform->lease_s));
    return values;
}

static GList *sorted_names(GHashTable *values)
{
    return g_list_sort(g_hash_table_get_keys(values), (GCompareFunc)strcmp);
}

/* A description of the difference in one value (g_free); NULL: none. */
static char *value_difference(const char *name, GHashTable *ours, GHashTable *stored)
{
    const char *our_value = g_hash_table_lookup(ours, name);
    const char *stored_value = g_hash_table_lookup(stored, name);
    if (g_strcmp0(our_value, stored_value) == 0)
        return NULL;
    return g_strdup_printf("%s: \"%s\" here, \"%s\" in the stored map", name,
                           our_value != NULL ? our_value : "", stored_value != NULL ? stored_value : "");
}

/* A description of the first value that differs, in the order of the names in `named` (g_free); NULL: none.
 */
static char *first_difference(GHashTable *named, GHashTable *ours, GHashTable *stored)
{
    g_autoptr(GList) names = sorted_names(named);
    for (const GList *node = names; node != NULL; node = node->next) {
        char *difference = value_difference(node->data, ours, stored);
        if (difference != NULL)
            return difference;
    }
    return NULL;
}

char *ow_shard_map_find_difference(GHashTable *ours, GHashTable *stored)
{
    char *difference = first_difference(ours, ours, stored);
    return difference != NULL ? difference : first_difference(stored, ours, stored);
}

uint64_t ow_shard_map_compute_digest(GHashTable *values)
{
    g_autoptr(GChecksum) checksum = g_checksum_new(G_CHECKSUM_SHA256);
    g_autoptr(GList) names = sorted_names(values);
    for (const GList *node = names; node != NULL; node = node->next) {
        const char *value = g_hash_table_lookup(values, node->data);
        /* Includes the terminating NUL, so that different tables never hash the same bytes. */
        g_checksum_update(checksum, node->data, (gssize)strlen(node->data) + 1);
        g_checksum_update(checksum, (const guchar *)value, (gssize)strlen(value) + 1);
    }
    guint8 digest[SHA256_BYTES];
    gsize size = sizeof digest;
    g_checksum_get_digest(checksum, digest, &size);
    uint64_t number = 0;
    memcpy(&number, digest, sizeof number);
    return number >> 1; /* 63 bits: the sign bit of a JSON integer stays clear */
}
