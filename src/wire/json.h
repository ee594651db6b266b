/** @file
 * Helpers for reading and writing JSON with jansson, shared by the files of src/wire.
 *
 * A function that reads a field returns false and leaves *out unchanged if the field is missing, null or of
 * another type.
 */
#ifndef OW_WIRE_JSON_H
#define OW_WIRE_JSON_H

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/**
 * Parses a JSON object.
 * @param text `size` bytes, not NULL
 * @return a new reference; NULL unless the text is one JSON object without repeated fields
 */
json_t *wire_json_parse_object(const char *text, size_t size);

/** Serializes a value without white space. @return owned by the caller (g_free) */
char *wire_json_print(const json_t *value);

/** Like wire_json_print(), but also releases the caller's reference to the value. */
char *wire_json_print_and_unref(json_t *value);

/** Reads a string. @param out owned by the object */
bool wire_json_get_string(const json_t *object, const char *field, const char **out);

/** Reads a finite number, integer or real. */
bool wire_json_get_number(const json_t *object, const char *field, double *out);

/** Reads a non-negative integer. */
bool wire_json_get_count(const json_t *object, const char *field, uint64_t *out);

/** Reads a boolean. */
bool wire_json_get_bool(const json_t *object, const char *field, bool *out);

/** Whether a field is missing or null. */
bool wire_json_is_absent(const json_t *object, const char *field);

/** Copies an array of strings. @return NULL-terminated (g_strfreev); NULL if it is not an array of strings */
char **wire_json_copy_strings(const json_t *array);

/** Creates an array of strings. @param strings NULL-terminated; NULL for none @return a new reference */
json_t *wire_json_from_strings(char *const *strings);

#endif
