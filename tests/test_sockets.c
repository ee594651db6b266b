/* The loop, the HTTP server and client, and the command line, over loopback. */
#include "check.h"
#include "io/http_client.h"
#include "io/http_server.h"
#include "io/net.h"

#include <errno.h>
#include <glib.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* Chosen for each test: with a fixed port two runs on one machine would conflict. */
static char endpoint[32];

struct bench {
    struct ow_loop *loop;
    struct ow_http_server *server;
    struct ow_http_client *client;
    int status, replies;
    GString *body;
    ow_request_id waiting;
    bool silent;
};

static void handle(void *owner, const struct ow_http_request *request)
{
    struct bench *bench = owner;
    bench->waiting = request->id;
    if (!bench->silent)
        ow_http_server_answer(bench->server, request->id, 200, NULL, request->body, request->body_size);
}

static void take(void *owner, uint64_t tag, int status, const char *body, size_t size)
{
    struct bench *bench = owner;
    (void)tag;
    bench->status = status;
    bench->replies++;
    g_string_truncate(bench->body, 0);
    g_string_append_len(bench->body, body, (gssize)size);
}

static double sweep_idle(void *owner, double now)
{
    struct bench *bench = owner;
    ow_http_client_sweep(bench->client, now);
    return 0.01;
}

