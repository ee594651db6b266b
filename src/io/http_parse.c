#include "io/http_parse.h"

#include "io/http_lines.h"

#include <string.h>

/* Maximum sizes of the head of a message and of a line. */
enum { HEAD_LIMIT_BYTES = 16 * 1024, LINE_LIMIT_BYTES = 8 * 1024 };
/* Buffers that have grown beyond this size are freed before the next message. */
enum { BUFFER_KEPT_MAX_BYTES = 16 * 1024 };
/* Informational responses (1xx) precede the final one and are skipped; 101 does not occur, because no request
 * asks for another protocol. */
enum { STATUS_SWITCHING_PROTOCOLS = 101, STATUS_FINAL_MIN = 200 };

/* ---- creation and destruction ---- */

void ow_http_parser_init(struct ow_http_parser *parser, enum ow_http_side side, size_t body_limit_bytes)
{
    *parser = (struct ow_http_parser){
        .side = side,
        .body_limit_bytes = body_limit_bytes,
        .line = g_string_sized_new(64),
        .target = g_string_sized_new(32),
        .body = g_string_sized_new(0),
    };
    ow_http_parser_reset(parser);
}

/* Empties a buffer. Frees a large one, so that its memory isn't held for the lifetime of the connection. */
static void reset_buffer(GString **buffer)
{
    if ((*buffer)->allocated_len > BUFFER_KEPT_MAX_BYTES) {
        g_string_free(*buffer, TRUE);
        *buffer = g_string_sized_new(0);
    }
    g_string_truncate(*buffer, 0);
}

void ow_http_parser_reset(struct ow_http_parser *parser)
{
    parser->phase = OW_HTTP_PHASE_START;
    reset_buffer(&parser->line);
    reset_buffer(&parser->target);
    reset_buffer(&parser->body);
    parser->head_bytes = 0;
    parser->body_remaining = 0;
    parser->has_length = false;
    parser->is_chunked = false;
    parser->close = false;
    parser->method[0] = '\0';
    parser->status = 0;
}

void ow_http_parser_clear(struct ow_http_parser *parser)
{
    g_string_free(parser->line, TRUE);
    g_string_free(parser->target, TRUE);
    g_string_free(parser->body, TRUE);
}

/* ---- lines ---- */

static bool parse_request_line(struct ow_http_parser *parser)
{
    struct ow_http_request_line line;
    if (!ow_http_request_line_parse(parser->line->str, &line) || line.method_size >= sizeof parser->method)
        return false;
    memcpy(parser->method, line.method, line.method_size);
    parser->method[line.method_size] = '\0';
    g_string_append_len(parser->target, line.target, (gssize)line.target_size);
    parser->close = line.is_closing;
    return true;
}

static bool parse_status_line(struct ow_http_parser *parser)
{
    struct ow_http_status_line line;
    if (!ow_http_status_line_parse(parser->line->str, parser->line->len, &line))
        return false;
    parser->status = line.status;
    parser->close = line.is_closing;
    return true;
}

/* Whether a header has already defined where the message ends. A second such header would make the end
   ambiguous (request smuggling). */
static bool has_framing(const struct ow_http_parser *parser)
{
    return parser->has_length || parser->is_chunked;
}

static bool parse_content_length(struct ow_http_parser *parser, const char *value)
{
    if (has_framing(parser) || !ow_http_length_parse(value, &parser->body_remaining))
        return false;
    parser->has_length = true;
    return true;
}

static bool parse_transfer_encoding(struct ow_http_parser *parser, const char *value)
{
    if (has_framing(parser) || g_ascii_strcasecmp(value, "chunked") != 0)
        return false;
    parser->is_chunked = true;
    return true;
}

static void parse_connection_header(struct ow_http_parser *parser, const char *value)
{
    if (g_ascii_strcasecmp(value, "close") == 0)
        parser->close = true;
    else if (g_ascii_strcasecmp(value, "keep-alive") == 0)
        parser->close = false;
}

static bool parse_header(struct ow_http_parser *parser)
{
    const char *name = NULL;
    const char *value = NULL;
    if (!ow_http_header_split(parser->line->str, &name, &value))
        return false;
    if (g_ascii_strcasecmp(name, "content-length") == 0)
        return parse_content_length(parser, value);
    if (g_ascii_strcasecmp(name, "transfer-encoding") == 0)
        return parse_transfer_encoding(parser, value);
    if (g_ascii_strcasecmp(name, "connection") == 0)
        parse_connection_header(parser, value);
    return true;
}

/* ---- phases ---- */

static enum ow_http_result end_head(struct ow_http_parser *parser)
{
    if (parser->side == OW_HTTP_RESPONSE && parser->status < STATUS_FINAL_MIN) {
        bool has_switched = parser->status == STATUS_SWITCHING_PROTOCOLS;
        parser->phase = OW_HTTP_PHASE_START;
        parser->status = 0;
        return has_switched ? OW_HTTP_MALFORMED : OW_HTTP_MORE;
    }
    if (parser->is_chunked) {
        parser->phase = OW_HTTP_PHASE_CHUNK_SIZE;
        return OW_HTTP_MORE;
    }
    if (parser->body_remaining > parser->body_limit_bytes)
        return OW_HTTP_TOO_LARGE;
    parser->phase = OW_HTTP_PHASE_BODY;
    return parser->body_remaining == 0 ? OW_HTTP_DONE : OW_HTTP_MORE;
}

