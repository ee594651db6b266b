/* The name space of one shard in the key-value store: its keys stand behind a prefix of their own. */
#ifndef OW_SHARDING_SHARD_KEYS_H
#define OW_SHARDING_SHARD_KEYS_H

#include "model/store.h"

#include <glib.h>

/* The shard of this name has no prefix: its records are those of a fleet without shards. It has no others
 * beside it. */
#define OW_DEFAULT_SHARD "default"

/* The prefix of the shard's keys (g_free); NULL for the default shard. */
char *ow_shard_prefix(const char *shard);
/* Puts the prefix before every key of the request; NULL changes nothing. */
void ow_shard_keys_qualify(struct ow_store_request *request, const char *prefix);
/* Takes it away from the keys of the reply. */
void ow_shard_keys_strip(struct ow_store_reply *reply, const char *prefix);
/* If the request accepts a job: it must then not be known to any other shard either. `prefixes` holds those
   of all shards. To be called before the keys are qualified. */
void ow_shard_keys_guard_new_job(struct ow_store_request *request, const GPtrArray *prefixes,
                                 const char *own_prefix);

#endif
