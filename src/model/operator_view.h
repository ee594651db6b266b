/**
 * @file
 * The state of controllers and shards as reported to operators, as plain data. Created by the shard manager's
 * operator report and encoded as JSON by wire/sharding_json. Strings and lists are borrowed from the shard
 * manager unless noted otherwise, and valid until its next step.
 */
#ifndef OW_MODEL_OPERATOR_VIEW_H
#define OW_MODEL_OPERATOR_VIEW_H

#include <glib.h>
#include <stdint.h>

/** Another controller as this one sees it. */
struct ow_controller_view {
    const char *name;
    const char *state;        /**< its name: alive, suspected, ... */
    double state_age_s;       /**< time since it entered the state */
    const char *cause;        /**< why it entered the state */
    double phi;               /**< suspicion level of the failure detector */
    unsigned suspicions;      /**< number of suspicions since this controller started */
    const GArray *led_shards; /**< struct ow_peer_shard: the shards that it announces to lead */
};

/** All other controllers, and whether this one agrees with the stored shard map, as it must to lead. */
typedef struct ow_controllers_view {
    GArray *controllers;       /**< struct ow_controller_view; owned */
    const char *difference;    /**< known difference from the stored shard map; NULL if there is none */
    unsigned dropped_messages; /**< number of messages of controllers dropped as invalid or outdated */
} ow_controllers_view;

/** One step of the failover of a shard. */
struct ow_failover_step_view {
    const char *phase; /**< its name: lease gone, taken over, ... */
    double age_s;      /**< time since the phase began */
    const char *cause;
};

/** A shard as this controller sees it. */
struct ow_shard_view {
    const char *name;
    const char *phase;      /**< of its last failover step */
    uint64_t fencing_token; /**< of this controller; 0 if it does not lead the shard */
    unsigned machines;      /**< number of machines that have sent a heartbeat */
    unsigned fenced;        /**< number of these that have seen the fencing token */
    unsigned withheld;      /**< number of effects that the lease guard has withheld */
    GArray *steps;          /**< struct ow_failover_step_view, in order; owned */
    const char *leader;     /**< the current or last leader; NULL: unknown */
    const char *successor;  /**< the first candidate for leadership when there is no leader */
};

/** Creates an empty view; the caller frees it with ow_controllers_view_free(). */
struct ow_controllers_view *ow_controllers_view_new(void);
/** Frees the view and its members. NULL is not allowed. */
void ow_controllers_view_free(struct ow_controllers_view *view);
G_DEFINE_AUTOPTR_CLEANUP_FUNC(ow_controllers_view, ow_controllers_view_free)

/** Creates an empty list of struct ow_shard_view that owns their steps; the caller frees it with
 * g_array_unref(). */
GArray *ow_shard_views_new(void);

#endif
