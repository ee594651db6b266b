#include "io/http_client.h"

#include "io/http_parse.h"
#include "model/http_status.h"
#include "io/idle_connections.h"
#include "io/net.h"

#include <glib.h>
#include <string.h>
#include <sys/epoll.h>
#include <unistd.h>

static const double IDLE_CLOSE_S = 20;
enum { BODY_LIMIT_BYTES = 4 * 1024 * 1024, READ_BYTES = 16 * 1024 };

/* A connection, and the request that is under way on it, if any. */
struct ow_client_connection {
    struct ow_http_client *client;
    struct ow_watch watch; /* fd -1: could not even begin */
    char *endpoint;
    bool busy;
    uint64_t tag;
    double deadline; /* busy: of the request; idle: when to close */
    bool is_overdue; /* past its deadline, and its socket has been read since */
    struct ow_http_parser parser;
    GString *out;
    size_t sent;
};

struct ow_http_client {
    struct ow_loop *loop;
    ow_http_reply_fn reply;
    void *owner;
    GPtrArray *connections; /* busy and idle, owned */
    struct ow_idle_connections *idle;
    unsigned most; /* with more than these open, idle ones are closed */
};

/* Frees what the array of connections owns. */
static void release_connection(gpointer data)
{
    struct ow_client_connection *connection = data;
    ow_idle_connections_remove(connection->client->idle, connection->endpoint, connection);
    if (connection->watch.fd >= 0) {
        ow_loop_forget(connection->client->loop, &connection->watch);
        close(connection->watch.fd);
    }
    ow_http_parser_clear(&connection->parser);
    g_string_free(connection->out, TRUE);
    g_free(connection->endpoint);
    g_free(connection);
}

static void close_connection(struct ow_client_connection *connection)
{
    g_ptr_array_remove_fast(connection->client->connections, connection);
}

/* Closes the connection and answers the request under way on it, if any, with a status of our own. */
static void fail_with(struct ow_client_connection *connection, enum ow_http_status status)
{
    struct ow_http_client *client = connection->client;
    bool busy = connection->busy;
    uint64_t tag = connection->tag;
    close_connection(connection);
    if (busy)
        client->reply(client->owner, tag, status, "", 0);
}

static void fail(struct ow_client_connection *connection)
{
    fail_with(connection, OW_HTTP_STATUS_NONE);
}

static void finish(struct ow_client_connection *connection)
{
    struct ow_http_client *client = connection->client;
    GString *body = connection->parser.body;
    uint64_t tag = connection->tag;
    int status = connection->parser.status;
    connection->parser.body = g_string_sized_new(0);
    if (connection->parser.close) {
        close_connection(connection);
    } else {
        ow_http_parser_reset(&connection->parser);
        connection->busy = false;
        ow_idle_connections_add(client->idle, connection->endpoint, connection);
        connection->deadline = ow_loop_now(client->loop) + IDLE_CLOSE_S;
    }
    client->reply(client->owner, tag, status, body->str, body->len);
    g_string_free(body, TRUE);
}

/* False when the connection is gone or the request has ended. */
static bool push_out(struct ow_client_connection *connection)
{
    if (!ow_net_flush(connection->watch.fd, connection->out, &connection->sent)) {
        fail(connection);
        return false;
    }
    ow_loop_change(connection->client->loop, &connection->watch,
                   EPOLLIN | (connection->out->len > 0 ? EPOLLOUT : 0));
    return true;
}

static void read_ready(struct ow_client_connection *connection)
{
    char buffer[READ_BYTES];
    for (;;) {
        size_t size = 0;
        size_t used = 0;
        enum ow_net_reading reading = ow_net_read(connection->watch.fd, buffer, sizeof buffer, &size);
        if (reading == OW_NET_LATER)
            return;
        enum ow_http_result result = OW_HTTP_MALFORMED;
        if (reading == OW_NET_DATA && connection->busy)
            result = ow_http_parse(&connection->parser, buffer, size, &used);
        if (result == OW_HTTP_MORE)
            continue;
        /* Anything unasked-for on an idle connection ends it, too. */
        if (result == OW_HTTP_DONE && used == size) {
            finish(connection);
        } else if (result == OW_HTTP_TOO_LARGE) {
            g_warning("an answer of %s exceeds %d bytes", connection->endpoint, BODY_LIMIT_BYTES);
            fail_with(connection, OW_HTTP_STATUS_CONTENT_TOO_LARGE);
        } else {
            fail(connection);
        }
        return;
    }
}

static void connection_ready(void *owner, uint32_t events)
{
    struct ow_client_connection *connection = owner;
    if (events & EPOLLOUT) {
        if (ow_net_connect_error(connection->watch.fd) != 0) {
            fail(connection);
            return;
        }
        if (!push_out(connection))
            return;
    }
    if (events & (EPOLLIN | EPOLLHUP | EPOLLERR))
        read_ready(connection);
}

static struct ow_client_connection *longest_idle(const struct ow_http_client *client)
{
    struct ow_client_connection *longest = NULL;
    for (guint i = 0; i < client->connections->len; i++) {
        struct ow_client_connection *connection = g_ptr_array_index(client->connections, i);
        if (!connection->busy && (longest == NULL || connection->deadline < longest->deadline))
            longest = connection;
    }
    return longest;
}

