/* Renting machines for work that waits. */
#ifndef OW_CORE_MACHINES_RENT_H
#define OW_CORE_MACHINES_RENT_H

struct ow_leader;

/* Lists the rented machines, rents what waiting work needs, and returns what is idle, each when due. */
void ow_rent_tick(struct ow_leader *leader);

#endif
