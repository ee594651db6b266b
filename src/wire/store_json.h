/** @file
 * Requests to the key-value store, and its replies.
 */
#ifndef OW_WIRE_STORE_JSON_H
#define OW_WIRE_STORE_JSON_H

#include "model/store.h"
#include "wire/http_request.h"

#include <stddef.h>

/** The HTTP form of a request. @return the caller clears it */
struct wire_http_request wire_store_request_encode(const struct ow_store_request *request);

/**
 * Reads a reply. A body that can't be read turns the status into OW_HTTP_STATUS_NONE: nothing may be
 * concluded from such a reply, neither that the request was carried out nor that it was not.
 * @param op of the request
 * @param status HTTP status; OW_HTTP_STATUS_NONE: no response
 * @param body `size` bytes
 * @param reply an empty reply, filled in except for its tag; the caller clears it
 */
void wire_store_reply_decode(enum ow_store_op op, int status, const char *body, size_t size,
                             struct ow_store_reply *reply);

#endif
