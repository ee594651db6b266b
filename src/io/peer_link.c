#include "io/peer_link.h"

#include "io/net.h"
#include "wire/peer_xdr.h"

#include <arpa/inet.h>
#include <errno.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

/* A peer that takes nothing is cut off before its backlog matters. */
enum { BACKLOG_MAX = 128 * 1024, INCOMING_MAX = 32 };
static const double RETRY_S = 1, STALL_S = 5, SILENT_S = 15;

struct out_link {
    struct ow_peer_links *links;
    struct ow_watch watch; /* fd -1: not connected */
    char *endpoint;
    GString *out;
    size_t sent;
    bool connected;
    bool stood; /* since we last said that it is lost */
    double retry_at, moved_at;
};

struct in_link {
    struct ow_peer_links *links;
    struct ow_watch watch;
    GString *in;
    double heard_at;
};

struct ow_peer_links {
    struct ow_loop *loop;
    struct ow_watch listener;
    GPtrArray *out; /* struct out_link */
    GPtrArray *in;  /* struct in_link, owned */
    ow_peer_fn take;
    ow_peer_lost_fn lost;
    void *owner;
};

static void cut_out(struct out_link *l)
{
    if (l->watch.fd >= 0) {
        ow_loop_forget(l->links->loop, &l->watch);
        close(l->watch.fd);
    }
    l->watch.fd = -1;
    bool was_connected = l->connected;
    l->connected = false;
    g_string_truncate(l->out, 0);
    l->sent = 0;
    /* A lost link is tried again at once: whether anybody listens is worth knowing. */
    l->retry_at = ow_loop_now(l->links->loop) + (was_connected ? 0 : RETRY_S);
}

static void push_out(struct out_link *l)
{
    size_t before = l->out->len - l->sent;
    if (!ow_net_flush(l->watch.fd, l->out, &l->sent)) {
        cut_out(l);
        return;
    }
    if (l->out->len - l->sent != before)
        l->moved_at = ow_loop_now(l->links->loop);
    ow_loop_change(l->links->loop, &l->watch, EPOLLIN | (l->out->len > 0 ? EPOLLOUT : 0));
}

static void out_ready(void *owner, uint32_t events)
{
    struct out_link *l = owner;
    char byte;
    int error = l->connected ? 0 : ow_net_connect_error(l->watch.fd);
    if (error != 0) {
        cut_out(l);
        if (error == ECONNREFUSED && l->stood) {
            l->stood = false;
            l->links->lost(l->links->owner, l->endpoint);
        }
        return;
    }
    l->connected = l->stood = true;
    /* The other side never speaks on this link: readable means closed. */
    if ((events & (EPOLLIN | EPOLLHUP | EPOLLERR)) && recv(l->watch.fd, &byte, 1, 0) >= 0) {
        cut_out(l);
        return;
    }
    push_out(l);
}

static void open_out(struct out_link *l)
{
    l->retry_at = ow_loop_now(l->links->loop) + RETRY_S;
    int fd = ow_net_connect(l->endpoint);
    if (fd < 0)
        return;
    l->watch = (struct ow_watch){.fd = fd, .ready = out_ready, .owner = l};
    l->moved_at = ow_loop_now(l->links->loop);
    ow_loop_watch(l->links->loop, &l->watch, EPOLLIN | EPOLLOUT);
}

/* Frees what the array of incoming links owns. */
static void release_in(gpointer data)
{
    struct in_link *l = data;
    ow_loop_forget(l->links->loop, &l->watch);
    close(l->watch.fd);
    g_string_free(l->in, TRUE);
    g_free(l);
}

static void cut_in(struct in_link *l)
{
    g_ptr_array_remove_fast(l->links->in, l);
}

/* False when what came can't be a frame of ours. */
static bool take_frames(struct in_link *l)
{
    size_t at = 0;
    while (l->in->len - at >= 4) {
        uint32_t size;
        memcpy(&size, l->in->str + at, 4);
        size = ntohl(size);
        if (size > WIRE_PEER_MAX)
            return false;
        if (l->in->len - at - 4 < size)
            break;
        struct ow_peer_message *message = NULL;
        if (!wire_peer_decode(l->in->str + at + 4, size, &message))
            return false;
        if (message != NULL)
            l->links->take(l->links->owner, message);
        at += 4 + size;
    }
    g_string_erase(l->in, 0, (gssize)at);
    return true;
}

