/** @file
 * When the leader tells the other controllers how its jobs fare (job_summary.h) and where its machines listen
 * (machine_list.h). Whoever takes over next is faster for it; nothing that must be safe rests on it.
 */
#ifndef OW_CORE_PEERS_LEADER_BROADCAST_H
#define OW_CORE_PEERS_LEADER_BROADCAST_H

struct ow_leader;
struct ow_leader_broadcast;

/** Everything is due at once; freed by ow_leader_broadcast_free(). */
struct ow_leader_broadcast *ow_leader_broadcast_new(void);
/** Frees it. */
void ow_leader_broadcast_free(struct ow_leader_broadcast *broadcast);
/** Sends whatever is due. */
void ow_leader_broadcast_tick(struct ow_leader *leader);

#endif
