#include "io/http_server.h"

#include "io/http_connection.h"
#include "io/net.h"

#include <sys/epoll.h>
#include <unistd.h>

/* A connection that has said something so lately is not dropped for another. */
static const double QUIET_S = 1;

/* Room for a new connection at the cost of the one that has been quiet for longest. Workers report every few
   seconds: it is never theirs while anybody else's stands idle. */
static bool drop_quietest(struct ow_http_server *server)
{
    struct ow_http_connection *quietest = NULL;
    for (guint i = 0; i < server->slots->len; i++) {
        struct ow_http_connection *connection = g_ptr_array_index(server->slots, i);
        if (connection != NULL && !connection->waiting &&
            (quietest == NULL || connection->active_at < quietest->active_at))
            quietest = connection;
    }
    if (quietest == NULL || ow_loop_now(server->loop) - quietest->active_at < QUIET_S)
        return false;
    ow_http_connection_close(quietest);
    return true;
}

static void listener_ready(void *owner, uint32_t events)
{
    struct ow_http_server *server = owner;
    (void)events;
    for (;;) {
        int fd = ow_net_accept(server->listener.fd);
        if (fd < 0)
            return;
        /* Past the bound a connection is refused at once, so that the load balancer moves on. */
        if (server->count >= server->max_connections && !drop_quietest(server))
            close(fd);
        else
            ow_http_connection_open(server, fd);
    }
}

struct ow_http_server *ow_http_server_new(struct ow_loop *loop, const struct ow_http_server_options *options,
                                          ow_http_handler handler, void *owner)
{
    int fd = ow_net_listen(options->endpoint);
    if (fd < 0)
        return NULL;
    struct ow_http_server *server = g_new0(struct ow_http_server, 1);
    server->loop = loop;
    server->listener = (struct ow_watch){.fd = fd, .ready = listener_ready, .owner = server};
    server->body_limit = options->body_limit;
    server->max_connections = options->max_connections;
    server->idle_s = options->idle_s;
    server->handler = handler;
    server->owner = owner;
    server->slots = g_ptr_array_new();
    ow_loop_watch(loop, &server->listener, EPOLLIN);
    return server;
}

void ow_http_server_free(struct ow_http_server *server)
{
    if (server == NULL)
        return;
    for (guint i = 0; i < server->slots->len; i++)
        if (g_ptr_array_index(server->slots, i) != NULL)
            ow_http_connection_close(g_ptr_array_index(server->slots, i));
    ow_loop_forget(server->loop, &server->listener);
    close(server->listener.fd);
    g_ptr_array_free(server->slots, TRUE);
    g_free(server);
}

void ow_http_server_answer(struct ow_http_server *server, ow_request_id id, int status, const char *headers,
                           const char *body, size_t size)
{
    uint32_t slot = (uint32_t)(id >> 32);
    struct ow_http_connection *connection =
        slot < server->slots->len ? g_ptr_array_index(server->slots, slot) : NULL;
    /* The asker may have gone and its slot may serve somebody else by now. */
    if (connection == NULL || !connection->waiting || connection->serial != (uint32_t)id)
        return;
    ow_http_connection_answer(connection, status, headers, body, size);
}

unsigned ow_http_server_count(const struct ow_http_server *server)
{
    return server->count;
}

void ow_http_server_sweep(struct ow_http_server *server, double now)
{
    for (guint i = 0; i < server->slots->len; i++) {
        struct ow_http_connection *connection = g_ptr_array_index(server->slots, i);
        if (connection != NULL && !connection->waiting && now - connection->active_at > server->idle_s)
            ow_http_connection_close(connection);
    }
}

void ow_http_server_drop_unsent(struct ow_http_server *server)
{
    for (guint i = 0; i < server->slots->len; i++) {
        struct ow_http_connection *connection = g_ptr_array_index(server->slots, i);
        if (connection != NULL && connection->out->len > 0)
            ow_http_connection_close(connection);
    }
}
