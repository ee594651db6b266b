/** @file
 * Small helpers over non-blocking TCP sockets: listening, connecting, accepting, reading, and writing from a
 * buffer.
 *
 * Descriptors: one that is returned here belongs to the caller, who hands it to a watch (ow_loop_watch;
 * ow_loop_close then closes it) or refuses it with ow_net_refuse. All are non-blocking, close-on-exec, and
 * send without delay (TCP_NODELAY).
 *
 * State: the source address of outgoing connections is global to the process (ow_net_set_source).
 */
#ifndef OW_IO_NET_H
#define OW_IO_NET_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>

/** @return a socket that listens on ADDRESS:PORT, or -1 */
int ow_net_listen(const char *endpoint);
/** Sets the source address of outgoing connections to that of ADDRESS:PORT, so that others can tell who
 * connects to them. With an invalid endpoint the system chooses. Called once, before the loop runs. */
void ow_net_set_source(const char *endpoint);
/** Begins a connection. @return a socket that becomes writable once the connection is established or has
 * failed (ow_net_connect_error tells which); -1: it could not begin */
int ow_net_connect(const char *endpoint);
/** @return the next connection that waits at the listener, or -1: none */
int ow_net_accept(int listener);
/** Closes an accepted connection at once, in place of serving it. */
void ow_net_refuse(int fd);
/** @return 0 when the connection is established, otherwise the errno for which it failed */
int ow_net_connect_error(int fd);

/** Writes what the socket accepts now of `out`.
 * @param fd the socket
 * @param out the bytes to be sent; emptied once all are written
 * @param sent how many of them are written so far; moved on, and 0 once all are written
 * @return false when the connection is broken */
bool ow_net_flush(int fd, GString *out, size_t *sent);

/** The result of reading from a socket. */
enum ow_net_read_result {
    OW_NET_DATA,        /**< some bytes */
    OW_NET_WOULD_BLOCK, /**< none so far */
    OW_NET_CLOSED,      /**< the other side has ended the connection, or it is broken */
};

/** Reads up to `size` bytes.
 * @param fd the socket
 * @param buffer filled from its start
 * @param size bytes that the buffer holds
 * @param taken how many were read with OW_NET_DATA, 0 otherwise */
enum ow_net_read_result ow_net_read(int fd, char *buffer, size_t size, size_t *taken);

/** Whether the other side has closed the connection, as far as that is known here. Takes no bytes. */
bool ow_net_has_hung_up(int fd);

#endif
