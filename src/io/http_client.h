/** @file
 * The HTTP client: pools connections by endpoint, and reports the result of every request exactly once.
 *
 * A request has exclusive use of a connection until it ends; then the connection is kept open for a while, to
 * be reused for the next request to the same endpoint. The client owns its connections; their states are
 * documented in io/http_client_connection.h.
 */
#ifndef OW_IO_HTTP_CLIENT_H
#define OW_IO_HTTP_CLIENT_H

#include "io/loop.h"

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** The client. The creator owns it and frees it with ow_http_client_free(). */
struct ow_http_client;
typedef struct ow_http_client ow_http_client; /**< for g_autoptr */

/** Receives the result of a request. It may send new requests, but must not free the client.
 * @param owner as passed to ow_http_client_new
 * @param tag of the request
 * @param status of the response, or set by the client: OW_HTTP_STATUS_NONE without a response (the request
 * may have been carried out), OW_HTTP_STATUS_CONTENT_TOO_LARGE if the response body exceeded the client's
 * limit
 * @param body of the response, NUL-terminated; valid during the call only
 * @param size of `body` in bytes, without the NUL */
typedef void (*ow_http_reply_fn)(void *owner, uint64_t tag, int status, const char *body, size_t size);

/** Creates a client without connections.
 * @param loop must outlive the client
 * @param connections_max maximum of open connections; ow_http_client_send without ow_http_client_has_room may
 * exceed it
 * @param reply called from the loop, and from ow_http_client_advance, _drop_unsent and _sweep
 * @param owner passed to `reply`; must live until ow_http_client_free */
struct ow_http_client *ow_http_client_new(struct ow_loop *loop, unsigned connections_max,
                                          ow_http_reply_fn reply, void *owner);
/** Closes all connections without calling `reply` for their requests. NULL is allowed. */
void ow_http_client_free(struct ow_http_client *client);
G_DEFINE_AUTOPTR_CLEANUP_FUNC(ow_http_client, ow_http_client_free)

/** Sends a request. `reply` is never called from inside this function.
 * @param client the client
 * @param endpoint ADDRESS:PORT
 * @param method copied
 * @param path path and query; copied
 * @param body JSON text, or NULL; copied
 * @param timeout_s seconds without a response after which the request fails (in ow_http_client_sweep)
 * @param tag passed to `reply` */
void ow_http_client_send(struct ow_http_client *client, const char *endpoint, const char *method,
                         const char *path, const char *body, double timeout_s, uint64_t tag);
/** Sends and reads on the busy connections to the endpoint immediately, without waiting for the loop. */
void ow_http_client_advance(struct ow_http_client *client, const char *endpoint);
/** Closes the connections that have unsent bytes; their requests end without a response. */
void ow_http_client_drop_unsent(struct ow_http_client *client);
/** Sets the maximum number of open connections. Excess idle connections are closed in the next sweep. */
void ow_http_client_set_connections_max(struct ow_http_client *client, unsigned connections_max);
/** Whether a request to the endpoint can be sent without exceeding the maximum. Closes the connection that
 * has been idle for longest if that makes room. */
bool ow_http_client_has_room(struct ow_http_client *client, const char *endpoint);
/** Fails requests that have timed out and closes connections that have been idle for too long. Must be called
 * several times a second. */
void ow_http_client_sweep(struct ow_http_client *client, double now);

#endif
