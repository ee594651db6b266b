/** @file
 * Links between controllers. This controller sends on one outgoing link to each other controller, which is
 * reopened when lost, and receives on the incoming links of the others.
 *
 * Messages are not acknowledged and may be lost; none is queued for a controller that is not connected. The
 * number of incoming links is bounded. The states of links are documented in io/peer_outgoing.h and
 * io/peer_incoming.h.
 */
#ifndef OW_IO_PEER_LINK_H
#define OW_IO_PEER_LINK_H

#include "io/loop.h"
#include "io/peer_handlers.h"

#include <glib.h>

/** The links of this controller. The creator owns them and frees them with ow_peer_links_free(). */
struct ow_peer_links;
typedef struct ow_peer_links ow_peer_links; /**< for g_autoptr */

/** Listens for other controllers.
 * @param loop must outlive the links
 * @param listen_endpoint ADDRESS:PORT
 * @param handlers copied
 * @return NULL if the endpoint can't be listened on */
struct ow_peer_links *ow_peer_links_new(struct ow_loop *loop, const char *listen_endpoint,
                                        const struct ow_peer_handlers *handlers);
/** Closes and frees all links without calling the handlers. NULL is allowed. */
void ow_peer_links_free(struct ow_peer_links *links);
G_DEFINE_AUTOPTR_CLEANUP_FUNC(ow_peer_links, ow_peer_links_free)

/** Adds a link to the controller at ADDRESS:PORT, and reopens it whenever it is lost. */
void ow_peer_links_add(struct ow_peer_links *links, const char *endpoint);
/** Sends a message on the established links; it is not queued for the others. A message that is too large to
 * encode is logged and not sent.
 * @param links the links
 * @param message owned by the caller
 * @param endpoint of the receiving controller; NULL sends to all controllers */
void ow_peer_links_send(struct ow_peer_links *links, struct ow_peer_message *message, const char *endpoint);
/** Reopens lost links and closes those that make no progress or are silent. Must be called several times a
 * second.
 * @param links the links
 * @param now monotonic time in seconds */
void ow_peer_links_sweep(struct ow_peer_links *links, double now);

#endif
