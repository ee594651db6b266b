#include "io/http_server.h"

#include "io/http_parse.h"
#include "io/net.h"

#include <errno.h>
#include <glib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

/* A connection that has said something so lately is not dropped for another. */
static const double QUIET_S = 1;

struct connection {
    struct ow_http_server *server;
    struct ow_watch watch;
    uint32_t slot;
    uint32_t serial; /* of the request at hand */
    double active_at;
    bool waiting; /* a request is with the handler */
    bool closing; /* close once everything is sent */
    struct ow_http_parser parser;
    GString *pending; /* bytes that came after the request at hand */
    GString *out;
    size_t sent;
};

struct ow_http_server {
    struct ow_loop *loop;
    struct ow_watch listener;
    size_t body_limit;
    unsigned max_connections;
    unsigned count;
    double idle_s;
    uint32_t next_serial;
    ow_http_handler handler;
    void *owner;
    GPtrArray *slots; /* connections or NULL */
};

static const char *reason_phrase(int status)
{
    switch (status) {
    case 200:
        return "OK";
    case 201:
        return "Created";
    case 400:
        return "Bad Request";
    case 404:
        return "Not Found";
    case 405:
        return "Method Not Allowed";
    case 413:
        return "Content Too Large";
    case 421:
        return "Misdirected Request";
    case 422:
        return "Unprocessable Content";
    case 503:
        return "Service Unavailable";
    default:
        return "Status";
    }
}

static void release_connection(struct connection *c)
{
    ow_loop_forget(c->server->loop, &c->watch);
    close(c->watch.fd);
    ow_http_parser_clear(&c->parser);
    g_string_free(c->pending, TRUE);
    g_string_free(c->out, TRUE);
    g_free(c);
}

static void close_connection(struct connection *c)
{
    struct ow_http_server *server = c->server;
    g_ptr_array_index(server->slots, c->slot) = NULL;
    server->count--;
    release_connection(c);
}

static void append_answer(struct connection *c, int status, const char *headers, const char *body,
                          size_t size)
{
    g_string_append_printf(
        c->out, "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\nContent-Length: %zu\r\n%s%s\r\n", status,
        reason_phrase(status), size, headers != NULL ? headers : "",
        c->closing ? "Connection: close\r\n" : "");
    g_string_append_len(c->out, body, (gssize)size);
}

/* False when the connection is gone. */
static bool push_out(struct connection *c)
{
    if (!ow_net_flush(c->watch.fd, c->out, &c->sent) || (c->out->len == 0 && c->closing)) {
        close_connection(c);
        return false;
    }
    ow_loop_change(c->server->loop, &c->watch, EPOLLIN | (c->out->len > 0 ? EPOLLOUT : 0));
    return true;
}

static bool refuse(struct connection *c, int status, const char *body)
{
    c->closing = true;
    append_answer(c, status, NULL, body, strlen(body));
    return push_out(c);
}

static void hand_over(struct connection *c)
{
    struct ow_http_server *server = c->server;
    c->waiting = true;
    c->serial = ++server->next_serial;
    c->closing = c->closing || c->parser.close;
    struct ow_http_request request = {
        .id = ((uint64_t)c->slot << 32) | c->serial,
        .method = c->parser.method,
        .target = c->parser.target->str,
        .body = c->parser.body->str,
        .body_size = c->parser.body->len,
    };
    server->handler(server->owner, &request);
}

/* False when the connection is gone. */
static bool take_bytes(struct connection *c, const char *data, size_t size)
{
    if (c->waiting || c->closing) {
        /* Pipelining does not occur; a peer that floods is cut off rather than buffered. */
        if (c->pending->len + size > c->server->body_limit) {
            close_connection(c);
            return false;
        }
        g_string_append_len(c->pending, data, (gssize)size);
        return true;
    }
    size_t used = 0;
    switch (ow_http_parse(&c->parser, data, size, &used)) {
    case OW_HTTP_MORE:
        return true;
    case OW_HTTP_MALFORMED:
        return refuse(c, 400, "{\"error\":\"malformed HTTP\"}");
    case OW_HTTP_TOO_LARGE:
        return refuse(c, 413, "{\"error\":\"body too large\"}");
    case OW_HTTP_DONE:
        break;
    }
    if (used < size)
        g_string_append_len(c->pending, data + used, (gssize)(size - used));
    /* The handler may answer at once and with that end the connection. */
    struct ow_http_server *server = c->server;
    uint32_t slot = c->slot;
    hand_over(c);
    return g_ptr_array_index(server->slots, slot) == c;
}

static void read_ready(struct connection *c)
{
    char buffer[16384];
    for (;;) {
        ssize_t n = recv(c->watch.fd, buffer, sizeof buffer, 0);
        if (n < 0 && errno == EINTR)
            continue;
        if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
            return;
        if (n <= 0) {
            close_connection(c);
            return;
        }
        c->active_at = ow_loop_now(c->server->loop);
        if (!take_bytes(c, buffer, (size_t)n) || (size_t)n < sizeof buffer)
            return;
    }
}

