/** @file
 * Enforcement of acknowledged cancellations (safety rule 7): if a task of a cancelled job has not
 * ended within half of `cancel_s` after the stop command, its machine is terminated.
 */
#ifndef OW_CORE_MACHINES_CANCELLATION_ENFORCEMENT_H
#define OW_CORE_MACHINES_CANCELLATION_ENFORCEMENT_H

struct ow_leader;
struct ow_machine;

/** Repeats, by direct command, stops on the machine for cancelled jobs that have had no effect within a
 * second; terminates the machine when half of `cancel_s` has passed. */
void ow_cancellation_enforce(struct ow_leader *leader, struct ow_machine *machine);

#endif
