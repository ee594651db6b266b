#include "io/http_lines.h"

#include <glib.h>
#include <string.h>

/* Maximum number of digits of a size, enough for any within the limits. Longer numbers could overflow and are
   rejected. */
enum { SIZE_DIGITS_MAX = 9 };
/* Number bases. */
enum { DECIMAL = 10, HEXADECIMAL = 16 };

/* The version is "HTTP/1.0" or "HTTP/1.1". */
static const char VERSION_PREFIX[] = "HTTP/1.";
enum { MINOR_AT = sizeof VERSION_PREFIX - 1, VERSION_SIZE = MINOR_AT + 1 };
/* A status line: version, space, three digits, then optionally a space and a reason phrase. */
enum { STATUS_AT = VERSION_SIZE + 1, STATUS_DIGITS = 3, STATUS_END = STATUS_AT + STATUS_DIGITS };

enum { ASCII_DELETE = 127 };

/* An HTTP/1.0 sender closes the connection unless a Connection header says otherwise. */
static bool parse_version(const char *text, size_t size, bool *is_closing)
{
    if (size != VERSION_SIZE || memcmp(text, VERSION_PREFIX, MINOR_AT) != 0)
        return false;
    *is_closing = text[MINOR_AT] == '0';
    return text[MINOR_AT] == '0' || text[MINOR_AT] == '1';
}

/* Whether the text is a token (RFC 9110), as methods and header names are: not empty, no separators. */
static bool is_token(const char *text, size_t size)
{
    for (size_t i = 0; i < size; i++) {
        if (!g_ascii_isalnum(text[i]) && (text[i] == '\0' || strchr("!#$%&'*+-.^_`|~", text[i]) == NULL))
            return false;
    }
    return size > 0;
}

/* Whether the text is a path with an optional query, without spaces or control characters. */
static bool is_target(const char *text, size_t size)
{
    for (size_t i = 0; i < size; i++) {
        unsigned char c = (unsigned char)text[i];
        if (c <= ' ' || c == ASCII_DELETE)
            return false;
    }
    return size > 0 && *text == '/';
}

bool ow_http_request_line_parse(const char *line, struct ow_http_request_line *out)
{
    const char *method_end = strchr(line, ' ');
    if (method_end == NULL)
        return false;
    out->method = line;
    out->method_size = (size_t)(method_end - line);
    out->target = method_end + 1;
    const char *target_end = strchr(out->target, ' ');
    if (target_end == NULL)
        return false;
    out->target_size = (size_t)(target_end - out->target);
    const char *version = target_end + 1;
    return is_token(out->method, out->method_size) && is_target(out->target, out->target_size) &&
           parse_version(version, strlen(version), &out->is_closing);
}

bool ow_http_status_line_parse(const char *line, size_t size, struct ow_http_status_line *out)
{
    if (size < STATUS_END || !parse_version(line, VERSION_SIZE, &out->is_closing) ||
        line[VERSION_SIZE] != ' ')
        return false;
    out->status = 0;
    for (int i = STATUS_AT; i < STATUS_END; i++) {
        if (!g_ascii_isdigit(line[i]))
            return false;
        out->status = out->status * DECIMAL + g_ascii_digit_value(line[i]);
    }
    return line[STATUS_END] == '\0' || line[STATUS_END] == ' ';
}

bool ow_http_header_split(char *line, const char **name, const char **value)
{
    char *colon = strchr(line, ':');
    if (colon == NULL || !is_token(line, (size_t)(colon - line)))
        return false;
    *colon = '\0';
    *name = line;
    *value = g_strstrip(colon + 1);
    return true;
}

/* Parses the digits of a size and the white space after them. Returns the position after these, or NULL if
   malformed. */
static const char *parse_digits(const char *text, int base, size_t *out)
{
    size_t value = 0;
    int digits = 0;
    for (; g_ascii_isxdigit(*text); text++, digits++) {
        int digit = g_ascii_xdigit_value(*text);
        if (digit >= base || digits >= SIZE_DIGITS_MAX)
            return NULL;
        value = value * (size_t)base + (size_t)digit;
    }
    *out = value;
    return digits > 0 ? text + strspn(text, " \t") : NULL;
}

bool ow_http_length_parse(const char *text, size_t *bytes)
{
    const char *rest = parse_digits(text, DECIMAL, bytes);
    return rest != NULL && *rest == '\0';
}

bool ow_http_chunk_size_parse(const char *line, size_t *bytes)
{
    const char *rest = parse_digits(line, HEXADECIMAL, bytes);
    return rest != NULL && (*rest == '\0' || *rest == ';');
}
