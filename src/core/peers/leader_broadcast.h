/** @file
 * Schedules the leader's periodic messages to its peers: the progress of its jobs (job_summary.h) and the
 * addresses of its machines (machine_list.h). They shorten the next failover; no safety rule depends on
 * them.
 */
#ifndef OW_CORE_PEERS_LEADER_BROADCAST_H
#define OW_CORE_PEERS_LEADER_BROADCAST_H

struct ow_leader;
struct ow_leader_broadcast;

/** Creates a schedule on which both messages are due at once; freed by ow_leader_broadcast_free(). */
struct ow_leader_broadcast *ow_leader_broadcast_new(void);
/** Frees the schedule; NULL is allowed. */
void ow_leader_broadcast_free(struct ow_leader_broadcast *broadcast);
/** Sends each message whose interval has passed. */
void ow_leader_broadcast_tick(struct ow_leader *leader);

#endif
