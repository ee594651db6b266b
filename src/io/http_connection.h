/** @file
 * One connection of the HTTP server: reads requests, hands them over one at a time and writes the responses.
 * Private to the HTTP server, which owns the connection.
 *
 * States:
 *
 *     READING        --a request is complete-->                        HANDLING
 *     READING        --the same, and it is the sender's last-->        HANDLING_LAST
 *     READING        --what came is no request, which is answered-->   DRAINING
 *     HANDLING       --answered-->                                     READING
 *     HANDLING_LAST  --answered-->                                     DRAINING
 *     DRAINING       --everything is sent-->                           (closed)
 *     any            --the other side closes or floods, or
 *                      the owner calls ow_http_connection_close-->     (closed)
 *
 * Bytes that come while a request is with the handler wait until it is answered. */
#ifndef OW_IO_HTTP_CONNECTION_H
#define OW_IO_HTTP_CONNECTION_H

#include "io/http_parse.h"
#include "io/loop.h"

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** The states, as above. */
enum ow_http_connection_state {
    OW_HTTP_CONNECTION_READING,       /**< waits for a request or the rest of one */
    OW_HTTP_CONNECTION_HANDLING,      /**< a request is with the handler */
    OW_HTTP_CONNECTION_HANDLING_LAST, /**< the same, and the connection ends with its answer */
    OW_HTTP_CONNECTION_DRAINING,      /**< to be closed once everything is sent */
};

struct ow_http_connection;

/** What the owner is told; one such struct serves all its connections. */
struct ow_http_connection_handlers {
    /** A request is complete: `connection->parser` holds it until it is answered, which may happen in this
     * call, and may close the connection.
     * @return whether the connection still exists */
    bool (*request)(void *owner, struct ow_http_connection *connection);
    /** The connection closes: the callee forgets it. It is freed after this call. */
    void (*closed)(void *owner, struct ow_http_connection *connection);
    /** Handed to both. */
    void *owner;
};

/** The owner reads the fields, and writes its own two; all others are written here. */
struct ow_http_connection {
    struct ow_loop *loop;
    const struct ow_http_connection_handlers *handlers;
    enum ow_http_connection_state state;
    struct ow_watch watch;
    double active_at; /**< when it last received something (monotonic time) */
    struct ow_http_parser parser;
    size_t pending_limit_bytes; /**< of `pending` */
    GString *pending;           /**< bytes received after the current request */
    GString *out;               /**< bytes to be sent */
    size_t sent;                /**< of `out` */
    /* The owner's. */
    uint32_t slot;   /**< its place among the server's connections */
    uint32_t serial; /**< of the current request */
};

/** Serves an accepted connection.
 * @param loop must outlive the connection
 * @param fd takes ownership, also if this fails
 * @param handlers must outlive the connection
 * @param body_limit_bytes of a request at most
 * @return NULL if the loop can't watch the descriptor */
struct ow_http_connection *ow_http_connection_new(struct ow_loop *loop, int fd,
                                                  const struct ow_http_connection_handlers *handlers,
                                                  size_t body_limit_bytes);
/** Closes the connection at once, tells the owner and frees it. */
void ow_http_connection_close(struct ow_http_connection *connection);
/** Whether a request waits for its answer. */
bool ow_http_connection_is_handling(const struct ow_http_connection *connection);
/** Answers the current request and reads the next one; this may close the connection.
 * @param connection HANDLING or HANDLING_LAST
 * @param status of the response
 * @param headers as in ow_http_server_answer
 * @param body JSON text; copied
 * @param size bytes of `body` */
void ow_http_connection_answer(struct ow_http_connection *connection, int status, const char *headers,
                               const char *body, size_t size);

#endif
