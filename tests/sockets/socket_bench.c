#include "socket_bench.h"

#include "check.h"

#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

char socket_endpoint[32];

static void handle(void *owner, const struct ow_http_request *request)
{
    struct socket_bench *bench = owner;
    bench->waiting = request->id;
    if (!bench->silent)
        ow_http_server_answer(bench->server, request->id, 200, NULL, request->body, request->body_size);
}

static void take(void *owner, uint64_t tag, int status, const char *body, size_t size)
{
    struct socket_bench *bench = owner;
    (void)tag;
    bench->status = status;
    bench->replies++;
    g_string_truncate(bench->body, 0);
    g_string_append_len(bench->body, body, (gssize)size);
}

double socket_bench_sweep(void *owner, double now)
{
    struct socket_bench *bench = owner;
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
    g_snprintf(socket_endpoint, sizeof socket_endpoint, "127.0.0.1:%u", (unsigned)ntohs(address.sin_port));
}

void socket_bench_open(struct socket_bench *bench)
{
    choose_free_port();
    struct ow_http_server_options options = {socket_endpoint, 1000, 4, 60};
    memset(bench, 0, sizeof *bench);
    bench->loop = ow_loop_new();
    bench->body = g_string_new(NULL);
    bench->server = ow_http_server_new(bench->loop, &options, handle, bench);
    assert_non_null(bench->server);
    bench->client = ow_http_client_new(bench->loop, 64, take, bench);
}

void socket_bench_close(struct socket_bench *bench)
{
    ow_http_client_free(bench->client);
    ow_http_server_free(bench->server);
    ow_loop_free(bench->loop);
    g_string_free(bench->body, TRUE);
}

int socket_bench_setup(void **state)
{
    struct socket_bench *bench = g_new0(struct socket_bench, 1);
    socket_bench_open(bench);
    *state = bench;
    return 0;
}

int socket_bench_teardown(void **state)
{
    socket_bench_close(*state);
    g_free(*state);
    return 0;
}

void socket_bench_run_until_reply(struct socket_bench *bench, int replies)
{
    for (int i = 0; i < 1000 && bench->replies < replies; i++)
        ow_loop_once(bench->loop, socket_bench_sweep, bench);
    assert_int_equal(bench->replies, replies);
}

void socket_bench_send_held(struct socket_bench *bench)
{
    bench->silent = true;
    bench->waiting = 0;
    ow_http_client_send(bench->client, socket_endpoint, "GET", "/", NULL, 3, 7);
    for (int i = 0; i < 100 && bench->waiting == 0; i++)
        ow_loop_once(bench->loop, socket_bench_sweep, bench);
    assert_int_equal(bench->replies, 0);
}
