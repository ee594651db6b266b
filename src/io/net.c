#include "io/net.h"

#include "util/endpoint.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

/* Maximum number of connections that wait to be accepted. */
enum { LISTEN_BACKLOG = 4096 };
/* Returned instead of a descriptor on failure. */
enum { NO_DESCRIPTOR = -1 };

/* Source address of outgoing connections. With AF_UNSPEC (0), the system chooses it. */
static struct sockaddr_in source;

static void enable_option(int fd, int level, int option)
{
    int one = 1;
    setsockopt(fd, level, option, &one, sizeof one);
}

/* Creates a socket for the endpoint, and sets `address` to its address. Returns NO_DESCRIPTOR if the endpoint
   is invalid or no socket can be created. */
static int new_socket(const char *endpoint, struct sockaddr_in *address)
{
    if (!ow_endpoint_parse(endpoint, address))
        return NO_DESCRIPTOR;
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd >= 0)
        enable_option(fd, IPPROTO_TCP, TCP_NODELAY);
    return fd;
}

int ow_net_listen(const char *endpoint)
{
    struct sockaddr_in address;
    int fd = new_socket(endpoint, &address);
    if (fd < 0)
        return NO_DESCRIPTOR;
    enable_option(fd, SOL_SOCKET, SO_REUSEADDR);
    if (bind(fd, (struct sockaddr *)&address, sizeof address) != 0 || listen(fd, LISTEN_BACKLOG) != 0) {
        close(fd);
        return NO_DESCRIPTOR;
    }
    return fd;
}

void ow_net_set_source(const char *endpoint)
{
    if (!ow_endpoint_parse(endpoint, &source))
        source.sin_family = AF_UNSPEC;
    source.sin_port = 0;
}

/* If bind fails, the system chooses the source address, and the connection still works. */
static void bind_to_source(int fd)
{
    if (source.sin_family == AF_UNSPEC)
        return;
    /* Defers the choice of the port to connect(): the number of ports then limits the connections to each
       destination instead of all connections. */
    enable_option(fd, IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT);
    if (bind(fd, (struct sockaddr *)&source, sizeof source) != 0)
        g_debug("outgoing connection not bound to the listening address: reason=\"bind failed\"");
}

int ow_net_connect(const char *endpoint)
{
    struct sockaddr_in address;
    int fd = new_socket(endpoint, &address);
    if (fd < 0)
        return NO_DESCRIPTOR;
    bind_to_source(fd);
    if (connect(fd, (struct sockaddr *)&address, sizeof address) != 0 && errno != EINPROGRESS) {
        close(fd);
        return NO_DESCRIPTOR;
    }
    return fd;
}

int ow_net_accept(int listener)
{
    int fd = accept4(listener, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd >= 0)
        enable_option(fd, IPPROTO_TCP, TCP_NODELAY);
    return fd;
}

void ow_net_refuse(int fd)
{
    close(fd);
}

char *ow_net_peer_endpoint(int fd)
{
    struct sockaddr_in address = {.sin_family = AF_UNSPEC};
    socklen_t size = sizeof address;
    char text[INET_ADDRSTRLEN];
    if (getpeername(fd, (struct sockaddr *)&address, &size) != 0 || address.sin_family != AF_INET ||
        inet_ntop(AF_INET, &address.sin_addr, text, sizeof text) == NULL)
        return NULL;
    return g_strdup_printf("%s:%u", text, (unsigned)ntohs(address.sin_port));
}

int ow_net_connect_error(int fd)
{
    int error = 0;
    socklen_t size = sizeof error;
    if (getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0)
        return errno;
    return error;
}

bool ow_net_flush(int fd, GString *out, size_t *sent)
{
    while (*sent < out->len) {
        ssize_t count = send(fd, out->str + *sent, out->len - *sent, MSG_NOSIGNAL);
        if (count < 0) {
            if (errno == EINTR)
                continue;
            return errno == EAGAIN || errno == EWOULDBLOCK;
        }
        *sent += (size_t)count;
    }
    g_string_truncate(out, 0);
    *sent = 0;
    return true;
}

enum ow_net_read_result ow_net_read(int fd, char *buffer, size_t size, size_t *bytes_read)
{
    ssize_t count;
    *bytes_read = 0;
    do
        count = recv(fd, buffer, size, 0);
    while (count < 0 && errno == EINTR);
    if (count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
        return OW_NET_WOULD_BLOCK;
    if (count <= 0)
        return OW_NET_CLOSED;
    *bytes_read = (size_t)count;
    return OW_NET_DATA;
}

bool ow_net_has_hung_up(int fd)
{
    char byte;
    return recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}
