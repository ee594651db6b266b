/** @file
 * Endpoints as settings and requests write them: an IPv4 address and a port, ADDRESS:PORT. No sockets here.
 */
#ifndef OW_UTIL_ENDPOINT_H
#define OW_UTIL_ENDPOINT_H

#include <netinet/in.h>
#include <stdbool.h>

/** Reads an endpoint into the form that the socket calls take.
 * @param endpoint the text; NULL is no endpoint
 * @param address filled in when true is returned, undefined otherwise
 * @return whether the text is a dotted IPv4 address and a port from 1 to 65535 */
bool ow_endpoint_parse(const char *endpoint, struct sockaddr_in *address);

/** Whether the text is an endpoint. NULL is not. */
bool ow_endpoint_is_valid(const char *endpoint);

#endif
