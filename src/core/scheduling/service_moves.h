/** @file
 * Service moves: moves replicas off machines that are about to be reclaimed, lose their lease or are
 * faulty, and away from one another.
 *
 * Input: the state of each machine, and which replicas serve. Result: replicas stopped, to be started
 * elsewhere. Invariant: one replica of a service is missing at a time, unless its machines leave too little
 * time for that.
 */
#ifndef OW_CORE_SCHEDULING_SERVICE_MOVES_H
#define OW_CORE_SCHEDULING_SERVICE_MOVES_H

struct ow_leader;

/** Considers every machine and every service for moves; called several times a second. */
void ow_service_moves_tick(struct ow_leader *leader);

#endif
