#include "io/http_client.h"

#include "io/http_parse.h"
#include "io/net.h"

#include <errno.h>
#include <glib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

enum { IDLE_CLOSE_S = 20, BODY_LIMIT = 4 * 1024 * 1024 };

struct call {
    struct ow_http_client *client;
    struct ow_watch watch; /* fd -1: could not even begin */
    char *endpoint;
    bool busy;
    uint64_t tag;
    double deadline; /* busy: of the request; idle: when to close */
    struct ow_http_parser parser;
    GString *out;
    size_t sent;
};

struct ow_http_client {
    struct ow_loop *loop;
    ow_http_reply_fn reply;
    void *owner;
    GPtrArray *calls; /* connections, busy and idle; owned */
    unsigned most;    /* with more than these open, idle ones are closed */
};

/* Frees what the array of calls owns. */
static void release_call(gpointer data)
{
    struct call *call = data;
    if (call->watch.fd >= 0) {
        ow_loop_forget(call->client->loop, &call->watch);
        close(call->watch.fd);
    }
    ow_http_parser_clear(&call->parser);
    g_string_free(call->out, TRUE);
    g_free(call->endpoint);
    g_free(call);
}

static void free_call(struct call *call)
{
    g_ptr_array_remove_fast(call->client->calls, call);
}

static void fail_call(struct call *call)
{
    struct ow_http_client *client = call->client;
    bool busy = call->busy;
    uint64_t tag = call->tag;
    free_call(call);
    if (busy)
        client->reply(client->owner, tag, 0, "", 0);
}

static void finish_call(struct call *call)
{
    struct ow_http_client *client = call->client;
    GString *body = call->parser.body;
    uint64_t tag = call->tag;
    int status = call->parser.status;
    call->parser.body = g_string_sized_new(0);
    if (call->parser.close) {
        free_call(call);
    } else {
        ow_http_parser_reset(&call->parser);
        call->busy = false;
        call->deadline = ow_loop_now(client->loop) + IDLE_CLOSE_S;
    }
    client->reply(client->owner, tag, status, body->str, body->len);
    g_string_free(body, TRUE);
}

/* False when the connection is gone or the request has ended. */
static bool push_out(struct call *call)
{
    if (!ow_net_flush(call->watch.fd, call->out, &call->sent)) {
        fail_call(call);
        return false;
    }
    ow_loop_change(call->client->loop, &call->watch, EPOLLIN | (call->out->len > 0 ? EPOLLOUT : 0));
    return true;
}

static void read_ready(struct call *call)
{
    char buffer[16384];
    for (;;) {
        ssize_t n = recv(call->watch.fd, buffer, sizeof buffer, 0);
        if (n < 0 && errno == EINTR)
            continue;
        if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
            return;
        size_t used = 0;
        enum ow_http_result result = OW_HTTP_MALFORMED;
        if (n > 0 && call->busy)
            result = ow_http_parse(&call->parser, buffer, (size_t)n, &used);
        if (result == OW_HTTP_MORE)
            continue;
        /* Anything unasked-for on an idle connection ends it, too. */
        if (result == OW_HTTP_DONE && used == (size_t)n)
            finish_call(call);
        else
            fail_call(call);
        return;
    }
}

static void call_ready(void *owner, uint32_t events)
{
    struct call *call = owner;
    if (events & EPOLLOUT) {
        if (ow_net_connect_error(call->watch.fd) != 0) {
            fail_call(call);
            return;
        }
        if (!push_out(call))
            return;
    }
    if (events & (EPOLLIN | EPOLLHUP | EPOLLERR))
        read_ready(call);
}

static struct call *idle_call(struct ow_http_client *client, const char *endpoint)
{
    for (guint i = 0; i < client->calls->len; i++) {
        struct call *call = g_ptr_array_index(client->calls, i);
        if (!call->busy && strcmp(call->endpoint, endpoint) == 0)
            return call;
    }
    return NULL;
}

