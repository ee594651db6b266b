/** @file
 * Moving replicas of services off machines that are about to go, lose their lease or fail tasks, and away
 * from one another.
 *
 * Input: what is known of each machine, and which replicas serve. Result: replicas to be stopped and started
 * elsewhere. Invariant: one replica of a service is missed at a time, unless its machines leave no time for
 * that.
 */
#ifndef OW_CORE_SCHEDULING_SERVICE_MOVES_H
#define OW_CORE_SCHEDULING_SERVICE_MOVES_H

struct ow_leader;

/** Considers every machine and service; called a few times a second. */
void ow_service_moves_tick(struct ow_leader *leader);

#endif
