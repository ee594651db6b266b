/* The loop, the HTTP server and client, over loopback. */
#include "check.h"
#include "io/net.h"
#include "socket_bench.h"

#include <errno.h>
#include <glib.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

static void test_requests_on_a_kept_connection_are_answered(void **state)
{
    struct socket_bench *bench = *state;
    for (int i = 1; i <= 5; i++) {
        ow_http_client_send(bench->client, socket_endpoint, "POST", "/echo", "hello", 3, 7);
        socket_bench_run_until_reply(bench, i);
        assert_int_equal(bench->status, 200);
        assert_string_equal(bench->body->str, "hello");
    }
    char big[1201];
    memset(big, 'x', sizeof big - 1);
    big[sizeof big - 1] = '\0';
    ow_http_client_send(bench->client, socket_endpoint, "POST", "/echo", big, 3, 7);
    socket_bench_run_until_reply(bench, 6);
    assert_int_equal(bench->status, 413);
}

static void test_time_out_and_refusal_are_answered_without_status(void **state)
{
    struct socket_bench *bench = *state;
    bench->silent = true;
    ow_http_client_send(bench->client, socket_endpoint, "GET", "/", NULL, 0.1, 7);
    socket_bench_run_until_reply(bench, 1);
    assert_int_equal(bench->status, 0);
    /* The response is ready after the client has gone: it must be dropped. */
    for (int i = 0; i < 5; i++)
        ow_loop_once(bench->loop, socket_bench_sweep, bench);
    ow_http_server_answer(bench->server, bench->waiting, 200, NULL, "late", 4);
    ow_http_client_send(bench->client, "127.0.0.1:1", "GET", "/", NULL, 3, 8);
    socket_bench_run_until_reply(bench, 2);
    assert_int_equal(bench->status, 0);
}

/* A loop that is behind finds the answer in the socket after the deadline: it is no time-out, and sent again
   the request would only add to the load. */
static void test_response_that_has_arrived_does_not_time_out(void **state)
{
    struct socket_bench *bench = *state;
    socket_bench_send_held(bench);
    ow_http_server_answer(bench->server, bench->waiting, 200, NULL, "here", 4);
    ow_http_client_sweep(bench->client, ow_loop_now(bench->loop) + 100);
    assert_int_equal(bench->replies, 1);
    assert_int_equal(bench->status, 200);
    assert_string_equal(bench->body->str, "here");
}

static void test_responses_of_the_first_endpoint_are_read_first(void **state)
{
    struct socket_bench *bench = *state;
    socket_bench_send_held(bench);
    ow_http_server_answer(bench->server, bench->waiting, 200, NULL, "here", 4);
    ow_http_client_read_from(bench->client, "127.0.0.1:1");
    assert_int_equal(bench->replies, 0);
    ow_http_client_read_from(bench->client, socket_endpoint);
    assert_int_equal(bench->replies, 1);
    assert_int_equal(bench->status, 200);
}

/* Whoever asked must know that asking again would bring the same. */
static void test_oversized_response_is_distinguished_from_none(void **state)
{
    struct socket_bench *bench = *state;
    socket_bench_send_held(bench);
    enum { TOO_LARGE_BYTES = 5 * 1024 * 1024 };
    size_t size = TOO_LARGE_BYTES;
    char *body = g_strnfill(size, 'x');
    ow_http_server_answer(bench->server, bench->waiting, 200, NULL, body, size);
    socket_bench_run_until_reply(bench, 1);
    assert_int_equal(bench->status, 413);
    g_free(body);
}

/* Sends raw bytes to the server; returns its response up to the end of the connection or a pause. */
static void exchange_bytes(struct socket_bench *bench, const char *bytes, char *answer, size_t size)
{
    int fd = ow_net_connect(socket_endpoint);
    size_t got = 0;
    assert_true(fd >= 0);
    for (int i = 0; i < 20; i++)
        ow_loop_once(bench->loop, socket_bench_sweep, bench);
    assert_int_equal(send(fd, bytes, strlen(bytes), MSG_NOSIGNAL), strlen(bytes));
    for (int i = 0; i < 50 && got < size - 1; i++) {
        ow_loop_once(bench->loop, socket_bench_sweep, bench);
        ssize_t n = recv(fd, answer + got, size - 1 - got, 0);
        if (n == 0)
            break;
        got += n > 0 ? (size_t)n : 0;
    }
    answer[got] = '\0';
    close(fd);
}

