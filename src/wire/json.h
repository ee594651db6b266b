/* Small readers over jansson, shared by the files of src/wire. */
#ifndef OW_WIRE_JSON_H
#define OW_WIRE_JSON_H

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* NULL unless the text is one JSON object. */
json_t *wire_json_parse_object(const char *text, size_t size);
/* The text of a value, owned by the caller (free with g_free). */
char *wire_json_print(const json_t *value);

/* The same, and drops the reference to the value. */
char *wire_json_print_and_unref(json_t *value);
/* Each leaves *out alone and answers false if the field is missing, null or of another type. */
/* The text stays the object's. */
bool wire_json_get_string(const json_t *object, const char *field, const char **out);
bool wire_json_get_number(const json_t *object, const char *field, double *out);
/* An integer that is not negative. */
bool wire_json_get_count(const json_t *object, const char *field, uint64_t *out);
bool wire_json_get_bool(const json_t *object, const char *field, bool *out);

/* A field that is missing or null counts as absent. */
bool wire_json_is_absent(const json_t *object, const char *field);
/* The strings of an array as a NULL-ended vector (g_strfreev), or NULL if it is none. */
char **wire_json_copy_strings(const json_t *array);

#endif
