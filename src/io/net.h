/** @file
 * Helpers for non-blocking TCP sockets: listen, connect, accept, read, and write from a buffer.
 *
 * Returned descriptors belong to the caller, who passes them to a watch (ow_loop_watch; ow_loop_close then
 * closes them) or closes them with ow_net_refuse. All are non-blocking and close-on-exec, with TCP_NODELAY
 * set.
 *
 * State: the source address of outgoing connections is global to the process (ow_net_set_source).
 */
#ifndef OW_IO_NET_H
#define OW_IO_NET_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>

/** Creates a socket that listens on ADDRESS:PORT. @return -1 on failure */
int ow_net_listen(const char *endpoint);
/** Sets the source address of outgoing connections to the address of ADDRESS:PORT, by which other processes
 * can identify this one. With an invalid endpoint, the system chooses the address. Must be called once,
 * before the loop runs. */
void ow_net_set_source(const char *endpoint);
/** Begins to connect to ADDRESS:PORT.
 * @return a socket that becomes writable once the connection is established or has failed
 * (ow_net_connect_error tells which); -1 if connecting fails immediately */
int ow_net_connect(const char *endpoint);
/** Accepts the next waiting connection. @return -1 if there is none */
int ow_net_accept(int listener);
/** Closes an accepted connection without serving it. */
void ow_net_refuse(int fd);
/** Returns ADDRESS:PORT of the other end of a connection (g_free); NULL if it is not known. */
char *ow_net_peer_endpoint(int fd);
/** Returns 0 if the connection is established, otherwise the errno of the failure. */
int ow_net_connect_error(int fd);

/** Writes as much of `out` as the socket accepts.
 * @param fd the socket
 * @param out the bytes to send; emptied once all are written
 * @param sent how many bytes of `out` are written so far; updated, and set to 0 once all are written
 * @return false if the connection is broken */
bool ow_net_flush(int fd, GString *out, size_t *sent);

/** The result of reading from a socket. */
enum ow_net_read_result {
    OW_NET_DATA,        /**< bytes have been read */
    OW_NET_WOULD_BLOCK, /**< no bytes are available yet */
    OW_NET_CLOSED,      /**< the peer has closed the connection, or it is broken */
};

/** Reads up to `size` bytes.
 * @param fd the socket
 * @param buffer filled from its start
 * @param size bytes that the buffer holds
 * @param bytes_read set to the number of bytes read with OW_NET_DATA, to 0 otherwise */
enum ow_net_read_result ow_net_read(int fd, char *buffer, size_t size, size_t *bytes_read);

/** Whether the peer is known to have closed the connection. Consumes no bytes. */
bool ow_net_has_hung_up(int fd);

#endif
