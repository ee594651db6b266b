/** @file
 * Outgoing requests to the key-value store, the cloud and workers; converts their replies to events. Part of
 * the daemon.
 *
 * Invariant: every request passed to the HTTP client is in the table of pending requests until its reply
 * arrives, and leads to exactly one event.
 */
#ifndef OW_IO_OUTGOING_H
#define OW_IO_OUTGOING_H

#include "model/effect.h"

#include <stddef.h>
#include <stdint.h>

struct ow_daemon;

/** The requests that wait for their replies, by the tag that was passed to the HTTP client. */
struct ow_pending_requests;

/** Creates an empty table; the caller frees it with ow_pending_requests_free(). */
struct ow_pending_requests *ow_pending_requests_new(void);
/** Frees the table with its entries. NULL is not allowed. */
void ow_pending_requests_free(struct ow_pending_requests *pending);

/** Sends the request of an effect to the key-value store, the cloud or a worker. Other effects are ignored.
 * Without a free socket, direct commands fail immediately with OW_STATUS_UNSENT. */
void ow_outgoing_send(struct ow_daemon *daemon, const struct ow_effect *effect);
/** The reply function of the HTTP client (ow_http_reply_fn): converts a reply to an event.
 * @param owner the daemon
 * @param tag of the request
 * @param status of the response, or OW_HTTP_STATUS_NONE
 * @param body valid during the call only
 * @param size of `body`, in bytes */
void ow_outgoing_handle_reply(void *owner, uint64_t tag, int status, const char *body, size_t size);
/** Limits the connections of the HTTP client to the sockets that incoming connections leave free. */
void ow_outgoing_limit_sockets(struct ow_daemon *daemon);

#endif
