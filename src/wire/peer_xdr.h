/** @file
 * Messages between controllers, as XDR records (wire/peer.x) behind a length of four bytes.
 *
 * Versions understand each other: a kind that is not known is skipped, and so is what follows the known
 * fields of a body. The bytes of a known kind never change.
 */
#ifndef OW_WIRE_PEER_XDR_H
#define OW_WIRE_PEER_XDR_H

#include "model/peer.h"

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>

/** The most bytes of a message, without its length. */
enum { WIRE_PEER_MAX = 262144 };

/**
 * Appends a message with its length to what is to be sent.
 * @param message not changed; not const because the coders of rpcgen read and write
 * @return false if the message is too large, or of a kind that is never sent; nothing is appended then
 */
bool wire_peer_encode(struct ow_peer_message *message, GString *out);

/**
 * Reads a message without its length.
 * @param data `size` bytes
 * @param message set to the message, owned by the caller; to NULL if its kind is unknown, and on failure
 * @return false if the data is not a message
 */
bool wire_peer_decode(const char *data, size_t size, struct ow_peer_message **message);

#endif
