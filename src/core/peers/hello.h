/** @file
 * The hello message: tells peers every second whether this controller leads, reaches the key-value store and
 * receives heartbeats. Owns the time of the next message and of the last worker heartbeat.
 */
#ifndef OW_CORE_PEERS_HELLO_H
#define OW_CORE_PEERS_HELLO_H

struct ow_core;
struct ow_hello;

/** A hello is due at once; freed by ow_hello_free(). `core` must outlive it. */
struct ow_hello *ow_hello_new(struct ow_core *core);
/** Frees it. */
void ow_hello_free(struct ow_hello *hello);
/** A worker has sent this controller a heartbeat now, whether or not it leads. */
void ow_hello_note_worker_heartbeat(struct ow_hello *hello);
/** Sends the hello message when it is due. */
void ow_hello_tick(struct ow_hello *hello);

#endif
