#include "io/http_client_connection.h"

#include "io/net.h"
#include "model/http_status.h"

#include <string.h>
#include <sys/epoll.h>

/* Idle connections are closed after this time. */
static const double IDLE_TIMEOUT_S = 20;
enum {
    BODY_LIMIT_BYTES = 4 * 1024 * 1024, /* of a response */
    READ_BYTES = 16 * 1024,             /* read from the socket at once */
    REQUEST_BYTES = 256,                /* initial buffer size, enough for a typical request */
};

/* ---- end of a request or connection ---- */

/* Ends the connection, and its current request, if any, with a status that the server did not send. */
static void fail_with(struct ow_client_connection *connection, enum ow_http_status status)
{
    struct ow_client_outcome outcome = {
        .has_request = connection->state != OW_CLIENT_CONNECTION_IDLE,
        .tag = connection->tag,
        .status = (int)status,
        .body = "",
    };
    connection->end(connection->owner, connection, &outcome);
}

void ow_client_connection_fail(struct ow_client_connection *connection)
{
    fail_with(connection, OW_HTTP_STATUS_NONE);
}

/* Handles a complete response. */
static void finish(struct ow_client_connection *connection)
{
    struct ow_http_parser *parser = &connection->parser;
    g_autoptr(GString) body = g_steal_pointer(&parser->body);
    parser->body = g_string_sized_new(0);
    struct ow_client_outcome outcome = {
        .has_request = true,
        .tag = connection->tag,
        .status = parser->status,
        .body = body->str,
        .size = body->len,
        .is_reusable = !parser->close,
    };
    if (outcome.is_reusable) {
        ow_http_parser_reset(parser);
        connection->state = OW_CLIENT_CONNECTION_IDLE;
        connection->deadline = ow_loop_now(connection->loop) + IDLE_TIMEOUT_S;
    }
    connection->end(connection->owner, connection, &outcome);
}

/* ---- reading and writing ---- */

/* Handles the result of parsing; OW_HTTP_MALFORMED also stands for the end of the connection. */
static void handle_parsed(struct ow_client_connection *connection, enum ow_http_result result,
                          bool is_all_used)
{
    /* Unsolicited bytes on an idle connection or after a response also end the connection. */
    if (result == OW_HTTP_DONE && is_all_used) {
        finish(connection);
    } else if (result == OW_HTTP_TOO_LARGE) {
        g_warning("answer too large: endpoint=%s limit_bytes=%d", connection->endpoint, BODY_LIMIT_BYTES);
        fail_with(connection, OW_HTTP_STATUS_CONTENT_TOO_LARGE);
    } else {
        ow_client_connection_fail(connection);
    }
}

void ow_client_connection_read(struct ow_client_connection *connection)
{
    char buffer[READ_BYTES];
    enum ow_http_result result;
    size_t size = 0;
    size_t used = 0;
    do {
        enum ow_net_read_result read_result = ow_net_read(connection->watch.fd, buffer, sizeof buffer, &size);
        if (read_result == OW_NET_WOULD_BLOCK)
            return;
        result = OW_HTTP_MALFORMED;
        if (read_result == OW_NET_DATA && connection->state == OW_CLIENT_CONNECTION_BUSY)
            result = ow_http_parse(&connection->parser, buffer, size, &used);
    } while (result == OW_HTTP_MORE);
    handle_parsed(connection, result, used == size);
}

static void watch_events(struct ow_client_connection *connection)
{
    uint32_t events = EPOLLIN | (connection->out->len > 0 ? EPOLLOUT : 0);
    ow_loop_change(connection->loop, &connection->watch, events);
}

/* Sends as much as the socket accepts. Returns false if the connection has ended. */
static bool flush(struct ow_client_connection *connection)
{
    bool is_open = ow_net_connect_error(connection->watch.fd) == 0 &&
                   ow_net_flush(connection->watch.fd, connection->out, &connection->sent);
    if (!is_open) {
        ow_client_connection_fail(connection);
        return false;
    }
    watch_events(connection);
    return true;
}

