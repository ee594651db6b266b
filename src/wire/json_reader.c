#include "wire/json_reader.h"

#include "wire/json_builder.h"
#include "wire/json_number.h"

#include <stdbool.h>
#include <string.h>
#include <yajl/yajl_parse.h>

G_DEFINE_QUARK(wire_json_error, wire_json_error)

/* What a callback returns to yajl. */
enum { STOP = 0, GO_ON = 1 };

struct reader {
    yajl_handle parser;
    struct wire_json_builder builder;
    const char *text;
    size_t size;
    size_t token_begin;              /* bytes of the text before the token that is read */
    size_t root_end;                 /* bytes of the text up to the root's end; 0: not there yet */
    enum wire_json_error error_code; /* why a callback stopped */
    const char *stop_reason;         /* the same as text; NULL: it did not */
};

/* ---- events ---- */

/* Notes that a token has been read. */
static int finish_token(struct reader *reader)
{
    reader->token_begin = yajl_get_bytes_consumed(reader->parser);
    return GO_ON;
}

static int stop(struct reader *reader, enum wire_json_error code, const char *reason)
{
    reader->error_code = code;
    reader->stop_reason = reason;
    return STOP;
}

static int on_name(void *context, const unsigned char *name, size_t size)
{
    struct reader *reader = context;
    if (!wire_json_builder_begin_member(&reader->builder, (const char *)name, size))
        return stop(reader, WIRE_JSON_ERROR_REPEATED, "a field is repeated");
    return finish_token(reader);
}

static int on_begin_object(void *context)
{
    struct reader *reader = context;
    wire_json_builder_begin_container(&reader->builder, true);
    return finish_token(reader);
}

static int on_begin_array(void *context)
{
    struct reader *reader = context;
    if (wire_json_builder_is_at_root(&reader->builder))
        return stop(reader, WIRE_JSON_ERROR_NOT_OBJECT, "not an object");
    wire_json_builder_begin_container(&reader->builder, false);
    return finish_token(reader);
}

static int on_end_container(void *context)
{
    struct reader *reader = context;
    wire_json_builder_end_container(&reader->builder);
    finish_token(reader);
    if (wire_json_builder_is_at_root(&reader->builder))
        reader->root_end = reader->token_begin;
    return GO_ON;
}

/* Takes the reference to a value that is kept. */
static int finish_value(struct reader *reader, json_t *value)
{
    wire_json_builder_add_scalar(&reader->builder, value);
    return finish_token(reader);
}

static int skip_value(struct reader *reader)
{
    if (wire_json_builder_is_at_root(&reader->builder))
        return stop(reader, WIRE_JSON_ERROR_NOT_OBJECT, "not an object");
    return finish_token(reader);
}

static int on_null(void *context)
{
    struct reader *reader = context;
    return wire_json_builder_keeps_next(&reader->builder) ? finish_value(reader, json_null())
                                                          : skip_value(reader);
}

static int on_boolean(void *context, int value)
{
    struct reader *reader = context;
    return wire_json_builder_keeps_next(&reader->builder) ? finish_value(reader, json_boolean(value))
                                                          : skip_value(reader);
}

static int on_number(void *context, const char *text, size_t size)
{
    struct reader *reader = context;
    return wire_json_builder_keeps_next(&reader->builder)
               ? finish_value(reader, wire_json_number_from_text(text, size))
               : skip_value(reader);
}

/* yajl passes a string without escapes as a part of the text itself. */
static bool has_escapes(const struct reader *reader, const char *string)
{
    return string < reader->text || string >= reader->text + reader->size;
}

/* Decodes the string that ends here from the text. yajl replaces halves of surrogate pairs; jansson rejects
 * them. */
static json_t *read_escaped_string(const struct reader *reader)
{
    const char *end = reader->text + yajl_get_bytes_consumed(reader->parser);
    const char *token = reader->text + reader->token_begin;
    const char *string = memchr(token, '"', (size_t)(end - token));
    return json_loadb(string, (size_t)(end - string), JSON_DECODE_ANY, NULL);
}

static int on_string(void *context, const unsigned char *string, size_t size)
{
    struct reader *reader = context;
    const char *characters = (const char *)string;
    if (!wire_json_builder_keeps_next(&reader->builder))
        return skip_value(reader);
    return finish_value(reader, has_escapes(reader, characters) ? read_escaped_string(reader)
                                                                : json_stringn_nocheck(characters, size));
}

