/** @file
 * Schedules the leader's regular messages to its peers: the progress of its jobs (job_summary.h) and the
 * addresses of its machines (machine_list.h). They make the next failover faster; no safety rule depends on
 * them.
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
