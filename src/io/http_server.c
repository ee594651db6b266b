#include "io/http_server.h"

#include "io/http_connection.h"
#include "io/net.h"

#include <sys/epoll.h>

/* Minimum idle time of a connection that is closed to make room for another one. */
static const double CLOSABLE_IDLE_S = 1;
/* A request id has the slot of the connection in its upper half, and the serial number of the request in its
   lower half. */
enum { ID_SLOT_SHIFT = 32 };

struct ow_http_server {
    struct ow_loop *loop;
    struct ow_http_server_options options;
    ow_http_handler handler;
    void *owner; /* of `handler` */
    struct ow_http_connection_handlers connection_handlers;
    struct ow_watch listener;
    GPtrArray *slots;     /* struct ow_http_connection, owned; NULL for a free slot */
    unsigned count;       /* number of open connections */
    uint32_t last_serial; /* serial number of the latest request */
    struct ow_http_server_metrics metrics;
};

/* ---- connections ---- */

/* Returns the connection in the slot, or NULL if there is none. */
static struct ow_http_connection *connection_at(const struct ow_http_server *server, uint32_t slot)
{
    return slot < server->slots->len ? g_ptr_array_index(server->slots, slot) : NULL;
}

/* Passes a complete request to the handler; `owner` is the server. Returns false if the connection has been
   closed. */
static bool handle_request(void *owner, struct ow_http_connection *connection)
{
    struct ow_http_server *server = owner;
    const struct ow_http_parser *parser = &connection->parser;
    uint32_t slot = connection->slot;
    connection->serial = ++server->last_serial;
    const struct ow_http_request request = {
        .id = ((ow_request_id)slot << ID_SLOT_SHIFT) | connection->serial,
        .method = parser->method,
        .target = parser->target->str,
        .body = parser->body->str,
        .body_size = parser->body->len,
    };
    server->handler(server->owner, &request);
    /* The handler may have answered during the call, which may have closed the connection. */
    return connection_at(server, slot) == connection;
}

/* Frees the slot of a connection that is closed; `owner` is the server. */
static void handle_closed(void *owner, struct ow_http_connection *connection)
{
    struct ow_http_server *server = owner;
    g_ptr_array_index(server->slots, connection->slot) = NULL;
    server->count--;
}

static uint32_t find_free_slot(struct ow_http_server *server)
{
    uint32_t slot = 0;
    while (slot < server->slots->len && g_ptr_array_index(server->slots, slot) != NULL)
        slot++;
    if (slot == server->slots->len)
        g_ptr_array_add(server->slots, NULL);
    return slot;
}

static void open_connection(struct ow_http_server *server, int fd)
{
    struct ow_http_connection *connection = ow_http_connection_new(
        server->loop, fd, &server->connection_handlers, server->options.body_limit_bytes);
    if (connection == NULL)
        return;
    connection->slot = find_free_slot(server);
    g_ptr_array_index(server->slots, connection->slot) = connection;
    server->count++;
}

/* Closes the connection that has been idle for longest, to make room for a new one. Returns false if all have
   been active recently. Workers send a heartbeat every few seconds, so their connections are closed only if
   no other one is idle. */
static bool close_longest_idle(struct ow_http_server *server)
{
    struct ow_http_connection *longest_idle = NULL;
    for (uint32_t slot = 0; slot < server->slots->len; slot++) {
        struct ow_http_connection *connection = connection_at(server, slot);
        if (connection != NULL && !ow_http_connection_is_handling(connection) &&
            (longest_idle == NULL || connection->active_at < longest_idle->active_at))
            longest_idle = connection;
    }
    if (longest_idle == NULL || ow_loop_now(server->loop) - longest_idle->active_at < CLOSABLE_IDLE_S)
        return false;
    ow_http_connection_close(longest_idle);
    server->metrics.closed_for_room++;
    return true;
}

static void handle_listener_ready(void *owner, uint32_t events)
{
    struct ow_http_server *server = owner;
    (void)events;
    for (;;) {
        int fd = ow_net_accept(server->listener.fd);
        if (fd < 0)
            return;
        /* Connections beyond the maximum are closed immediately, so that the load balancer tries another
           controller. */
        if (server->count >= server->options.max_connections && !close_longest_idle(server)) {
            ow_net_refuse(fd);
            server->metrics.refused++;
        } else {
            open_connection(server, fd);
        }
    }
}

