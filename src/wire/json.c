#include "wire/json.h"

#include <glib.h>
#include <math.h>
#include <stdlib.h>

json_t *wire_json_parse_object(const char *text, size_t size)
{
    json_auto_t *value = json_loadb(text, size, JSON_REJECT_DUPLICATES, NULL);
    return json_is_object(value) ? g_steal_pointer(&value) : NULL;
}

char *wire_json_print(const json_t *value)
{
    char *text = json_dumps(value, JSON_COMPACT | JSON_ENCODE_ANY);
    char *copy = g_strdup(text);
    free(text);
    return copy;
}

char *wire_json_print_and_unref(json_t *value)
{
    char *text = wire_json_print(value);
    json_decref(value);
    return text;
}

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
    if (!json_is_number(value) || !isfinite(json_number_value(value)))
        return false;
    *out = json_number_value(value);
    return true;
}

bool wire_json_get_count(const json_t *object, const char *field, uint64_t *out)
{
    const json_t *value = json_object_get(object, field);
    if (!json_is_integer(value) || json_integer_value(value) < 0)
        return false;
    *out = (uint64_t)json_integer_value(value);
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
