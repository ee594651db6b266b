/* The platform's settings as one shard sees them: its zones, and its parts of the teams' guarantees and
 * limits and of the request budgets. The parts of all shards never add up to more than the whole. */
#ifndef OW_SHARDING_SHARD_SETTINGS_H
#define OW_SHARDING_SHARD_SETTINGS_H

#include "sharding/sharding_settings.h"

/* `platform` must outlive the result; freed by ow_shard_settings_free(). */
struct ow_settings *ow_shard_settings_new(const struct ow_sharding_settings *sharding, guint shard,
                                          const struct ow_settings *platform);
/* NULL is allowed. */
void ow_shard_settings_free(struct ow_settings *settings);

#endif
