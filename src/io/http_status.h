/* The HTTP status codes that the service sends or interprets. */
#ifndef OW_IO_HTTP_STATUS_H
#define OW_IO_HTTP_STATUS_H

enum ow_http_status {
    OW_HTTP_STATUS_NONE = 0, /* no response: the request might have been carried out */
    OW_HTTP_STATUS_OK = 200,
    OW_HTTP_STATUS_CREATED = 201,
    OW_HTTP_STATUS_BAD_REQUEST = 400,
    OW_HTTP_STATUS_NOT_FOUND = 404,
    OW_HTTP_STATUS_METHOD_NOT_ALLOWED = 405,
    OW_HTTP_STATUS_CONFLICT = 409,
    OW_HTTP_STATUS_CONTENT_TOO_LARGE = 413,
    OW_HTTP_STATUS_MISDIRECTED = 421,
    OW_HTTP_STATUS_UNPROCESSABLE = 422,
    OW_HTTP_STATUS_UNAVAILABLE = 503,
};

#endif
