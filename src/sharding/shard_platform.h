/**
 * @file
 * The platform's settings as one shard sees them: its zones, and its shares of the teams' quotas and of the
 * request budgets. The shares of all shards never add up to more than the total.
 */
#ifndef OW_SHARDING_SHARD_PLATFORM_H
#define OW_SHARDING_SHARD_PLATFORM_H

#include "sharding/sharding_settings.h"

/** Creates the settings for the shard with this index; all fields but the teams are borrowed from `sharding`
 * and `platform`, which must outlive the result. Free with ow_shard_platform_free(), not as a platform's
 * settings. */
struct ow_settings *ow_shard_platform_new(const struct ow_sharding_settings *sharding, guint index,
                                          const struct ow_settings *platform);
/** Frees what the shard's settings own. NULL is allowed. */
void ow_shard_platform_free(struct ow_settings *settings);

#endif
