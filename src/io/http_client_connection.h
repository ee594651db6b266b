/** @file
 * One connection of the HTTP client: sends a request, reads its response, and tells how that ended. Private
 * to the HTTP client, which owns the connection and decides what it is used for.
 *
 * States:
 *
 * (new)        --the connection can begin-->                         BUSY (new)        --it can't-->
 * UNREACHABLE BUSY         --the response is complete and leaves it open-->      IDLE IDLE
 * --ow_client_connection_send-->                        BUSY BUSY         --any other end of the request, or
 * the deadline-->    (end) IDLE         --anything comes or breaks, or the deadline-->        (end)
 * UNREACHABLE  --ow_client_connection_check_deadline-->              (end)
 *
 * Every transition to IDLE or (end) calls the owner's `end`, as the last access to the connection: the owner
 * may free it in the call, and after (end) it must.
 */
#ifndef OW_IO_HTTP_CLIENT_CONNECTION_H
#define OW_IO_HTTP_CLIENT_CONNECTION_H

#include "io/http_parse.h"
#include "io/loop.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** The states, as above. */
enum ow_client_connection_state {
    OW_CLIENT_CONNECTION_UNREACHABLE, /**< it has a request, but no socket: it could not even begin */
    OW_CLIENT_CONNECTION_BUSY,        /**< waits for a response */
    OW_CLIENT_CONNECTION_IDLE,        /**< established, waiting for a request */
};

struct ow_client_connection;

/** How the current request ended, or the connection itself. */
struct ow_client_outcome {
    bool has_request; /**< a request ends with this; false: an idle connection ended */
    uint64_t tag;     /**< of the request */
    int status; /**< of the response; OW_HTTP_STATUS_NONE: none, the request might have been carried out */
    const char *body; /**< valid during the call only, also when the connection is freed */
    size_t size;      /**< bytes of `body` */
    bool is_reusable; /**< the connection is IDLE now; false: it has ended, and the callee frees it */
};

/** The current request has ended, or an idle connection.
 * @param owner that of ow_client_connection_new
 * @param connection IDLE, or to be freed by the callee
 * @param outcome valid during the call only */
typedef void (*ow_client_connection_end_fn)(void *owner, struct ow_client_connection *connection,
                                            const struct ow_client_outcome *outcome);

/** Its fields are read by the client, but written by its own functions alone. */
struct ow_client_connection {
    struct ow_loop *loop;
    ow_client_connection_end_fn end;
    void *owner; /**< of `end` */
    char *endpoint;
    enum ow_client_connection_state state;
    struct ow_watch watch;
    uint64_t tag;    /**< of the request */
    double deadline; /**< monotonic time: of the request; IDLE: when to close */
    bool is_overdue; /**< past its deadline, and its socket has been read since */
    struct ow_http_parser parser;
    GString *out; /**< bytes to be sent */
    size_t sent;  /**< of `out` */
};

/** Begins to connect to ADDRESS:PORT, and waits for the request to be given to it at once, by
 * ow_client_connection_send.
 * @param loop must outlive the connection
 * @param endpoint copied
 * @param end called from the loop or from the functions below, as they say
 * @param owner handed to `end`; must outlive the connection */
struct ow_client_connection *ow_client_connection_new(struct ow_loop *loop, const char *endpoint,
                                                      ow_client_connection_end_fn end, void *owner);
/** Closes and frees the connection without telling the owner. */
void ow_client_connection_free(struct ow_client_connection *connection);

/** What is to be sent. The strings are copied. */
struct ow_client_request {
    const char *method;
    const char *path;
    const char *body; /**< JSON text, or NULL */
    double timeout_s;
    uint64_t tag;
};

/** Gives a new or an idle connection a request, which the loop sends. The owner is never told from inside
 * this call. */
void ow_client_connection_send(struct ow_client_connection *connection,
                               const struct ow_client_request *request);
/** Reads what has come; this may tell the owner. */
void ow_client_connection_read(struct ow_client_connection *connection);
/** Ends the request, and the connection with it, without a response; tells the owner. */
void ow_client_connection_fail(struct ow_client_connection *connection);
/** Ends a request that has timed out or a connection that has been idle for too long; this may call `end`. */
void ow_client_connection_check_deadline(struct ow_client_connection *connection, double now);
/** Whether a request has been sent on the connection, so that its response may be in the socket. */
bool ow_client_connection_awaits_response(const struct ow_client_connection *connection);

#endif
