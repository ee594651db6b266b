/** @file
 * Leader election: the leader holds a key in the key-value store that is attached to a short lease. The
 * revision of the write that took the key is the leader's fencing token, so fencing tokens only grow. The
 * module owns `struct ow_election`; it alone starts and ends this controller's terms, and reports both
 * through its callbacks.
 */
#ifndef OW_CORE_ELECTION_ELECTION_H
#define OW_CORE_ELECTION_ELECTION_H

#include "core/election/election_callbacks.h"

#include <stdbool.h>
#include <stdint.h>

struct ow_core;
struct ow_election;

/** Creates an election that starts as a follower with an unread leader key; freed by ow_election_free().
 * `core` and `callbacks` must outlive it. */
struct ow_election *ow_election_new(struct ow_core *core, const struct ow_election_callbacks *callbacks);
/** Frees the election without invoking the callbacks; the owner must free the leader itself. NULL is not
 * allowed. */
void ow_election_free(struct ow_election *election);
/** Sets whether this controller may take the leader key (initially true), and for how many seconds it waits
 * before it takes a missing key, so that other candidates go first (initially 0). */
void ow_election_set_candidacy(struct ow_election *election, bool may_lead, double delay_s);
/** Sends the requests that are due: reads, watches and writes of the key, and renewals of its lease. */
void ow_election_tick(struct ow_election *election);
/** Our fencing token; 0 while we do not lead. */
uint64_t ow_election_fencing_token(const struct ow_election *election);
/** The last known mod_revision of the leader key, also while this controller holds it; 0: the key does not
 * exist, or is unknown. */
uint64_t ow_election_key_revision(const struct ow_election *election);
/** Whether the key did not exist when it was last read, and no new holder is known since. */
bool ow_election_key_is_missing(const struct ow_election *election);
/** A compare on the leader key failed: our copy of it is stale. Ends our term if we lead, and reads the key
 * again. */
void ow_election_invalidate_key(struct ow_election *election);
/** The name of the last known leader, or NULL; valid until the next event. */
const char *ow_election_leader_name(const struct ow_election *election);
/** Records a fencing token seen in a message or heartbeat. One higher than ours ends our term.
 * `leader_name` is its holder's name, or NULL if unknown. */
void ow_election_observe_fencing_token(struct ow_election *election, uint64_t fencing_token,
                                       const char *leader_name);
/** Handles the hint that a controller's process has exited. If it leads, this controller tries to take the
 * key without waiting for the lease to expire. */
void ow_election_note_peer_exited(struct ow_election *election, const char *controller_name);
/** Gives up leadership, for example because no worker reaches this controller: deletes the key, and does not
 * try to take it again for 15 s. `reason` is for the log. */
void ow_election_yield(struct ow_election *election, const char *reason);
/** A write failed its compare on the leader key: another controller has taken it. Ends our term. */
void ow_election_note_deposed(struct ow_election *election);

#endif