static const yajl_callbacks callbacks = {
    .yajl_null = on_null,
    .yajl_boolean = on_boolean,
    .yajl_number = on_number,
    .yajl_string = on_string,
    .yajl_start_map = on_begin_object,
    .yajl_map_key = on_name,
    .yajl_end_map = on_end_container,
    .yajl_start_array = on_begin_array,
    .yajl_end_array = on_end_container,
};

/* ---- texts ---- */

/* Bytes of the text on each side of an error that its message shows. */
enum { EXCERPT_BYTES = 24 };

static void set_error(const struct reader *reader, enum wire_json_error code, size_t position,
                      const char *reason, GError **error)
{
    size_t begin = position - MIN(position, EXCERPT_BYTES);
    size_t end = MIN(reader->size, position + EXCERPT_BYTES);
    g_autofree char *excerpt = g_strndup(reader->text + begin, end - begin);
    g_autofree char *escaped = g_strescape(excerpt, NULL);
    g_set_error(error, WIRE_JSON_ERROR, (gint)code, "byte %zu: %s, near %s", position, reason, escaped);
}

/* yajl takes vertical tabs and form feeds for white space. Neither may occur anywhere in a JSON text. */
static const char *find_foreign_space(const char *text, size_t size)
{
    const char *vertical_tab = memchr(text, '\v', size);
    return vertical_tab != NULL ? vertical_tab : memchr(text, '\f', size);
}

/* Checks what yajl does not: its own check of UTF-8 accepts overlong forms and surrogates. */
static bool check_characters(const struct reader *reader, GError **error)
{
    const char *text = reader->text;
    const char *invalid = NULL;
    if (!g_utf8_validate_len(text, reader->size, &invalid)) {
        set_error(reader, WIRE_JSON_ERROR_SYNTAX, (size_t)(invalid - text), "not UTF-8", error);
        return false;
    }
    const char *space = find_foreign_space(text, reader->size);
    if (space == NULL)
        return true;
    set_error(reader, WIRE_JSON_ERROR_SYNTAX, (size_t)(space - text), "a control character", error);
    return false;
}

/* yajl does not notice a value after the root that is cut short. */
static bool has_only_space_after_root(const struct reader *reader)
{
    for (size_t i = reader->root_end; i < reader->size; i++)
        if (strchr(" \t\r\n", reader->text[i]) == NULL)
            return false;
    return true;
}

static void set_syntax_error(const struct reader *reader, GError **error)
{
    unsigned char *message = yajl_get_error(reader->parser, 0, NULL, 0);
    g_autofree char *line = g_strdelimit(g_strdup((const char *)message), "\n", ' ');
    yajl_free_error(reader->parser, message);
    set_error(reader, WIRE_JSON_ERROR_SYNTAX, yajl_get_bytes_consumed(reader->parser), g_strstrip(line),
              error);
}

static bool run(struct reader *reader, GError **error)
{
    yajl_status status = yajl_parse(reader->parser, (const unsigned char *)reader->text, reader->size);
    if (reader->stop_reason != NULL)
        set_error(reader, reader->error_code, yajl_get_bytes_consumed(reader->parser), reader->stop_reason,
                  error);
    else if (status != yajl_status_ok)
        set_syntax_error(reader, error);
    else if (reader->root_end == 0)
        set_error(reader, WIRE_JSON_ERROR_SYNTAX, reader->size, "the text ends before its object does",
                  error);
    else if (!has_only_space_after_root(reader))
        set_error(reader, WIRE_JSON_ERROR_SYNTAX, reader->root_end, "something follows the object", error);
    else
        return true;
    return false;
}

json_t *wire_json_read_object(const char *text, size_t size, const struct wire_json_fields *fields,
                              GError **error)
{
    struct reader reader = {.text = text, .size = size};
    if (size == 0) {
        g_set_error_literal(error, WIRE_JSON_ERROR, WIRE_JSON_ERROR_SYNTAX, "byte 0: the text is empty");
        return NULL;
    }
    if (!check_characters(&reader, error))
        return NULL;
    wire_json_builder_init(&reader.builder, fields);
    reader.parser = yajl_alloc(&callbacks, NULL, &reader);
    yajl_config(reader.parser, yajl_dont_validate_strings, 1);
    bool is_read = run(&reader, error);
    yajl_free(reader.parser);
    json_t *root = wire_json_builder_finish(&reader.builder);
    if (!is_read)
        g_clear_pointer(&root, json_decref);
    return root;
}
