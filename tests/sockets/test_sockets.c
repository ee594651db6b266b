/* The event loop with the HTTP server and client, over loopback. */
#include "check.h"
#include "io/net.h"
#include "socket_fixture.h"

#include <errno.h>
#include <glib.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

static void test_kept_connection_answers_requests_and_refuses_large_bodies(void **state)
{
    struct socket_fixture *fixture = *state;
    for (int i = 1; i <= 5; i++) {
        ow_http_client_send(fixture->client, socket_endpoint, "POST", "/echo", "hello", 3, 7);
        socket_fixture_run_until_responses(fixture, i);
        assert_int_equal(fixture->status, 200);
        assert_string_equal(fixture->body->str, "hello");
    }
    char big[1201];
    memset(big, 'x', sizeof big - 1);
    big[sizeof big - 1] = '\0';
    ow_http_client_send(fixture->client, socket_endpoint, "POST", "/echo", big, 3, 7);
    socket_fixture_run_until_responses(fixture, 6);
    assert_int_equal(fixture->status, 413);
}

static void test_timeout_and_refused_connection_report_status_zero(void **state)
{
    struct socket_fixture *fixture = *state;
    fixture->silent = true;
    ow_http_client_send(fixture->client, socket_endpoint, "GET", "/", NULL, 0.1, 7);
    socket_fixture_run_until_responses(fixture, 1);
    assert_int_equal(fixture->status, 0);
    /* The server answers after the client has closed the connection: the response must be dropped. */
    for (int i = 0; i < 5; i++)
        ow_loop_once(fixture->loop, socket_fixture_sweep, fixture);
    ow_http_server_answer(fixture->server, fixture->last_request, 200, NULL, "late", 4);
    ow_http_client_send(fixture->client, "127.0.0.1:1", "GET", "/", NULL, 3, 8);
    socket_fixture_run_until_responses(fixture, 2);
    assert_int_equal(fixture->status, 0);
}

/* A loop that runs late may find a response in the socket after the request's deadline. It must take the
 * response: a time-out would make the caller retry, which only adds to the load. */
static void test_response_that_has_arrived_does_not_time_out(void **state)
{
    struct socket_fixture *fixture = *state;
    socket_fixture_send_held(fixture);
    ow_http_server_answer(fixture->server, fixture->last_request, 200, NULL, "here", 4);
    ow_http_client_sweep(fixture->client, ow_loop_now(fixture->loop) + 100);
    assert_int_equal(fixture->responses, 1);
    assert_int_equal(fixture->status, 200);
    assert_string_equal(fixture->body->str, "here");
}

static void test_reading_from_one_endpoint_takes_only_its_response(void **state)
{
    struct socket_fixture *fixture = *state;
    socket_fixture_send_held(fixture);
    ow_http_server_answer(fixture->server, fixture->last_request, 200, NULL, "here", 4);
    ow_http_client_advance(fixture->client, "127.0.0.1:1");
    assert_int_equal(fixture->responses, 0);
    ow_http_client_advance(fixture->client, socket_endpoint);
    assert_int_equal(fixture->responses, 1);
    assert_int_equal(fixture->status, 200);
}

/* The caller must see that a retry would give the same response. */
static void test_oversized_response_reports_status_413(void **state)
{
    struct socket_fixture *fixture = *state;
    socket_fixture_send_held(fixture);
    enum { TOO_LARGE_BYTES = 5 * 1024 * 1024 };
    size_t size = TOO_LARGE_BYTES;
    char *body = g_strnfill(size, 'x');
    ow_http_server_answer(fixture->server, fixture->last_request, 200, NULL, body, size);
    socket_fixture_run_until_responses(fixture, 1);
    assert_int_equal(fixture->status, 413);
    g_free(body);
}

/* Sends raw bytes to the server; returns what it receives until the connection is closed or 50 iterations
 * have passed. */
static void exchange_bytes(struct socket_fixture *fixture, const char *bytes, char *response, size_t size)
{
    int fd = ow_net_connect(socket_endpoint);
    size_t size_received = 0;
    assert_true(fd >= 0);
    for (int i = 0; i < 20; i++)
        ow_loop_once(fixture->loop, socket_fixture_sweep, fixture);
    assert_int_equal(send(fd, bytes, strlen(bytes), MSG_NOSIGNAL), strlen(bytes));
    for (int i = 0; i < 50 && size_received < size - 1; i++) {
        ow_loop_once(fixture->loop, socket_fixture_sweep, fixture);
        ssize_t received = recv(fd, response + size_received, size - 1 - size_received, 0);
        if (received == 0)
            break;
        size_received += received > 0 ? (size_t)received : 0;
    }
    response[size_received] = '\0';
    close(fd);
}

