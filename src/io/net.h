/* Small helpers over non-blocking TCP sockets, and an outgoing byte buffer. */
#ifndef OW_IO_NET_H
#define OW_IO_NET_H

#include <glib.h>
#include <stdbool.h>

/* A socket that listens on ADDRESS:PORT, or -1. */
int ow_net_listen(const char *endpoint);
/* From now on connections begin at the address of ADDRESS:PORT, so that others can tell who connects to them.
 */
void ow_net_set_source(const char *endpoint);
/* Begins a connection; the socket turns writable once it is established or has failed. -1: it could not
 * begin. */
int ow_net_connect(const char *endpoint);
/* The next connection that waits at the listener, or -1. */
int ow_net_accept(int listener);
/* 0 when the connection is established, otherwise an errno. */
int ow_net_connect_error(int fd);

/* Writes what the socket accepts now of `out` from `*sent` on; once all is written, both are emptied. False
   when the connection is broken. */
bool ow_net_flush(int fd, GString *out, size_t *sent);

/* What reading from a socket came to. */
enum ow_net_reading {
    OW_NET_DATA,   /* some bytes */
    OW_NET_LATER,  /* none so far */
    OW_NET_CLOSED, /* the other side has ended the connection, or it is broken */
};

/* Reads up to `size` bytes; *taken tells how many with OW_NET_DATA, and is 0 otherwise. */
enum ow_net_reading ow_net_read(int fd, char *buffer, size_t size, size_t *taken);

/* Whether the other side has closed the connection, as far as that is known here. */
bool ow_net_has_hung_up(int fd);

#endif
