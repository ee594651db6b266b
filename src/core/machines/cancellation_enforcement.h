/** @file
 * Enforcement of acknowledged cancellations (safety rule 7): tasks of a cancelled job that don't end by a
 * stop command within half of `cancel_s` are ended by terminating their machine.
 */
#ifndef OW_CORE_MACHINES_CANCELLATION_ENFORCEMENT_H
#define OW_CORE_MACHINES_CANCELLATION_ENFORCEMENT_H

struct ow_leader;
struct ow_machine;

/** Repeats stops to the machine that have brought no end within a second, and terminates it when half of
 * `cancel_s` has passed. */
void ow_cancellation_enforce(struct ow_leader *leader, struct ow_machine *machine);

#endif
