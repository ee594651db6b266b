#include "io/peer_incoming.h"

#include "io/net.h"
#include "wire/peer_xdr.h"

#include <arpa/inet.h>
#include <string.h>
#include <sys/epoll.h>

enum {
    READ_BYTES = 16 * 1024, /* read from the socket at once */
    LENGTH_BYTES = 4,       /* length prefix of each frame, in network byte order */
};
/* A link counts as dead after this time without received bytes. */
static const double SILENT_S = 15;

struct ow_peer_incoming {
    struct ow_loop *loop;
    const struct ow_peer_handlers *handlers;
    ow_peer_incoming_end_fn end;
    void *owner; /* of `end` */
    struct ow_watch watch;
    GString *received;  /* bytes of incomplete frames */
    double received_at; /* monotonic time of the last bytes */
};

/* Result of parsing the received bytes. */
enum frame_result {
    FRAME_COMPLETE,
    FRAME_INCOMPLETE,
    FRAME_INVALID, /* too long, or not a message */
};

/* Passes the message of the frame at *offset to the owner, and advances *offset past the frame. */
static enum frame_result process_frame(const struct ow_peer_incoming *link, size_t *offset)
{
    size_t available = link->received->len - *offset;
    if (available < LENGTH_BYTES)
        return FRAME_INCOMPLETE;
    const char *frame = link->received->str + *offset;
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
    /* NULL if the kind is unknown to this version. */
    if (message != NULL)
        link->handlers->message_received(link->handlers->owner, message);
    *offset += LENGTH_BYTES + length;
    return FRAME_COMPLETE;
}

/* Passes the messages of all complete frames to the owner. Returns false if a frame is invalid. */
static bool process_frames(struct ow_peer_incoming *link)
{
    size_t offset = 0;
    enum frame_result result;
    do
        result = process_frame(link, &offset);
    while (result == FRAME_COMPLETE);
    if (result == FRAME_INVALID)
        return false;
    g_string_erase(link->received, 0, (gssize)offset);
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
        if (!process_frames(link)) {
            g_info("peer link closed: reason=\"invalid frame\"");
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
