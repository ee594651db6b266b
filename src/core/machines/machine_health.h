/* Machine health: machines that are silent, faulty or about to be taken by the cloud, and attempts that must
 * be gone by a certain time. It owns the fault history of machines. */
#ifndef OW_CORE_MACHINES_MACHINE_HEALTH_H
#define OW_CORE_MACHINES_MACHINE_HEALTH_H

struct ow_leader;
struct ow_machine;
struct ow_execution;

/* Checks every machine; called about twice a second. */
void ow_machine_health_tick(struct ow_leader *leader);
/* The run is not placed on the machine for a while. */
void ow_machine_health_avoid(struct ow_leader *leader, struct ow_machine *machine,
                             struct ow_execution *execution);
/* Notes that a task of the run failed there: the run avoids the machine, and whichever of the two is found at
   fault is paused or quarantined. */
void ow_machine_health_error(struct ow_leader *leader, struct ow_machine *machine,
                             struct ow_execution *execution);

#endif