/* The connection idle for longest gives way to a new one; false where all are busy. */
static bool make_room(struct ow_http_client *client)
{
    if (client->connections->len < client->most)
        return true;
    struct ow_client_connection *connection = longest_idle(client);
    if (connection != NULL)
        close_connection(connection);
    return connection != NULL && client->connections->len < client->most;
}

static struct ow_client_connection *open_connection(struct ow_http_client *client, const char *endpoint)
{
    struct ow_client_connection *connection = g_new0(struct ow_client_connection, 1);
    connection->client = client;
    connection->busy = true;
    connection->endpoint = g_strdup(endpoint);
    connection->watch =
        (struct ow_watch){.fd = ow_net_connect(endpoint), .ready = connection_ready, .owner = connection};
    ow_http_parser_init(&connection->parser, OW_HTTP_RESPONSE, BODY_LIMIT_BYTES);
    connection->out = g_string_sized_new(256);
    g_ptr_array_add(client->connections, connection);
    if (connection->watch.fd >= 0)
        ow_loop_watch(client->loop, &connection->watch, EPOLLIN | EPOLLOUT);
    return connection;
}

struct ow_http_client *ow_http_client_new(struct ow_loop *loop, unsigned most, ow_http_reply_fn reply,
                                          void *owner)
{
    struct ow_http_client *client = g_new0(struct ow_http_client, 1);
    client->loop = loop;
    client->most = most;
    client->reply = reply;
    client->owner = owner;
    client->connections = g_ptr_array_new_with_free_func(release_connection);
    client->idle = ow_idle_connections_new();
    return client;
}

void ow_http_client_free(struct ow_http_client *client)
{
    if (client == NULL)
        return;
    g_ptr_array_free(client->connections, TRUE);
    ow_idle_connections_free(client->idle);
    g_free(client);
}

void ow_http_client_send(struct ow_http_client *client, const char *endpoint, const char *method,
                         const char *path, const char *body, double timeout_s, uint64_t tag)
{
    struct ow_client_connection *connection = ow_idle_connections_find(client->idle, endpoint);
    if (connection == NULL) {
        make_room(client); /* but who sends without having asked for room is in need of it */
        connection = open_connection(client, endpoint);
    }
    ow_idle_connections_remove(client->idle, endpoint, connection);
    connection->busy = true;
    connection->is_overdue = false;
    connection->tag = tag;
    connection->deadline = ow_loop_now(client->loop) + timeout_s;
    g_string_append_printf(connection->out, "%s %s HTTP/1.1\r\nHost: %s\r\n", method, path, endpoint);
    if (body != NULL)
        g_string_append_printf(connection->out, "Content-Type: application/json\r\nContent-Length: %zu\r\n",
                               strlen(body));
    g_string_append(connection->out, "\r\n");
    if (body != NULL)
        g_string_append(connection->out, body);
    if (connection->watch.fd >= 0)
        ow_loop_change(client->loop, &connection->watch, EPOLLIN | EPOLLOUT);
    else
        connection->deadline = 0; /* the sweep reports it */
}

/* Whether a request has left on the connection, so that its answer may lie in the socket. */
static bool awaits_answer(const struct ow_client_connection *connection)
{
    return connection->busy && connection->watch.fd >= 0 && connection->out->len == 0;
}

void ow_http_client_read_from(struct ow_http_client *client, const char *endpoint)
{
    for (guint i = client->connections->len; i > 0; i--) {
        if (i > client->connections->len)
            continue;
        struct ow_client_connection *connection = g_ptr_array_index(client->connections, i - 1);
        if (awaits_answer(connection) && strcmp(connection->endpoint, endpoint) == 0)
            read_ready(connection);
    }
}

void ow_http_client_drop_unsent(struct ow_http_client *client)
{
    for (guint i = client->connections->len; i > 0; i--) {
        if (i > client->connections->len)
            continue;
        struct ow_client_connection *connection = g_ptr_array_index(client->connections, i - 1);
        if (connection->out->len > 0)
            fail(connection);
    }
}

void ow_http_client_bound(struct ow_http_client *client, unsigned most)
{
    client->most = most;
}

bool ow_http_client_has_room(struct ow_http_client *client, const char *endpoint)
{
    return ow_idle_connections_find(client->idle, endpoint) != NULL || make_room(client);
}

/* Connections to many machines must not use up the sockets that reports need. */
static void close_surplus(struct ow_http_client *client)
{
    struct ow_client_connection *connection;
    while (client->connections->len > client->most && (connection = longest_idle(client)) != NULL)
        close_connection(connection);
}

void ow_http_client_sweep(struct ow_http_client *client, double now)
{
    close_surplus(client);
    for (guint i = client->connections->len; i > 0; i--) {
        if (i > client->connections->len)
            continue;
        struct ow_client_connection *connection = g_ptr_array_index(client->connections, i - 1);
        if (now < connection->deadline)
            continue;
        if (connection->is_overdue || !awaits_answer(connection)) {
            fail(connection);
            continue;
        }
        /* We may be late, not the answer: what has come is taken in, and the next sweep looks again. */
        connection->is_overdue = true;
        read_ready(connection);
    }
}
