/** @file
 * Stateless parsers for the lines of HTTP/1.1 messages. Private to io/http_parse.
 */
#ifndef OW_IO_HTTP_LINES_H
#define OW_IO_HTTP_LINES_H

#include <stdbool.h>
#include <stddef.h>

/** The first line of a request. The strings point into the line and aren't NUL-terminated. */
struct ow_http_request_line {
    const char *method;
    size_t method_size;
    const char *target; /**< path and query */
    size_t target_size;
    bool is_closing; /**< HTTP/1.0: the sender closes the connection after the message by default */
};

/** The first line of a response. */
struct ow_http_status_line {
    int status;
    bool is_closing; /**< HTTP/1.0: the sender closes the connection after the message by default */
};

/** Parses "METHOD TARGET HTTP/1.x". @return false if malformed */
bool ow_http_request_line_parse(const char *line, struct ow_http_request_line *out);
/** Parses "HTTP/1.x STATUS" and ignores a reason phrase after it. @return false if malformed */
bool ow_http_status_line_parse(const char *line, size_t size, struct ow_http_status_line *out);
/** Splits "Name: value" in place into two strings that point into the line. White space around the value is
 * removed. @return false if malformed */
bool ow_http_header_split(char *line, const char **name, const char **value);
/** Parses the value of a Content-Length header. @return false if malformed or longer than 9 digits */
bool ow_http_length_parse(const char *text, size_t *bytes);
/** Parses the size line of a chunk and ignores chunk extensions. @return false if malformed or longer than
 * 9 digits */
bool ow_http_chunk_size_parse(const char *line, size_t *bytes);

#endif
