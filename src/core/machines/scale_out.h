/* Renting machines for work that waits. */
#ifndef OW_CORE_MACHINES_SCALE_OUT_H
#define OW_CORE_MACHINES_SCALE_OUT_H

struct ow_leader;
struct ow_scale_out;

/** Nothing has been provisioned yet; freed by ow_scale_out_free(). */
struct ow_scale_out *ow_scale_out_new(void);
/** Frees it. */
void ow_scale_out_free(struct ow_scale_out *scale_out);

/* Lists the provisioned machines, rents what waiting work needs, and returns what is idle, each when due. */
void ow_scale_out_tick(struct ow_leader *leader);

#endif
