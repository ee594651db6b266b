/** @file
 * Removal of a machine whose instance is proven gone, with all references to it.
 */
#ifndef OW_CORE_MACHINES_MACHINE_REMOVAL_H
#define OW_CORE_MACHINES_MACHINE_REMOVAL_H

struct ow_leader;
struct ow_machine;

/** Unregisters and frees a machine whose instance is gone. Ends every attempt on it.
 * @param proof for the log: how the machine is known to be gone */
void ow_machines_remove(struct ow_leader *leader, struct ow_machine *machine, const char *proof);

#endif
