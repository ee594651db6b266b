/* The bodies of messages between controllers: from and to the forms that rpcgen makes. Private to peer_xdr.
 */
#ifndef OW_WIRE_PEER_BODY_H
#define OW_WIRE_PEER_BODY_H

#include "model/peer.h"
#include "peer.h" /* made by rpcgen from peer.x */

/* The body of a message: one of these, by its kind. */
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

/* How a body of this kind is coded; NULL: the kind is unknown. */
xdrproc_t wire_peer_body_coder(unsigned kind);
/* Fills a body from a message whose texts it borrows. Answers with a list that the caller frees, or NULL. */
void *wire_peer_body_fill(struct ow_peer_message *message, union wire_peer_body *body);
/* A new message from a body of this kind. */
struct ow_peer_message *wire_peer_body_read(unsigned kind, const union wire_peer_body *body);

#endif
