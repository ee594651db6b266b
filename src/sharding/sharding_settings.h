/**
 * @file
 * How the fleet is divided into shards, how jobs are routed, and when a controller is suspected: the
 * `control` element of the operators' file as plain data. Read by src/config, checked by
 * sharding_settings_check, and not changed after that.
 */
#ifndef OW_SHARDING_SHARDING_SETTINGS_H
#define OW_SHARDING_SHARDING_SETTINGS_H

#include "model/settings.h"

#include <glib.h>
#include <stdbool.h>

/** Maximum number of shards; limited by the tags of requests and messages. */
enum { OW_SHARDS_MAX = 32 };

/** A part of the fleet that one controller at a time leads. All texts are owned. */
struct ow_shard_settings {
    char *name;
    char **zones;       /**< at least one */
    char **types;       /**< machine types in its zones; NULL: all that no other shard of the zone names */
    double share;       /**< of every team's quota, from 0 to 1, unless an allotment overrides it */
    unsigned long line; /**< of the file, for error texts */
};

/** A shard's share of one team's quota; applies to the guaranteed quota and to the limit. All texts are
 * owned. */
struct ow_allotment {
    char *team;
    char *shard;
    double share;       /**< from 0 to 1 */
    unsigned long line; /**< of the file, for error texts */
};

/** Restricts the shards of matching jobs: the first route that matches applies, and jobs without one may go
 * to any shard. All texts are owned. */
struct ow_route {
    char *class_name;   /**< NULL: any */
    char *team;         /**< NULL: any */
    char *zone;         /**< NULL: any */
    char **shards;      /**< names, at least one */
    unsigned long line; /**< of the file, for error texts */
};

/** All settings of a divided fleet. */
typedef struct ow_sharding_settings {
    bool is_enabled;         /**< the element is present: the fleet is divided */
    unsigned long line;      /**< of the element, for error texts */
    double heartbeat_s;      /**< interval between a controller's heartbeats */
    double suspicion_phi;    /**< threshold of phi at which a controller is probed, and then suspected */
    double probe_timeout_s;  /**< how long an indirect probe waits for replies */
    unsigned relays;         /**< how many controllers an indirect probe asks */
    double candidacy_step_s; /**< delay of each next candidate before it takes the key of a shard without a
                                leader */
    GPtrArray *shards;       /**< struct ow_shard_settings, owned */
    GPtrArray *allotments;   /**< struct ow_allotment, owned */
    GPtrArray *routes;       /**< struct ow_route, owned */
} ow_sharding_settings;

/** Creates settings that are not enabled, with the default values; free with ow_sharding_settings_free(). */
struct ow_sharding_settings *ow_sharding_settings_new(void);
/** Frees the settings and what they own. NULL is allowed. */
void ow_sharding_settings_free(struct ow_sharding_settings *sharding);
G_DEFINE_AUTOPTR_CLEANUP_FUNC(ow_sharding_settings, ow_sharding_settings_free)

/** The index of the shard of this name, or -1. */
int ow_sharding_settings_find_shard(const struct ow_sharding_settings *sharding, const char *name);
/** The shard's share of the team's quota, from 0 to 1. */
double ow_sharding_settings_get_share(const struct ow_sharding_settings *sharding, const char *team,
                                      const struct ow_shard_settings *shard);

#endif
