#include "io/peer_link.h"

#include "io/net.h"
#include "io/peer_incoming.h"
#include "io/peer_outgoing.h"
#include "wire/peer_xdr.h"

#include <string.h>
#include <sys/epoll.h>

enum {
    INCOMING_MIN = 32,     /* minimum limit of incoming links, independent of the number of controllers */
    INCOMING_PER_PEER = 4, /* limit per controller; more than 1, because old links may still be closing */
};

struct ow_peer_links {
    struct ow_loop *loop;
    struct ow_peer_handlers handlers;
    struct ow_watch listener;
    GPtrArray *outgoing; /* struct ow_peer_outgoing, owned */
    GPtrArray *incoming; /* struct ow_peer_incoming, owned */
};

static void free_outgoing(gpointer link)
{
    ow_peer_outgoing_free(link);
}

static void free_incoming(gpointer link)
{
    ow_peer_incoming_free(link);
}

/* Frees an incoming link that has ended. */
static void handle_incoming_end(void *owner, struct ow_peer_incoming *link)
{
    struct ow_peer_links *links = owner;
    g_ptr_array_remove_fast(links->incoming, link);
}

static void handle_listener_ready(void *owner, uint32_t events)
{
    struct ow_peer_links *links = owner;
    (void)events;
    int fd = ow_net_accept(links->listener.fd);
    if (fd < 0)
        return;
    guint incoming_max = MAX(INCOMING_MIN, INCOMING_PER_PEER * links->outgoing->len);
    if (links->incoming->len >= incoming_max)
        ow_net_refuse(fd);
    else
        g_ptr_array_add(links->incoming,
                        ow_peer_incoming_new(links->loop, fd, &links->handlers, handle_incoming_end, links));
}

struct ow_peer_links *ow_peer_links_new(struct ow_loop *loop, const char *listen_endpoint,
                                        const struct ow_peer_handlers *handlers)
{
    int fd = ow_net_listen(listen_endpoint);
    if (fd < 0)
        return NULL;
    struct ow_peer_links *links = g_new0(struct ow_peer_links, 1);
    links->loop = loop;
    links->handlers = *handlers;
    links->outgoing = g_ptr_array_new_with_free_func(free_outgoing);
    links->incoming = g_ptr_array_new_with_free_func(free_incoming);
    links->listener = (struct ow_watch){.fd = fd, .ready = handle_listener_ready, .owner = links};
    ow_loop_watch(loop, &links->listener, EPOLLIN);
    return links;
}

void ow_peer_links_free(struct ow_peer_links *links)
{
    if (links == NULL)
        return;
    ow_loop_close(links->loop, &links->listener);
    g_ptr_array_free(links->outgoing, TRUE);
    g_ptr_array_free(links->incoming, TRUE);
    g_free(links);
}

void ow_peer_links_add(struct ow_peer_links *links, const char *endpoint)
{
    g_ptr_array_add(links->outgoing, ow_peer_outgoing_new(links->loop, endpoint, &links->handlers));
}

void ow_peer_links_send(struct ow_peer_links *links, struct ow_peer_message *message, const char *endpoint)
{
    g_autoptr(GString) frame = g_string_new(NULL);
    if (!wire_peer_encode(message, frame)) {
        g_warning("message to other controllers not sent: message_kind=%d reason=\"too large\"",
                  message->kind);
        return;
    }
    for (guint i = 0; i < links->outgoing->len; i++) {
        struct ow_peer_outgoing *link = g_ptr_array_index(links->outgoing, i);
        if (endpoint == NULL || strcmp(ow_peer_outgoing_endpoint(link), endpoint) == 0)
            ow_peer_outgoing_send(link, frame);
    }
}

void ow_peer_links_sweep(struct ow_peer_links *links, double now)
{
    for (guint i = 0; i < links->outgoing->len; i++)
        ow_peer_outgoing_sweep(g_ptr_array_index(links->outgoing, i), now);
    for (guint i = links->incoming->len; i > 0; i--) {
        struct ow_peer_incoming *link = g_ptr_array_index(links->incoming, i - 1);
        if (ow_peer_incoming_is_silent(link, now))
            handle_incoming_end(links, link);
    }
}