static enum ow_http_result begin_chunk(struct ow_http_parser *parser)
{
    if (!ow_http_chunk_size_parse(parser->line->str, &parser->body_remaining))
        return OW_HTTP_MALFORMED;
    if (parser->body_remaining + parser->body->len > parser->body_limit_bytes)
        return OW_HTTP_TOO_LARGE;
    parser->phase = parser->body_remaining == 0 ? OW_HTTP_PHASE_TRAILERS : OW_HTTP_PHASE_CHUNK_DATA;
    return OW_HTTP_MORE;
}

static enum ow_http_result parse_first_line(struct ow_http_parser *parser)
{
    if (parser->line->len == 0)
        return OW_HTTP_MORE; /* empty line between messages */
    parser->phase = OW_HTTP_PHASE_HEADERS;
    bool is_valid = parser->side == OW_HTTP_REQUEST ? parse_request_line(parser) : parse_status_line(parser);
    return is_valid ? OW_HTTP_MORE : OW_HTTP_MALFORMED;
}

/* Processes a complete line, without its line ending. */
static enum ow_http_result process_line(struct ow_http_parser *parser)
{
    bool is_empty = parser->line->len == 0;
    switch (parser->phase) {
    case OW_HTTP_PHASE_START:
        return parse_first_line(parser);
    case OW_HTTP_PHASE_HEADERS:
        if (is_empty)
            return end_head(parser);
        return parse_header(parser) ? OW_HTTP_MORE : OW_HTTP_MALFORMED;
    case OW_HTTP_PHASE_CHUNK_SIZE:
        return begin_chunk(parser);
    case OW_HTTP_PHASE_CHUNK_END:
        parser->phase = OW_HTTP_PHASE_CHUNK_SIZE;
        return is_empty ? OW_HTTP_MORE : OW_HTTP_MALFORMED;
    case OW_HTTP_PHASE_TRAILERS:
        return is_empty ? OW_HTTP_DONE : OW_HTTP_MORE;
    case OW_HTTP_PHASE_BODY:
    case OW_HTTP_PHASE_CHUNK_DATA:
        break; /* not line-based */
    }
    return OW_HTTP_MALFORMED;
}

/* Bounds the memory for a line or head of unlimited length. Applies to the lines of chunks, too. */
static bool exceeds_limits(const struct ow_http_parser *parser, size_t line_part)
{
    bool is_in_head = parser->phase == OW_HTTP_PHASE_START || parser->phase == OW_HTTP_PHASE_HEADERS;
    return parser->line->len + line_part > LINE_LIMIT_BYTES ||
           (is_in_head && parser->head_bytes > HEAD_LIMIT_BYTES);
}

static enum ow_http_result feed_line(struct ow_http_parser *parser, const char *data, size_t size,
                                     size_t *used)
{
    const char *end = memchr(data, '\n', size);
    size_t part = end != NULL ? (size_t)(end - data) : size;
    *used = end != NULL ? part + 1 : part;
    parser->head_bytes += *used;
    if (exceeds_limits(parser, part))
        return OW_HTTP_MALFORMED;
    g_string_append_len(parser->line, data, (gssize)part);
    if (end == NULL)
        return OW_HTTP_MORE;
    if (parser->line->len > 0 && parser->line->str[parser->line->len - 1] == '\r')
        g_string_truncate(parser->line, parser->line->len - 1);
    if (memchr(parser->line->str, '\0', parser->line->len) != NULL)
        return OW_HTTP_MALFORMED;
    enum ow_http_result result = process_line(parser);
    g_string_truncate(parser->line, 0);
    return result;
}

static enum ow_http_result feed_body(struct ow_http_parser *parser, const char *data, size_t size,
                                     size_t *used)
{
    size_t part = MIN(size, parser->body_remaining);
    g_string_append_len(parser->body, data, (gssize)part);
    parser->body_remaining -= part;
    *used = part;
    if (parser->body_remaining > 0)
        return OW_HTTP_MORE;
    if (parser->phase == OW_HTTP_PHASE_BODY)
        return OW_HTTP_DONE;
    parser->phase = OW_HTTP_PHASE_CHUNK_END;
    return OW_HTTP_MORE;
}

enum ow_http_result ow_http_parse(struct ow_http_parser *parser, const char *data, size_t size, size_t *used)
{
    enum ow_http_result result = OW_HTTP_MORE;
    *used = 0;
    while (*used < size && result == OW_HTTP_MORE) {
        bool is_in_body = parser->phase == OW_HTTP_PHASE_BODY || parser->phase == OW_HTTP_PHASE_CHUNK_DATA;
        size_t step = 0;
        result = is_in_body ? feed_body(parser, data + *used, size - *used, &step)
                            : feed_line(parser, data + *used, size - *used, &step);
        *used += step;
    }
    return result;
}
