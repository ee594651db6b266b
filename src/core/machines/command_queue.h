/** @file
 * Which machines are due a direct command: a call to the machine's own address, with what there is to tell
 * it, or else to hear from it. worker_commands.h sends them.
 */
#ifndef OW_CORE_MACHINES_COMMAND_QUEUE_H
#define OW_CORE_MACHINES_COMMAND_QUEUE_H

#include <glib.h>

struct ow_command_queue;
struct ow_leader;
struct ow_machine;

/** No machine is due a command; freed by ow_command_queue_free(). */
struct ow_command_queue *ow_command_queue_new(void);
/** Frees it, not the machines in it. */
void ow_command_queue_free(struct ow_command_queue *queue);
/** How many machines are due a command. */
guint ow_command_queue_length(const struct ow_leader *leader);
/** The machine at a position below the length; in no order. */
struct ow_machine *ow_command_queue_at(const struct ow_leader *leader, guint position);
/** Takes the machine at a position out of the queue; the last one takes its place. */
void ow_command_queue_remove_at(struct ow_leader *leader, guint position);
/** From now on the machine is due a direct command. */
void ow_command_queue_add(struct ow_leader *leader, struct ow_machine *machine);
/** The same for a machine that has sent a heartbeat under an older fencing token and is answered under ours:
 * a command is sent only if it does not send another one of itself. */
void ow_command_queue_add_unfenced(struct ow_leader *leader, struct ow_machine *machine);
/** The same for every machine, as a new leader does to show them its fencing token; in a large fleet one
 * after the other, for most of them come with a heartbeat meanwhile. */
void ow_command_queue_add_all(struct ow_leader *leader);
/** The machine is due none any more; to be called before it is freed. */
void ow_command_queue_remove(struct ow_leader *leader, struct ow_machine *machine);

#endif
