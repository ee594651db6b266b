/** @file
 * Parses the lines of HTTP/1.1 messages: text in, parts out, no state. Private to the parser.
 */
#ifndef OW_IO_HTTP_LINES_H
#define OW_IO_HTTP_LINES_H

#include <stdbool.h>
#include <stddef.h>

/** The first line of a request; the texts lie in the line and aren't ended by a NUL. */
struct ow_http_request_line {
    const char *method;
    size_t method_size;
    const char *target; /**< path and query */
    size_t target_size;
    bool closes; /**< by its version the sender closes the connection after the message */
};

/** The first line of a response. */
struct ow_http_status_line {
    int status;
    bool closes; /**< by its version the sender closes the connection after the message */
};

/** Reads "METHOD TARGET HTTP/1.x". @return false when malformed */
bool ow_http_request_line_parse(const char *line, struct ow_http_request_line *out);
/** Reads "HTTP/1.x STATUS", with or without a reason behind it, which is ignored. @return false when
 * malformed */
bool ow_http_status_line_parse(const char *line, size_t size, struct ow_http_status_line *out);
/** Splits "Name: value" into its two parts, which then lie in the line; the blanks round the value are gone.
 * @return false when malformed */
bool ow_http_header_split(char *line, const char **name, const char **value);
/** Reads the value of a Content-Length. @return false when malformed or larger than any limit */
bool ow_http_length_parse(const char *text, size_t *bytes);
/** Reads the line before a chunk; extensions are ignored. @return false when malformed or larger than any
 * limit */
bool ow_http_chunk_size_parse(const char *line, size_t *bytes);

#endif
