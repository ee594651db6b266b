/* Clients that send or read slowly cost neither memory nor the connections of workers, and are closed after a
 * stated time. */
#include "check.h"
#include "io/net.h"
#include "raw_client.h"

#include <string.h>
#include <sys/resource.h>
#include <unistd.h>

/* README's sample of the platform's settings: memory_mb and sockets; half of the memory is for all else. */
enum { MEMORY_BYTES = 56 * 1024 * 1024, BUFFERS_MAX_BYTES = MEMORY_BYTES / 2, CONNECTIONS = 740 };
/* Nearly a whole body, as large as a request may be. */
enum { BODY_LIMIT_BYTES = 64 * 1024, HALF_SENT_BYTES = 60 * 1024 };
/* Of the clients, the server and all else. */
enum { DESCRIPTORS = 4 * CONNECTIONS };
/* Closes idle connections after this time. */
static const double IDLE_S = 0.3;
/* A server may close a connection that has been idle for a second to make room. */
static const double CLOSABLE_S = 1.2;

static void test_request_that_drips_in_is_closed_after_the_idle_time(void **state)
{
    struct socket_fixture *fixture = *state;
    const struct ow_http_server_options options = {socket_endpoint, BODY_LIMIT_BYTES, 4, IDLE_S};
    socket_fixture_replace_server(fixture, &options);
    int fd = raw_client_connect(fixture);
    raw_client_send(fixture, fd, "POST / HTTP/1.1\r\nX: ", 20);
    for (int i = 0; i < 100 && !raw_client_is_closed(fd); i++) {
        raw_client_send(fixture, fd, "a", 1);
        raw_client_run_for(fixture, IDLE_S / 20);
        ow_http_server_sweep(fixture->server, ow_loop_now(fixture->loop));
    }
    assert_true(raw_client_is_closed(fd));
    close(fd);
}

/* All connections are taken: by a worker that sent a heartbeat some seconds ago, and by requests that drip
 * in. */
static void test_dripping_requests_do_not_take_the_connections_of_workers(void **state)
{
    static const char heartbeat[] = "POST /hello HTTP/1.1\r\nContent-Length: 2\r\n\r\nhi";
    struct socket_fixture *fixture = *state;
    int slow[3];
    int worker = raw_client_connect(fixture);
    raw_client_send(fixture, worker, heartbeat, strlen(heartbeat));
    g_free(raw_client_receive(fixture, worker));
    for (size_t i = 0; i < G_N_ELEMENTS(slow); i++) {
        slow[i] = raw_client_connect(fixture);
        raw_client_send(fixture, slow[i], "POST / HTTP/1.1\r\nX: ", 20);
    }
    raw_client_run_for(fixture, CLOSABLE_S);
    for (size_t i = 0; i < G_N_ELEMENTS(slow); i++)
        raw_client_send(fixture, slow[i], "a", 1);
    bool is_served = raw_client_others_are_served(fixture);
    bool is_worker_closed = raw_client_is_closed(worker);
    for (size_t i = 0; i < G_N_ELEMENTS(slow); i++)
        close(slow[i]);
    close(worker);
    assert_true(is_served);
    assert_false(is_worker_closed);
}

static void test_half_sent_bodies_stay_within_the_memory_quota(void **state)
{
    struct socket_fixture *fixture = *state;
    const struct ow_http_server_options options = {socket_endpoint, BODY_LIMIT_BYTES, CONNECTIONS, 60};
    socket_fixture_replace_server(fixture, &options);
    g_autofree char *body = g_strnfill(HALF_SENT_BYTES, ' ');
    g_autofree char *request =
        g_strdup_printf("POST / HTTP/1.1\r\nContent-Length: %d\r\n\r\n%s", (int)BODY_LIMIT_BYTES, body);
    int fds[CONNECTIONS];
    for (int i = 0; i < CONNECTIONS; i++) {
        fds[i] = ow_net_connect(socket_endpoint);
        raw_client_run(fixture, 1);
        raw_client_offer(fds[i], request, strlen(request));
    }
    raw_client_run(fixture, 100);
    size_t buffered_bytes = ow_http_server_take_metrics(fixture->server).buffered_bytes;
    for (int i = 0; i < CONNECTIONS; i++)
        close(fds[i]);
    assert_in_range(buffered_bytes, 0, BUFFERS_MAX_BYTES);
}

/* Each answer is as large as its request. What the system buffers is not the process's memory. */
static void test_answers_that_are_not_read_stay_within_the_memory_quota(void **state)
{
    enum { REQUESTS = 1200 };
    struct socket_fixture *fixture = *state;
    const struct ow_http_server_options options = {socket_endpoint, BODY_LIMIT_BYTES, 4, 60};
    socket_fixture_replace_server(fixture, &options);
    g_autofree char *body = g_strnfill(HALF_SENT_BYTES, ' ');
    g_autofree char *request =
        g_strdup_printf("POST / HTTP/1.1\r\nContent-Length: %d\r\n\r\n%s", (int)HALF_SENT_BYTES, body);
    int fd = raw_client_connect(fixture);
    for (int i = 0; i < REQUESTS; i++) {
        raw_client_offer(fd, request, strlen(request));
        raw_client_run(fixture, 1);
    }
    size_t buffered_bytes = ow_http_server_take_metrics(fixture->server).buffered_bytes;
    close(fd);
    assert_in_range(buffered_bytes, 0, BUFFERS_MAX_BYTES);
}

int main(void)
{
    const struct rlimit descriptors = {DESCRIPTORS, DESCRIPTORS};
    setrlimit(RLIMIT_NOFILE, &descriptors);
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(test_request_that_drips_in_is_closed_after_the_idle_time,
                                        socket_fixture_setup, socket_fixture_teardown),
        cmocka_unit_test_setup_teardown(test_dripping_requests_do_not_take_the_connections_of_workers,
                                        socket_fixture_setup, socket_fixture_teardown),
        cmocka_unit_test_setup_teardown(test_half_sent_bodies_stay_within_the_memory_quota,
                                        socket_fixture_setup, socket_fixture_teardown),
        cmocka_unit_test_setup_teardown(test_answers_that_are_not_read_stay_within_the_memory_quota,
                                        socket_fixture_setup, socket_fixture_teardown),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
