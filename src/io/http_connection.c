#include "io/http_connection.h"

#include "io/net.h"
#include "model/http_status.h"

#include <string.h>
#include <sys/epoll.h>

/* Maximum number of bytes read from the socket at once. */
enum { READ_BYTES = 16 * 1024 };

static const char *reason_phrase(int status)
{
    switch (status) {
    case OW_HTTP_STATUS_OK:
        return "OK";
    case OW_HTTP_STATUS_CREATED:
        return "Created";
    case OW_HTTP_STATUS_BAD_REQUEST:
        return "Bad Request";
    case OW_HTTP_STATUS_NOT_FOUND:
        return "Not Found";
    case OW_HTTP_STATUS_METHOD_NOT_ALLOWED:
        return "Method Not Allowed";
    case OW_HTTP_STATUS_CONTENT_TOO_LARGE:
        return "Content Too Large";
    case OW_HTTP_STATUS_MISDIRECTED:
        return "Misdirected Request";
    case OW_HTTP_STATUS_UNPROCESSABLE:
        return "Unprocessable Content";
    case OW_HTTP_STATUS_UNAVAILABLE:
        return "Service Unavailable";
    default:
        return "Status";
    }
}

/* ---- creation and destruction ---- */

static void release(struct ow_http_connection *connection)
{
    ow_loop_close(connection->loop, &connection->watch);
    ow_http_parser_clear(&connection->parser);
    g_string_free(connection->pending, TRUE);
    g_string_free(connection->out, TRUE);
    g_free(connection);
}

void ow_http_connection_close(struct ow_http_connection *connection)
{
    connection->handlers->closed(connection->handlers->owner, connection);
    release(connection);
}

bool ow_http_connection_is_handling(const struct ow_http_connection *connection)
{
    return connection->state == OW_HTTP_CONNECTION_HANDLING ||
           connection->state == OW_HTTP_CONNECTION_HANDLING_LAST;
}

/* Whether no more requests are read from the connection. */
static bool is_ending(const struct ow_http_connection *connection)
{
    return connection->state == OW_HTTP_CONNECTION_HANDLING_LAST ||
           connection->state == OW_HTTP_CONNECTION_DRAINING;
}

/* ---- writing ---- */

static void append_response(struct ow_http_connection *connection, int status, const char *headers,
                            const char *body, size_t size)
{
    g_string_append_printf(
        connection->out,
        "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\nContent-Length: %zu\r\n%s%s\r\n", status,
        reason_phrase(status), size, headers != NULL ? headers : "",
        is_ending(connection) ? "Connection: close\r\n" : "");
    g_string_append_len(connection->out, body, (gssize)size);
}

/* Sends as much as the socket accepts. Returns false if the connection has been closed. */
static bool flush(struct ow_http_connection *connection)
{
    if (!ow_net_flush(connection->watch.fd, connection->out, &connection->sent) ||
        (connection->out->len == 0 && is_ending(connection))) {
        ow_http_connection_close(connection);
        return false;
    }
    ow_loop_change(connection->loop, &connection->watch, EPOLLIN | (connection->out->len > 0 ? EPOLLOUT : 0));
    return true;
}

/* Answers an invalid request with an error, after which the connection is closed. Returns false if it has
   been closed already. */
static bool refuse(struct ow_http_connection *connection, enum ow_http_status status, const char *body)
{
    connection->state = OW_HTTP_CONNECTION_DRAINING;
    append_response(connection, (int)status, NULL, body, strlen(body));
    return flush(connection);
}

/* ---- reading ---- */

/* Buffers bytes that arrive while a request is handled. Returns false if the connection has been closed:
   clients don't pipeline requests, so one that sends too much is disconnected. */
static bool buffer_pending(struct ow_http_connection *connection, const char *data, size_t size)
{
    if (connection->pending->len + size > connection->pending_limit_bytes) {
        ow_http_connection_close(connection);
        return false;
    }
    g_string_append_len(connection->pending, data, (gssize)size);
    return true;
}

/* Passes the parsed request to the handler and buffers the bytes after it. Returns false if the connection
   has been closed. */
