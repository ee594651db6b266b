/** @file
 * Encodes requests to the cloud API, decodes its replies, and converts machine types to and from their stored
 * form.
 */
#ifndef OW_WIRE_CLOUD_JSON_H
#define OW_WIRE_CLOUD_JSON_H

#include "model/cloud.h"
#include "wire/http_request.h"

#include <glib.h>
#include <jansson.h>
#include <stddef.h>

/** Encodes a request as HTTP. @return to be cleared by the caller */
struct wire_http_request wire_cloud_request_encode(const struct ow_cloud_request *request);

/**
 * Decodes a reply. With a status other than 200 or an invalid body, its lists stay NULL. Invalid entries of a
 * list are skipped.
 * @param op of the request
 * @param status HTTP status; OW_HTTP_STATUS_NONE: no response
 * @param body `size` bytes; not NULL if the status is 200
 * @param reply an empty reply; all members but the tag are set; cleared by the caller
 * @param error set, in the domain WIRE_JSON_ERROR, if the body is invalid; may be NULL
 */
void wire_cloud_reply_decode(enum ow_cloud_op op, int status, const char *body, size_t size,
                             struct ow_cloud_reply *reply, GError **error);

/** Encodes machine types as they are stored. @param types struct ow_machine_type @return owned (g_free) */
char *wire_machine_types_encode(const GArray *types);

/**
 * Decodes machine types, from a reply of the cloud or as stored. Invalid ones are skipped.
 * @return struct ow_machine_type, owned by the caller; NULL if malformed
 */
GArray *wire_machine_types_from_json(const json_t *object);

#endif
