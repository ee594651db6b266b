/** @file
 * What the leader tells the other controllers at regular intervals: how its jobs fare, and where its machines
 * listen. Whoever takes over next is faster for it; nothing that must be safe rests on it.
 */
#ifndef OW_CORE_PEERS_LEADER_BROADCAST_H
#define OW_CORE_PEERS_LEADER_BROADCAST_H

struct ow_leader;
struct ow_leader_broadcast;

/** Everything is due at once; freed by ow_leader_broadcast_free(). */
struct ow_leader_broadcast *ow_leader_broadcast_new(void);
/** Frees it. */
void ow_leader_broadcast_free(struct ow_leader_broadcast *broadcast);
/** Sends whatever is due. Lists that are too long for a message go in several. */
void ow_leader_broadcast_tick(struct ow_leader *leader);

#endif