static void in_ready(void *owner, uint32_t events)
{
    struct in_link *l = owner;
    char buffer[16384];
    (void)events;
    for (;;) {
        ssize_t n = recv(l->watch.fd, buffer, sizeof buffer, 0);
        if (n < 0 && errno == EINTR)
            continue;
        if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
            return;
        if (n <= 0) {
            cut_in(l);
            return;
        }
        g_string_append_len(l->in, buffer, n);
        l->heard_at = ow_loop_now(l->links->loop);
        if (!take_frames(l)) {
            g_info("a peer sent what is no message: its link is cut");
            cut_in(l);
            return;
        }
        if ((size_t)n < sizeof buffer)
            return;
    }
}

static void listener_ready(void *owner, uint32_t events)
{
    struct ow_peer_links *links = owner;
    (void)events;
    int fd = ow_net_accept(links->listener.fd);
    if (fd < 0)
        return;
    if (links->in->len >= INCOMING_MAX) {
        close(fd);
        return;
    }
    struct in_link *l = g_new0(struct in_link, 1);
    l->links = links;
    l->in = g_string_new(NULL);
    l->heard_at = ow_loop_now(links->loop);
    l->watch = (struct ow_watch){.fd = fd, .ready = in_ready, .owner = l};
    g_ptr_array_add(links->in, l);
    ow_loop_watch(links->loop, &l->watch, EPOLLIN);
}

struct ow_peer_links *ow_peer_links_new(struct ow_loop *loop, const char *listen_endpoint, ow_peer_fn take,
                                        ow_peer_lost_fn lost, void *owner)
{
    int fd = ow_net_listen(listen_endpoint);
    if (fd < 0)
        return NULL;
    struct ow_peer_links *links = g_new0(struct ow_peer_links, 1);
    links->loop = loop;
    links->take = take;
    links->lost = lost;
    links->owner = owner;
    links->out = g_ptr_array_new();
    links->in = g_ptr_array_new_with_free_func(release_in);
    links->listener = (struct ow_watch){.fd = fd, .ready = listener_ready, .owner = links};
    ow_loop_watch(loop, &links->listener, EPOLLIN);
    return links;
}

void ow_peer_links_free(struct ow_peer_links *links)
{
    if (links == NULL)
        return;
    g_ptr_array_free(links->in, TRUE);
    for (guint i = 0; i < links->out->len; i++) {
        struct out_link *l = g_ptr_array_index(links->out, i);
        cut_out(l);
        g_string_free(l->out, TRUE);
        g_free(l->endpoint);
        g_free(l);
    }
    ow_loop_forget(links->loop, &links->listener);
    close(links->listener.fd);
    g_ptr_array_free(links->out, TRUE);
    g_free(links);
}

void ow_peer_links_add(struct ow_peer_links *links, const char *endpoint)
{
    struct out_link *l = g_new0(struct out_link, 1);
    l->links = links;
    l->watch.fd = -1;
    l->endpoint = g_strdup(endpoint);
    l->out = g_string_new(NULL);
    g_ptr_array_add(links->out, l);
    open_out(l);
}

void ow_peer_links_send(struct ow_peer_links *links, struct ow_peer_message *message)
{
    GString *frame = g_string_new(NULL);
    if (wire_peer_encode(message, frame)) {
        for (guint i = 0; i < links->out->len; i++) {
            struct out_link *l = g_ptr_array_index(links->out, i);
            /* Nothing is kept for a peer that is away: it will get newer messages. */
            if (!l->connected || l->out->len + frame->len > BACKLOG_MAX)
                continue;
            g_string_append_len(l->out, frame->str, (gssize)frame->len);
            push_out(l);
        }
    }
    g_string_free(frame, TRUE);
}

void ow_peer_links_sweep(struct ow_peer_links *links, double now)
{
    for (guint i = 0; i < links->out->len; i++) {
        struct out_link *l = g_ptr_array_index(links->out, i);
        bool stalled = l->watch.fd >= 0 && (!l->connected || l->out->len > 0) && now - l->moved_at > STALL_S;
        if (stalled)
            cut_out(l);
        if (l->watch.fd < 0 && now >= l->retry_at)
            open_out(l);
    }
    for (guint i = links->in->len; i > 0; i--) {
        struct in_link *l = g_ptr_array_index(links->in, i - 1);
        if (now - l->heard_at > SILENT_S)
            cut_in(l);
    }
}
