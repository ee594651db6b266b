#include "io/peer_link.h"

#include "io/net.h"
#include "model/peer.h"
#include "wire/peer_xdr.h"

#include <arpa/inet.h>
#include <errno.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

/* A peer that takes nothing is cut off before its backlog matters. */
enum {
    BACKLOG_MAX_BYTES = 1024 * 1024,
    INCOMING_LEAST = 32, /* links that may come in, however few controllers there are */
    INCOMING_EACH = 4,   /* for each other controller: some may be ending */
    READ_BYTES = 16 * 1024,
    LENGTH_BYTES = 4, /* before each frame */
};
/* When a link that could not be opened is tried again; how long one may make no progress; how long an
   incoming one may be silent. */
static const double RETRY_S = 1, STALL_S = 5, SILENT_S = 15;

/* To one controller, kept up. */
struct outgoing_link {
    struct ow_peer_links *links;
    struct ow_watch watch; /* fd -1: not connected */
    char *endpoint;
    GString *out;
    size_t sent;
    bool connected;
    bool was_established; /* since it was last reported lost */
    double retry_at, moved_at;
};

/* From one controller. */
struct incoming_link {
    struct ow_peer_links *links;
    struct ow_watch watch;
    GString *received; /* bytes of frames that are not complete */
    double heard_at;
};

struct ow_peer_links {
    struct ow_loop *loop;
    struct ow_watch listener;
    GPtrArray *out; /* struct outgoing_link */
    GPtrArray *in;  /* struct incoming_link, owned */
    ow_peer_fn take;
    ow_peer_lost_fn lost;
    void *owner;
};

static void close_outgoing(struct outgoing_link *link)
{
    if (link->watch.fd >= 0) {
        ow_loop_forget(link->links->loop, &link->watch);
        close(link->watch.fd);
    }
    link->watch.fd = -1;
    bool was_connected = link->connected;
    link->connected = false;
    g_string_truncate(link->out, 0);
    link->sent = 0;
    /* A lost link is tried again at once: whether anybody listens is worth knowing. */
    link->retry_at = ow_loop_now(link->links->loop) + (was_connected ? 0 : RETRY_S);
}

static void flush(struct outgoing_link *link)
{
    size_t before = link->out->len - link->sent;
    if (!ow_net_flush(link->watch.fd, link->out, &link->sent)) {
        close_outgoing(link);
        return;
    }
    if (link->out->len - link->sent != before)
        link->moved_at = ow_loop_now(link->links->loop);
    ow_loop_change(link->links->loop, &link->watch, EPOLLIN | (link->out->len > 0 ? EPOLLOUT : 0));
}

static void outgoing_ready(void *owner, uint32_t events)
{
    struct outgoing_link *link = owner;
    char byte;
    int error = link->connected ? 0 : ow_net_connect_error(link->watch.fd);
    if (error != 0) {
        close_outgoing(link);
        if (error == ECONNREFUSED && link->was_established) {
            link->was_established = false;
            link->links->lost(link->links->owner, link->endpoint);
        }
        return;
    }
    link->connected = link->was_established = true;
    /* The other side never speaks on this link: readable means closed. */
    if ((events & (EPOLLIN | EPOLLHUP | EPOLLERR)) && recv(link->watch.fd, &byte, 1, 0) >= 0) {
        close_outgoing(link);
        return;
    }
    flush(link);
}

static void open_outgoing(struct outgoing_link *link)
{
    link->retry_at = ow_loop_now(link->links->loop) + RETRY_S;
    int fd = ow_net_connect(link->endpoint);
    if (fd < 0)
        return;
    link->watch = (struct ow_watch){.fd = fd, .ready = outgoing_ready, .owner = link};
    link->moved_at = ow_loop_now(link->links->loop);
    ow_loop_watch(link->links->loop, &link->watch, EPOLLIN | EPOLLOUT);
}

/* Frees what the array of incoming links owns. */
static void release_incoming(gpointer data)
{
    struct incoming_link *link = data;
    ow_loop_forget(link->links->loop, &link->watch);
    close(link->watch.fd);
    g_string_free(link->received, TRUE);
    g_free(link);
}

static void close_incoming(struct incoming_link *link)
{
    g_ptr_array_remove_fast(link->links->in, link);
}

/* False when what came can't be a frame of ours. */
static bool take_frames(struct incoming_link *link)
{
    size_t at = 0;
    while (link->received->len - at >= LENGTH_BYTES) {
        uint32_t size;
        memcpy(&size, link->received->str + at, LENGTH_BYTES);
        size = ntohl(size);
        if (size > WIRE_PEER_MAX)
            return false;
        if (link->received->len - at - LENGTH_BYTES < size)
            break;
        struct ow_peer_message *message = NULL;
        if (!wire_peer_decode(link->received->str + at + LENGTH_BYTES, size, &message))
            return false;
        if (message != NULL)
            link->links->take(link->links->owner, message);
        at += LENGTH_BYTES + size;
    }
    g_string_erase(link->received, 0, (gssize)at);
    return true;
}

