/** @file
 * The outgoing link to one other controller, reopened whenever it is lost. Private to io/peer_link.
 *
 * States:
 *
 *     CLOSED      --retry_at has come, a connection can begin--> CONNECTING
 *     CONNECTING  --established-->                               ESTABLISHED
 *     CONNECTING  --failed, or not established within STALL_S--> CLOSED (tried again after RETRY_S)
 *     ESTABLISHED --the other side closes, sending fails, or a backlog makes no progress for STALL_S-->
 *                                                                CLOSED (tried again with the next sweep)
 *
 * Invariants: bytes wait to be sent only while ESTABLISHED; there is a descriptor unless CLOSED. Messages to
 * a controller that is not connected are dropped, because newer ones will supersede them. */
#ifndef OW_IO_PEER_OUTGOING_H
#define OW_IO_PEER_OUTGOING_H

#include "io/loop.h"
#include "io/peer_handlers.h"

/** An outgoing link; owned by the links of io/peer_link. */
struct ow_peer_outgoing;

/** Creates a link and begins to connect.
 * @param loop must outlive the link
 * @param endpoint copied
 * @param handlers `link_lost` is called when a connection is refused after the link was lost; must outlive
 * the link */
struct ow_peer_outgoing *ow_peer_outgoing_new(struct ow_loop *loop, const char *endpoint,
                                              const struct ow_peer_handlers *handlers);
/** Closes and frees the link. */
void ow_peer_outgoing_free(struct ow_peer_outgoing *link);
/** Returns the endpoint of the other controller, ADDRESS:PORT; owned by the link. */
const char *ow_peer_outgoing_endpoint(const struct ow_peer_outgoing *link);
/** Queues a frame and sends as much as the socket accepts. The frame is dropped if the link is not
 * established or its backlog is full. */
void ow_peer_outgoing_send(struct ow_peer_outgoing *link, const GString *frame);
/** Closes the link if it makes no progress, and reopens a closed link once its retry delay has passed. */
void ow_peer_outgoing_sweep(struct ow_peer_outgoing *link, double now);

#endif
