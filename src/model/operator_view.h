/**
 * @file
 * What operators see of the controllers and shards of a divided fleet, as plain data: filled in by the shard
 * manager's operator report, written as JSON by wire/sharding_json. All strings and lists are borrowed from
 * the shard manager unless a comment says otherwise, and valid until its next step.
 */
#ifndef OW_MODEL_OPERATOR_VIEW_H
#define OW_MODEL_OPERATOR_VIEW_H

#include <glib.h>
#include <stdint.h>

/** Another controller as this one sees it. */
struct ow_controller_view {
    const char *name;
    const char *state;        /**< a word: alive, suspected, ... */
    double state_age_s;       /**< how long it has been in that state */
    const char *cause;        /**< why it is in that state */
    double phi;               /**< of the failure detector */
    unsigned suspicions;      /**< since this controller started */
    const GArray *led_shards; /**< struct ow_peer_shard: the shards that it announces as led by it */
};

/** All other controllers, and whether this one may lead. */
typedef struct ow_controllers_view {
    GArray *controllers;    /**< struct ow_controller_view; owned */
    const char *difference; /**< what differs from the stored shard map; NULL: nothing, as far as is known */
    unsigned dropped_messages; /**< messages of controllers dropped as invalid or outdated */
} ow_controllers_view;

/** One step of the failover of a shard. */
struct ow_failover_step_view {
    const char *phase; /**< words: lease gone, taken over, ... */
    double age_s;      /**< how long ago the phase began */
    const char *cause;
};

/** A shard as this controller sees it. */
struct ow_shard_view {
    const char *name;
    const char *phase;      /**< of its last failover step */
    uint64_t fencing_token; /**< ours; 0: this controller does not lead it */
    unsigned machines;      /**< that have sent a heartbeat */
    unsigned fenced;        /**< of them, those that have seen the fencing token */
    unsigned withheld;      /**< effects that the lease guard has kept back */
    GArray *steps;          /**< struct ow_failover_step_view, in order; owned */
    const char *leader;     /**< who leads or led last; NULL: unknown */
    const char *successor;  /**< the first candidate if it had no leader */
};

/** An empty view; free with ow_controllers_view_free(). */
struct ow_controllers_view *ow_controllers_view_new(void);
/** Frees what the view owns, and itself. NULL is not allowed. */
void ow_controllers_view_free(struct ow_controllers_view *view);
G_DEFINE_AUTOPTR_CLEANUP_FUNC(ow_controllers_view, ow_controllers_view_free)

/** An empty list of struct ow_shard_view that owns their steps; free with g_array_unref(). */
GArray *ow_shard_views_new(void);

#endif
