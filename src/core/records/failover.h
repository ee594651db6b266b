/** @file
 * The failover of a new leader, from taking the leader key until it is ready to make decisions.
 *
 * Phases, in `ow_leader.phase`: the copy of the job table is refreshed (OW_LEADER_REFRESHING), all progress
 * records are read and the executions restored from them (OW_LEADER_LOADING), then the leader makes decisions
 * (OW_LEADER_READY). Invariant: it makes none before it knows every attempt that an earlier leader may have
 * launched. Heartbeats then show which of these still run: machines/reconciliation.h.
 */
#ifndef OW_CORE_RECORDS_FAILOVER_H
#define OW_CORE_RECORDS_FAILOVER_H

struct ow_failover;
struct ow_leader;

/** Creates the state of a failover that has read nothing yet; freed by ow_failover_free(). */
struct ow_failover *ow_failover_new(void);
/** Frees the state and the records read so far. */
void ow_failover_free(struct ow_failover *failover);
/** Sends the next read that is due while the leader is not ready; a failed read is repeated. */
void ow_failover_tick(struct ow_leader *leader);

#endif