static bool pass_to_handler(struct ow_http_connection *connection, const char *rest, size_t rest_size)
{
    /* Under load, requests of clients that have disconnected are dropped: serving them would delay the
       clients that still wait. */
    if (ow_loop_is_saturated(connection->loop) && ow_net_has_hung_up(connection->watch.fd)) {
        ow_http_connection_close(connection);
        return false;
    }
    g_string_append_len(connection->pending, rest, (gssize)rest_size);
    connection->state =
        connection->parser.close ? OW_HTTP_CONNECTION_HANDLING_LAST : OW_HTTP_CONNECTION_HANDLING;
    return connection->handlers->request(connection->handlers->owner, connection);
}

/* Parses received bytes. Returns false if the connection has been closed. */
static bool parse_bytes(struct ow_http_connection *connection, const char *data, size_t size)
{
    if (connection->state != OW_HTTP_CONNECTION_READING)
        return buffer_pending(connection, data, size);
    size_t used = 0;
    switch (ow_http_parse(&connection->parser, data, size, &used)) {
    case OW_HTTP_MORE:
        return true;
    case OW_HTTP_MALFORMED:
        return refuse(connection, OW_HTTP_STATUS_BAD_REQUEST, "{\"error\":\"malformed HTTP\"}");
    case OW_HTTP_TOO_LARGE:
        return refuse(connection, OW_HTTP_STATUS_CONTENT_TOO_LARGE, "{\"error\":\"body too large\"}");
    case OW_HTTP_DONE:
        break;
    }
    return pass_to_handler(connection, data + used, size - used);
}

static void read_bytes(struct ow_http_connection *connection)
{
    char buffer[READ_BYTES];
    size_t size = 0;
    do {
        enum ow_net_read_result reading = ow_net_read(connection->watch.fd, buffer, sizeof buffer, &size);
        if (reading == OW_NET_WOULD_BLOCK)
            return;
        if (reading == OW_NET_CLOSED) {
            ow_http_connection_close(connection);
            return;
        }
        connection->active_at = ow_loop_now(connection->loop);
        if (!parse_bytes(connection, buffer, size))
            return;
    } while (size == sizeof buffer);
}

static void handle_ready(void *owner, uint32_t events)
{
    struct ow_http_connection *connection = owner;
    if ((events & EPOLLOUT) && !flush(connection))
        return;
    if (events & (EPOLLIN | EPOLLHUP | EPOLLERR))
        read_bytes(connection);
}

/* ---- interface to the server ---- */

struct ow_http_connection *ow_http_connection_new(struct ow_loop *loop, int fd,
                                                  const struct ow_http_connection_handlers *handlers,
                                                  size_t body_limit_bytes)
{
    struct ow_http_connection *connection = g_new0(struct ow_http_connection, 1);
    connection->loop = loop;
    connection->handlers = handlers;
    connection->state = OW_HTTP_CONNECTION_READING;
    connection->watch = (struct ow_watch){.fd = fd, .ready = handle_ready, .owner = connection};
    connection->active_at = ow_loop_now(loop);
    ow_http_parser_init(&connection->parser, OW_HTTP_REQUEST, body_limit_bytes);
    connection->pending_limit_bytes = body_limit_bytes;
    connection->pending = g_string_sized_new(0);
    connection->out = g_string_sized_new(0);
    if (!ow_loop_watch(loop, &connection->watch, EPOLLIN)) {
        release(connection);
        return NULL;
    }
    return connection;
}

void ow_http_connection_answer(struct ow_http_connection *connection, int status, const char *headers,
                               const char *body, size_t size)
{
    bool is_last = connection->state == OW_HTTP_CONNECTION_HANDLING_LAST;
    connection->state = is_last ? OW_HTTP_CONNECTION_DRAINING : OW_HTTP_CONNECTION_READING;
    append_response(connection, status, headers, body, size);
    ow_http_parser_reset(&connection->parser);
    if (!flush(connection) || connection->pending->len == 0 || is_last)
        return;
    g_autoptr(GString) bytes = g_steal_pointer(&connection->pending);
    connection->pending = g_string_sized_new(0);
    parse_bytes(connection, bytes->str, bytes->len);
}
