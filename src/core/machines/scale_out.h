/** @file
 * Scale-out: provisioning machines for work that would wait too long for those that are up or coming up.
 */
#ifndef OW_CORE_MACHINES_SCALE_OUT_H
#define OW_CORE_MACHINES_SCALE_OUT_H

struct ow_leader;
struct ow_scale_out;

/** Nothing has been provisioned yet; freed by ow_scale_out_free(). */
struct ow_scale_out *ow_scale_out_new(void);
/** Frees it. */
void ow_scale_out_free(struct ow_scale_out *scale_out);

/** Reads the cloud's list, provisions what waiting work needs, and terminates what is idle, each when due. */
void ow_scale_out_tick(struct ow_leader *leader);

#endif
