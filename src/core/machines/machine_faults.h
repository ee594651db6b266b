/** @file
 * Fault history: decides whether the machine or the job is at fault when a task fails, and quarantines the
 * machine or pauses the job for a time.
 */
#ifndef OW_CORE_MACHINES_MACHINE_FAULTS_H
#define OW_CORE_MACHINES_MACHINE_FAULTS_H

struct ow_execution;
struct ow_leader;
struct ow_machine;

/** Adds the machine to those on which the execution is not placed; the set expires a minute after the last
 * addition. */
void ow_machine_faults_avoid(struct ow_leader *leader, struct ow_machine *machine,
                             struct ow_execution *execution);
/** Notes that a task of the execution failed on the machine: the execution avoids the machine, and the job is
 * paused or the machine quarantined, depending on which is found at fault. */
void ow_machine_faults_note_error(struct ow_leader *leader, struct ow_machine *machine,
                                  struct ow_execution *execution);

#endif
