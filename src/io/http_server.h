/** @file
 * The HTTP server: reads requests from its connections, one at a time from each. A request may be answered at
 * any later time, by its id.
 *
 * The server owns its connections; their states are documented in io/http_connection.h. */
#ifndef OW_IO_HTTP_SERVER_H
#define OW_IO_HTTP_SERVER_H

#include "io/loop.h"

#include <glib.h>
#include <stddef.h>
#include <stdint.h>

/** The server. The creator owns it and frees it with ow_http_server_free(). */
struct ow_http_server;
typedef struct ow_http_server ow_http_server; /**< for g_autoptr */

/** Identifies a request that has not been answered. It is stale once the request has been answered or its
 * connection has been closed. */
typedef uint64_t ow_request_id;

/** A request as passed to the handler. Its strings are valid during the call only. */
struct ow_http_request {
    ow_request_id id;
    const char *method;
    const char *target; /**< path and query */
    const char *body;   /**< NUL-terminated; body_size does not include the NUL */
    size_t body_size;
};

/** Handles one request; may answer it during the call.
 * @param owner as passed to ow_http_server_new
 * @param request valid during the call only */
typedef void (*ow_http_handler)(void *owner, const struct ow_http_request *request);

/** Options of a server. */
struct ow_http_server_options {
    const char *endpoint;     /**< ADDRESS:PORT to listen on; used by ow_http_server_new only */
    size_t body_limit_bytes;  /**< maximum size of a request body; not 0 */
    unsigned max_connections; /**< beyond it, the longest idle connection is closed, or the new one */
    double idle_s;            /**< a connection that has received nothing for this long is closed */
};

/** Creates a server and begins to listen.
 * @param loop must outlive the server
 * @param options copied
 * @param handler called from the loop, and from ow_http_server_answer if the next request on that connection
 * has already been received
 * @param owner passed to the handler; must live until ow_http_server_free
 * @return NULL if the endpoint can't be listened on */
struct ow_http_server *ow_http_server_new(struct ow_loop *loop, const struct ow_http_server_options *options,
                                          ow_http_handler handler, void *owner);
/** Closes all connections. NULL is allowed. */
void ow_http_server_free(struct ow_http_server *server);
G_DEFINE_AUTOPTR_CLEANUP_FUNC(ow_http_server, ow_http_server_free)

/** Answers a request. A stale id is ignored: the client may have disconnected.
 * @param server that received the request
 * @param id of the request
 * @param status of the response
 * @param headers additional header lines, each terminated by CR LF, or NULL
 * @param body JSON text; copied
 * @param size of `body`, in bytes */
void ow_http_server_answer(struct ow_http_server *server, ow_request_id id, int status, const char *headers,
                           const char *body, size_t size);
/** Returns ADDRESS:PORT of the sender of a request (g_free); NULL if the id is stale. */
char *ow_http_server_peer(const struct ow_http_server *server, ow_request_id id);
/** Returns the number of open connections. */
unsigned ow_http_server_count_connections(const struct ow_http_server *server);
/** The connections of a server, for the log. */
struct ow_http_server_metrics {
    unsigned open;            /**< now */
    unsigned refused;         /**< new ones, closed because all others were active; since the last call */
    unsigned closed_for_room; /**< idle ones, closed to make room; since the last call */
    size_t buffered_bytes;    /**< of requests that are incomplete or wait, and of answers to be sent; now */
};
/** Returns the metrics, and resets those that count from the last call. */
struct ow_http_server_metrics ow_http_server_take_metrics(struct ow_http_server *server);
/** Closes the connections that have unsent bytes. */
void ow_http_server_drop_unsent(struct ow_http_server *server);
/** Closes connections that have been idle for too long. Should be called every few seconds.
 * @param server the server
 * @param now monotonic time in seconds */
void ow_http_server_sweep(struct ow_http_server *server, double now);

#endif
