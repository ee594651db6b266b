/**
 * @file
 * The key namespace of a shard in the key-value store: all of its keys begin with the shard's prefix.
 */
#ifndef OW_SHARDING_SHARD_KEYS_H
#define OW_SHARDING_SHARD_KEYS_H

#include "model/store.h"

#include <glib.h>

/** The name of the shard without a prefix: its records have the keys of a fleet without shards. It must be
 * the only shard. */
#define OW_DEFAULT_SHARD "default"

/** The prefix of the keys of the shard of this name (g_free); NULL for the default shard. */
char *ow_shard_keys_prefix_new(const char *shard);
/** Adds the prefix to every key of the request that has no shard prefix yet; a NULL prefix changes nothing.
 */
void ow_shard_keys_qualify(struct ow_store_request *request, const char *prefix);
/** Removes the prefix from the keys of the reply; a NULL prefix changes nothing. */
void ow_shard_keys_strip(struct ow_store_reply *reply, const char *prefix);
/** If the request creates a job, adds comparisons that make it fail if another shard has the job. `prefixes`
 * are those of all shards, `own_prefix` that of the requesting shard, NULL for the default shard. Must be
 * called before the keys are qualified. */
void ow_shard_keys_guard_new_job(struct ow_store_request *request, const GPtrArray *prefixes,
                                 const char *own_prefix);

#endif
