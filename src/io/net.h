/* Small helpers over non-blocking TCP sockets, and an outgoing byte buffer. */
#ifndef OW_IO_NET_H
#define OW_IO_NET_H

#include <glib.h>
#include <stdbool.h>

int ow_net_listen(const char *endpoint);
/* Begins a connection; the socket turns writable once it stands or has failed. */
int ow_net_connect(const char *endpoint);
int ow_net_accept(int listener);
/* 0 when the connection stands, otherwise an errno. */
int ow_net_connect_error(int fd);
bool ow_net_endpoint_valid(const char *endpoint);

/* Writes what the socket takes now; false when the connection is broken. */
bool ow_net_flush(int fd, GString *out, size_t *sent);

#endif
