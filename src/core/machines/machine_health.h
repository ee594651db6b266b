/** @file
 * The regular check of every machine: the order in which the modules for lease expiry, reclaim notices,
 * cancellations, silent and unresponsive machines look at it. It owns no state.
 */
#ifndef OW_CORE_MACHINES_MACHINE_HEALTH_H
#define OW_CORE_MACHINES_MACHINE_HEALTH_H

struct ow_leader;

/** Checks every machine; to be called about twice a second by a leader that is ready. Attempts may end,
 * machines may be queued for commands and for termination. */
void ow_machine_health_tick(struct ow_leader *leader);

#endif
