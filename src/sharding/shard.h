/**
 * @file
 * One shard in this process: a core with its own key namespace. This module translates keys, tags and
 * machines between the core and the rest of the process, and applies the shard's lease guard to every effect.
 *
 * Invariants: the core sees only machines of its shard; no effect that requires the lease is sent while the
 * lease is not held.
 */
#ifndef OW_SHARDING_SHARD_H
#define OW_SHARDING_SHARD_H

#include "core/core.h"
#include "model/event.h"
#include "sharding/failover_log.h"
#include "sharding/lease_guard.h"
#include "sharding/sharding_settings.h"

#include <glib.h>
#include <stdint.h>

/** A shard. The shard manager owns it and updates the failover log; read-only for other modules. */
typedef struct ow_shard {
    unsigned index;                /**< among the shards of the settings */
    const char *name;              /**< borrowed from the settings */
    char *key_prefix;              /**< of its keys in the key-value store; NULL: none, the default shard */
    const GPtrArray *key_prefixes; /**< of all shards, borrowed */
    const struct ow_sharding_settings *sharding; /**< borrowed */
    struct ow_settings *settings;                /**< the platform's, as this shard sees them */
    struct ow_core *core;
    struct ow_core_status status; /**< after the last step of the core */
    struct ow_lease_guard guard;
    struct ow_failover_log failovers;
    unsigned withheld; /**< effects that the lease guard has withheld, whole or in part */
} ow_shard;

/** Creates the shard with this index. The settings, `tuning` and `key_prefixes` (those of all shards) must
 * outlive it; `nonce` is a number that no other process has. */
struct ow_shard *ow_shard_new(const struct ow_sharding_settings *sharding, unsigned index,
                              const struct ow_settings *platform, const struct ow_tuning *tuning,
                              uint64_t nonce, const GPtrArray *key_prefixes);
/** Frees the shard and its core. NULL is not allowed. */
void ow_shard_free(struct ow_shard *shard);
G_DEFINE_AUTOPTR_CLEANUP_FUNC(ow_shard, ow_shard_free)

/** Translates an event for the core and queues it there. Takes ownership of the event. */
void ow_shard_push(struct ow_shard *shard, struct ow_event *event);
/** Runs the core and appends its effects (struct ow_effect), guarded and translated, to `out`, which owns
 * them. `now` is monotonic, both times are in seconds. */
void ow_shard_step(struct ow_shard *shard, double now, double time_of_day, GPtrArray *out);
/** Whether this controller leads the shard, as of the last step. */
bool ow_shard_is_led_here(const struct ow_shard *shard);
/** The number of shards (struct ow_shard) that this controller leads, as of the last step. */
unsigned ow_shards_count_led(const GPtrArray *shards);
/** The shards that this controller leads, for its heartbeats to other controllers: struct ow_peer_shard,
 * owned by the caller. */
GArray *ow_shards_describe_led(const GPtrArray *shards);
/** Records that the process resumed after a pause that may have been longer than the shard's lease. */
void ow_shard_note_pause(struct ow_shard *shard, double resumed_at);

#endif
