/** @file
 * Encodes and decodes messages between controllers: XDR records (wire/peer.x), each prefixed by its length in
 * four bytes.
 *
 * Versions are compatible in both directions: unknown kinds are skipped, and so are bytes after the known
 * fields of a body. The encoding of a known kind never changes.
 */
#ifndef OW_WIRE_PEER_XDR_H
#define OW_WIRE_PEER_XDR_H

#include "model/peer.h"

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>

/** Maximum size of an encoded message in bytes, without the length prefix. */
enum { WIRE_PEER_MAX = 262144 };

/**
 * Appends an encoded message and its length prefix to the bytes to send.
 * @param message not modified; not const because the coders of rpcgen both read and write
 * @return false if the message is too large or its kind is never sent; nothing is appended then
 */
bool wire_peer_encode(struct ow_peer_message *message, GString *out);

/**
 * Decodes a message without the length prefix.
 * @param data `size` bytes
 * @param message set to the message, owned by the caller; NULL on failure or if its kind is unknown
 * @return false if the data is not a valid message
 */
bool wire_peer_decode(const char *data, size_t size, struct ow_peer_message **message);

#endif
