/** @file
 * Names for the HTTP status codes that are sent or interpreted, shared by the core, the shard manager and the
 * daemon. Replies of the key-value store and the cloud, and answers to users and workers, store them in
 * fields `int status`. */
#ifndef OW_MODEL_HTTP_STATUS_H
#define OW_MODEL_HTTP_STATUS_H

/** Status of an HTTP response. A field `int status` may hold any other status that a server has sent. */
enum ow_http_status {
    OW_HTTP_STATUS_NONE = 0, /**< no response: the request may have been carried out */
    OW_HTTP_STATUS_OK = 200,
    OW_HTTP_STATUS_CREATED = 201,
    OW_HTTP_STATUS_BAD_REQUEST = 400,
    OW_HTTP_STATUS_NOT_FOUND = 404,
    OW_HTTP_STATUS_METHOD_NOT_ALLOWED = 405,
    OW_HTTP_STATUS_CONFLICT = 409, /**< from the key-value store: a comparison failed */
    OW_HTTP_STATUS_GONE = 410,     /**< from a watch: the requested revision is no longer available */
    OW_HTTP_STATUS_CONTENT_TOO_LARGE = 413,
    OW_HTTP_STATUS_MISDIRECTED = 421, /**< to a worker: another controller handles its heartbeats */
    OW_HTTP_STATUS_UNPROCESSABLE = 422,
    OW_HTTP_STATUS_TOO_MANY_REQUESTS = 429,
    OW_HTTP_STATUS_UNAVAILABLE = 503, /**< not carried out; may be retried */
};

#endif
