#include "io/http_parse.h"

#include <string.h>

/* Bytes. */
enum { HEAD_LIMIT = 16 * 1024, LINE_LIMIT = 8 * 1024, KEEP_BUFFER = 16 * 1024 };
/* More digits than any size within the limits has. */
enum { SIZE_DIGITS_MAX = 9 };

void ow_http_parser_init(struct ow_http_parser *parser, enum ow_http_side side, size_t body_limit)
{
    memset(parser, 0, sizeof *parser);
    parser->side = side;
    parser->body_limit = body_limit;
    parser->line = g_string_sized_new(64);
    parser->target = g_string_sized_new(32);
    parser->body = g_string_sized_new(0);
    ow_http_parser_reset(parser);
}

static void trim_buffer(GString **buffer)
{
    /* One large body must not keep its memory for the life of a connection. */
    if ((*buffer)->allocated_len > KEEP_BUFFER) {
        g_string_free(*buffer, TRUE);
        *buffer = g_string_sized_new(0);
    }
    g_string_truncate(*buffer, 0);
}

void ow_http_parser_reset(struct ow_http_parser *parser)
{
    parser->phase = OW_HTTP_PHASE_START;
    trim_buffer(&parser->line);
    trim_buffer(&parser->target);
    trim_buffer(&parser->body);
    parser->head_bytes = 0;
    parser->left = 0;
    parser->has_length = parser->chunked = parser->close = false;
    parser->method[0] = '\0';
    parser->status = 0;
    parser->minor = 1;
}

void ow_http_parser_clear(struct ow_http_parser *parser)
{
    g_string_free(parser->line, TRUE);
    g_string_free(parser->target, TRUE);
    g_string_free(parser->body, TRUE);
}

static bool parse_version(struct ow_http_parser *parser, const char *text, size_t size)
{
    if (size != 8 || memcmp(text, "HTTP/1.", 7) != 0 || (text[7] != '0' && text[7] != '1'))
        return false;
    parser->minor = text[7] - '0';
    parser->close = parser->minor == 0;
    return true;
}

static bool token_char(char c)
{
    return g_ascii_isalnum(c) || (c != '\0' && strchr("!#$%&'*+-.^_`|~", c) != NULL);
}

static bool parse_request_line(struct ow_http_parser *parser)
{
    const char *line = parser->line->str;
    const char *space = strchr(line, ' ');
    if (space == NULL || space == line || (size_t)(space - line) >= sizeof parser->method)
        return false;
    for (const char *c = line; c < space; c++)
        if (!token_char(*c))
            return false;
    memcpy(parser->method, line, (size_t)(space - line));
    parser->method[space - line] = '\0';
    const char *target = space + 1;
    const char *end = strchr(target, ' ');
    if (end == NULL || end == target || *target != '/')
        return false;
    for (const char *c = target; c < end; c++)
        if ((unsigned char)*c <= ' ' || *c == 127)
            return false;
    g_string_append_len(parser->target, target, end - target);
    return parse_version(parser, end + 1, strlen(end + 1));
}

static bool parse_status_line(struct ow_http_parser *parser)
{
    const char *line = parser->line->str;
    if (parser->line->len < 12 || !parse_version(parser, line, 8) || line[8] != ' ')
        return false;
    for (int i = 9; i < 12; i++) {
        if (!g_ascii_isdigit(line[i]))
            return false;
        parser->status = parser->status * 10 + (line[i] - '0');
    }
    return line[12] == '\0' || line[12] == ' ';
}

static bool parse_size(const char *text, int base, size_t *out)
{
    /* Bounded digits: a length that overflows would let a body run past its limit. */
    size_t value = 0;
    int digits = 0;
    for (; g_ascii_isxdigit(*text); text++, digits++) {
        int d = g_ascii_xdigit_value(*text);
        if (d >= base || digits >= SIZE_DIGITS_MAX)
            return false;
        value = value * (size_t)base + (size_t)d;
    }
    while (*text == ' ' || *text == '\t')
        text++;
    *out = value;
    return digits > 0 && (*text == '\0' || (base == 16 && *text == ';'));
}

static bool parse_header(struct ow_http_parser *parser)
{
    char *colon = strchr(parser->line->str, ':');
    if (colon == NULL || colon == parser->line->str)
        return false;
    for (const char *c = parser->line->str; c < colon; c++)
        if (!token_char(*c))
            return false;
    *colon = '\0';
    const char *name = parser->line->str;
    char *value = g_strstrip(colon + 1);
    if (g_ascii_strcasecmp(name, "content-length") == 0) {
        size_t length = 0;
        /* Two lengths, or a length beside chunks, leave the end of a message open to dispute. */
        if (parser->has_length || parser->chunked || !parse_size(value, 10, &length))
            return false;
        parser->has_length = true;
        parser->left = length;
    } else if (g_ascii_strcasecmp(name, "transfer-encoding") == 0) {
        if (parser->has_length || parser->chunked || g_ascii_strcasecmp(value, "chunked") != 0)
            return false;
        parser->chunked = true;
    } else if (g_ascii_strcasecmp(name, "connection") == 0) {
        if (g_ascii_strcasecmp(value, "close") == 0)
            parser->close = true;
        else if (g_ascii_strcasecmp(value, "keep-alive") == 0)
            parser->close = false;
    }
    return true;
}