static struct call *longest_idle(const struct ow_http_client *client)
{
    struct call *longest = NULL;
    for (guint i = 0; i < client->calls->len; i++) {
        struct call *call = g_ptr_array_index(client->calls, i);
        if (!call->busy && (longest == NULL || call->deadline < longest->deadline))
            longest = call;
    }
    return longest;
}

/* The connection idle for longest gives way to a new one; false where all are busy. */
static bool make_room(struct ow_http_client *client)
{
    if (client->calls->len < client->most)
        return true;
    struct call *call = longest_idle(client);
    if (call != NULL)
        free_call(call);
    return call != NULL && client->calls->len < client->most;
}

static struct call *open_call(struct ow_http_client *client, const char *endpoint)
{
    struct call *call = g_new0(struct call, 1);
    call->client = client;
    call->endpoint = g_strdup(endpoint);
    call->watch = (struct ow_watch){.fd = ow_net_connect(endpoint), .ready = call_ready, .owner = call};
    ow_http_parser_init(&call->parser, OW_HTTP_RESPONSE, BODY_LIMIT);
    call->out = g_string_sized_new(256);
    g_ptr_array_add(client->calls, call);
    if (call->watch.fd >= 0)
        ow_loop_watch(client->loop, &call->watch, EPOLLIN | EPOLLOUT);
    return call;
}

struct ow_http_client *ow_http_client_new(struct ow_loop *loop, unsigned most, ow_http_reply_fn reply,
                                          void *owner)
{
    struct ow_http_client *client = g_new0(struct ow_http_client, 1);
    client->loop = loop;
    client->most = most;
    client->reply = reply;
    client->owner = owner;
    client->calls = g_ptr_array_new_with_free_func(release_call);
    return client;
}

void ow_http_client_free(struct ow_http_client *client)
{
    if (client == NULL)
        return;
    g_ptr_array_free(client->calls, TRUE);
    g_free(client);
}

void ow_http_client_send(struct ow_http_client *client, const char *endpoint, const char *method,
                         const char *path, const char *body, double timeout_s, uint64_t tag)
{
    struct call *call = idle_call(client, endpoint);
    if (call == NULL) {
        make_room(client); /* but who sends without having asked for room is in need of it */
        call = open_call(client, endpoint);
    }
    call->busy = true;
    call->tag = tag;
    call->deadline = ow_loop_now(client->loop) + timeout_s;
    g_string_append_printf(call->out, "%s %s HTTP/1.1\r\nHost: %s\r\n", method, path, endpoint);
    if (body != NULL)
        g_string_append_printf(call->out, "Content-Type: application/json\r\nContent-Length: %zu\r\n",
                               strlen(body));
    g_string_append(call->out, "\r\n");
    if (body != NULL)
        g_string_append(call->out, body);
    if (call->watch.fd >= 0)
        ow_loop_change(client->loop, &call->watch, EPOLLIN | EPOLLOUT);
    else
        call->deadline = 0; /* the sweep reports it */
}

void ow_http_client_bound(struct ow_http_client *client, unsigned most)
{
    client->most = most;
}

bool ow_http_client_has_room(struct ow_http_client *client, const char *endpoint)
{
    return idle_call(client, endpoint) != NULL || make_room(client);
}

/* Connections to many machines must not use up the sockets that reports need. */
static void close_surplus(struct ow_http_client *client)
{
    struct call *call;
    while (client->calls->len > client->most && (call = longest_idle(client)) != NULL)
        free_call(call);
}

void ow_http_client_sweep(struct ow_http_client *client, double now)
{
    close_surplus(client);
    for (guint i = client->calls->len; i > 0; i--) {
        if (i > client->calls->len)
            continue;
        struct call *call = g_ptr_array_index(client->calls, i - 1);
        if (now >= call->deadline)
            fail_call(call);
    }
}
