/** @file
 * Encodes requests to the key-value store and decodes its replies.
 */
#ifndef OW_WIRE_STORE_JSON_H
#define OW_WIRE_STORE_JSON_H

#include "model/store.h"
#include "wire/http_request.h"

#include <glib.h>
#include <stddef.h>

/** Encodes a request as HTTP. @return to be cleared by the caller */
struct wire_http_request wire_store_request_encode(const struct ow_store_request *request);

/**
 * Decodes a reply. An invalid body changes the status to OW_HTTP_STATUS_NONE, because such a reply shows
 * neither that the request was carried out nor that it was not.
 * @param op of the request
 * @param status HTTP status; OW_HTTP_STATUS_NONE: no response
 * @param body `size` bytes
 * @param reply an empty reply; all members but the tag are set; cleared by the caller
 * @param error set, in the domain WIRE_JSON_ERROR, if the body is invalid; may be NULL
 */
void wire_store_reply_decode(enum ow_store_op op, int status, const char *body, size_t size,
                             struct ow_store_reply *reply, GError **error);

#endif
