/**
 * @file
 * Checks the consistency of the sharding settings.
 *
 * Invariant that it establishes: every machine of the platform's zones belongs to exactly one shard, and the
 * shards' shares of a team's quota never add up to more than the total.
 */
#ifndef OW_SHARDING_SHARDING_SETTINGS_CHECK_H
#define OW_SHARDING_SHARDING_SETTINGS_CHECK_H

#include "sharding/sharding_settings.h"

#include <glib.h>
#include <stdbool.h>

/** The error domain of ow_sharding_settings_check(). */
#define OW_SHARDING_SETTINGS_ERROR (ow_sharding_settings_error_quark())
/** The quark of the error domain, for GError. */
GQuark ow_sharding_settings_error_quark(void);

/** The part of the settings that is inconsistent. */
enum ow_sharding_settings_error {
    OW_SHARDING_SETTINGS_ERROR_SHARD_COUNT, /**< no shard, or more shards than a transaction can compare */
    OW_SHARDING_SETTINGS_ERROR_TIMING,      /**< leases and heartbeat intervals that are incompatible */
    OW_SHARDING_SETTINGS_ERROR_SHARD,       /**< a shard's name, zone or types */
    OW_SHARDING_SETTINGS_ERROR_COVERAGE,    /**< machines that would belong to no shard */
    OW_SHARDING_SETTINGS_ERROR_QUOTA_SHARE, /**< an allotment, or shares that add up to more than 1 */
    OW_SHARDING_SETTINGS_ERROR_ROUTE,       /**< a route that names something unknown */
};

/**
 * Checks the settings against those of the platform and the tuning parameters. Settings that are not
 * enabled are always consistent. `error` may be NULL; it is set to a text with the line and name of what is
 * wrong, and its domain is OW_SHARDING_SETTINGS_ERROR.
 *
 * @return whether they are consistent.
 */
bool ow_sharding_settings_check(const struct ow_sharding_settings *sharding,
                                const struct ow_settings *platform, const struct ow_tuning *tuning,
                                GError **error);

#endif
