/** @file
 * Dispatches messages of other controllers to the modules that handle them. Stateless.
 */
#ifndef OW_CORE_PEERS_PEER_MESSAGES_H
#define OW_CORE_PEERS_PEER_MESSAGES_H

struct ow_core;
struct ow_peer_message;

/** Handles a message of another controller, or the loss of the connection to one. The caller keeps ownership
 * of the message, but parts of it may be moved out. */
void ow_peer_messages_handle(struct ow_core *core, struct ow_peer_message *message);

#endif
