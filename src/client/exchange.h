/** @file
 * A blocking HTTP request to a controller. */
#ifndef OW_CLIENT_EXCHANGE_H
#define OW_CLIENT_EXCHANGE_H

#include <glib.h>

/** A request. Strings are not owned. */
struct ow_exchange_request {
    const char *method;
    const char *path;
    const char *body; /**< JSON text, or NULL */
};

/** Sends the request and waits up to five seconds for the response.
 * @param server ADDRESS:PORT
 * @param request the request; need only be valid during the call
 * @param body receives the body of the response, which is appended
 * @return the status of the response; OW_HTTP_STATUS_NONE if there was none in time */
int ow_exchange(const char *server, const struct ow_exchange_request *request, GString *body);

#endif
