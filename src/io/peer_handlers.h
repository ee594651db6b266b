/** @file
 * What the links between controllers tell their owner. Plain types, shared by the three files of the links.
 */
#ifndef OW_IO_PEER_HANDLERS_H
#define OW_IO_PEER_HANDLERS_H

#include "model/peer.h"

/** The owner's functions. All are called from the callbacks of the event loop, never from inside a function
 * of io/peer_link.h; neither may free the links. */
struct ow_peer_handlers {
    /** A message has come in; the callee takes it over. */
    void (*take)(void *owner, struct ow_peer_message *message);
    /** A link that was established is gone and nobody listens there any more: a hint that the process has
     * ended, no proof. */
    void (*lost)(void *owner, const char *endpoint);
    /** Handed to both; must live until ow_peer_links_free. */
    void *owner;
};

#endif
