/**
 * @file
 * The shard manager: runs one core for each shard, with the same interface as a core (events in, effects
 * out). Without sharding settings it has a single core and passes events and effects through unchanged.
 *
 * Owns the shards, the membership, the map agreement and the request router of its process. No clock and
 * no I/O: `now` is monotonic, and all times are in seconds.
 */
#ifndef OW_SHARDING_SHARD_MANAGER_H
#define OW_SHARDING_SHARD_MANAGER_H

#include "model/event.h"
#include "sharding/shard.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** The shards of one process. */
typedef struct ow_shard_manager ow_shard_manager;

/**
 * Creates a manager whose shards have not read any records yet.
 *
 * @param settings the platform's; must outlive the manager.
 * @param tuning must outlive the manager.
 * @param sharding must outlive the manager; NULL or not enabled: the fleet is not divided.
 * @param nonce a number that no other process has.
 */
struct ow_shard_manager *ow_shard_manager_new(const struct ow_settings *settings,
                                              const struct ow_tuning *tuning,
                                              const struct ow_sharding_settings *sharding, uint64_t nonce);
/** Frees the manager, its shards and queued events. NULL is not allowed. */
void ow_shard_manager_free(struct ow_shard_manager *manager);
G_DEFINE_AUTOPTR_CLEANUP_FUNC(ow_shard_manager, ow_shard_manager_free)

/** Queues an event and takes ownership of it. */
void ow_shard_manager_push(struct ow_shard_manager *manager, struct ow_event *event);
/** Sets the duration of the last step if the process can't keep up with its input, or 0: see
 * ow_core_set_overload().
 */
void ow_shard_manager_set_overload(struct ow_shard_manager *manager, double last_step_s);
/** Handles the queued events and all timers that are due, like ow_core_step(): the caller owns the array and
 * its effects (struct ow_effect). */
GPtrArray *ow_shard_manager_step(struct ow_shard_manager *manager, double now, double time_of_day);
/** Seconds until the next step is due if no event comes. */
double ow_shard_manager_idle_seconds(const struct ow_shard_manager *manager);
/** Whether this controller can serve requests of users: the core, or every shard's core, is ready. */
bool ow_shard_manager_is_ready(const struct ow_shard_manager *manager);
/** The highest fencing token of the shards that this controller leads; 0: it leads none. */
uint64_t ow_shard_manager_fencing_token(const struct ow_shard_manager *manager);
/** How many violated invariants the cores have found. */
unsigned ow_shard_manager_invariant_violations(const struct ow_shard_manager *manager);
/** Handles a pause of the process of `paused_s` seconds that ends now. Returns true if a lease may have
 * expired in it: the caller must then drop its unsent output. */
bool ow_shard_manager_resume(struct ow_shard_manager *manager, double paused_s, double now);

/** Whether the fleet is divided; if not, none of the functions below may be called. */
bool ow_shard_manager_is_sharded(const struct ow_shard_manager *manager);
/** The time of the last step. */
double ow_shard_manager_now(const struct ow_shard_manager *manager);
/** The other controllers: struct ow_member, owned by the manager. */
const GPtrArray *ow_shard_manager_members(const struct ow_shard_manager *manager);
/** The shards: struct ow_shard, owned by the manager, in the order of the settings. */
const GPtrArray *ow_shard_manager_shards(const struct ow_shard_manager *manager);
/** A description of the difference from the stored shard map, owned by the manager; NULL: none is known. */
const char *ow_shard_manager_difference(const struct ow_shard_manager *manager);
/** How many messages of other controllers were dropped. */
unsigned ow_shard_manager_dropped_count(const struct ow_shard_manager *manager);
/** The name of the first candidate for the shard if it had no leader; never NULL. */
const char *ow_shard_manager_successor(const struct ow_shard_manager *manager, const struct ow_shard *shard);

#endif