static void test_malformed_request_gets_400_and_a_closed_connection(void **state)
{
    struct socket_fixture *fixture = *state;
    char response[1024];
    exchange_bytes(fixture, "nonsense\r\n\r\n", response, sizeof response);
    assert_non_null(strstr(response, "HTTP/1.1 400"));
    assert_non_null(strstr(response, "Connection: close"));
    exchange_bytes(fixture, "GET / HTTP/1.1\r\nConnection: close\r\n\r\n", response, sizeof response);
    assert_non_null(strstr(response, "HTTP/1.1 200"));
    assert_non_null(strstr(response, "Connection: close"));
}

static void test_connections_beyond_the_limit_are_closed(void **state)
{
    struct socket_fixture *fixture = *state;
    int fds[6];
    char byte;
    for (int i = 0; i < 6; i++)
        fds[i] = ow_net_connect(socket_endpoint);
    for (int i = 0; i < 30; i++)
        ow_loop_once(fixture->loop, socket_fixture_sweep, fixture);
    assert_true(recv(fds[3], &byte, 1, 0) < 0 && errno == EAGAIN);
    assert_int_equal(recv(fds[5], &byte, 1, 0), 0);
    for (int i = 0; i < 6; i++)
        close(fds[i]);
}

/* When connections run out, the one that has been idle for longest is closed, so that a worker that sends
 * heartbeats keeps its connection. */
static void test_longest_idle_connection_is_evicted_for_a_new_one(void **state)
{
    static const char request[] = "POST /echo HTTP/1.1\r\nContent-Length: 2\r\n\r\nhi";
    struct socket_fixture *fixture = *state;
    int fds[4];
    char bytes[256];
    for (int i = 0; i < 4; i++)
        fds[i] = ow_net_connect(socket_endpoint);
    for (int i = 0; i < 120; i++)
        ow_loop_once(fixture->loop, socket_fixture_sweep, fixture);
    /* The first sends a heartbeat; the others have been silent for more than a second. */
    assert_true(send(fds[0], request, strlen(request), 0) > 0);
    for (int i = 0; i < 5; i++)
        ow_loop_once(fixture->loop, socket_fixture_sweep, fixture);
    ow_http_client_send(fixture->client, socket_endpoint, "POST", "/echo", "new", 3, 7);
    socket_fixture_run_until_responses(fixture, 1);
    assert_int_equal(fixture->status, 200);
    assert_true(recv(fds[0], bytes, sizeof bytes, 0) > 0);
    assert_true(recv(fds[0], bytes, sizeof bytes, 0) < 0 && errno == EAGAIN);
    for (int i = 0; i < 4; i++)
        close(fds[i]);
}

/* Commands to many machines at once must leave sockets to heartbeats: at the limit there is no room for
 * another connection until one is idle, and the one that has been idle for longest is then closed. */
static void test_client_has_no_room_beyond_its_connection_limit(void **state)
{
    struct socket_fixture *fixture = *state;
    ow_http_client_set_connections_max(fixture->client, 1);
    assert_true(ow_http_client_has_room(fixture->client, socket_endpoint));
    ow_http_client_send(fixture->client, socket_endpoint, "POST", "/echo", "one", 3, 1);
    assert_false(ow_http_client_has_room(fixture->client, socket_endpoint));
    socket_fixture_run_until_responses(fixture, 1);
    assert_true(ow_http_client_has_room(fixture->client, socket_endpoint));
    assert_int_equal(ow_http_server_count_connections(fixture->server), 1);
    assert_true(ow_http_client_has_room(fixture->client, "127.0.0.1:1"));
    for (int i = 0; i < 20; i++)
        ow_loop_once(fixture->loop, socket_fixture_sweep, fixture);
    assert_int_equal(ow_http_server_count_connections(fixture->server), 0);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(test_kept_connection_answers_requests_and_refuses_large_bodies,
                                        socket_fixture_setup, socket_fixture_teardown),
        cmocka_unit_test_setup_teardown(test_timeout_and_refused_connection_report_status_zero,
                                        socket_fixture_setup, socket_fixture_teardown),
        cmocka_unit_test_setup_teardown(test_response_that_has_arrived_does_not_time_out,
                                        socket_fixture_setup, socket_fixture_teardown),
        cmocka_unit_test_setup_teardown(test_reading_from_one_endpoint_takes_only_its_response,
                                        socket_fixture_setup, socket_fixture_teardown),
        cmocka_unit_test_setup_teardown(test_oversized_response_reports_status_413, socket_fixture_setup,
                                        socket_fixture_teardown),
        cmocka_unit_test_setup_teardown(test_malformed_request_gets_400_and_a_closed_connection,
                                        socket_fixture_setup, socket_fixture_teardown),
        cmocka_unit_test_setup_teardown(test_connections_beyond_the_limit_are_closed, socket_fixture_setup,
                                        socket_fixture_teardown),
        cmocka_unit_test_setup_teardown(test_longest_idle_connection_is_evicted_for_a_new_one,
                                        socket_fixture_setup, socket_fixture_teardown),
        cmocka_unit_test_setup_teardown(test_client_has_no_room_beyond_its_connection_limit,
                                        socket_fixture_setup, socket_fixture_teardown),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
