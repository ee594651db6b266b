/** @file
 * The HTTP client: pools connections by endpoint, and reports the result of every request exactly once.
 *
 * A request has a connection for itself until it ends; then the connection is kept for a while for the next
 * request to the same endpoint. io/http_client_connection.h has the states of a connection, which the client
 * owns and closes.
 */
#ifndef OW_IO_HTTP_CLIENT_H
#define OW_IO_HTTP_CLIENT_H

#include "io/loop.h"

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** The client. Owned by who creates it. */
struct ow_http_client;
typedef struct ow_http_client ow_http_client; /**< for g_autoptr */

/** Receives the result of a request. It may send new requests, but not free the client.
 * @param owner that of ow_http_client_new
 * @param tag of the request
 * @param status of the response, or one of our own: OW_HTTP_STATUS_NONE without a response (the request might
 * have been carried out), OW_HTTP_STATUS_CONTENT_TOO_LARGE if the response was longer than the client reads
 * @param body of the response, ended by a NUL that `size` doesn't count; valid during the call only
 * @param size bytes of `body` */
typedef void (*ow_http_reply_fn)(void *owner, uint64_t tag, int status, const char *body, size_t size);

/** A client without connections.
 * @param loop must outlive the client
 * @param connections_max maximum of open connections; ow_http_client_send without ow_http_client_has_room may
 * exceed it
 * @param reply called from the loop, and from ow_http_client_read_from, _drop_unsent and _sweep
 * @param owner handed to `reply`; must live until ow_http_client_free */
struct ow_http_client *ow_http_client_new(struct ow_loop *loop, unsigned connections_max,
                                          ow_http_reply_fn reply, void *owner);
/** Closes all connections without calling `reply` for their requests. NULL is allowed. */
void ow_http_client_free(struct ow_http_client *client);
G_DEFINE_AUTOPTR_CLEANUP_FUNC(ow_http_client, ow_http_client_free)

/** Sends a request. The reply never comes from inside this call.
 * @param client the client
 * @param endpoint ADDRESS:PORT
 * @param method copied
 * @param path path and query; copied
 * @param body JSON text, or NULL; copied
 * @param timeout_s after this long without a response the request fails (in ow_http_client_sweep)
 * @param tag handed to `reply` */
void ow_http_client_send(struct ow_http_client *client, const char *endpoint, const char *method,
                         const char *path, const char *body, double timeout_s, uint64_t tag);
/** Reads from the connections to the endpoint at once, ahead of their turn in the loop. */
void ow_http_client_read_from(struct ow_http_client *client, const char *endpoint);
/** Closes the connections that still have bytes to send: their requests end without a response. */
void ow_http_client_drop_unsent(struct ow_http_client *client);
/** Sets the maximum number of open connections. */
void ow_http_client_set_connections_max(struct ow_http_client *client, unsigned connections_max);
/** Whether a request to the endpoint stays within the maximum. Closes the connection idle for longest if that
 * makes room. */
bool ow_http_client_has_room(struct ow_http_client *client, const char *endpoint);
/** Ends requests that have timed out and closes connections that have been idle for too long; to be called
 * several times a second. */
void ow_http_client_sweep(struct ow_http_client *client, double now);

#endif
