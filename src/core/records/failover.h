/* The failover by a new leader: it rebuilds runs and attempts from the records, and the workers' heartbeats
 * then account for what still runs. It owns the records read so far and moves the leader from phase to phase.
 */
#ifndef OW_CORE_RECORDS_FAILOVER_H
#define OW_CORE_RECORDS_FAILOVER_H

struct ow_leader;

/* Takes the next step while the leader is not ready; a failed read is repeated. */
void ow_failover_tick(struct ow_leader *leader);
/* Frees the records read so far. */
void ow_failover_free(struct ow_leader *leader);

#endif
