/** @file
 * Moving one replica of a service: where to, and doing it.
 *
 * A replica is moved by stopping it; the scheduling cycle starts it elsewhere once it is proven gone. Input:
 * a service and the machines. Result: the attempt is to be stopped, and capacity at its target is held for
 * the rest of the step, so that two moves don't count on the same place.
 */
#ifndef OW_CORE_SCHEDULING_REPLICA_MOVE_H
#define OW_CORE_SCHEDULING_REPLICA_MOVE_H

#include <stdint.h>

struct ow_attempt;
struct ow_execution;
struct ow_leader;
struct ow_machine;

/** How many of the service's replicas don't serve now: their tasks don't run, or are being stopped. */
uint32_t ow_replica_move_count_missing(const struct ow_execution *execution);
/** A machine where a replica could start at once, apart from the others of its service and outside a zone
 * (OW_NO_NAME: in any); NULL: none has capacity and the image. */
struct ow_machine *ow_replica_move_find_target(const struct ow_leader *leader,
                                               const struct ow_execution *execution, int not_in_zone);
/** Stops the replica, to be started again, and holds capacity for it on the target. `why` is for the log. The
 * attempt may be freed at once. */
void ow_replica_move_to(struct ow_leader *leader, struct ow_attempt *attempt, struct ow_machine *target,
                        const char *why);

#endif
