/**
 * @file
 * The name space of one shard in the key-value store: its keys stand behind a prefix of their own.
 */
#ifndef OW_SHARDING_SHARD_KEYS_H
#define OW_SHARDING_SHARD_KEYS_H

#include "model/store.h"

#include <glib.h>

/** The shard of this name has no prefix: its records are those of a fleet without shards. It has no others
 * beside it. */
#define OW_DEFAULT_SHARD "default"

/** The prefix of the keys of the shard of this name (g_free); NULL for the default shard. */
char *ow_shard_keys_prefix_new(const char *shard);
/** Puts the prefix before every key of the request, but not before those that name a shard already; a NULL
 * prefix changes nothing. */
void ow_shard_keys_qualify(struct ow_store_request *request, const char *prefix);
/** Takes the prefix away from the keys of the reply; a NULL prefix changes nothing. */
void ow_shard_keys_strip(struct ow_store_reply *reply, const char *prefix);
/** If the request accepts a job, makes it fail where another shard knows the job. `prefixes` are those of all
 * shards, `own_prefix` is that of the shard whose request it is, NULL for the default shard. To be called
 * before the keys are qualified. */
void ow_shard_keys_guard_new_job(struct ow_store_request *request, const GPtrArray *prefixes,
                                 const char *own_prefix);

#endif
