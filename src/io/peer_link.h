/** @file
 * Links between controllers: one outgoing link to each, reopened when lost, on which this controller only
 * sends; and the incoming links of the others, on which it only receives.
 *
 * Messages are not acknowledged and may be lost; none is queued for a controller that is not connected. The
 * number of incoming links is bounded. io/peer_outgoing.h and io/peer_incoming.h have the states of the
 * links.
 */
#ifndef OW_IO_PEER_LINK_H
#define OW_IO_PEER_LINK_H

#include "io/loop.h"
#include "io/peer_handlers.h"

#include <glib.h>

/** The links of this controller. Owned by who creates them. */
struct ow_peer_links;
typedef struct ow_peer_links ow_peer_links; /**< for g_autoptr */

/** Listens for other controllers.
 * @param loop must outlive the links
 * @param listen_endpoint ADDRESS:PORT
 * @param handlers copied
 * @return NULL if the endpoint can't be listened on */
struct ow_peer_links *ow_peer_links_new(struct ow_loop *loop, const char *listen_endpoint,
                                        const struct ow_peer_handlers *handlers);
/** Closes all links without telling the owner. NULL is allowed. */
void ow_peer_links_free(struct ow_peer_links *links);
G_DEFINE_AUTOPTR_CLEANUP_FUNC(ow_peer_links, ow_peer_links_free)

/** Adds a link to the controller at ADDRESS:PORT, and reopens it whenever it is lost. */
void ow_peer_links_add(struct ow_peer_links *links, const char *endpoint);
/** Sends a message on the established links; it is not queued for others. A message that is too large to be
 * encoded is not sent at all, which is logged.
 * @param links the links
 * @param message stays the caller's
 * @param endpoint of the controller that it goes to; NULL: it goes to all */
void ow_peer_links_send(struct ow_peer_links *links, struct ow_peer_message *message, const char *endpoint);
/** Reopens lost links and closes those that make no progress or are silent; to be called several times a
 * second.
 * @param links the links
 * @param now the monotonic time in seconds */
void ow_peer_links_sweep(struct ow_peer_links *links, double now);

#endif
