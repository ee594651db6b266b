/* Links between controllers: one outgoing connection to each, kept up; whatever comes in is handed over. */
#ifndef OW_IO_PEER_LINK_H
#define OW_IO_PEER_LINK_H

#include "io/loop.h"
#include "model/peer.h"

struct ow_peer_links;

/* A message has come in; the callee takes it over. */
typedef void (*ow_peer_fn)(void *owner, struct ow_peer_message *message);

/* A link that was established is gone and nobody listens there any more: a hint that the process has ended,
 * no proof.
 */
typedef void (*ow_peer_lost_fn)(void *owner, const char *endpoint);

/* NULL if the endpoint can't be listened on. `owner` is handed to both functions. */
struct ow_peer_links *ow_peer_links_new(struct ow_loop *loop, const char *listen_endpoint, ow_peer_fn take,
                                        ow_peer_lost_fn lost, void *owner);
/* NULL is allowed. */
void ow_peer_links_free(struct ow_peer_links *links);
/* Keeps a link to this controller up from now on. */
void ow_peer_links_add(struct ow_peer_links *links, const char *endpoint);
/* Sends the message to the controller at `endpoint`, or to all if that is NULL, as far as they are connected;
   nothing is kept for the others. */
void ow_peer_links_send(struct ow_peer_links *links, struct ow_peer_message *message, const char *endpoint);
/* Opens lost links again and drops those that take nothing; to be called now and then. */
void ow_peer_links_sweep(struct ow_peer_links *links, double now);

#endif
