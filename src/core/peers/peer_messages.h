/* Messages from and to the other controllers. */
#ifndef OW_CORE_PEERS_PEER_MESSAGES_H
#define OW_CORE_PEERS_PEER_MESSAGES_H

struct ow_core;
struct ow_peer_message;

/* Handles a message of another controller, or the loss of the connection to one. It may take parts of the
   message, which stays the caller's. */
void ow_peer_messages_handle(struct ow_core *core, struct ow_peer_message *message);
/* Tells the other controllers at regular intervals how this one is. */
void ow_peer_messages_send_hello(struct ow_core *core);

#endif
