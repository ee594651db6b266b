#include "io/peer_outgoing.h"

#include "io/net.h"

#include <errno.h>
#include <sys/epoll.h>
#include <sys/socket.h>

/* Messages are dropped when the unsent bytes of a link would exceed this. */
enum { BACKLOG_MAX_BYTES = 1024 * 1024 };
/* Delay before a failed connection attempt is repeated. */
static const double RETRY_S = 1;
/* A link that makes no progress for longer, in connecting or sending, is closed. */
static const double STALL_S = 5;

enum link_state { LINK_CLOSED, LINK_CONNECTING, LINK_ESTABLISHED };

struct ow_peer_outgoing {
    struct ow_loop *loop;
    const struct ow_peer_handlers *handlers;
    char *endpoint;
    enum link_state state;
    struct ow_watch watch;
    GString *out;            /* frames to send */
    size_t sent;             /* bytes of `out` that are sent */
    bool has_been_reachable; /* established at some time since `link_lost` was last called */
    double retry_at;         /* CLOSED: when to reopen the link */
    double progressed_at;    /* when it began to connect or last sent bytes */
};

static void close_link(struct ow_peer_outgoing *link)
{
    ow_loop_close(link->loop, &link->watch);
    /* A lost link is reopened immediately: if that is refused, the process has probably ended. */
    double retry_s = link->state == LINK_ESTABLISHED ? 0 : RETRY_S;
    link->retry_at = ow_loop_now(link->loop) + retry_s;
    link->state = LINK_CLOSED;
    g_string_truncate(link->out, 0);
    link->sent = 0;
}

static void flush(struct ow_peer_outgoing *link)
{
    size_t unsent_before = link->out->len - link->sent;
    if (!ow_net_flush(link->watch.fd, link->out, &link->sent)) {
        close_link(link);
        return;
    }
    if (link->out->len - link->sent != unsent_before)
        link->progressed_at = ow_loop_now(link->loop);
    ow_loop_change(link->loop, &link->watch, EPOLLIN | (link->out->len > 0 ? EPOLLOUT : 0));
}

/* Handles a failed connection attempt; `error` is its errno. */
static void handle_connect_error(struct ow_peer_outgoing *link, int error)
{
    close_link(link);
    if (error != ECONNREFUSED || !link->has_been_reachable)
        return;
    link->has_been_reachable = false;
    link->handlers->link_lost(link->handlers->owner, link->endpoint);
}

/* Whether the other controller has closed the link: as it never sends on it, a readable link is closed. */
static bool is_closed_by_peer(const struct ow_peer_outgoing *link, uint32_t events)
{
    char byte;
    return (events & (EPOLLIN | EPOLLHUP | EPOLLERR)) && recv(link->watch.fd, &byte, 1, 0) >= 0;
}

static void handle_ready(void *owner, uint32_t events)
{
    struct ow_peer_outgoing *link = owner;
    int error = link->state == LINK_CONNECTING ? ow_net_connect_error(link->watch.fd) : 0;
    if (error != 0) {
        handle_connect_error(link, error);
        return;
    }
    link->state = LINK_ESTABLISHED;
    link->has_been_reachable = true;
    if (is_closed_by_peer(link, events))
        close_link(link);
    else
        flush(link);
}

static void open_link(struct ow_peer_outgoing *link)
{
    link->retry_at = ow_loop_now(link->loop) + RETRY_S;
    int fd = ow_net_connect(link->endpoint);
    if (fd < 0)
        return;
    link->state = LINK_CONNECTING;
    link->watch = (struct ow_watch){.fd = fd, .ready = handle_ready, .owner = link};
    link->progressed_at = ow_loop_now(link->loop);
    ow_loop_watch(link->loop, &link->watch, EPOLLIN | EPOLLOUT);
}

struct ow_peer_outgoing *ow_peer_outgoing_new(struct ow_loop *loop, const char *endpoint,
                                              const struct ow_peer_handlers *handlers)
{
    struct ow_peer_outgoing *link = g_new0(struct ow_peer_outgoing, 1);
    link->loop = loop;
    link->handlers = handlers;
    link->endpoint = g_strdup(endpoint);
    link->state = LINK_CLOSED;
    link->watch.fd = OW_LOOP_NO_DESCRIPTOR;
    link->out = g_string_new(NULL);
    open_link(link);
    return link;
}

void ow_peer_outgoing_free(struct ow_peer_outgoing *link)
{
    ow_loop_close(link->loop, &link->watch);
    g_string_free(link->out, TRUE);
    g_free(link->endpoint);
    g_free(link);
}

const char *ow_peer_outgoing_endpoint(const struct ow_peer_outgoing *link)
{
    return link->endpoint;
}

void ow_peer_outgoing_send(struct ow_peer_outgoing *link, const GString *frame)
{
    if (link->state != LINK_ESTABLISHED)
        return;
    if (link->out->len + frame->len > BACKLOG_MAX_BYTES) {
        g_info("message dropped, peer link backlog is full: endpoint=%s bytes=%zu", link->endpoint,
               frame->len);
        return;
    }
    g_string_append_len(link->out, frame->str, (gssize)frame->len);
    flush(link);
}

static bool is_stalled(const struct ow_peer_outgoing *link, double now)
{
    bool wants_progress = link->state == LINK_CONNECTING || link->out->len > 0;
    return wants_progress && now - link->progressed_at > STALL_S;
}

void ow_peer_outgoing_sweep(struct ow_peer_outgoing *link, double now)
{
    if (is_stalled(link, now))
        close_link(link);
    if (link->state == LINK_CLOSED && now >= link->retry_at)
        open_link(link);
}
