#include "raw_client.h"

#include "check.h"
#include "io/net.h"

#include <errno.h>
#include <string.h>
#include <sys/socket.h>

/* Iterations of the loop in which the server surely accepts a connection, or reads what was sent. */
enum { SETTLING_ITERATIONS = 5, RECEIVING_ITERATIONS = 100 };

void raw_client_run(struct socket_fixture *fixture, int iterations)
{
    for (int i = 0; i < iterations; i++)
        ow_loop_once(fixture->loop, socket_fixture_sweep, fixture);
}

void raw_client_run_for(struct socket_fixture *fixture, double seconds)
{
    g_autoptr(GTimer) timer = g_timer_new();
    while (g_timer_elapsed(timer, NULL) < seconds)
        raw_client_run(fixture, 1);
}

int raw_client_connect(struct socket_fixture *fixture)
{
    int fd = ow_net_connect(socket_endpoint);
    assert_true(fd >= 0);
    raw_client_run(fixture, SETTLING_ITERATIONS);
    return fd;
}

void raw_client_send(struct socket_fixture *fixture, int fd, const char *bytes, size_t size)
{
    while (size > 0) {
        ssize_t sent = send(fd, bytes, size, MSG_NOSIGNAL);
        if (sent < 0 && errno != EAGAIN)
            return; /* the server has closed the connection */
        bytes += MAX(sent, 0);
        size -= (size_t)MAX(sent, 0);
        raw_client_run(fixture, 1);
    }
}

void raw_client_offer(int fd, const char *bytes, size_t size)
{
    ssize_t sent = 0;
    for (; size > 0 && sent >= 0; size -= (size_t)MAX(sent, 0)) {
        sent = send(fd, bytes, size, MSG_NOSIGNAL);
        bytes += MAX(sent, 0);
    }
}

char *raw_client_receive(struct socket_fixture *fixture, int fd)
{
    GString *received = g_string_new(NULL);
    for (int i = 0; i < RECEIVING_ITERATIONS; i++) {
        char bytes[4096];
        ssize_t size = recv(fd, bytes, sizeof bytes, 0);
        if (size > 0)
            g_string_append_len(received, bytes, size);
        bool has_ended = size == 0 || (size < 0 && errno != EAGAIN);
        if (has_ended || received->len > 0)
            break;
        raw_client_run(fixture, 1);
    }
    return g_string_free(received, FALSE);
}

bool raw_client_is_closed(int fd)
{
    char bytes[4096];
    ssize_t size;
    do
        size = recv(fd, bytes, sizeof bytes, 0);
    while (size > 0);
    return size == 0 || errno != EAGAIN;
}

bool raw_client_others_are_served(struct socket_fixture *fixture)
{
    int responses = fixture->responses;
    ow_http_client_send(fixture->client, socket_endpoint, "POST", "/echo", "other", 3, 1);
    socket_fixture_run_until_responses(fixture, responses + 1);
    return fixture->status == 200 && strcmp(fixture->body->str, "other") == 0;
}