static void handle_ready(void *owner, uint32_t events)
{
    struct ow_client_connection *connection = owner;
    if ((events & EPOLLOUT) && !flush(connection))
        return;
    if (events & (EPOLLIN | EPOLLHUP | EPOLLERR))
        ow_client_connection_read(connection);
}

void ow_client_connection_advance(struct ow_client_connection *connection)
{
    if (connection->out->len > 0)
        flush(connection);
    else
        ow_client_connection_read(connection);
}

/* ---- creation and destruction ---- */

struct ow_client_connection *ow_client_connection_new(struct ow_loop *loop, const char *endpoint,
                                                      ow_client_connection_end_fn end, void *owner)
{
    struct ow_client_connection *connection = g_new0(struct ow_client_connection, 1);
    int fd = ow_net_connect(endpoint);
    connection->loop = loop;
    connection->end = end;
    connection->owner = owner;
    connection->endpoint = g_strdup(endpoint);
    connection->state = fd >= 0 ? OW_CLIENT_CONNECTION_BUSY : OW_CLIENT_CONNECTION_UNREACHABLE;
    connection->watch = (struct ow_watch){.fd = fd, .ready = handle_ready, .owner = connection};
    ow_http_parser_init(&connection->parser, OW_HTTP_RESPONSE, BODY_LIMIT_BYTES);
    connection->out = g_string_sized_new(REQUEST_BYTES);
    if (connection->state == OW_CLIENT_CONNECTION_BUSY)
        ow_loop_watch(loop, &connection->watch, EPOLLIN | EPOLLOUT);
    return connection;
}

void ow_client_connection_free(struct ow_client_connection *connection)
{
    ow_loop_close(connection->loop, &connection->watch);
    ow_http_parser_clear(&connection->parser);
    g_string_free(connection->out, TRUE);
    g_free(connection->endpoint);
    g_free(connection);
}

static void append_request(GString *out, const char *endpoint, const struct ow_client_request *request)
{
    g_string_append_printf(out, "%s %s HTTP/1.1\r\nHost: %s\r\n", request->method, request->path, endpoint);
    if (request->body != NULL)
        g_string_append_printf(out, "Content-Type: application/json\r\nContent-Length: %zu\r\n",
                               strlen(request->body));
    g_string_append(out, "\r\n");
    if (request->body != NULL)
        g_string_append(out, request->body);
}

void ow_client_connection_send(struct ow_client_connection *connection,
                               const struct ow_client_request *request)
{
    connection->is_overdue = false;
    connection->tag = request->tag;
    append_request(connection->out, connection->endpoint, request);
    if (connection->state == OW_CLIENT_CONNECTION_UNREACHABLE) {
        connection->deadline = 0; /* the next deadline check reports the failure */
        return;
    }
    bool is_established = connection->state == OW_CLIENT_CONNECTION_IDLE;
    connection->state = OW_CLIENT_CONNECTION_BUSY;
    connection->deadline = ow_loop_now(connection->loop) + request->timeout_s;
    /* Not left to the loop, which under load reports this descriptor only after thousands of others. If it
       fails, the loop reports the descriptor, and the request fails then. */
    if (is_established)
        (void)ow_net_flush(connection->watch.fd, connection->out, &connection->sent);
    watch_events(connection);
}

bool ow_client_connection_awaits_response(const struct ow_client_connection *connection)
{
    return connection->state == OW_CLIENT_CONNECTION_BUSY && connection->out->len == 0;
}

void ow_client_connection_check_deadline(struct ow_client_connection *connection, double now)
{
    if (now < connection->deadline)
        return;
    if (connection->is_overdue || !ow_client_connection_awaits_response(connection)) {
        ow_client_connection_fail(connection);
        return;
    }
    /* The delay may be in this process rather than in the server: received bytes are read first, and the
       request fails at the next check. */
    connection->is_overdue = true;
    ow_client_connection_read(connection);
}
