/* A controller of a fleet that may be divided into shards: it takes events and gives effects as a core does,
 * and has a core for each shard. Without manager settings it is a single core, and changes nothing that this
 * does. */
#ifndef OW_SHARDING_SHARD_MANAGER_H
#define OW_SHARDING_SHARD_MANAGER_H

#include "model/event.h"
#include "sharding/membership.h"
#include "sharding/shard.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

struct ow_shard_manager;

/* `settings`, `rules` and `manager` must outlive it. `nonce` is a number that no other process has. */
struct ow_shard_manager *ow_shard_manager_new(const struct ow_settings *settings,
                                              const struct ow_tuning *tuning,
                                              const struct ow_sharding_settings *sharding, uint64_t nonce);
void ow_shard_manager_free(struct ow_shard_manager *manager);
/* Queues an event, which is taken over. */
void ow_shard_manager_push(struct ow_shard_manager *manager, struct ow_event *event);
/* As ow_core_step(). */
GPtrArray *ow_shard_manager_step(struct ow_shard_manager *manager, double now, double time_of_day);
/* How long until it wants to run again, if nothing comes in. */
double ow_shard_manager_idle_seconds(const struct ow_shard_manager *manager);
/* Whether users should be sent here. */
bool ow_shard_manager_is_ready(const struct ow_shard_manager *manager);
/* The highest fencing token under which this controller leads anything; 0: it leads nothing. */
uint64_t ow_shard_manager_fencing_token(const struct ow_shard_manager *manager);
/* The process stood still for so long, up to now. True: bytes that wait to be sent must not leave any more.
 */
bool ow_shard_manager_resume(struct ow_shard_manager *manager, double paused_s, double now);

/* Whether the fleet is divided; without it, nothing below may be called. */
bool ow_shard_manager_is_enabled(const struct ow_shard_manager *manager);
/* The time of the last run. */
double ow_shard_manager_now(const struct ow_shard_manager *manager);
/* The other controllers: struct ow_member. */
const GPtrArray *ow_shard_manager_members(const struct ow_shard_manager *manager);
/* struct ow_shard. */
const GPtrArray *ow_shard_manager_shards(const struct ow_shard_manager *manager);
/* What differs from the stored shard map; NULL: nothing, as far as is known. */
const char *ow_shard_manager_difference(const struct ow_shard_manager *manager);
/* Messages of other controllers that were dropped. */
unsigned ow_shard_manager_dropped(const struct ow_shard_manager *manager);
/* Who would be the first to run for the shard if nobody led it. */
const char *ow_shard_manager_successor(const struct ow_shard_manager *manager, const struct ow_shard *shard);

#endif
