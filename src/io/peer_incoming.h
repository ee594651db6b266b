/** @file
 * The incoming link of one other controller: bytes become messages. Private to io/peer_link.
 *
 * States: an incoming link is open from ow_peer_incoming_new on. When the other side closes it or sends an
 * invalid frame, it calls its owner's `end`, who frees it; after SILENT_S without bytes
 * ow_peer_incoming_is_silent returns true. Nothing is ever sent on it.
 */
#ifndef OW_IO_PEER_INCOMING_H
#define OW_IO_PEER_INCOMING_H

#include "io/loop.h"
#include "io/peer_handlers.h"

#include <stdbool.h>

struct ow_peer_incoming;

/** The link has ended. The callee must free it with ow_peer_incoming_free; it isn't accessed afterwards.
 * @param owner that of ow_peer_incoming_new
 * @param link to be freed by the callee */
typedef void (*ow_peer_incoming_end_fn)(void *owner, struct ow_peer_incoming *link);

/** Serves an accepted connection.
 * @param loop must outlive the link
 * @param fd takes ownership
 * @param handlers whose `take` gets the messages; must outlive the link
 * @param end called at most once, from the loop
 * @param owner handed to `end`; must outlive the link */
struct ow_peer_incoming *ow_peer_incoming_new(struct ow_loop *loop, int fd,
                                              const struct ow_peer_handlers *handlers,
                                              ow_peer_incoming_end_fn end, void *owner);
/** Closes and frees the link. */
void ow_peer_incoming_free(struct ow_peer_incoming *link);
/** Whether the link has been silent for so long that it counts as dead. */
bool ow_peer_incoming_is_silent(const struct ow_peer_incoming *link, double now);

#endif
