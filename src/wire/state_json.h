/* Requests to the state service and its answers. */
#ifndef OW_WIRE_STATE_JSON_H
#define OW_WIRE_STATE_JSON_H

#include "core/store.h"

#include <stddef.h>

struct wire_http {
    const char *method;
    char *path;
    char *body; /* or NULL */
};

struct wire_http wire_store_request(const struct ow_store_request *request);
void wire_http_clear(struct wire_http *http);
/* A body that can't be read turns the status into 0: nothing may be concluded from it. */
void wire_store_reply(enum ow_store_op op, int status, const char *body, size_t size,
                      struct ow_store_reply *out);

#endif
