/** @file
 * Scale-out: provisions machines for work that would wait too long for the machines that are up or booting.
 */
#ifndef OW_CORE_MACHINES_SCALE_OUT_H
#define OW_CORE_MACHINES_SCALE_OUT_H

struct ow_leader;
struct ow_scale_out;

/** Creates the state of scale-out, without calls in flight; freed by ow_scale_out_free(). */
struct ow_scale_out *ow_scale_out_new(void);
/** Frees the state. @param scale_out may be NULL */
void ow_scale_out_free(struct ow_scale_out *scale_out);

/** Reads the cloud's list, provisions machines for waiting work and terminates idle machines, each when due;
 * to be called in every step of a leader that is ready. */
void ow_scale_out_tick(struct ow_leader *leader);

#endif
