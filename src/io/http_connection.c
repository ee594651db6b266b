#include "io/http_connection.h"

#include "model/http_status.h"
#include "io/net.h"

#include <errno.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

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

static void release_connection(struct ow_http_connection *connection)
{
    ow_loop_forget(connection->server->loop, &connection->watch);
    close(connection->watch.fd);
    ow_http_parser_clear(&connection->parser);
    g_string_free(connection->pending, TRUE);
    g_string_free(connection->out, TRUE);
    g_free(connection);
}

void ow_http_connection_close(struct ow_http_connection *connection)
{
    struct ow_http_server *server = connection->server;
    g_ptr_array_index(server->slots, connection->slot) = NULL;
    server->count--;
    release_connection(connection);
}

static void append_response(struct ow_http_connection *connection, int status, const char *headers,
                            const char *body, size_t size)
{
    g_string_append_printf(
        connection->out,
        "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\nContent-Length: %zu\r\n%s%s\r\n", status,
        reason_phrase(status), size, headers != NULL ? headers : "",
        connection->closing ? "Connection: close\r\n" : "");
    g_string_append_len(connection->out, body, (gssize)size);
}

/* False when the connection is gone. */
static bool push_out(struct ow_http_connection *connection)
{
    if (!ow_net_flush(connection->watch.fd, connection->out, &connection->sent) ||
        (connection->out->len == 0 && connection->closing)) {
        ow_http_connection_close(connection);
        return false;
    }
    ow_loop_change(connection->server->loop, &connection->watch,
                   EPOLLIN | (connection->out->len > 0 ? EPOLLOUT : 0));
    return true;
}

/* Answers and closes; false when the connection is gone. */
static bool refuse(struct ow_http_connection *connection, int status, const char *body)
{
    connection->closing = true;
    append_response(connection, status, NULL, body, strlen(body));
    return push_out(connection);
}

static void hand_over(struct ow_http_connection *connection)
{
    struct ow_http_server *server = connection->server;
    connection->waiting = true;
    connection->serial = ++server->next_serial;
    connection->closing = connection->closing || connection->parser.close;
    struct ow_http_request request = {
        .id = ((uint64_t)connection->slot << 32) | connection->serial,
        .method = connection->parser.method,
        .target = connection->parser.target->str,
        .body = connection->parser.body->str,
        .body_size = connection->parser.body->len,
    };
    server->handler(server->owner, &request);
}

/* False when the connection is gone. */
static bool take_bytes(struct ow_http_connection *connection, const char *data, size_t size)
{
    if (connection->waiting || connection->closing) {
        /* Pipelining does not occur; a peer that floods is cut off rather than buffered. */
        if (connection->pending->len + size > connection->server->body_limit) {
            ow_http_connection_close(connection);
            return false;
        }
        g_string_append_len(connection->pending, data, (gssize)size);
        return true;
    }
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
    /* Under load whoever has given up waiting is not served: that would delay those who still wait. */
    if (ow_loop_is_saturated(connection->server->loop) && ow_net_has_hung_up(connection->watch.fd)) {
        ow_http_connection_close(connection);
        return false;
    }
    if (used < size)
        g_string_append_len(connection->pending, data + used, (gssize)(size - used));
    /* The handler may answer at once and with that end the connection. */
    struct ow_http_server *server = connection->server;
    uint32_t slot = connection->slot;
    hand_over(connection);
    return g_ptr_array_index(server->slots, slot) == connection;
}

static void read_ready(struct ow_http_connection *connection)
{
    char buffer[READ_BYTES];
    for (;;) {
        size_t size = 0;
        enum ow_net_reading reading = ow_net_read(connection->watch.fd, buffer, sizeof buffer, &size);
        if (reading == OW_NET_LATER)
            return;
        if (reading == OW_NET_CLOSED) {
            ow_http_connection_close(connection);
            return;
        }
        connection->active_at = ow_loop_now(connection->server->loop);
        if (!take_bytes(connection, buffer, size) || size < sizeof buffer)
            return;
    }
}

static void connection_ready(void *owner, uint32_t events)
{
    struct ow_http_connection *connection = owner;
    if (events & EPOLLOUT) {
        if (!push_out(connection))
            return;
    }
    if (events & (EPOLLIN | EPOLLHUP | EPOLLERR))
        read_ready(connection);
}

void ow_http_connection_open(struct ow_http_server *server, int fd)
{
    struct ow_http_connection *connection = g_new0(struct ow_http_connection, 1);
    connection->server = server;
    connection->watch = (struct ow_watch){.fd = fd, .ready = connection_ready, .owner = connection};
    connection->active_at = ow_loop_now(server->loop);
    ow_http_parser_init(&connection->parser, OW_HTTP_REQUEST, server->body_limit);
    connection->pending = g_string_sized_new(0);
    connection->out = g_string_sized_new(0);
    if (!ow_loop_watch(server->loop, &connection->watch, EPOLLIN)) {
        release_connection(connection);
        return;
    }
    uint32_t slot = 0;
    while (slot < server->slots->len && g_ptr_array_index(server->slots, slot) != NULL)
        slot++;
    if (slot == server->slots->len)
        g_ptr_array_add(server->slots, NULL);
    connection->slot = slot;
    g_ptr_array_index(server->slots, slot) = connection;
    server->count++;
}

void ow_http_connection_answer(struct ow_http_connection *connection, int status, const char *headers,
                               const char *body, size_t size)
{
    connection->waiting = false;
    append_response(connection, status, headers, body, size);
    ow_http_parser_reset(&connection->parser);
    if (!push_out(connection) || connection->pending->len == 0 || connection->closing)
        return;
    GString *bytes = connection->pending;
    connection->pending = g_string_sized_new(0);
    take_bytes(connection, bytes->str, bytes->len);
    g_string_free(bytes, TRUE);
}
