/* Commands to workers: launches whose record has been committed, and stops. They leave in the answer to a
 * heartbeat, or as a direct command to the machine's own address; command_queue.h says to which machines. */
#ifndef OW_CORE_MACHINES_WORKER_COMMANDS_H
#define OW_CORE_MACHINES_WORKER_COMMANDS_H

#include <glib.h>

struct ow_leader;
struct ow_machine;

/* The commands due for the machine's incarnation, as struct ow_worker_command; the caller owns the array. The
   attempts among them count as sent. Each launch is also appended to `starts`, an array of struct
   ow_unacknowledged_launch, unless that is NULL. */
GArray *ow_worker_commands_for(struct ow_leader *leader, struct ow_machine *machine, GArray *starts);
/* Sends a direct command to every machine that is due one. */
void ow_worker_commands_send(struct ow_leader *leader);

#endif
