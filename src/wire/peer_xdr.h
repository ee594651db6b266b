/* Messages between controllers, as XDR records behind a length of four bytes. */
#ifndef OW_WIRE_PEER_XDR_H
#define OW_WIRE_PEER_XDR_H

#include "model/peer.h"

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>

/* Bytes of a message at most. */
enum { WIRE_PEER_MAX = 262144 };

/* Appends one framed message; a message too large to send is left out and answers false. */
bool wire_peer_encode(struct ow_peer_message *message, GString *out);
/* Reads one frame, without its length: true and the message, which the caller owns; true and NULL for a
   message of an unknown kind; false for what is no message. */
bool wire_peer_decode(const char *data, size_t size, struct ow_peer_message **message);

#endif