static enum ow_http_result end_of_head(struct ow_http_parser *parser)
{
    if (parser->side == OW_HTTP_RESPONSE && parser->status < 200) {
        /* Nobody asked for another protocol. */
        bool switched = parser->status == 101;
        parser->phase = OW_HTTP_PHASE_START;
        parser->status = 0;
        return switched ? OW_HTTP_MALFORMED : OW_HTTP_MORE;
    }
    if (parser->chunked) {
        parser->phase = OW_HTTP_PHASE_CHUNK_SIZE;
        return OW_HTTP_MORE;
    }
    if (parser->body_limit != 0 && parser->left > parser->body_limit)
        return OW_HTTP_TOO_LARGE;
    parser->phase = OW_HTTP_PHASE_BODY;
    return parser->left == 0 ? OW_HTTP_DONE : OW_HTTP_MORE;
}

static enum ow_http_result chunk_size(struct ow_http_parser *parser)
{
    if (!parse_size(parser->line->str, 16, &parser->left))
        return OW_HTTP_MALFORMED;
    if (parser->body_limit != 0 && parser->left + parser->body->len > parser->body_limit)
        return OW_HTTP_TOO_LARGE;
    parser->phase = parser->left == 0 ? OW_HTTP_PHASE_TRAILERS : OW_HTTP_PHASE_CHUNK_DATA;
    return OW_HTTP_MORE;
}

static enum ow_http_result take_line(struct ow_http_parser *parser)
{
    switch (parser->phase) {
    case OW_HTTP_PHASE_START:
        if (parser->line->len == 0)
            return OW_HTTP_MORE; /* a stray empty line between messages */
        parser->phase = OW_HTTP_PHASE_HEADERS;
        if (parser->side == OW_HTTP_REQUEST)
            return parse_request_line(parser) ? OW_HTTP_MORE : OW_HTTP_MALFORMED;
        return parse_status_line(parser) ? OW_HTTP_MORE : OW_HTTP_MALFORMED;
    case OW_HTTP_PHASE_HEADERS:
        if (parser->line->len == 0)
            return end_of_head(parser);
        return parse_header(parser) ? OW_HTTP_MORE : OW_HTTP_MALFORMED;
    case OW_HTTP_PHASE_CHUNK_SIZE:
        return chunk_size(parser);
    case OW_HTTP_PHASE_CHUNK_END:
        parser->phase = OW_HTTP_PHASE_CHUNK_SIZE;
        return parser->line->len == 0 ? OW_HTTP_MORE : OW_HTTP_MALFORMED;
    case OW_HTTP_PHASE_TRAILERS:
        return parser->line->len == 0 ? OW_HTTP_DONE : OW_HTTP_MORE;
    case OW_HTTP_PHASE_BODY:
    case OW_HTTP_PHASE_CHUNK_DATA:
        break; /* these have no lines */
    }
    return OW_HTTP_MALFORMED;
}

static enum ow_http_result feed_line(struct ow_http_parser *parser, const char *data, size_t size,
                                     size_t *used)
{
    const char *end = memchr(data, '\n', size);
    size_t part = end != NULL ? (size_t)(end - data) : size;
    *used = end != NULL ? part + 1 : part;
    parser->head_bytes += *used;
    /* A head without end must not grow the buffer. Chunk lines count too. */
    if (parser->line->len + part > LINE_LIMIT ||
        (parser->phase <= OW_HTTP_PHASE_HEADERS && parser->head_bytes > HEAD_LIMIT))
        return OW_HTTP_MALFORMED;
    g_string_append_len(parser->line, data, (gssize)part);
    if (end == NULL)
        return OW_HTTP_MORE;
    if (parser->line->len > 0 && parser->line->str[parser->line->len - 1] == '\r')
        g_string_truncate(parser->line, parser->line->len - 1);
    if (memchr(parser->line->str, '\0', parser->line->len) != NULL)
        return OW_HTTP_MALFORMED;
    enum ow_http_result result = take_line(parser);
    g_string_truncate(parser->line, 0);
    return result;
}

static enum ow_http_result feed_body(struct ow_http_parser *parser, const char *data, size_t size,
                                     size_t *used)
{
    size_t part = MIN(size, parser->left);
    g_string_append_len(parser->body, data, (gssize)part);
    parser->left -= part;
    *used = part;
    if (parser->left > 0)
        return OW_HTTP_MORE;
    if (parser->phase == OW_HTTP_PHASE_BODY)
        return OW_HTTP_DONE;
    parser->phase = OW_HTTP_PHASE_CHUNK_END;
    return OW_HTTP_MORE;
}

enum ow_http_result ow_http_parse(struct ow_http_parser *parser, const char *data, size_t size, size_t *used)
{
    *used = 0;
    while (*used < size) {
        size_t step = 0;
        bool in_body = parser->phase == OW_HTTP_PHASE_BODY || parser->phase == OW_HTTP_PHASE_CHUNK_DATA;
        enum ow_http_result result = in_body ? feed_body(parser, data + *used, size - *used, &step)
                                             : feed_line(parser, data + *used, size - *used, &step);
        *used += step;
        if (result != OW_HTTP_MORE)
            return result;
    }
    return OW_HTTP_MORE;
}
