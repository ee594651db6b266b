/** @file
 * Requests to the cloud and its replies, and the stored form of the machine types.
 */
#ifndef OW_WIRE_CLOUD_JSON_H
#define OW_WIRE_CLOUD_JSON_H

#include "model/cloud.h"
#include "wire/http_request.h"

#include <glib.h>
#include <jansson.h>
#include <stddef.h>

/** The HTTP form of a request. @return the caller clears it */
struct wire_http_request wire_cloud_request_encode(const struct ow_cloud_request *request);

/**
 * Reads a reply. The lists of a status other than 200, or of a body that can't be read, stay NULL. An entry
 * of a list that can't be read is left out.
 * @param op of the request
 * @param status HTTP status; OW_HTTP_STATUS_NONE: no response
 * @param body `size` bytes
 * @param reply an empty reply, filled in except for its tag; the caller clears it
 */
void wire_cloud_reply_decode(enum ow_cloud_op op, int status, const char *body, size_t size,
                             struct ow_cloud_reply *reply);

/** The stored form of the machine types. @param types struct ow_machine_type @return owned (g_free) */
char *wire_machine_types_encode(const GArray *types);

/**
 * Reads machine types, from the cloud or as stored; OW_MAX_TYPES at most, the rest is left out.
 * @return struct ow_machine_type, owned by the caller; NULL when malformed
 */
GArray *wire_machine_types_from_json(const json_t *object);

#endif
