/** @file
 * Separating replicas of a service that stand together, where capacity was short when they were placed.
 *
 * Input: a service, and how long it has been calm. Result: at most one replica of it is moved. Invariant:
 * nothing is moved while a replica of the service is missing.
 */
#ifndef OW_CORE_SCHEDULING_REPLICA_SEPARATION_H
#define OW_CORE_SCHEDULING_REPLICA_SEPARATION_H

struct ow_execution;
struct ow_leader;

/** Moves a replica of the execution away from others, if it is a service, that is due and there is a target.
 */
void ow_replica_separation_consider(struct ow_leader *leader, struct ow_execution *execution);

#endif
