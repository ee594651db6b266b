#include "util/endpoint.h"

#include <arpa/inet.h>
#include <glib.h>
#include <string.h>

/* Size of the buffer for the host, more than any IPv4 address needs, and the highest port. */
enum { HOST_BYTES = 64, PORT_MAX = 65535 };

bool ow_endpoint_parse(const char *endpoint, struct sockaddr_in *address)
{
    const char *colon = endpoint != NULL ? strrchr(endpoint, ':') : NULL;
    if (colon == NULL)
        return false;
    char host[HOST_BYTES];
    size_t host_length = (size_t)(colon - endpoint);
    if (host_length >= sizeof host)
        return false;
    memcpy(host, endpoint, host_length);
    host[host_length] = '\0';
    guint64 port = 0;
    if (!g_ascii_string_to_unsigned(colon + 1, 10, 1, PORT_MAX, &port, NULL))
        return false;
    *address = (struct sockaddr_in){.sin_family = AF_INET, .sin_port = htons((uint16_t)port)};
    return inet_pton(AF_INET, host, &address->sin_addr) == 1;
}

bool ow_endpoint_is_valid(const char *endpoint)
{
    struct sockaddr_in address;
    return ow_endpoint_parse(endpoint, &address);
}