static void test_malformed_requests_are_answered_and_closed(void **state)
{
    struct socket_bench *bench = *state;
    char answer[1024];
    exchange_bytes(bench, "nonsense\r\n\r\n", answer, sizeof answer);
    assert_non_null(strstr(answer, "HTTP/1.1 400"));
    assert_non_null(strstr(answer, "Connection: close"));
    exchange_bytes(bench, "GET / HTTP/1.1\r\nConnection: close\r\n\r\n", answer, sizeof answer);
    assert_non_null(strstr(answer, "HTTP/1.1 200"));
    assert_non_null(strstr(answer, "Connection: close"));
}

static void test_connections_are_bounded(void **state)
{
    struct socket_bench *bench = *state;
    int fds[6];
    char byte;
    for (int i = 0; i < 6; i++)
        fds[i] = ow_net_connect(socket_endpoint);
    for (int i = 0; i < 30; i++)
        ow_loop_once(bench->loop, socket_bench_sweep, bench);
    assert_true(recv(fds[3], &byte, 1, 0) < 0 && errno == EAGAIN);
    assert_int_equal(recv(fds[5], &byte, 1, 0), 0);
    for (int i = 0; i < 6; i++)
        close(fds[i]);
}

/* Where connections run out the one that is quiet for longest makes room: a worker's that sends heartbeats is
 * never it. */
static void test_idle_connections_are_evicted(void **state)
{
    static const char request[] = "POST /echo HTTP/1.1\r\nContent-Length: 2\r\n\r\nhi";
    struct socket_bench *bench = *state;
    int fds[4];
    char bytes[256];
    for (int i = 0; i < 4; i++)
        fds[i] = ow_net_connect(socket_endpoint);
    for (int i = 0; i < 120; i++)
        ow_loop_once(bench->loop, socket_bench_sweep, bench);
    /* The first sends a heartbeat; the others have been silent for more than a second. */
    assert_true(send(fds[0], request, strlen(request), 0) > 0);
    for (int i = 0; i < 5; i++)
        ow_loop_once(bench->loop, socket_bench_sweep, bench);
    ow_http_client_send(bench->client, socket_endpoint, "POST", "/echo", "new", 3, 7);
    socket_bench_run_until_reply(bench, 1);
    assert_int_equal(bench->status, 200);
    assert_true(recv(fds[0], bytes, sizeof bytes, 0) > 0);
    assert_true(recv(fds[0], bytes, sizeof bytes, 0) < 0 && errno == EAGAIN);
    for (int i = 0; i < 4; i++)
        close(fds[i]);
}

/* Commands to many machines at once leave the sockets to heartbeats: past the bound there is no room, and the
   connection that has been idle for longest makes some. */
static void test_client_connections_are_bounded(void **state)
{
    struct socket_bench *bench = *state;
    ow_http_client_set_connections_max(bench->client, 1);
    assert_true(ow_http_client_has_room(bench->client, socket_endpoint));
    ow_http_client_send(bench->client, socket_endpoint, "POST", "/echo", "one", 3, 1);
    assert_false(ow_http_client_has_room(bench->client, socket_endpoint));
    socket_bench_run_until_reply(bench, 1);
    assert_true(ow_http_client_has_room(bench->client, socket_endpoint));
    assert_int_equal(ow_http_server_count_connections(bench->server), 1);
    assert_true(ow_http_client_has_room(bench->client, "127.0.0.1:1"));
    for (int i = 0; i < 20; i++)
        ow_loop_once(bench->loop, socket_bench_sweep, bench);
    assert_int_equal(ow_http_server_count_connections(bench->server), 0);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(test_requests_on_a_kept_connection_are_answered, socket_bench_setup,
                                        socket_bench_teardown),
        cmocka_unit_test_setup_teardown(test_time_out_and_refusal_are_answered_without_status,
                                        socket_bench_setup, socket_bench_teardown),
        cmocka_unit_test_setup_teardown(test_response_that_has_arrived_does_not_time_out, socket_bench_setup,
                                        socket_bench_teardown),
        cmocka_unit_test_setup_teardown(test_responses_of_the_first_endpoint_are_read_first,
                                        socket_bench_setup, socket_bench_teardown),
        cmocka_unit_test_setup_teardown(test_oversized_response_is_distinguished_from_none,
                                        socket_bench_setup, socket_bench_teardown),
        cmocka_unit_test_setup_teardown(test_malformed_requests_are_answered_and_closed, socket_bench_setup,
                                        socket_bench_teardown),
        cmocka_unit_test_setup_teardown(test_connections_are_bounded, socket_bench_setup,
                                        socket_bench_teardown),
        cmocka_unit_test_setup_teardown(test_idle_connections_are_evicted, socket_bench_setup,
                                        socket_bench_teardown),
        cmocka_unit_test_setup_teardown(test_client_connections_are_bounded, socket_bench_setup,
                                        socket_bench_teardown),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
