/* Moves replicas of services: off machines that are about to go, lose their lease or fail tasks, and away
 * from one another. A replica is moved by stopping it; the scheduling cycle starts it elsewhere once it is
 * proven gone. */
#ifndef OW_CORE_SCHEDULING_SERVICE_MOVES_H
#define OW_CORE_SCHEDULING_SERVICE_MOVES_H

struct ow_leader;

/* Considers every machine and service; called a few times a second. */
void ow_service_moves_tick(struct ow_leader *leader);

#endif
