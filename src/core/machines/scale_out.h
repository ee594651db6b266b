/* Renting machines for work that waits. */
#ifndef OW_CORE_MACHINES_SCALE_OUT_H
#define OW_CORE_MACHINES_SCALE_OUT_H

struct ow_leader;

/* Lists the provisioned machines, rents what waiting work needs, and returns what is idle, each when due. */
void ow_scale_out_tick(struct ow_leader *leader);

#endif
