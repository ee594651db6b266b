/** @file
 * Parses endpoints in settings and requests: an IPv4 address and a port, ADDRESS:PORT.
 */
#ifndef OW_UTIL_ENDPOINT_H
#define OW_UTIL_ENDPOINT_H

#include <netinet/in.h>
#include <stdbool.h>

/** Parses an endpoint into a socket address.
 * @param endpoint may be NULL, which is invalid
 * @param address set on success, undefined otherwise
 * @return whether the text is a dotted IPv4 address and a port from 1 to 65535 */
bool ow_endpoint_parse(const char *endpoint, struct sockaddr_in *address);

/** Whether ow_endpoint_parse() accepts the text. NULL is invalid. */
bool ow_endpoint_is_valid(const char *endpoint);

#endif