static void incoming_ready(void *owner, uint32_t events)
{
    struct incoming_link *link = owner;
    char buffer[READ_BYTES];
    (void)events;
    for (;;) {
        size_t size = 0;
        enum ow_net_reading reading = ow_net_read(link->watch.fd, buffer, sizeof buffer, &size);
        if (reading == OW_NET_LATER)
            return;
        if (reading == OW_NET_CLOSED) {
            close_incoming(link);
            return;
        }
        g_string_append_len(link->received, buffer, (gssize)size);
        link->heard_at = ow_loop_now(link->links->loop);
        if (!take_frames(link)) {
            g_info("a peer sent what is no message: its link is cut");
            close_incoming(link);
            return;
        }
        if (size < sizeof buffer)
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
    if (links->in->len >= MAX(INCOMING_LEAST, INCOMING_EACH * links->out->len)) {
        close(fd);
        return;
    }
    struct incoming_link *link = g_new0(struct incoming_link, 1);
    link->links = links;
    link->received = g_string_new(NULL);
    link->heard_at = ow_loop_now(links->loop);
    link->watch = (struct ow_watch){.fd = fd, .ready = incoming_ready, .owner = link};
    g_ptr_array_add(links->in, link);
    ow_loop_watch(links->loop, &link->watch, EPOLLIN);
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
    links->in = g_ptr_array_new_with_free_func(release_incoming);
    links->listener = (struct ow_watch){.fd = fd, .ready = listener_ready, .owner = links};
    ow_loop_watch(loop, &links->listener, EPOLLIN);
    return links;
}

void ow_peer_links_free(struct ow_peer_links *links)
{
    if (links == NULL)
        return;
    for (guint i = 0; i < links->out->len; i++) {
        struct outgoing_link *link = g_ptr_array_index(links->out, i);
        close_outgoing(link);
        g_string_free(link->out, TRUE);
        g_free(link->endpoint);
        g_free(link);
    }
    ow_loop_forget(links->loop, &links->listener);
    close(links->listener.fd);
    g_ptr_array_free(links->in, TRUE);
    g_ptr_array_free(links->out, TRUE);
    g_free(links);
}

void ow_peer_links_add(struct ow_peer_links *links, const char *endpoint)
{
    struct outgoing_link *link = g_new0(struct outgoing_link, 1);
    link->links = links;
    link->watch.fd = -1;
    link->endpoint = g_strdup(endpoint);
    link->out = g_string_new(NULL);
    g_ptr_array_add(links->out, link);
    open_outgoing(link);
}

static void send_frame(struct outgoing_link *link, const GString *frame)
{
    /* Nothing is kept for a peer that is away: it will get newer messages. */
    if (!link->connected)
        return;
    if (link->out->len + frame->len > BACKLOG_MAX_BYTES) {
        g_info("%s takes its messages too slowly: one of %zu bytes is left out", link->endpoint, frame->len);
        return;
    }
    g_string_append_len(link->out, frame->str, (gssize)frame->len);
    flush(link);
}

void ow_peer_links_send(struct ow_peer_links *links, struct ow_peer_message *message, const char *endpoint)
{
    GString *frame = g_string_new(NULL);
    if (wire_peer_encode(message, frame)) {
        for (guint i = 0; i < links->out->len; i++) {
            struct outgoing_link *link = g_ptr_array_index(links->out, i);
            if (endpoint == NULL || strcmp(link->endpoint, endpoint) == 0)
                send_frame(link, frame);
        }
    } else {
        g_warning("a message of kind %d to the other controllers is too large and is not sent",
                  message->kind);
    }
    g_string_free(frame, TRUE);
}

void ow_peer_links_sweep(struct ow_peer_links *links, double now)
{
    for (guint i = 0; i < links->out->len; i++) {
        struct outgoing_link *link = g_ptr_array_index(links->out, i);
        bool stalled =
            link->watch.fd >= 0 && (!link->connected || link->out->len > 0) && now - link->moved_at > STALL_S;
        if (stalled)
            close_outgoing(link);
        if (link->watch.fd < 0 && now >= link->retry_at)
            open_outgoing(link);
    }
    for (guint i = links->in->len; i > 0; i--) {
        struct incoming_link *link = g_ptr_array_index(links->in, i - 1);
        if (now - link->heard_at > SILENT_S)
            close_incoming(link);
    }
}
