/** @file
 * The commands that are due for a worker: launches whose record has committed, and stops. They are sent in
 * the answer to a heartbeat or as direct commands (direct_commands.h).
 *
 * Guards safety rule 1: no launch is sent before the record with its attempt and machine has committed. The
 * state of the attempt decides; invariants.h checks it against the recorder.
 */
#ifndef OW_CORE_MACHINES_WORKER_COMMANDS_H
#define OW_CORE_MACHINES_WORKER_COMMANDS_H

#include <glib.h>
#include <stdbool.h>

struct ow_leader;
struct ow_machine;

/** Whether any command is due for the current incarnation of the machine's worker. */
bool ow_worker_commands_are_due(const struct ow_machine *machine);
/** Returns the commands that are due for the current incarnation of the machine's worker, up to the limit of
 * one message, and marks the attempts that they launch as sent.
 * @param launches struct ow_unacknowledged_launch: one is appended for each launch; may be NULL
 * @return struct ow_worker_command; the caller frees it with g_array_unref() */
GArray *ow_worker_commands_for(struct ow_leader *leader, struct ow_machine *machine, GArray *launches);

#endif
