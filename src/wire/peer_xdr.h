/* Messages between controllers, as XDR records behind a length of four bytes. */
#ifndef OW_WIRE_PEER_XDR_H
#define OW_WIRE_PEER_XDR_H

#include "core/effects.h"

#include <stddef.h>

enum { WIRE_PEER_MAX = 262144 };

/* Appends one framed message; a message too large to send is left out and answers false. */
bool wire_peer_encode(const struct ow_peer_message *message, GString *out);
/* The message of one frame without its length, or NULL. */
struct ow_peer_message *wire_peer_decode(const char *data, size_t size);

#endif
