/** @file
 * An encoded HTTP request to another service, as returned by wire/cloud_json and wire/store_json.
 */
#ifndef OW_WIRE_HTTP_REQUEST_H
#define OW_WIRE_HTTP_REQUEST_H

#include <glib.h>

/** A request. The owner clears it with wire_http_request_clear() or declares it with g_auto(). */
struct wire_http_request {
    const char *method; /**< static string */
    char *path;         /**< path and query; owned */
    char *body;         /**< JSON text, owned; NULL if there is none */
};

/** Frees the members of a request, not the struct itself. */
void wire_http_request_clear(struct wire_http_request *request);

/** Enables g_auto(wire_http_request). */
typedef struct wire_http_request wire_http_request;
G_DEFINE_AUTO_CLEANUP_CLEAR_FUNC(wire_http_request, wire_http_request_clear)

#endif
