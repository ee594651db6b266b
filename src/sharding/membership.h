/**
 * @file
 * Tracks which other controllers are alive: a phi accrual failure detector for each, and indirect probes
 * through other controllers before one is suspected.
 *
 * Invariant: a suspicion is only a hint, and no irreversible action may depend on it; only the key-value
 * store decides whether a leader's lease has expired. No clock and no I/O: messages to be sent are
 * appended to an array.
 */
#ifndef OW_SHARDING_MEMBERSHIP_H
#define OW_SHARDING_MEMBERSHIP_H

#include "model/peer.h"
#include "sharding/member.h"
#include "sharding/sharding_settings.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** The other controllers of the settings; owns their struct ow_member. */
typedef struct ow_membership ow_membership;

/**
 * Creates the membership of a starting process.
 *
 * @param sharding must outlive the membership.
 * @param self the name of this controller; must outlive the membership.
 * @param peers struct ow_peer_settings: the other controllers; their names must outlive the membership.
 * @param incarnation distinguishes this process from earlier ones of the same controller; not 0.
 * @param settings_digest of the settings by which this controller shares the fleet (shard_map.h). */
struct ow_membership *ow_membership_new(const struct ow_sharding_settings *sharding, const char *self,
                                        const GArray *peers, uint64_t incarnation, uint64_t settings_digest);
/** Frees the membership and its members. NULL is not allowed. */
void ow_membership_free(struct ow_membership *membership);
G_DEFINE_AUTOPTR_CLEANUP_FUNC(ow_membership, ow_membership_free)

/** Appends the messages that are due to `out`, which owns them, and updates the state of every controller.
 * `led_shards` (struct ow_peer_shard) is what this controller leads. Must be called a few times per heartbeat
 * interval: a longer gap counts as a pause of this process. */
void ow_membership_tick(struct ow_membership *membership, double now, const GArray *led_shards,
                        GPtrArray *out);
/** Handles a heartbeat or a step of a probe; appends replies to `out`, which owns them. Invalid and outdated
 * messages are dropped and counted. */
void ow_membership_receive(struct ow_membership *membership, double now,
                           const struct ow_peer_message *message, GPtrArray *out);

/** struct ow_member, owned by the membership, in the order of the settings. */
const GPtrArray *ow_membership_members(const struct ow_membership *membership);
/** The controller of this name, or NULL; `name` may be NULL. */
const struct ow_member *ow_membership_find(const struct ow_membership *membership, const char *name);
/** Whether the controller counts as able to lead: alive, directly or by relay, or without a heartbeat
 * within the first 5 s of this process. */
bool ow_membership_may_lead(const struct ow_membership *membership, const struct ow_member *member);
/** Number of messages dropped as invalid or outdated. */
unsigned ow_membership_dropped_count(const struct ow_membership *membership);

#endif
