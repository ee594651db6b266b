/** @file
 * One HTTP request to a controller, and its response, waited for. */
#ifndef OW_CLIENT_EXCHANGE_H
#define OW_CLIENT_EXCHANGE_H

#include <glib.h>

/** What is asked. */
struct ow_exchange_request {
    const char *method;
    const char *path;
    const char *body; /**< JSON text, or NULL */
};

/** Sends the request and waits for its response, for five seconds at most.
 * @param server ADDRESS:PORT
 * @param request what is asked
 * @param body the body of the response is appended to it
 * @return the status of the response; OW_HTTP_STATUS_NONE: there was none in time */
int ow_exchange(const char *server, const struct ow_exchange_request *request, GString *body);

#endif
