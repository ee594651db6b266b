/** @file
 * Starting replicas of services, which run until their job is cancelled and are kept apart from one
 * another.
 *
 * Input: candidates, and where the service's replicas are. Result: replicas bound one by one, each to the
 * candidate with the lowest score. Invariant: no replica breaks the job's zone rules. The terms that are
 * added to placement_score.h, in seconds:
 *
 * | term         | amount                                                              |
 * |--------------|---------------------------------------------------------------------|
 * | crowding     | 0.2 s for each replica of any service on the machine, 2 s at most   |
 * | same machine | 60 s for each replica of the same service there                     |
 * | same zone    | 4 s for each replica of the same service in the zone                |
 */
#ifndef OW_CORE_SCHEDULING_SERVICE_REPLICAS_H
#define OW_CORE_SCHEDULING_SERVICE_REPLICAS_H

struct ow_execution;
struct ow_leader;

/** Starts pending replicas of a service as far as the team's limit, the zone rules and capacity admit. */
void ow_service_replicas_start(struct ow_leader *leader, struct ow_execution *execution);

#endif
