/** @file
 * Small readers and writers over jansson, shared by the files of src/wire.
 *
 * A reader of a field leaves *out alone and answers false if the field is missing, null or of another type.
 */
#ifndef OW_WIRE_JSON_H
#define OW_WIRE_JSON_H

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/**
 * Parses a text.
 * @param text `size` bytes, not NULL
 * @return a new reference; NULL unless the text is one JSON object without repeated fields
 */
json_t *wire_json_parse_object(const char *text, size_t size);

/** Prints a value without spaces. @return owned by the caller (g_free) */
char *wire_json_print(const json_t *value);

/** The same, and drops the caller's reference to the value. */
char *wire_json_print_and_unref(json_t *value);

/** Reads a string. @param out stays owned by the object */
bool wire_json_get_string(const json_t *object, const char *field, const char **out);

/** Reads a finite number, integer or real. */
bool wire_json_get_number(const json_t *object, const char *field, double *out);

/** Reads an integer that is not negative. */
bool wire_json_get_count(const json_t *object, const char *field, uint64_t *out);

/** Reads true or false. */
bool wire_json_get_bool(const json_t *object, const char *field, bool *out);

/** Whether a field is missing or null. */
bool wire_json_is_absent(const json_t *object, const char *field);

/** Copies an array of strings. @return ended by NULL (g_strfreev); NULL if it is anything else */
char **wire_json_copy_strings(const json_t *array);

/** Makes an array. @param strings ended by NULL; NULL: none @return a new reference */
json_t *wire_json_from_strings(char *const *strings);

#endif