/* ---- the server ---- */

struct ow_http_server *ow_http_server_new(struct ow_loop *loop, const struct ow_http_server_options *options,
                                          ow_http_handler handler, void *owner)
{
    int fd = ow_net_listen(options->endpoint);
    if (fd < 0)
        return NULL;
    struct ow_http_server *server = g_new0(struct ow_http_server, 1);
    server->loop = loop;
    server->options = *options;
    server->options.endpoint = NULL; /* owned by the caller, may be freed */
    server->handler = handler;
    server->owner = owner;
    server->connection_handlers = (struct ow_http_connection_handlers){
        .request = handle_request, .closed = handle_closed, .owner = server};
    server->listener = (struct ow_watch){.fd = fd, .ready = handle_listener_ready, .owner = server};
    server->slots = g_ptr_array_new();
    ow_loop_watch(loop, &server->listener, EPOLLIN);
    return server;
}

void ow_http_server_free(struct ow_http_server *server)
{
    if (server == NULL)
        return;
    for (uint32_t slot = 0; slot < server->slots->len; slot++) {
        struct ow_http_connection *connection = connection_at(server, slot);
        if (connection != NULL)
            ow_http_connection_close(connection);
    }
    ow_loop_close(server->loop, &server->listener);
    g_ptr_array_free(server->slots, TRUE);
    g_free(server);
}

/* Returns the connection whose current request has this id. NULL if the id is stale: the client may have
 * disconnected, and its slot may belong to another connection now. */
static struct ow_http_connection *connection_of_request(const struct ow_http_server *server, ow_request_id id)
{
    struct ow_http_connection *connection = connection_at(server, (uint32_t)(id >> ID_SLOT_SHIFT));
    if (connection == NULL || !ow_http_connection_is_handling(connection) ||
        connection->serial != (uint32_t)id)
        return NULL;
    return connection;
}

void ow_http_server_answer(struct ow_http_server *server, ow_request_id id, int status, const char *headers,
                           const char *body, size_t size)
{
    struct ow_http_connection *connection = connection_of_request(server, id);
    if (connection != NULL)
        ow_http_connection_answer(connection, status, headers, body, size);
}

char *ow_http_server_peer(const struct ow_http_server *server, ow_request_id id)
{
    const struct ow_http_connection *connection = connection_of_request(server, id);
    return connection != NULL ? ow_net_peer_endpoint(connection->watch.fd) : NULL;
}

unsigned ow_http_server_count_connections(const struct ow_http_server *server)
{
    return server->count;
}

static size_t count_buffered_bytes(const struct ow_http_server *server)
{
    size_t bytes = 0;
    for (uint32_t slot = 0; slot < server->slots->len; slot++) {
        const struct ow_http_connection *connection = connection_at(server, slot);
        if (connection != NULL)
            bytes += connection->parser.body->len + connection->pending->len + connection->out->len;
    }
    return bytes;
}

struct ow_http_server_metrics ow_http_server_take_metrics(struct ow_http_server *server)
{
    struct ow_http_server_metrics metrics = server->metrics;
    metrics.open = server->count;
    metrics.buffered_bytes = count_buffered_bytes(server);
    server->metrics = (struct ow_http_server_metrics){0};
    return metrics;
}

void ow_http_server_drop_unsent(struct ow_http_server *server)
{
    for (uint32_t slot = 0; slot < server->slots->len; slot++) {
        struct ow_http_connection *connection = connection_at(server, slot);
        if (connection != NULL && connection->out->len > 0)
            ow_http_connection_close(connection);
    }
}

/* Whether the connection has been idle for too long. It isn't while a request is being handled. */
static bool is_idle(const struct ow_http_server *server, const struct ow_http_connection *connection,
                    double now)
{
    return !ow_http_connection_is_handling(connection) &&
           now - connection->active_at > server->options.idle_s;
}

void ow_http_server_sweep(struct ow_http_server *server, double now)
{
    for (uint32_t slot = 0; slot < server->slots->len; slot++) {
        struct ow_http_connection *connection = connection_at(server, slot);
        if (connection != NULL && is_idle(server, connection, now))
            ow_http_connection_close(connection);
    }
}