static void choose_free_port(void)
{
    struct sockaddr_in address = {.sin_family = AF_INET, .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    socklen_t size = sizeof address;
    int fd = socket(AF_INET, SOCK_STREAM, 0);
    assert_int_equal(bind(fd, (struct sockaddr *)&address, sizeof address), 0);
    assert_int_equal(getsockname(fd, (struct sockaddr *)&address, &size), 0);
    close(fd);
    g_snprintf(endpoint, sizeof endpoint, "127.0.0.1:%u", (unsigned)ntohs(address.sin_port));
}

static void open_bench(struct bench *bench)
{
    choose_free_port();
    struct ow_http_server_options options = {endpoint, 1000, 4, 60};
    memset(bench, 0, sizeof *bench);
    bench->loop = ow_loop_new();
    bench->body = g_string_new(NULL);
    bench->server = ow_http_server_new(bench->loop, &options, handle, bench);
    assert_non_null(bench->server);
    bench->client = ow_http_client_new(bench->loop, 64, take, bench);
}

static void close_bench(struct bench *bench)
{
    ow_http_client_free(bench->client);
    ow_http_server_free(bench->server);
    ow_loop_free(bench->loop);
    g_string_free(bench->body, TRUE);
}

static void run_until_reply(struct bench *bench, int replies)
{
    for (int i = 0; i < 1000 && bench->replies < replies; i++)
        ow_loop_once(bench->loop, sweep_idle, bench);
    assert_int_equal(bench->replies, replies);
}

static void test_requests_and_keep_alive(void **state)
{
    (void)state;
    struct bench bench;
    open_bench(&bench);
    for (int i = 1; i <= 5; i++) {
        ow_http_client_send(bench.client, endpoint, "POST", "/echo", "hello", 3, 7);
        run_until_reply(&bench, i);
        assert_int_equal(bench.status, 200);
        assert_string_equal(bench.body->str, "hello");
    }
    char big[1201];
    memset(big, 'x', sizeof big - 1);
    big[sizeof big - 1] = '\0';
    ow_http_client_send(bench.client, endpoint, "POST", "/echo", big, 3, 7);
    run_until_reply(&bench, 6);
    assert_int_equal(bench.status, 413);
    close_bench(&bench);
}

static void test_time_out_and_refusal(void **state)
{
    (void)state;
    struct bench bench;
    open_bench(&bench);
    bench.silent = true;
    ow_http_client_send(bench.client, endpoint, "GET", "/", NULL, 0.1, 7);
    run_until_reply(&bench, 1);
    assert_int_equal(bench.status, 0);
    /* The response is ready after the client has gone: it must be dropped. */
    for (int i = 0; i < 5; i++)
        ow_loop_once(bench.loop, sweep_idle, &bench);
    ow_http_server_answer(bench.server, bench.waiting, 200, NULL, "late", 4);
    ow_http_client_send(bench.client, "127.0.0.1:1", "GET", "/", NULL, 3, 8);
    run_until_reply(&bench, 2);
    assert_int_equal(bench.status, 0);
    close_bench(&bench);
}

/* A request of which the server holds the answer back. */
static void send_held_request(struct bench *bench)
{
    bench->silent = true;
    bench->waiting = 0;
    ow_http_client_send(bench->client, endpoint, "GET", "/", NULL, 3, 7);
    for (int i = 0; i < 100 && bench->waiting == 0; i++)
        ow_loop_once(bench->loop, sweep_idle, bench);
    assert_int_equal(bench->replies, 0);
}

/* A loop that is behind finds the answer in the socket after the deadline: it is no time-out, and sent again
   the request would only add to the load. */
static void test_answer_that_has_come_is_no_time_out(void **state)
{
    (void)state;
    struct bench bench;
    open_bench(&bench);
    send_held_request(&bench);
    ow_http_server_answer(bench.server, bench.waiting, 200, NULL, "here", 4);
    ow_http_client_sweep(bench.client, ow_loop_now(bench.loop) + 100);
    assert_int_equal(bench.replies, 1);
    assert_int_equal(bench.status, 200);
    assert_string_equal(bench.body->str, "here");
    close_bench(&bench);
}

static void test_answers_of_one_endpoint_are_read_first(void **state)
{
    (void)state;
    struct bench bench;
    open_bench(&bench);
    send_held_request(&bench);
    ow_http_server_answer(bench.server, bench.waiting, 200, NULL, "here", 4);
    ow_http_client_read_from(bench.client, "127.0.0.1:1");
    assert_int_equal(bench.replies, 0);
    ow_http_client_read_from(bench.client, endpoint);
    assert_int_equal(bench.replies, 1);
    assert_int_equal(bench.status, 200);
    close_bench(&bench);
}

/* Whoever asked must know that asking again would bring the same. */
static void test_too_large_answer_is_told_from_none(void **state)
{
    (void)state;
    struct bench bench;
    open_bench(&bench);
    send_held_request(&bench);
    enum { TOO_LARGE_BYTES = 5 * 1024 * 1024 };
    size_t size = TOO_LARGE_BYTES;
    char *body = g_strnfill(size, 'x');
    ow_http_server_answer(bench.server, bench.waiting, 200, NULL, body, size);
    run_until_reply(&bench, 1);
    assert_int_equal(bench.status, 413);
    g_free(body);
    close_bench(&bench);
}

/* Sends raw bytes to the server; returns its response up to the end of the connection or a pause. */
static void exchange_bytes(struct bench *bench, const char *bytes, char *answer, size_t size)
{
    int fd = ow_net_connect(endpoint);
    size_t got = 0;
    assert_true(fd >= 0);
    for (int i = 0; i < 20; i++)
        ow_loop_once(bench->loop, sweep_idle, bench);
    assert_int_equal(send(fd, bytes, strlen(bytes), MSG_NOSIGNAL), strlen(bytes));
    for (int i = 0; i < 50 && got < size - 1; i++) {
        ow_loop_once(bench->loop, sweep_idle, bench);
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
    (void)state;
    struct bench bench;
    char answer[1024];
    open_bench(&bench);
    exchange_bytes(&bench, "nonsense\r\n\r\n", answer, sizeof answer);
    assert_non_null(strstr(answer, "HTTP/1.1 400"));
    assert_non_null(strstr(answer, "Connection: close"));
    exchange_bytes(&bench, "GET / HTTP/1.1\r\nConnection: close\r\n\r\n", answer, sizeof answer);
    assert_non_null(strstr(answer, "HTTP/1.1 200"));
    assert_non_null(strstr(answer, "Connection: close"));
    close_bench(&bench);
}

static void test_connections_are_bounded(void **state)
{
    (void)state;
    struct bench bench;
    int fds[6];
    char byte;
    open_bench(&bench);
    for (int i = 0; i < 6; i++)
        fds[i] = ow_net_connect(endpoint);
    for (int i = 0; i < 30; i++)
        ow_loop_once(bench.loop, sweep_idle, &bench);
    assert_true(recv(fds[3], &byte, 1, 0) < 0 && errno == EAGAIN);
    assert_int_equal(recv(fds[5], &byte, 1, 0), 0);
    for (int i = 0; i < 6; i++)
        close(fds[i]);
    close_bench(&bench);
}

/* Where connections run out the one that is quiet for longest makes room: a worker's that reports is never
 * it. */
static void test_idle_connections_are_evicted(void **state)
{
    (void)state;
    static const char request[] = "POST /echo HTTP/1.1\r\nContent-Length: 2\r\n\r\nhi";
    struct bench bench;
    int fds[4];
    char bytes[256];
    open_bench(&bench);
    for (int i = 0; i < 4; i++)
        fds[i] = ow_net_connect(endpoint);
    for (int i = 0; i < 120; i++)
        ow_loop_once(bench.loop, sweep_idle, &bench);
    /* The first reports; the others have been silent for more than a second. */
    assert_true(send(fds[0], request, strlen(request), 0) > 0);
    for (int i = 0; i < 5; i++)
        ow_loop_once(bench.loop, sweep_idle, &bench);
    ow_http_client_send(bench.client, endpoint, "POST", "/echo", "new", 3, 7);
    run_until_reply(&bench, 1);
    assert_int_equal(bench.status, 200);
    assert_true(recv(fds[0], bytes, sizeof bytes, 0) > 0);
    assert_true(recv(fds[0], bytes, sizeof bytes, 0) < 0 && errno == EAGAIN);
    for (int i = 0; i < 4; i++)
        close(fds[i]);
    close_bench(&bench);
}

/* Commands to many machines at once leave the sockets to reports: past the bound there is no room, and the
   connection that has been idle for longest makes some. */
static void test_client_connections_are_bounded(void **state)
{
    (void)state;
    struct bench bench;
    open_bench(&bench);
    ow_http_client_bound(bench.client, 1);
    assert_true(ow_http_client_has_room(bench.client, endpoint));
    ow_http_client_send(bench.client, endpoint, "POST", "/echo", "one", 3, 1);
    assert_false(ow_http_client_has_room(bench.client, endpoint));
    run_until_reply(&bench, 1);
    assert_true(ow_http_client_has_room(bench.client, endpoint));
    assert_int_equal(ow_http_server_count(bench.server), 1);
    assert_true(ow_http_client_has_room(bench.client, "127.0.0.1:1"));
    for (int i = 0; i < 20; i++)
        ow_loop_once(bench.loop, sweep_idle, &bench);
    assert_int_equal(ow_http_server_count(bench.server), 0);
    close_bench(&bench);
}

static int run_program(const char *arguments, char **out, char **err)
{
    char *line = g_strdup_printf("%s %s", g_getenv("OSPREYWELL"), arguments);
    int status = -1;
    assert_true(g_spawn_command_line_sync(line, out, err, &status, NULL));
    g_free(line);
    return status;
}

static void test_the_command_line(void **state)
{
    (void)state;
    char *out = NULL, *err = NULL;
    assert_int_equal(run_program("--version", &out, &err), 0);
    assert_non_null(strstr(out, "ospreywell "));
    g_free(out);
    g_free(err);
    assert_int_equal(run_program("--help", &out, &err), 0);
    assert_non_null(strstr(out, "--config"));
    g_free(out);
    g_free(err);
    assert_int_not_equal(run_program("--config /nonexistent.toml", &out, &err), 0);
    assert_non_null(strstr(err, "/nonexistent.toml"));
    g_free(out);
    g_free(err);
    assert_int_not_equal(run_program("dance", &out, &err), 0);
    g_free(out);
    g_free(err);
    assert_int_not_equal(run_program("show run-1 --server 127.0.0.1:1", &out, &err), 0);
    assert_non_null(strstr(err, "does not answer"));
    g_free(out);
    g_free(err);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_requests_and_keep_alive),
        cmocka_unit_test(test_time_out_and_refusal),
        cmocka_unit_test(test_answer_that_has_come_is_no_time_out),
        cmocka_unit_test(test_answers_of_one_endpoint_are_read_first),
        cmocka_unit_test(test_too_large_answer_is_told_from_none),
        cmocka_unit_test(test_malformed_requests_are_answered_and_closed),
        cmocka_unit_test(test_connections_are_bounded),
        cmocka_unit_test(test_idle_connections_are_evicted),
        cmocka_unit_test(test_client_connections_are_bounded),
        cmocka_unit_test(test_the_command_line),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
