/* Which shard a machine or a new job belongs to: rules that are the same for every controller with the same
 * settings, and a description of them by which controllers with other settings are told apart. */
#ifndef OW_SHARDING_SHARD_MAP_H
#define OW_SHARDING_SHARD_MAP_H

#include "model/submission.h"
#include "sharding/sharding_settings.h"

#include <glib.h>
#include <stdint.h>

/* The shard that every machine of this zone and type belongs to; -1: none, which the settings' check rules
   out for the zones of the platform. */
int ow_shard_map_machine(const struct ow_sharding_settings *sharding, const char *zone, const char *type);
/* The names of shards that may take the job by the routes, ended by NULL; NULL: any. Owned by the settings.
 */
char **ow_shard_map_route(const struct ow_sharding_settings *sharding,
                          const struct ow_submission *submission);
/* Every value that controllers must agree on before they share shards: name -> value, both texts owned by the
   table. */
GHashTable *ow_shard_map_values(const struct ow_sharding_settings *sharding,
                                const struct ow_settings *platform, const struct ow_tuning *tuning);
/* The first value, by name, that differs between two such tables, in words (g_free); NULL: they agree. */
char *ow_shard_map_difference(GHashTable *ours, GHashTable *stored);
/* A number that tells different tables apart. */
uint64_t ow_shard_map_digest(GHashTable *values);

#endif
