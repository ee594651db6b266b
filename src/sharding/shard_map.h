/**
 * @file
 * Maps machines and new jobs to shards: pure functions of the settings, with the same result on every
 * controller with the same settings. Also describes the map, to detect controllers with different settings.
 */
#ifndef OW_SHARDING_SHARD_MAP_H
#define OW_SHARDING_SHARD_MAP_H

#include "model/submission.h"
#include "sharding/sharding_settings.h"

#include <glib.h>
#include <stdint.h>

/** The index of the shard that every machine of this zone and type belongs to; -1: none, which the check
 * of the settings rules out for the zones of the platform. `zone` may be NULL. */
int ow_shard_map_find_shard(const struct ow_sharding_settings *sharding, const char *zone, const char *type);
/** The names of the shards to which the routes restrict the job, NULL-terminated and owned by the settings;
 * NULL: it may go to any shard. */
char **ow_shard_map_find_route(const struct ow_sharding_settings *sharding,
                               const struct ow_submission *submission);

/** Every value that controllers must agree on before they share the fleet: name -> value, both texts owned by
 * the table, which the caller unreferences. */
GHashTable *ow_shard_map_collect_values(const struct ow_sharding_settings *sharding,
                                        const struct ow_settings *platform, const struct ow_tuning *tuning);
/** A description of the first value, by name, that differs between two such tables (g_free); NULL: none. */
char *ow_shard_map_find_difference(GHashTable *ours, GHashTable *stored);
/** A 63-bit number taken from a SHA-256 digest of the table; equal tables have equal digests. */
uint64_t ow_shard_map_compute_digest(GHashTable *values);

#endif
