#include "io/peer_incoming.h"

#include "io/net.h"
#include "wire/peer_xdr.h"

#include <arpa/inet.h>
#include <string.h>
#include <sys/epoll.h>

enum {
    READ_BYTES = 16 * 1024,
    LENGTH_BYTES = 4, /* before each frame, in network order */
};
/* After this long without bytes a link counts as dead. */
static const double SILENT_S = 15;

struct ow_peer_incoming {
    struct ow_loop *loop;
    const struct ow_peer_handlers *handlers;
    ow_peer_incoming_end_fn end;
    void *owner; /* of `end` */
    struct ow_watch watch;
    GString *received; /* bytes of frames that are not complete */
    double received_at;
};

/* What the bytes received so far hold. */
enum frame_result {
    FRAME_COMPLETE,
    FRAME_INCOMPLETE,
    FRAME_INVALID, /* not a valid frame */
};

/* Passes on the message of the frame that begins at *at, and moves *at past it. */
static enum frame_result take_frame(const struct ow_peer_incoming *link, size_t *at)
{
    size_t available = link->received->len - *at;
    if (available < LENGTH_BYTES)
        return FRAME_INCOMPLETE;
    const char *frame = link->received->str + *at;
    uint32_t length;
    memcpy(&length, frame, LENGTH_BYTES);
    length = ntohl(length);
    if (length > WIRE_PEER_MAX)
        return FRAME_INVALID;
    if (available - LENGTH_BYTES < length)
        return FRAME_INCOMPLETE;
    struct ow_peer_message *message = NULL;
    if (!wire_peer_decode(frame + LENGTH_BYTES, length, &message))
        return FRAME_INVALID;
    /* NULL: a kind of message that only newer versions know. */
    if (message != NULL)
        link->handlers->take(link->handlers->owner, message);
    *at += LENGTH_BYTES + length;
    return FRAME_COMPLETE;
}

/* Passes on the messages of all complete frames; false if the bytes are not a valid frame. */
static bool take_frames(struct ow_peer_incoming *link)
{
    size_t at = 0;
    enum frame_result result;
    do
        result = take_frame(link, &at);
    while (result == FRAME_COMPLETE);
    if (result == FRAME_INVALID)
        return false;
    g_string_erase(link->received, 0, (gssize)at);
    return true;
}

static void handle_ready(void *owner, uint32_t events)
{
    struct ow_peer_incoming *link = owner;
    char buffer[READ_BYTES];
    size_t size = 0;
    (void)events;
    do {
        enum ow_net_read_result reading = ow_net_read(link->watch.fd, buffer, sizeof buffer, &size);
        if (reading == OW_NET_WOULD_BLOCK)
            return;
        if (reading == OW_NET_CLOSED) {
            link->end(link->owner, link);
            return;
        }
        g_string_append_len(link->received, buffer, (gssize)size);
        link->received_at = ow_loop_now(link->loop);
        if (!take_frames(link)) {
            g_info("peer link cut: reason=\"not a message\"");
            link->end(link->owner, link);
            return;
        }
    } while (size == sizeof buffer);
}

struct ow_peer_incoming *ow_peer_incoming_new(struct ow_loop *loop, int fd,
                                              const struct ow_peer_handlers *handlers,
                                              ow_peer_incoming_end_fn end, void *owner)
{
    struct ow_peer_incoming *link = g_new0(struct ow_peer_incoming, 1);
    link->loop = loop;
    link->handlers = handlers;
    link->end = end;
    link->owner = owner;
    link->received = g_string_new(NULL);
    link->received_at = ow_loop_now(loop);
    link->watch = (struct ow_watch){.fd = fd, .ready = handle_ready, .owner = link};
    ow_loop_watch(loop, &link->watch, EPOLLIN);
    return link;
}

void ow_peer_incoming_free(struct ow_peer_incoming *link)
{
    ow_loop_close(link->loop, &link->watch);
    g_string_free(link->received, TRUE);
    g_free(link);
}

bool ow_peer_incoming_is_silent(const struct ow_peer_incoming *link, double now)
{
    return now - link->received_at > SILENT_S;
}
