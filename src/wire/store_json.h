/* Requests to the key-value store and its answers. */
#ifndef OW_WIRE_STORE_JSON_H
#define OW_WIRE_STORE_JSON_H

#include "model/store.h"

#include <stddef.h>

/* A request as it is sent. */
struct wire_http_request {
    const char *method;
    char *path;
    char *body; /* JSON, or NULL */
};

/* The HTTP form of a request; to be cleared. */
struct wire_http_request wire_store_request_encode(const struct ow_store_request *request);
/* Frees what it holds. */
void wire_http_request_clear(struct wire_http_request *http);
/* Fills in the reply to a request of the kind `op`. A body that can't be read turns the status into 0:
   nothing may be concluded from it. */
void wire_store_reply_decode(enum ow_store_op op, int status, const char *body, size_t size,
                             struct ow_store_reply *out);

#endif
