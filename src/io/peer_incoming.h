/** @file
 * The incoming link of one other controller: decodes received bytes into messages. Private to io/peer_link.
 *
 * States: an incoming link is open from ow_peer_incoming_new on. When the other controller closes it or sends
 * an invalid frame, the link calls `end`, and the owner frees it. After SILENT_S without received bytes,
 * ow_peer_incoming_is_silent returns true. Nothing is sent on the link.
 */
#ifndef OW_IO_PEER_INCOMING_H
#define OW_IO_PEER_INCOMING_H

#include "io/loop.h"
#include "io/peer_handlers.h"

#include <stdbool.h>

/** An incoming link; owned by the links of io/peer_link. */
struct ow_peer_incoming;

/** Called when the link has ended. The callee must free it with ow_peer_incoming_free; it isn't accessed
 * afterwards.
 * @param owner as passed to ow_peer_incoming_new
 * @param link to be freed by the callee */
typedef void (*ow_peer_incoming_end_fn)(void *owner, struct ow_peer_incoming *link);

/** Begins to receive on an accepted connection.
 * @param loop must outlive the link
 * @param fd takes ownership
 * @param handlers `message_received` is called for each message; must outlive the link
 * @param end called at most once, from the loop
 * @param owner passed to `end`; must outlive the link */
struct ow_peer_incoming *ow_peer_incoming_new(struct ow_loop *loop, int fd,
                                              const struct ow_peer_handlers *handlers,
                                              ow_peer_incoming_end_fn end, void *owner);
/** Closes and frees the link without calling `end`. */
void ow_peer_incoming_free(struct ow_peer_incoming *link);
/** Whether nothing has been received for so long that the link counts as dead.
 * @param link the link
 * @param now monotonic time in seconds */
bool ow_peer_incoming_is_silent(const struct ow_peer_incoming *link, double now);

#endif
