/** @file
 * Separating replicas of a service that share a machine or a zone because capacity was short when they were
 * placed.
 *
 * Input: a service, and how long it has been stable. Result: at most one replica of it is moved. Invariant:
 * nothing is moved while a replica of the service is missing.
 */
#ifndef OW_CORE_SCHEDULING_REPLICA_SEPARATION_H
#define OW_CORE_SCHEDULING_REPLICA_SEPARATION_H

struct ow_execution;
struct ow_leader;

/** Moves one replica of the execution away from others, if the execution is a service, its check is due,
 * replicas share a machine or their only zone, and there is a target. */
void ow_replica_separation_consider(struct ow_leader *leader, struct ow_execution *execution);

#endif
