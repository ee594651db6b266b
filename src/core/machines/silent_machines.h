/** @file
 * Machines that send no messages: they failed, did not boot, were reclaimed, or can't be reached. Silence
 * proves nothing about the tasks on a machine; the acknowledged deletion of the instance does (safety rule
 * 2), so such machines are terminated.
 */
#ifndef OW_CORE_MACHINES_SILENT_MACHINES_H
#define OW_CORE_MACHINES_SILENT_MACHINES_H

#include <stdbool.h>

struct ow_leader;
struct ow_machine;

/** Whether at most three machines that used to send messages are silent, which points to failures of single
 * machines rather than to a network fault. */
bool ow_silent_machines_are_few(const struct ow_leader *leader);
/** Whether the machine used to send messages, is now silent and has replicas of services. */
bool ow_silent_machine_has_replicas(const struct ow_leader *leader, const struct ow_machine *machine);
/** Terminates the machine if the cloud reports it as failed, if it has not booted in time, if it is silent
 * after its reclaim time, if only records name it, or if no heartbeat has arrived for several leases. */
void ow_silent_machine_terminate(struct ow_leader *leader, struct ow_machine *machine);
/** Terminates the machine if it is silent, answers no commands and has replicas of services. To be called
 * only while ow_silent_machines_are_few(). */
void ow_silent_machine_terminate_for_replicas(struct ow_leader *leader, struct ow_machine *machine);

#endif
