/** @file
 * The fault history of machines: whether a machine or a job is at fault when a task fails, and for how long
 * either is left alone for it.
 */
#ifndef OW_CORE_MACHINES_MACHINE_FAULTS_H
#define OW_CORE_MACHINES_MACHINE_FAULTS_H

struct ow_execution;
struct ow_leader;
struct ow_machine;

/** The execution is not placed on the machine for a while. */
void ow_machine_faults_avoid(struct ow_leader *leader, struct ow_machine *machine,
                             struct ow_execution *execution);
/** Notes that a task of the execution failed there: the execution avoids the machine, and whichever of the
 * two is found at fault is paused or quarantined. */
void ow_machine_faults_note_error(struct ow_leader *leader, struct ow_machine *machine,
                                  struct ow_execution *execution);

#endif
