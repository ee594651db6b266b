/**
 * @file
 * Reports the controllers and shards of a divided fleet to operators, as JSON. The manager must be that of a
 * divided fleet (ow_shard_manager_is_sharded()).
 */
#ifndef OW_SHARDING_OPERATOR_REPORT_H
#define OW_SHARDING_OPERATOR_REPORT_H

#include "sharding/shard_manager.h"

/** The other controllers as this one sees them, as JSON (g_free). */
char *ow_operator_report_controllers(const struct ow_shard_manager *manager);
/** The shards as this controller sees them, with the steps of their failovers, as JSON (g_free). */
char *ow_operator_report_shards(const struct ow_shard_manager *manager);

#endif
