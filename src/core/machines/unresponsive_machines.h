/** @file
 * Machines that answer no commands, whether or not they send heartbeats: no task can be started or stopped
 * there, and the state of their tasks is unknown.
 */
#ifndef OW_CORE_MACHINES_UNRESPONSIVE_MACHINES_H
#define OW_CORE_MACHINES_UNRESPONSIVE_MACHINES_H

#include <stdbool.h>

struct ow_leader;
struct ow_machine;

/** Whether at most two machines, or a quarter of all, are unresponsive, which points to failures of single
 * machines rather than of this controller or its network. */
bool ow_unresponsive_machines_are_few(const struct ow_leader *leader);
/** Terminates the machine if it has been unresponsive for longer than its limit, which depends on whether it
 * has tasks and sends heartbeats. To be called only while ow_unresponsive_machines_are_few(). */
void ow_unresponsive_machine_terminate(struct ow_leader *leader, struct ow_machine *machine);

#endif
