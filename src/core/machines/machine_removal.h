/** @file
 * Taking a machine that is gone for good out of everything that refers to it.
 */
#ifndef OW_CORE_MACHINES_MACHINE_REMOVAL_H
#define OW_CORE_MACHINES_MACHINE_REMOVAL_H

struct ow_leader;
struct ow_machine;

/** Unregisters and frees a machine that is gone for good. Every attempt on it ends; `proof` says in the log
 * why it is known to be gone. */
void ow_machines_remove(struct ow_leader *leader, struct ow_machine *machine, const char *proof);

#endif
