#include "io/http_parse.h"

#include <string.h>

enum { HEAD_LIMIT = 16 * 1024, LINE_LIMIT = 8 * 1024, KEEP_BUFFER = 16 * 1024 };

enum phase { START, HEADERS, BODY, CHUNK_SIZE, CHUNK_DATA, CHUNK_END, TRAILERS };

void ow_http_parser_init(struct ow_http_parser *p, enum ow_http_side side, size_t body_limit)
{
    memset(p, 0, sizeof *p);
    p->side = side;
    p->body_limit = body_limit;
    p->line = g_string_sized_new(64);
    p->target = g_string_sized_new(32);
    p->body = g_string_sized_new(0);
    ow_http_parser_reset(p);
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

void ow_http_parser_reset(struct ow_http_parser *p)
{
    p->phase = START;
    trim_buffer(&p->line);
    trim_buffer(&p->target);
    trim_buffer(&p->body);
    p->head_bytes = 0;
    p->left = 0;
    p->has_length = p->chunked = p->close = false;
    p->method[0] = '\0';
    p->status = 0;
    p->minor = 1;
}

void ow_http_parser_clear(struct ow_http_parser *p)
{
    g_string_free(p->line, TRUE);
    g_string_free(p->target, TRUE);
    g_string_free(p->body, TRUE);
}

static bool parse_version(struct ow_http_parser *p, const char *text, size_t size)
{
    if (size != 8 || memcmp(text, "HTTP/1.", 7) != 0 || (text[7] != '0' && text[7] != '1'))
        return false;
    p->minor = text[7] - '0';
    p->close = p->minor == 0;
    return true;
}

static bool token_char(char c)
{
    return g_ascii_isalnum(c) || (c != '\0' && strchr("!#$%&'*+-.^_`|~", c) != NULL);
}

static bool parse_request_line(struct ow_http_parser *p)
{
    const char *line = p->line->str;
    const char *space = strchr(line, ' ');
    if (space == NULL || space == line || (size_t)(space - line) >= sizeof p->method)
        return false;
    for (const char *c = line; c < space; c++)
        if (!token_char(*c))
            return false;
    memcpy(p->method, line, (size_t)(space - line));
    p->method[space - line] = '\0';
    const char *target = space + 1;
    const char *end = strchr(target, ' ');
    if (end == NULL || end == target || *target != '/')
        return false;
    for (const char *c = target; c < end; c++)
        if ((unsigned char)*c <= ' ' || *c == 127)
            return false;
    g_string_append_len(p->target, target, end - target);
    return parse_version(p, end + 1, strlen(end + 1));
}

static bool parse_status_line(struct ow_http_parser *p)
{
    const char *line = p->line->str;
    if (p->line->len < 12 || !parse_version(p, line, 8) || line[8] != ' ')
        return false;
    for (int i = 9; i < 12; i++) {
        if (!g_ascii_isdigit(line[i]))
            return false;
        p->status = p->status * 10 + (line[i] - '0');
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
        if (d >= base || digits >= 9)
            return false;
        value = value * (size_t)base + (size_t)d;
    }
    while (*text == ' ' || *text == '\t')
        text++;
    *out = value;
    return digits > 0 && (*text == '\0' || (base == 16 && *text == ';'));
}

static bool parse_header(struct ow_http_parser *p)
{
    char *colon = strchr(p->line->str, ':');
    if (colon == NULL || colon == p->line->str)
        return false;
    for (const char *c = p->line->str; c < colon; c++)
        if (!token_char(*c))
            return false;
    *colon = '\0';
    const char *name = p->line->str;
    char *value = g_strstrip(colon + 1);
    if (g_ascii_strcasecmp(name, "content-length") == 0) {
        size_t length = 0;
        /* Two lengths, or a length beside chunks, leave the end of a message open to dispute. */
        if (p->has_length || p->chunked || !parse_size(value, 10, &length))
            return false;
        p->has_length = true;
        p->left = length;
    } else if (g_ascii_strcasecmp(name, "transfer-encoding") == 0) {
        if (p->has_length || p->chunked || g_ascii_strcasecmp(value, "chunked") != 0)
            return false;
        p->chunked = true;
    } else if (g_ascii_strcasecmp(name, "connection") == 0) {
        if (g_ascii_strcasecmp(value, "close") == 0)
            p->close = true;
        else if (g_ascii_strcasecmp(value, "keep-alive") == 0)
            p->close = false;
    }
    return true;
}

static enum ow_http_result end_of_head(struct ow_http_parser *p)
{
    if (p->side == OW_HTTP_RESPONSE && p->status < 200) {
        /* Nobody asked for another protocol. */
        bool switched = p->status == 101;
        p->phase = START;
        p->status = 0;
        return switched ? OW_HTTP_MALFORMED : OW_HTTP_MORE;
    }
    if (p->chunked) {
        p->phase = CHUNK_SIZE;
        return OW_HTTP_MORE;
    }
    if (p->body_limit != 0 && p->left > p->body_limit)
        return OW_HTTP_TOO_LARGE;
    p->phase = BODY;
    return p->left == 0 ? OW_HTTP_DONE : OW_HTTP_MORE;
}

static enum ow_http_result chunk_size(struct ow_http_parser *p)
{
    if (!parse_size(p->line->str, 16, &p->left))
        return OW_HTTP_MALFORMED;
    if (p->body_limit != 0 && p->left + p->body->len > p->body_limit)
        return OW_HTTP_TOO_LARGE;
    p->phase = p->left == 0 ? TRAILERS : CHUNK_DATA;
    return OW_HTTP_MORE;
}

static enum ow_http_result take_line(struct ow_http_parser *p)
{
    switch (p->phase) {
    case START:
        if (p->line->len == 0)
            return OW_HTTP_MORE; /* a stray empty line between messages */
        p->phase = HEADERS;
        if (p->side == OW_HTTP_REQUEST)
            return parse_request_line(p) ? OW_HTTP_MORE : OW_HTTP_MALFORMED;
        return parse_status_line(p) ? OW_HTTP_MORE : OW_HTTP_MALFORMED;
    case HEADERS:
        if (p->line->len == 0)
            return end_of_head(p);
        return parse_header(p) ? OW_HTTP_MORE : OW_HTTP_MALFORMED;
    case CHUNK_SIZE:
        return chunk_size(p);
    case CHUNK_END:
        p->phase = CHUNK_SIZE;
        return p->line->len == 0 ? OW_HTTP_MORE : OW_HTTP_MALFORMED;
    default: /* TRAILERS */
        return p->line->len == 0 ? OW_HTTP_DONE : OW_HTTP_MORE;
    }
}

static enum ow_http_result feed_line(struct ow_http_parser *p, const char *data, size_t size, size_t *used)
{
    const char *end = memchr(data, '\n', size);
    size_t part = end != NULL ? (size_t)(end - data) : size;
    *used = end != NULL ? part + 1 : part;
    p->head_bytes += *used;
    /* A head without end must not grow the buffer. Chunk lines count too. */
    if (p->line->len + part > LINE_LIMIT || (p->phase <= HEADERS && p->head_bytes > HEAD_LIMIT))
        return OW_HTTP_MALFORMED;
    g_string_append_len(p->line, data, (gssize)part);
    if (end == NULL)
        return OW_HTTP_MORE;
    if (p->line->len > 0 && p->line->str[p->line->len - 1] == '\r')
        g_string_truncate(p->line, p->line->len - 1);
    if (memchr(p->line->str, '\0', p->line->len) != NULL)
        return OW_HTTP_MALFORMED;
    enum ow_http_result result = take_line(p);
    g_string_truncate(p->line, 0);
    return result;
}

static enum ow_http_result feed_body(struct ow_http_parser *p, const char *data, size_t size, size_t *used)
{
    size_t part = MIN(size, p->left);
    g_string_append_len(p->body, data, (gssize)part);
    p->left -= part;
    *used = part;
    if (p->left > 0)
        return OW_HTTP_MORE;
    if (p->phase == BODY)
        return OW_HTTP_DONE;
    p->phase = CHUNK_END;
    return OW_HTTP_MORE;
}

enum ow_http_result ow_http_parse(struct ow_http_parser *p, const char *data, size_t size, size_t *used)
{
    *used = 0;
    while (*used < size) {
        size_t step = 0;
        bool in_body = p->phase == BODY || p->phase == CHUNK_DATA;
        enum ow_http_result result = in_body ? feed_body(p, data + *used, size - *used, &step)
                                             : feed_line(p, data + *used, size - *used, &step);
        *used += step;
        if (result != OW_HTTP_MORE)
            return result;
    }
    return OW_HTTP_MORE;
}
