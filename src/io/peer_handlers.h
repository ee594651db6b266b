/** @file
 * Callbacks from the links between controllers to their owner. Shared by io/peer_link, io/peer_incoming and
 * io/peer_outgoing.
 */
#ifndef OW_IO_PEER_HANDLERS_H
#define OW_IO_PEER_HANDLERS_H

#include "model/peer.h"

/** Callbacks of the owner. They are called from callbacks of the event loop, never from inside a function of
 * io/peer_link.h, and must not free the links. */
struct ow_peer_handlers {
    /** A message has been received; the callee takes ownership. */
    void (*message_received)(void *owner, struct ow_peer_message *message);
    /** An established link was lost, and reconnecting is refused. This suggests that the process has ended,
     * but does not prove it. */
    void (*link_lost)(void *owner, const char *endpoint);
    /** Passed to both callbacks; must live until ow_peer_links_free. */
    void *owner;
};

#endif
