/* Requests to the key-value store, such as the renewal of the leader's lease, beside hundreds of ready
 * connections. */
#include "ready_connections.h"
#include "socket_fixture.h"

#include "check.h"

#include <arpa/inet.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* Several batches of the loop. */
enum { READY_CONNECTIONS = 300, REQUEST_BYTES = 1024 };

/* A store that the test answers by hand, and a client whose connection to it is established and idle. */
struct store_fixture {
    struct socket_fixture sockets;
    int listener;
    int connection;
    char endpoint[32];
};

static int listen_on_free_port(char *endpoint, size_t size)
{
    struct sockaddr_in address = {.sin_family = AF_INET, .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    socklen_t length = sizeof address;
    int fd = socket(AF_INET, SOCK_STREAM, 0);
    assert_int_equal(bind(fd, (struct sockaddr *)&address, sizeof address), 0);
    assert_int_equal(listen(fd, 1), 0);
    assert_int_equal(getsockname(fd, (struct sockaddr *)&address, &length), 0);
    g_snprintf(endpoint, size, "127.0.0.1:%u", (unsigned)ntohs(address.sin_port));
    return fd;
}

static void send_request(struct store_fixture *fixture)
{
    ow_http_client_send(fixture->sockets.client, fixture->endpoint, "POST", "/holds/1/extend", "{}", 60, 1);
}

/* The bytes that have arrived at the store. */
static ssize_t receive(const struct store_fixture *fixture)
{
    char buffer[REQUEST_BYTES];
    return recv(fixture->connection, buffer, sizeof buffer, MSG_DONTWAIT);
}

static void answer(const struct store_fixture *fixture)
{
    static const char response[] = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";
    assert_int_equal(send(fixture->connection, response, strlen(response), 0), strlen(response));
}

static int setup(void **state)
{
    struct store_fixture *fixture = g_new0(struct store_fixture, 1);
    socket_fixture_open(&fixture->sockets);
    fixture->listener = listen_on_free_port(fixture->endpoint, sizeof fixture->endpoint);
    send_request(fixture);
    fixture->connection = accept(fixture->listener, NULL, NULL);
    while (receive(fixture) <= 0)
        ow_loop_once(fixture->sockets.loop, socket_fixture_sweep, &fixture->sockets);
    answer(fixture);
    socket_fixture_run_until_responses(&fixture->sockets, 1);
    *state = fixture;
    return 0;
}

static int teardown(void **state)
{
    struct store_fixture *fixture = *state;
    close(fixture->connection);
    close(fixture->listener);
    socket_fixture_close(&fixture->sockets);
    g_free(fixture);
    return 0;
}

/* Guards against leaders that lose their lease, one after the other, because its renewal is not sent. */
static void test_request_is_sent_before_other_ready_connections_are_served(void **state)
{
    struct store_fixture *fixture = *state;
    struct ow_loop *loop = fixture->sockets.loop;
    GPtrArray *connections = ready_connections_open(loop, READY_CONNECTIONS);
    ow_loop_once(loop, socket_fixture_sweep, &fixture->sockets);
    send_request(fixture);
    ow_loop_once(loop, socket_fixture_sweep, &fixture->sockets);
    ssize_t received = receive(fixture);
    ready_connections_close(loop, connections);
    assert_true(received > 0);
}

/* The same where no connection to the store is idle, so that a new one is opened. */
static void test_request_on_a_new_connection_needs_no_batch_of_the_loop(void **state)
{
    struct store_fixture *fixture = *state;
    send_request(fixture);
    send_request(fixture);
    int first_connection = fixture->connection;
    fixture->connection = accept(fixture->listener, NULL, NULL);
    ow_http_client_advance(fixture->sockets.client, fixture->endpoint);
    ssize_t received = receive(fixture);
    close(first_connection);
    assert_true(received > 0);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(test_request_is_sent_before_other_ready_connections_are_served, setup,
                                        teardown),
        cmocka_unit_test_setup_teardown(test_request_on_a_new_connection_needs_no_batch_of_the_loop, setup,
                                        teardown),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
