/** @file
 * Machines that answer no commands, whether or not their heartbeats come: nothing can be started or stopped
 * there, and what runs there can't be accounted for.
 */
#ifndef OW_CORE_MACHINES_UNRESPONSIVE_MACHINES_H
#define OW_CORE_MACHINES_UNRESPONSIVE_MACHINES_H

#include <stdbool.h>

struct ow_leader;
struct ow_machine;

/** Whether so few machines are unresponsive (two, or a quarter of all) that each of them, rather than this
 * controller or its network, is at fault. */
bool ow_unresponsive_machines_are_few(const struct ow_leader *leader);
/** Terminates the machine if it has been unresponsive for too long. To be called only while
 * ow_unresponsive_machines_are_few(). */
void ow_unresponsive_machine_terminate(struct ow_leader *leader, struct ow_machine *machine);

#endif
