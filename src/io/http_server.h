/** @file
 * The HTTP server: takes requests from any number of connections, one at a time from each, and sends the
 * answers, which may be given at any later time by the request's id.
 *
 * io/http_connection.h has the states of a connection, which the server owns and closes. */
#ifndef OW_IO_HTTP_SERVER_H
#define OW_IO_HTTP_SERVER_H

#include "io/loop.h"

#include <glib.h>
#include <stddef.h>
#include <stdint.h>

/** The server. Owned by who creates it. */
struct ow_http_server;
typedef struct ow_http_server ow_http_server; /**< for g_autoptr */

/** Identifies one request that waits for its answer. It is stale once the request has been answered or the
 * connection is gone. */
typedef uint64_t ow_request_id;

/** One request, as the handler gets it. Its strings are valid during the call only. */
struct ow_http_request {
    ow_request_id id;
    const char *method;
    const char *target; /**< path and query */
    const char *body;   /**< ended by a NUL that body_size does not count */
    size_t body_size;
};

/** Takes one request; may answer it at once.
 * @param owner that of ow_http_server_new
 * @param request valid during the call only */
typedef void (*ow_http_handler)(void *owner, const struct ow_http_request *request);

/** The options of a server. */
struct ow_http_server_options {
    const char *endpoint;     /**< ADDRESS:PORT to listen on; used by ow_http_server_new only */
    size_t body_limit;        /**< bytes of a request's body at most; not 0 */
    unsigned max_connections; /**< past it the quietest connection is closed, or the new one refused */
    double idle_s;            /**< a connection that has sent nothing for this long is closed */
};

/** Begins to listen.
 * @param loop must outlive the server
 * @param options copied
 * @param handler called from the loop, and from ow_http_server_answer if another request waits on that
 * connection
 * @param owner handed to the handler; must live until ow_http_server_free
 * @return NULL if the endpoint can't be listened on */
struct ow_http_server *ow_http_server_new(struct ow_loop *loop, const struct ow_http_server_options *options,
                                          ow_http_handler handler, void *owner);
/** Closes all connections. NULL is allowed. */
void ow_http_server_free(struct ow_http_server *server);
G_DEFINE_AUTOPTR_CLEANUP_FUNC(ow_http_server, ow_http_server_free)

/** Answers a request. A stale id is ignored: the client may have disconnected.
 * @param server that took the request
 * @param id of the request
 * @param status of the response
 * @param headers further header lines, each ended by CR LF, or NULL
 * @param body JSON text; copied
 * @param size bytes of `body` */
void ow_http_server_answer(struct ow_http_server *server, ow_request_id id, int status, const char *headers,
                           const char *body, size_t size);
/** Connections that are open now. */
unsigned ow_http_server_count_connections(const struct ow_http_server *server);
/** Closes the connections that still have bytes to send. */
void ow_http_server_drop_unsent(struct ow_http_server *server);
/** Closes connections that have been idle for too long; call it every few seconds.
 * @param server the server
 * @param now the monotonic time in seconds */
void ow_http_server_sweep(struct ow_http_server *server, double now);

#endif
