/**
 * @file
 * What this controller knows of one other controller: its liveness, its incarnation, and the shards that it
 * announces as led by it. Owned by the membership; read-only for other modules.
 */
#ifndef OW_SHARDING_MEMBER_H
#define OW_SHARDING_MEMBER_H

#include "model/peer.h"
#include "sharding/phi_detector.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** The liveness of a controller as seen by this one: as in SWIM, with indirect probes before a suspicion. */
enum ow_member_state {
    OW_MEMBER_UNKNOWN,        /**< no heartbeat has arrived since this controller started */
    OW_MEMBER_ALIVE,          /**< its heartbeats arrive */
    OW_MEMBER_PROBING,        /**< its heartbeats are overdue: an indirect probe is in flight */
    OW_MEMBER_ALIVE_BY_RELAY, /**< unreachable from here, but another controller reaches it */
    OW_MEMBER_SUSPECTED,      /**< no relay has reached it */
};

/** How many earlier incarnations of a controller are remembered, to drop their delayed messages. */
enum { OW_MEMBER_OLD_INCARNATIONS = 8 };

/** Another controller. Times are seconds of the monotonic clock. */
struct ow_member {
    const char *name; /**< borrowed from the settings */
    enum ow_member_state state;
    double state_since; /**< when it entered this state */
    char *cause;        /**< why it is in this state, for operators; never NULL */
    struct ow_phi_detector detector;
    uint64_t incarnation;                                  /**< of its process; 0: no heartbeat yet */
    uint64_t old_incarnations[OW_MEMBER_OLD_INCARNATIONS]; /**< ring buffer of earlier incarnations */
    unsigned next_old_incarnation;                         /**< index of the next entry to be overwritten */
    uint64_t sequence;                                     /**< of its last heartbeat */
    uint64_t settings_digest; /**< of the settings by which it shares the fleet (shard_map.h) */
    GArray *led_shards;       /**< struct ow_peer_shard: the shards that it announces as led by it */
    uint64_t probe_number;    /**< of the last indirect probe; replies to earlier ones are ignored */
    double probed_at;         /**< when the last indirect probe started */
    unsigned relays;          /**< how many controllers the last probe asked */
    unsigned suspicions;      /**< how often it was suspected since this controller started */
};

/** Creates a member without any heartbeat. `name` must outlive it; free with ow_member_free(). */
struct ow_member *ow_member_new(const char *name, double expected_interval_s);
/** Frees a struct ow_member; a GDestroyNotify for arrays. NULL is not allowed. */
void ow_member_free(void *item);
/** Sets the state, and logs a change. Takes ownership of `cause`. */
void ow_member_set_state(struct ow_member *member, enum ow_member_state state, double now, char *cause);
/** Whether the controller counts as live: alive, being probed, or reachable through a relay. */
bool ow_member_is_live(const struct ow_member *member);
/** The name of the state for operators and the log; a constant string. */
const char *ow_member_state_name(enum ow_member_state state);
/** The controller of this name among struct ow_member, or NULL; `name` may be NULL. */
struct ow_member *ow_members_find(const GPtrArray *members, const char *name);

#endif
