/** @file
 * Direct commands: calls to a machine's own address with the commands that are due, or without any to hear
 * from the worker. command_queue.h says which machines are to be called.
 */
#ifndef OW_CORE_MACHINES_DIRECT_COMMANDS_H
#define OW_CORE_MACHINES_DIRECT_COMMANDS_H

struct ow_leader;

/** Calls every machine in the command queue that can be called now; machines that need no call any more leave
 * the queue. */
void ow_direct_commands_send(struct ow_leader *leader);

#endif
