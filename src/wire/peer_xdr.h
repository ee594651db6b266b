/* Messages between controllers, as XDR records behind a length of four bytes. */
#ifndef OW_WIRE_PEER_XDR_H
#define OW_WIRE_PEER_XDR_H

#include "core/effects.h"

#include <stddef.h>

enum { WIRE_PEER_MAX = 262144 };

/* Appends one framed message; a message too large to send is left out and answers false. */
bool wire_peer_encode(struct ow_peer_message *message, GString *out);
/* The message of one frame without its length; false: it is none. One of a kind that is not known is left
   out: NULL and true. */
bool wire_peer_decode(const char *data, size_t size, struct ow_peer_message **message);

#endif
