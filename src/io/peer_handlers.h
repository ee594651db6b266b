/** @file
 * Callbacks from the links between controllers to their owner. Plain types, shared by the three modules of
 * the links.
 */
#ifndef OW_IO_PEER_HANDLERS_H
#define OW_IO_PEER_HANDLERS_H

#include "model/peer.h"

/** The owner's functions. All are called from the callbacks of the event loop, never from inside a function
 * of io/peer_link.h; neither may free the links. */
struct ow_peer_handlers {
    /** A message has arrived; the callee takes ownership. */
    void (*take)(void *owner, struct ow_peer_message *message);
    /** An established link was lost, and connecting again is refused: a hint that the process has ended, but
     * no proof. */
    void (*lost)(void *owner, const char *endpoint);
    /** Handed to both; must live until ow_peer_links_free. */
    void *owner;
};

#endif
