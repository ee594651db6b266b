/* Machine health: machines that are silent, faulty or about to be taken by the cloud, and attempts that must
 * be gone by a certain time. */
#ifndef OW_CORE_MACHINES_MACHINE_HEALTH_H
#define OW_CORE_MACHINES_MACHINE_HEALTH_H

struct ow_leader;

/* Checks every machine; called about twice a second. */
void ow_machine_health_tick(struct ow_leader *leader);

#endif
