/** @file
 * Who leads: a key of the key-value store, attached to a short lease. The revision of the write that took the
 * key is the leader's fencing token, so fencing tokens only grow. The module owns `struct ow_election`; the
 * term of this controller begins and ends by its callbacks alone.
 */
#ifndef OW_CORE_ELECTION_ELECTION_H
#define OW_CORE_ELECTION_ELECTION_H

#include "core/election/election_callbacks.h"

#include <stdbool.h>
#include <stdint.h>

struct ow_core;
struct ow_election;

/** An election in which this controller has not taken part yet; freed by ow_election_free(). `core` and
 * `callbacks` must outlive it. */
struct ow_election *ow_election_new(struct ow_core *core, const struct ow_election_callbacks *callbacks);
/** Frees it without calling back: the owner ends its term itself. */
void ow_election_free(struct ow_election *election);
/** Whether this controller may take the leader key (at first it may), and how long it leaves a missing one to
 * others before it takes it (at first not at all). */
void ow_election_set_candidacy(struct ow_election *election, bool may_lead, double delay_s);
/** Sends what is due: reads, watches and writes of the key, and renewals of its lease. */
void ow_election_tick(struct ow_election *election);
/** Our fencing token; 0 while we do not lead. */
uint64_t ow_election_fencing_token(const struct ow_election *election);
/** The revision of the leader's key as we know it, ours included; 0: nobody holds it, or it is unknown. */
uint64_t ow_election_key(const struct ow_election *election);
/** Whether the key-value store has shown that nobody holds the key, and nobody is known to have taken it
 * since. */
bool ow_election_key_is_missing(const struct ow_election *election);
/** A write of ours showed that the key is not as we know it. */
void ow_election_invalidate(struct ow_election *election);
/** The name of the controller that leads as far as we know, or NULL; valid until the next event. */
const char *ow_election_leader_name(const struct ow_election *election);
/** Somebody has seen this fencing token. A fencing token higher than ours ends our term; `leader_name` is its
 * holder's name, or NULL if unknown. */
void ow_election_observe_fencing_token(struct ow_election *election, uint64_t fencing_token,
                                       const char *leader_name);
/** A controller seems to have ended. If it leads, its key is taken over without waiting for its lease. */
void ow_election_peer_ended(struct ow_election *election, const char *controller_name);
/** Gives up leadership, as when workers cannot reach us: the key is deleted, and we try again only later.
 * `why` is for the log. */
void ow_election_yield(struct ow_election *election, const char *why);
/** A write of ours failed because the key has changed hands. */
void ow_election_deposed(struct ow_election *election);

#endif
