#include "socket_fixture.h"

#include "check.h"

#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

char socket_endpoint[32];

static void handle_request(void *owner, const struct ow_http_request *request)
{
    struct socket_fixture *fixture = owner;
    fixture->last_request = request->id;
    if (!fixture->silent)
        ow_http_server_answer(fixture->server, request->id, 200, NULL, request->body, request->body_size);
}

static void record_response(void *owner, uint64_t tag, int status, const char *body, size_t size)
{
    struct socket_fixture *fixture = owner;
    (void)tag;
    fixture->status = status;
    fixture->responses++;
    g_string_truncate(fixture->body, 0);
    g_string_append_len(fixture->body, body, (gssize)size);
}

double socket_fixture_sweep(void *owner, double now)
{
    struct socket_fixture *fixture = owner;
    ow_http_client_sweep(fixture->client, now);
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

void socket_fixture_open(struct socket_fixture *fixture)
{
    choose_free_port();
    struct ow_http_server_options options = {socket_endpoint, 1000, 4, 60};
    memset(fixture, 0, sizeof *fixture);
    fixture->loop = ow_loop_new();
    fixture->body = g_string_new(NULL);
    fixture->server = ow_http_server_new(fixture->loop, &options, handle_request, fixture);
    assert_non_null(fixture->server);
    fixture->client = ow_http_client_new(fixture->loop, 64, record_response, fixture);
}

void socket_fixture_replace_server(struct socket_fixture *fixture,
                                   const struct ow_http_server_options *options)
{
    ow_http_server_free(fixture->server);
    fixture->server = ow_http_server_new(fixture->loop, options, handle_request, fixture);
    assert_non_null(fixture->server);
}

void socket_fixture_close(struct socket_fixture *fixture)
{
    ow_http_client_free(fixture->client);
    ow_http_server_free(fixture->server);
    ow_loop_free(fixture->loop);
    g_string_free(fixture->body, TRUE);
}

int socket_fixture_setup(void **state)
{
    struct socket_fixture *fixture = g_new0(struct socket_fixture, 1);
    socket_fixture_open(fixture);
    *state = fixture;
    return 0;
}

int socket_fixture_teardown(void **state)
{
    socket_fixture_close(*state);
    g_free(*state);
    return 0;
}

void socket_fixture_run_until_responses(struct socket_fixture *fixture, int responses)
{
    for (int i = 0; i < 1000 && fixture->responses < responses; i++)
        ow_loop_once(fixture->loop, socket_fixture_sweep, fixture);
    assert_int_equal(fixture->responses, responses);
}

void socket_fixture_send_held(struct socket_fixture *fixture)
{
    fixture->silent = true;
    fixture->last_request = 0;
    ow_http_client_send(fixture->client, socket_endpoint, "GET", "/", NULL, 3, 7);
    for (int i = 0; i < 100 && fixture->last_request == 0; i++)
        ow_loop_once(fixture->loop, socket_fixture_sweep, fixture);
    assert_int_equal(fixture->responses, 0);
}
