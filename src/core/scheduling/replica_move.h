/** @file
 * Moving a replica of a service: choosing the target, and the move itself.
 *
 * A replica is moved by stopping it; the scheduling cycle starts it elsewhere once it is proven gone.
 * Input: a service and the machines. Result: the attempt is to be stopped, and capacity on its target is
 * held until the next cycle, so that two moves don't count on the same capacity.
 */
#ifndef OW_CORE_SCHEDULING_REPLICA_MOVE_H
#define OW_CORE_SCHEDULING_REPLICA_MOVE_H

#include <stdint.h>

struct ow_attempt;
struct ow_execution;
struct ow_leader;
struct ow_machine;

/** Number of the service's replicas that don't serve now: their tasks are not running, or are being
 * stopped. */
uint32_t ow_replica_move_count_missing(const struct ow_execution *execution);
/** A machine on which a replica could start at once: it has capacity and the image, no other replica of the
 * service, and is not in zone `not_in_zone` (OW_NO_NAME: any zone). NULL if there is none. */
struct ow_machine *ow_replica_move_find_target(const struct ow_leader *leader,
                                               const struct ow_execution *execution, int not_in_zone);
/** Stops the replica, which makes it pending again, and holds capacity for it on the target. `why` is for
 * the log only. The attempt may have been freed on return. */
void ow_replica_move_to(struct ow_leader *leader, struct ow_attempt *attempt, struct ow_machine *target,
                        const char *why);

#endif
