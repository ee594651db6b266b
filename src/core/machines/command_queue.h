/** @file
 * The queue of machines that are due a direct command: a call to the machine's own address, with the commands
 * that are due or only to request an answer. direct_commands.h sends them.
 */
#ifndef OW_CORE_MACHINES_COMMAND_QUEUE_H
#define OW_CORE_MACHINES_COMMAND_QUEUE_H

#include <glib.h>

struct ow_command_queue;
struct ow_leader;
struct ow_machine;

/** Creates an empty queue; freed by ow_command_queue_free(). */
struct ow_command_queue *ow_command_queue_new(void);
/** Frees the queue, but not the machines in it. @param queue must not be NULL */
void ow_command_queue_free(struct ow_command_queue *queue);
/** Returns the number of machines in the queue. */
guint ow_command_queue_length(const struct ow_leader *leader);
/** Returns the machine at a position below the length; the order is unspecified. */
struct ow_machine *ow_command_queue_at(const struct ow_leader *leader, guint position);
/** Removes the machine at a position below the length; the last machine moves to this position. */
void ow_command_queue_remove_at(struct ow_leader *leader, guint position);
/** Adds the machine unless it is in the queue already. */
void ow_command_queue_add(struct ow_leader *leader, struct ow_machine *machine);
/** Adds a machine that has sent a heartbeat under an older fencing token and is answered with this leader's
 * token. The call is delayed by a second: the machine's next heartbeat usually makes it unnecessary. */
void ow_command_queue_add_unfenced(struct ow_leader *leader, struct ow_machine *machine);
/** Adds every machine; for a new leader, which shows them its fencing token. The calls are spread over time
 * in a large fleet, since most machines send a heartbeat in the meantime and need no call. */
void ow_command_queue_add_all(struct ow_leader *leader);
/** Removes the machine if it is in the queue; to be called before the machine is freed. */
void ow_command_queue_remove(struct ow_leader *leader, struct ow_machine *machine);

#endif
