/**
 * @file
 * JSON of a divided fleet: the stored shard map, and what operators are told of controllers and shards.
 */
#ifndef OW_WIRE_SHARDING_JSON_H
#define OW_WIRE_SHARDING_JSON_H

#include "model/operator_view.h"

#include <glib.h>
#include <jansson.h>

/** The record of a shard map, from name -> value, both texts (g_free). */
char *wire_shard_map_encode(GHashTable *values);
/** Reads a record: name -> value, both owned by the table, to be unreferenced by the caller; NULL: it is of
 * another format or can't be read. */
GHashTable *wire_shard_map_from_json(const json_t *value);
/** The answer to the operators' question about controllers (g_free). */
char *wire_controllers_encode(const struct ow_controllers_view *view);
/** The answer to the operators' question about shards, a list of struct ow_shard_view (g_free). */
char *wire_shards_encode(const GArray *views);

#endif
