/** @file
 * Reads and watches the leader key while this controller does not lead.
 */
#ifndef OW_CORE_ELECTION_LEADER_KEY_H
#define OW_CORE_ELECTION_LEADER_KEY_H

#include <stdbool.h>

struct ow_election;

/** Whether `name` is the name of this controller; NULL is not. */
bool ow_leader_key_is_own_name(const struct ow_election *election, const char *name);
/** The nonce that this process writes into the key, to recognize its own write; the caller frees it. */
char *ow_leader_key_nonce(const struct ow_election *election);
/** Reads the key. No request of the stage may be in flight. */
void ow_leader_key_read(struct ow_election *election);
/** Waits for the next change of the key. No watch may be in flight. */
void ow_leader_key_watch(struct ow_election *election);

#endif