static void connection_ready(void *owner, uint32_t events)
{
    struct connection *c = owner;
    if (events & EPOLLOUT) {
        if (!push_out(c))
            return;
    }
    if (events & (EPOLLIN | EPOLLHUP | EPOLLERR))
        read_ready(c);
}

static void add_connection(struct ow_http_server *server, int fd)
{
    struct connection *c = g_new0(struct connection, 1);
    c->server = server;
    c->watch = (struct ow_watch){.fd = fd, .ready = connection_ready, .owner = c};
    c->active_at = ow_loop_now(server->loop);
    ow_http_parser_init(&c->parser, OW_HTTP_REQUEST, server->body_limit);
    c->pending = g_string_sized_new(0);
    c->out = g_string_sized_new(0);
    if (!ow_loop_watch(server->loop, &c->watch, EPOLLIN)) {
        release_connection(c);
        return;
    }
    uint32_t slot = 0;
    while (slot < server->slots->len && g_ptr_array_index(server->slots, slot) != NULL)
        slot++;
    if (slot == server->slots->len)
        g_ptr_array_add(server->slots, NULL);
    c->slot = slot;
    g_ptr_array_index(server->slots, slot) = c;
    server->count++;
}

/* Room for a new connection at the cost of the one that has been quiet for longest. Workers report every few
   seconds: it is never theirs while anybody else's stands idle. */
static bool drop_quietest(struct ow_http_server *server)
{
    struct connection *quietest = NULL;
    for (guint i = 0; i < server->slots->len; i++) {
        struct connection *c = g_ptr_array_index(server->slots, i);
        if (c != NULL && !c->waiting && (quietest == NULL || c->active_at < quietest->active_at))
            quietest = c;
    }
    if (quietest == NULL || ow_loop_now(server->loop) - quietest->active_at < QUIET_S)
        return false;
    close_connection(quietest);
    return true;
}

static void listener_ready(void *owner, uint32_t events)
{
    struct ow_http_server *server = owner;
    (void)events;
    for (;;) {
        int fd = ow_net_accept(server->listener.fd);
        if (fd < 0)
            return;
        /* Past the bound a connection is refused at once, so that the load balancer moves on. */
        if (server->count >= server->max_connections && !drop_quietest(server))
            close(fd);
        else
            add_connection(server, fd);
    }
}

struct ow_http_server *ow_http_server_new(struct ow_loop *loop, const struct ow_http_server_options *options,
                                          ow_http_handler handler, void *owner)
{
    int fd = ow_net_listen(options->endpoint);
    if (fd < 0)
        return NULL;
    struct ow_http_server *server = g_new0(struct ow_http_server, 1);
    server->loop = loop;
    server->listener = (struct ow_watch){.fd = fd, .ready = listener_ready, .owner = server};
    server->body_limit = options->body_limit;
    server->max_connections = options->max_connections;
    server->idle_s = options->idle_s;
    server->handler = handler;
    server->owner = owner;
    server->slots = g_ptr_array_new();
    ow_loop_watch(loop, &server->listener, EPOLLIN);
    return server;
}

void ow_http_server_free(struct ow_http_server *server)
{
    if (server == NULL)
        return;
    for (guint i = 0; i < server->slots->len; i++)
        if (g_ptr_array_index(server->slots, i) != NULL)
            close_connection(g_ptr_array_index(server->slots, i));
    ow_loop_forget(server->loop, &server->listener);
    close(server->listener.fd);
    g_ptr_array_free(server->slots, TRUE);
    g_free(server);
}

void ow_http_server_answer(struct ow_http_server *server, ow_request_id id, int status, const char *headers,
                           const char *body, size_t size)
{
    uint32_t slot = (uint32_t)(id >> 32);
    struct connection *c = slot < server->slots->len ? g_ptr_array_index(server->slots, slot) : NULL;
    /* The asker may have gone and its slot may serve somebody else by now. */
    if (c == NULL || !c->waiting || c->serial != (uint32_t)id)
        return;
    c->waiting = false;
    append_answer(c, status, headers, body, size);
    ow_http_parser_reset(&c->parser);
    if (!push_out(c) || c->pending->len == 0 || c->closing)
        return;
    GString *bytes = c->pending;
    c->pending = g_string_sized_new(0);
    take_bytes(c, bytes->str, bytes->len);
    g_string_free(bytes, TRUE);
}

unsigned ow_http_server_count(const struct ow_http_server *server)
{
    return server->count;
}

void ow_http_server_sweep(struct ow_http_server *server, double now)
{
    for (guint i = 0; i < server->slots->len; i++) {
        struct connection *c = g_ptr_array_index(server->slots, i);
        if (c != NULL && !c->waiting && now - c->active_at > server->idle_s)
            close_connection(c);
    }
}
