/** @file
 * Direct commands: calls to a machine's own address that carry the commands that are due; a call without
 * commands only requests an answer from the worker. command_queue.h holds the machines to call.
 */
#ifndef OW_CORE_MACHINES_DIRECT_COMMANDS_H
#define OW_CORE_MACHINES_DIRECT_COMMANDS_H

struct ow_leader;

/** Calls every machine in the command queue that can be called now, and removes from the queue the machines
 * that were called or no longer need a call. */
void ow_direct_commands_send(struct ow_leader *leader);

#endif
