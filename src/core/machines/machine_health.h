/** @file
 * The periodic health check of all machines: calls the modules for lease expiry, reclaim notices,
 * cancellations, silent and unresponsive machines in a fixed order. It owns no state.
 */
#ifndef OW_CORE_MACHINES_MACHINE_HEALTH_H
#define OW_CORE_MACHINES_MACHINE_HEALTH_H

struct ow_leader;

/** Checks every machine; to be called about twice a second by a leader that is ready. May end attempts and
 * queue machines for commands or termination. */
void ow_machine_health_tick(struct ow_leader *leader);

#endif
