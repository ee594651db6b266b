#include "ready_connections.h"

#include "check.h"

#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

struct ready_connection {
    struct ow_watch watch;
    int peer_fd;
};

static void ignore_ready(void *owner, uint32_t events)
{
    (void)owner;
    (void)events;
}

static struct ready_connection *open_connection(struct ow_loop *loop)
{
    struct ready_connection *connection = g_new0(struct ready_connection, 1);
    int fds[2];
    assert_int_equal(socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, fds), 0);
    assert_int_equal(write(fds[1], "x", 1), 1);
    connection->peer_fd = fds[1];
    connection->watch = (struct ow_watch){.fd = fds[0], .ready = ignore_ready, .owner = connection};
    assert_true(ow_loop_watch(loop, &connection->watch, EPOLLIN));
    return connection;
}

GPtrArray *ready_connections_open(struct ow_loop *loop, unsigned count)
{
    GPtrArray *connections = g_ptr_array_new_with_free_func(g_free);
    for (unsigned i = 0; i < count; i++)
        g_ptr_array_add(connections, open_connection(loop));
    return connections;
}

void ready_connections_close(struct ow_loop *loop, GPtrArray *connections)
{
    for (guint i = 0; i < connections->len; i++) {
        struct ready_connection *connection = g_ptr_array_index(connections, i);
        ow_loop_close(loop, &connection->watch);
        close(connection->peer_fd);
    }
    g_ptr_array_free(connections, TRUE);
}
