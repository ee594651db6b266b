/** @file
 * Scale-in: terminates machines that have been idle for longer than their limit and are not needed as
 * headroom (headroom.h).
 */
#ifndef OW_CORE_MACHINES_SCALE_IN_H
#define OW_CORE_MACHINES_SCALE_IN_H

struct ow_leader;

/** Terminates the machines that are due; to be called about once a second. */
void ow_scale_in_tick(struct ow_leader *leader);

#endif
