/** @file
 * Messages of the other controllers: each is handed to the module that it concerns. Keeps no state.
 */
#ifndef OW_CORE_PEERS_PEER_MESSAGES_H
#define OW_CORE_PEERS_PEER_MESSAGES_H

struct ow_core;
struct ow_peer_message;

/** Handles a message of another controller, or the loss of the connection to one. It may take parts of the
 * message, which stays the caller's. */
void ow_peer_messages_handle(struct ow_core *core, struct ow_peer_message *message);

#endif
