/** @file
 * The hello message, which tells peers every second whether this controller leads, reaches the key-value
 * store and receives heartbeats of workers. Owns the times of the next message and of the last worker
 * heartbeat.
 */
#ifndef OW_CORE_PEERS_HELLO_H
#define OW_CORE_PEERS_HELLO_H

struct ow_core;
struct ow_hello;

/** Creates a sender whose first message is due at once; freed by ow_hello_free(). `core` must outlive it. */
struct ow_hello *ow_hello_new(struct ow_core *core);
/** Frees the sender; NULL is allowed. */
void ow_hello_free(struct ow_hello *hello);
/** Records that a worker's heartbeat has just arrived, whether or not this controller leads. */
void ow_hello_note_worker_heartbeat(struct ow_hello *hello);
/** Sends the hello message when it is due. */
void ow_hello_tick(struct ow_hello *hello);

#endif
