/** @file
 * Machines from which no message comes: they failed, did not boot, were reclaimed, or can't be reached.
 * Silence proves nothing of the tasks on a machine; the acknowledged deletion of the instance does (safety
 * rule 2), so such machines are terminated.
 */
#ifndef OW_CORE_MACHINES_SILENT_MACHINES_H
#define OW_CORE_MACHINES_SILENT_MACHINES_H

#include <stdbool.h>

struct ow_leader;
struct ow_machine;

/** Whether so few machines that used to send messages are silent (three at most) that each of them, rather
 * than the network between us and them, has failed. */
bool ow_silent_machines_are_few(const struct ow_leader *leader);
/** Whether a machine that used to send messages is silent while services have replicas on it. */
bool ow_silent_machine_has_replicas(const struct ow_leader *leader, const struct ow_machine *machine);
/** Terminates the machine if the cloud reports it failed, if it has not booted in time, if its reclaim time
 * has passed, or if no heartbeat has come for several leases. */
void ow_silent_machine_terminate(struct ow_leader *leader, struct ow_machine *machine);
/** Terminates the machine as soon as it is silent, answers no command and has replicas of services. To be
 * called only while ow_silent_machines_are_few(). */
void ow_silent_machine_terminate_for_replicas(struct ow_leader *leader, struct ow_machine *machine);

#endif
