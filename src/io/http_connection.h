/** @file
 * One connection of the HTTP server: reads requests, passes them on one at a time and writes the responses.
 * Private to the HTTP server, which owns the connection.
 *
 * States:
 *
 *     READING        --a request is complete-->                        HANDLING
 *     READING        --the last request of the client is complete-->   HANDLING_LAST
 *     READING        --malformed or too large, error is answered-->    DRAINING
 *     HANDLING       --answered-->                                     READING
 *     HANDLING_LAST  --answered-->                                     DRAINING
 *     DRAINING       --all bytes are sent-->                           (closed)
 *     any            --the client closes or sends too much, or
 *                      the owner calls ow_http_connection_close-->     (closed)
 *
 * Bytes received while the handler has a request are buffered until it is answered. */
#ifndef OW_IO_HTTP_CONNECTION_H
#define OW_IO_HTTP_CONNECTION_H

#include "io/http_parse.h"
#include "io/loop.h"

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** State of a connection; the transitions are described above. */
enum ow_http_connection_state {
    OW_HTTP_CONNECTION_READING,       /**< waits for a complete request */
    OW_HTTP_CONNECTION_HANDLING,      /**< the handler has a request */
    OW_HTTP_CONNECTION_HANDLING_LAST, /**< the handler has a request, the last one of the connection */
    OW_HTTP_CONNECTION_DRAINING,      /**< closed once all bytes are sent */
};

struct ow_http_connection;

/** Callbacks to the owner; all connections of a server share one struct. */
struct ow_http_connection_handlers {
    /** A request is complete. `connection->parser` holds it until it is answered; the callee may answer it
     * during the call, which may close the connection.
     * @return whether the connection still exists */
    bool (*request)(void *owner, struct ow_http_connection *connection);
    /** The connection is closed. The callee must drop its references: it is freed after this call. */
    void (*closed)(void *owner, struct ow_http_connection *connection);
    /** Passed to both callbacks. */
    void *owner;
};

/** A connection. The owner may read all fields, but writes only the last two. */
struct ow_http_connection {
    struct ow_loop *loop;
    const struct ow_http_connection_handlers *handlers;
    enum ow_http_connection_state state;
    struct ow_watch watch;
    double active_at; /**< monotonic time at which bytes were last received */
    struct ow_http_parser parser;
    size_t pending_limit_bytes; /**< maximum size of `pending` */
    GString *pending;           /**< bytes received after the current request */
    GString *out;               /**< response bytes to send */
    size_t sent;                /**< bytes of `out` that are sent */
    /* Written by the owner. */
    uint32_t slot;   /**< index in the server's table of connections */
    uint32_t serial; /**< of the current request */
};

/** Begins to serve an accepted connection.
 * @param loop must outlive the connection
 * @param fd takes ownership, also on failure
 * @param handlers must outlive the connection
 * @param body_limit_bytes maximum size of a request body
 * @return NULL if the loop can't watch the descriptor */
struct ow_http_connection *ow_http_connection_new(struct ow_loop *loop, int fd,
                                                  const struct ow_http_connection_handlers *handlers,
                                                  size_t body_limit_bytes);
/** Closes the connection immediately, calls `closed` and frees it. */
void ow_http_connection_close(struct ow_http_connection *connection);
/** Whether a request has not been answered yet. */
bool ow_http_connection_is_handling(const struct ow_http_connection *connection);
/** Answers the current request and reads the next one; this may close the connection.
 * @param connection HANDLING or HANDLING_LAST
 * @param status of the response
 * @param headers as in ow_http_server_answer
 * @param body JSON text; copied
 * @param size of `body`, in bytes */
void ow_http_connection_answer(struct ow_http_connection *connection, int status, const char *headers,
                               const char *body, size_t size);

#endif
