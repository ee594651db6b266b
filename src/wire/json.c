#include "wire/json.h"

#include "wire/json_reader.h"

#include <glib.h>
#include <string.h>
#include <yajl/yajl_gen.h>

/* ---- texts ---- */

json_t *wire_json_parse_object(const char *text, size_t size, const struct wire_json_fields *fields)
{
    return wire_json_read_object(text, size, fields, NULL);
}

bool wire_json_fail_field(const char *field, GError **error)
{
    g_set_error(error, WIRE_JSON_ERROR, WIRE_JSON_ERROR_FIELD, "%s: missing or invalid", field);
    return false;
}

static void print_string(yajl_gen generator, const char *string, size_t size)
{
    yajl_gen_string(generator, (const unsigned char *)string, size);
}

static void print_integer(yajl_gen generator, const json_t *value)
{
    char text[32];
    int size = g_snprintf(text, sizeof text, "%" G_GUINT64_FORMAT, wire_json_count_value(value));
    yajl_gen_number(generator, text, (size_t)size);
}

static void print_real(yajl_gen generator, const json_t *value)
{
    char text[64];
    yajl_gen_number(generator, text, json_dumpb(value, text, sizeof text, JSON_ENCODE_ANY));
}

static void print_value(yajl_gen generator, json_t *value);

static void print_members(yajl_gen generator, json_t *object)
{
    const char *name;
    json_t *member;
    yajl_gen_map_open(generator);
    json_object_foreach(object, name, member)
    {
        print_string(generator, name, strlen(name));
        print_value(generator, member);
    }
    yajl_gen_map_close(generator);
}

static void print_elements(yajl_gen generator, const json_t *array)
{
    yajl_gen_array_open(generator);
    for (size_t i = 0; i < json_array_size(array); i++)
        print_value(generator, json_array_get(array, i));
    yajl_gen_array_close(generator);
}

/* Values are nested no deeper than messages are: what is read is cut at WIRE_JSON_LEVELS_MAX. */
static void print_value(yajl_gen generator, json_t *value)
{
    switch (json_typeof(value)) {
    case JSON_OBJECT:
        print_members(generator, value);
        break;
    case JSON_ARRAY:
        print_elements(generator, value);
        break;
    case JSON_STRING:
        print_string(generator, json_string_value(value), json_string_length(value));
        break;
    case JSON_INTEGER:
        print_integer(generator, value);
        break;
    case JSON_REAL:
        print_real(generator, value);
        break;
    case JSON_TRUE:
    case JSON_FALSE:
        yajl_gen_bool(generator, json_is_true(value));
        break;
    case JSON_NULL:
        yajl_gen_null(generator);
        break;
    }
}

char *wire_json_print(json_t *value)
{
    const unsigned char *text = NULL;
    size_t size = 0;
    yajl_gen generator = yajl_gen_alloc(NULL);
    print_value(generator, value);
    yajl_gen_get_buf(generator, &text, &size);
    char *copy = g_strndup((const char *)text, size);
    yajl_gen_free(generator);
    return copy;
}

char *wire_json_print_and_unref(json_t *value)
{
    char *text = wire_json_print(value);
    json_decref(value);
    return text;
}

/* ---- fields ---- */

bool wire_json_is_absent(const json_t *object, const char *field)
{
    const json_t *value = json_object_get(object, field);
    return value == NULL || json_is_null(value);
}

bool wire_json_get_string(const json_t *object, const char *field, const char **out)
{
    const json_t *value = json_object_get(object, field);
    if (!json_is_string(value))
        return false;
    *out = json_string_value(value);
    return true;
}

bool wire_json_get_number(const json_t *object, const char *field, double *out)
{
    const json_t *value = json_object_get(object, field);
    if (!json_is_number(value))
        return false;
    *out = json_is_integer(value) ? (double)wire_json_count_value(value) : json_real_value(value);
    return true;
}

bool wire_json_get_count(const json_t *object, const char *field, uint64_t *out)
{
    const json_t *value = json_object_get(object, field);
    if (!json_is_integer(value))
        return false;
    *out = wire_json_count_value(value);
    return true;
}

bool wire_json_get_bool(const json_t *object, const char *field, bool *out)
{
    const json_t *value = json_object_get(object, field);
    if (!json_is_boolean(value))
        return false;
    *out = json_is_true(value);
    return true;
}

bool wire_json_get_optional_string(const json_t *object, const char *field, const char **out)
{
    return wire_json_is_absent(object, field) || wire_json_get_string(object, field, out);
}

bool wire_json_get_optional_number(const json_t *object, const char *field, double *out)
{
    return wire_json_is_absent(object, field) || wire_json_get_number(object, field, out);
}

bool wire_json_get_optional_count(const json_t *object, const char *field, uint64_t *out)
{
    return wire_json_is_absent(object, field) || wire_json_get_count(object, field, out);
}

bool wire_json_get_optional_bool(const json_t *object, const char *field, bool *out)
{
    return wire_json_is_absent(object, field) || wire_json_get_bool(object, field, out);
}

static bool all_strings(const json_t *array)
{
    for (size_t i = 0; i < json_array_size(array); i++)
        if (!json_is_string(json_array_get(array, i)))
            return false;
    return true;
}

char **wire_json_copy_strings(const json_t *array)
{
    if (!json_is_array(array) || !all_strings(array))
        return NULL;
    size_t count = json_array_size(array);
    char **list = g_new0(char *, count + 1);
    for (size_t i = 0; i < count; i++)
        list[i] = g_strdup(json_string_value(json_array_get(array, i)));
    return list;
}

json_t *wire_json_from_strings(char *const *strings)
{
    json_t *array = json_array();
    for (; strings != NULL && *strings != NULL; strings++)
        json_array_append_new(array, json_string(*strings));
    return array;
}
