/** @file
 * One connection of the HTTP client: sends a request, reads its response, and reports the outcome. Private to
 * the HTTP client, which owns the connection and decides what it is used for.
 *
 * States:
 *
 *     (new)       --connecting has begun-->                         BUSY
 *     (new)       --no connection can be opened-->                  UNREACHABLE
 *     BUSY        --response complete, connection stays open-->     IDLE
 *     BUSY        --request ended otherwise, or deadline reached--> (end)
 *     IDLE        --ow_client_connection_send-->                    BUSY
 *     IDLE        --bytes received, error, or deadline reached-->   (end)
 *     UNREACHABLE --ow_client_connection_check_deadline-->          (end)
 *
 * Every transition to IDLE or (end) calls the owner's `end` callback, and doesn't access the connection
 * afterwards: the owner may free it in the callback, and must do so on (end).
 */
#ifndef OW_IO_HTTP_CLIENT_CONNECTION_H
#define OW_IO_HTTP_CLIENT_CONNECTION_H

#include "io/http_parse.h"
#include "io/loop.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** State of a connection; the transitions are described above. */
enum ow_client_connection_state {
    OW_CLIENT_CONNECTION_UNREACHABLE, /**< no socket could be opened; its request fails at the next deadline
                                         check */
    OW_CLIENT_CONNECTION_BUSY,        /**< sends a request or waits for its response */
    OW_CLIENT_CONNECTION_IDLE,        /**< established, waiting for a request */
};

struct ow_client_connection;

/** Outcome of the current request, or of the connection itself. */
struct ow_client_outcome {
    bool has_request; /**< a request has ended; false: an idle connection has ended */
    uint64_t tag;     /**< of the request */
    int status; /**< of the response; OW_HTTP_STATUS_NONE: none, the request may have been carried out */
    const char *body; /**< valid during the callback, even after the connection is freed */
    size_t size;      /**< of `body`, in bytes */
    bool is_reusable; /**< the connection is IDLE now; false: it has ended, and the callee must free it */
};

/** Called when the current request or an idle connection has ended.
 * @param owner as passed to ow_client_connection_new
 * @param connection IDLE, or to be freed by the callee
 * @param outcome valid during the call only */
typedef void (*ow_client_connection_end_fn)(void *owner, struct ow_client_connection *connection,
                                            const struct ow_client_outcome *outcome);

/** A connection. The client may read the fields, but only the functions below write them. */
struct ow_client_connection {
    struct ow_loop *loop;
    ow_client_connection_end_fn end;
    void *owner; /**< of `end` */
    char *endpoint;
    enum ow_client_connection_state state;
    struct ow_watch watch;
    uint64_t tag;    /**< of the request */
    double deadline; /**< monotonic time at which the request times out, or the IDLE connection is closed */
    bool is_overdue; /**< the deadline has passed, and the socket has been read since */
    struct ow_http_parser parser;
    GString *out; /**< request bytes to send */
    size_t sent;  /**< bytes of `out` that are sent */
};

/** Begins to connect to ADDRESS:PORT. The caller must pass the first request to ow_client_connection_send
 * immediately afterwards.
 * @param loop must outlive the connection
 * @param endpoint copied
 * @param end called from the loop, and from the functions below that document it
 * @param owner passed to `end`; must outlive the connection */
struct ow_client_connection *ow_client_connection_new(struct ow_loop *loop, const char *endpoint,
                                                      ow_client_connection_end_fn end, void *owner);
/** Closes and frees the connection without calling `end`. */
void ow_client_connection_free(struct ow_client_connection *connection);

/** A request to send. The strings are copied. */
struct ow_client_request {
    const char *method;
    const char *path;
    const char *body; /**< JSON text, or NULL */
    double timeout_s; /**< from sending to the complete response */
    uint64_t tag;
};

/** Assigns a request to a new or idle connection. On an established one it is sent at once, as far as the
 * socket accepts it, and the loop sends the rest. `end` is never called from inside this function. */
void ow_client_connection_send(struct ow_client_connection *connection,
                               const struct ow_client_request *request);
/** Sends the unsent bytes of a BUSY connection, or reads if there are none, without waiting for the loop; may
 * call `end`. */
void ow_client_connection_advance(struct ow_client_connection *connection);
/** Reads the bytes that have been received; may call `end`. */
void ow_client_connection_read(struct ow_client_connection *connection);
/** Ends the connection, and its request without a response; calls `end`. */
void ow_client_connection_fail(struct ow_client_connection *connection);
/** Ends a request that has timed out or a connection that has been idle for too long; may call `end`. */
void ow_client_connection_check_deadline(struct ow_client_connection *connection, double now);
/** Whether a request has been sent completely and its response may have arrived at the socket. */
bool ow_client_connection_awaits_response(const struct ow_client_connection *connection);

#endif
