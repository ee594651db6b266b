/* Commands to workers: launches whose record has been committed, and stops. They leave in the answer to a
 * report, or as a direct command to the machine's own address. The module owns a machine's direct channel. */
#ifndef OW_CORE_MACHINES_WORKER_COMMANDS_H
#define OW_CORE_MACHINES_WORKER_COMMANDS_H

#include <glib.h>

struct ow_leader;
struct ow_machine;

/* The commands due for the machine's incarnation, as struct ow_worker_command; the caller owns the array. The
   attempts among them count as sent. Each launch is also appended to `starts`, an array of struct
   ow_unacknowledged_launch, unless that is NULL. */
GArray *ow_worker_commands_for(struct ow_leader *leader, struct ow_machine *machine, GArray *starts);
/* From now on the machine is due a direct command: with what there is to tell it, or else to hear from it. */
void ow_worker_commands_want(struct ow_leader *leader, struct ow_machine *machine);
/* The same for a machine that has reported under an older fencing token and is answered under ours: a command
   is sent only if it does not report again of itself. */
void ow_worker_commands_want_fenced(struct ow_leader *leader, struct ow_machine *machine);
/* The same for every machine, as a new leader does to show them its fencing token; in a large fleet one after
   the other, for most of them come with a heartbeat meanwhile. */
void ow_worker_commands_want_all(struct ow_leader *leader);
/* Sends a direct command to every machine that is due one. */
void ow_worker_commands_send(struct ow_leader *leader);
/* The machine is about to be freed. */
void ow_worker_commands_forget(struct ow_leader *leader, struct ow_machine *machine);

#endif
