/** @file
 * Helpers for reading and writing JSON as jansson values, shared by the files of src/wire.
 *
 * Texts are read and written by yajl (wire/json_reader.h tells why). An integer of a value is one from 0 to
 * 2^64 - 1 (wire/json_number.h): use wire_json_from_count() and wire_json_get_count(), or "I" of json_pack().
 *
 * A function that reads a field returns false and leaves *out unchanged if the field is missing, null or of
 * another type.
 */
#ifndef OW_WIRE_JSON_H
#define OW_WIRE_JSON_H

#include "wire/json_fields.h"
#include "wire/json_number.h"

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/**
 * Parses a JSON object where nobody asks why it fails (wire_json_read_object() tells). Fields that are not
 * known are skipped.
 * @param text `size` bytes; may be NULL if there are none
 * @param fields known fields of the object
 * @return a new reference; NULL unless the text is one JSON object that repeats no known field
 */
json_t *wire_json_parse_object(const char *text, size_t size, const struct wire_json_fields *fields);

/** Sets an error in the domain WIRE_JSON_ERROR that names a missing or invalid field. @return false */
bool wire_json_fail_field(const char *field, GError **error);

/** Serializes a value without white space. Members keep their order. @return owned by the caller (g_free) */
char *wire_json_print(json_t *value);

/** Like wire_json_print(), but also releases the caller's reference to the value. */
char *wire_json_print_and_unref(json_t *value);

/** Reads a string. @param out owned by the object */
bool wire_json_get_string(const json_t *object, const char *field, const char **out);

/** Reads a finite number, integer or real. */
bool wire_json_get_number(const json_t *object, const char *field, double *out);

/** Reads an integer from 0 to 2^64 - 1, however it is spelled. */
bool wire_json_get_count(const json_t *object, const char *field, uint64_t *out);

/** Reads a boolean. */
bool wire_json_get_bool(const json_t *object, const char *field, bool *out);

/** Reads a string that may be missing or null, which leaves *out unchanged.
 * @return false only if the field has a value of another type; so do the three below */
bool wire_json_get_optional_string(const json_t *object, const char *field, const char **out);
/** Reads a finite number that may be missing or null. */
bool wire_json_get_optional_number(const json_t *object, const char *field, double *out);
/** Reads an integer from 0 to 2^64 - 1 that may be missing or null. */
bool wire_json_get_optional_count(const json_t *object, const char *field, uint64_t *out);
/** Reads a boolean that may be missing or null. */
bool wire_json_get_optional_bool(const json_t *object, const char *field, bool *out);

/** Whether a field is missing or null. */
bool wire_json_is_absent(const json_t *object, const char *field);

/** Copies an array of strings. @return NULL-terminated (g_strfreev); NULL if it is not an array of strings */
char **wire_json_copy_strings(const json_t *array);

/** Creates an array of strings. @param strings NULL-terminated; NULL for none @return a new reference */
json_t *wire_json_from_strings(char *const *strings);

#endif
