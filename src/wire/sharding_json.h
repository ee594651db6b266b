/* The stored shard map, and what operators are told of controllers and shards. */
#ifndef OW_WIRE_SHARDING_JSON_H
#define OW_WIRE_SHARDING_JSON_H

#include <glib.h>
#include <jansson.h>

struct ow_shard_manager;

/* The record of a shard map, from name -> value (g_free). */
char *wire_shard_map(GHashTable *values);
/* The reverse, to be destroyed by the caller; NULL: it can't be read. */
GHashTable *wire_shard_map_parse(const json_t *value);
/* The controllers as this one sees them (g_free). */
char *wire_controllers(const struct ow_shard_manager *manager);
/* The shards as this controller sees them (g_free). */
char *wire_shards(const struct ow_shard_manager *manager);

#endif
