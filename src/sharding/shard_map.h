/**
 * @file
 * Which shard a machine or a new job belongs to: pure functions of the settings, the same for every
 * controller with the same settings, and a description of the map, to detect controllers with other settings.
 */
#ifndef OW_SHARDING_SHARD_MAP_H
#define OW_SHARDING_SHARD_MAP_H

#include "model/submission.h"
#include "sharding/sharding_settings.h"

#include <glib.h>
#include <stdint.h>

/** The index of the shard that every machine of this zone and type belongs to; -1: none, which the settings'
 * check rules out for the zones of the platform. `zone` may be NULL. */
int ow_shard_map_find_shard(const struct ow_sharding_settings *sharding, const char *zone, const char *type);
/** The names of shards that may take the job by the routes, ended by NULL and owned by the settings; NULL:
 * any shard may. */
char **ow_shard_map_find_route(const struct ow_sharding_settings *sharding,
                               const struct ow_submission *submission);

/** Every value that controllers must agree on before they share the fleet: name -> value, both texts owned by
 * the table, which the caller unreferences. */
GHashTable *ow_shard_map_collect_values(const struct ow_sharding_settings *sharding,
                                        const struct ow_settings *platform, const struct ow_tuning *tuning);
/** The first value, by name, that differs between two such tables, in words (g_free); NULL: they agree. */
char *ow_shard_map_find_difference(GHashTable *ours, GHashTable *stored);
/** A 63-bit digest of the table. */
uint64_t ow_shard_map_compute_digest(GHashTable *values);

#endif
