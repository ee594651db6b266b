/** @file
 * The bodies of messages between controllers: from and to the forms that rpcgen makes from peer.x. Private to
 * wire/peer_xdr.c.
 */
#ifndef OW_WIRE_PEER_BODY_H
#define OW_WIRE_PEER_BODY_H

#include "model/peer.h"
#include "peer.h" /* made by rpcgen from peer.x */

/** The body of a message: one of these, by its kind. */
union wire_peer_body {
    peer_hello hello;
    peer_summary summary;
    peer_job_changed job_changed;
    peer_machines machines;
    peer_machines_part machines_part;
    peer_cancellation cancellation;
    peer_cancellation_ack cancellation_ack;
    peer_heartbeat heartbeat;
    peer_probe probe;
};

/** How a body is coded. @param kind as it stands in an envelope @return NULL if the kind has no body known
 * here */
xdrproc_t wire_peer_body_coder(unsigned kind);

/**
 * Fills a body from a message. The body borrows the texts of the message and must not outlive it.
 * @return the list in the body, which the caller frees with g_free(); NULL if the kind has none
 */
void *wire_peer_body_from_message(struct ow_peer_message *message, union wire_peer_body *body);

/** Copies a body into a new message. @param kind one that has a coder @return owned by the caller */
struct ow_peer_message *wire_peer_body_to_message(unsigned kind, const union wire_peer_body *body);

#endif
