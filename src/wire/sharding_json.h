/**
 * @file
 * JSON for a fleet that is divided into shards: the stored shard map, and the answers to operators about
 * controllers and shards.
 */
#ifndef OW_WIRE_SHARDING_JSON_H
#define OW_WIRE_SHARDING_JSON_H

#include "model/operator_view.h"

#include <glib.h>
#include <jansson.h>

/** Encodes a shard map. @param values name -> value, both strings @return owned by the caller (g_free) */
char *wire_shard_map_encode(GHashTable *values);
/** Decodes a shard map. @return name -> value, both owned by the table, which the caller unreferences; NULL
 * if the map is invalid or has another format */
GHashTable *wire_shard_map_from_json(const json_t *value);
/** Encodes the answer about controllers. @return owned by the caller (g_free) */
char *wire_controllers_encode(const struct ow_controllers_view *view);
/** Encodes the answer about shards. @param views struct ow_shard_view @return owned by the caller (g_free) */
char *wire_shards_encode(const GArray *views);

#endif
