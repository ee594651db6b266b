/** @file
 * Builds jansson values from a JSON text that yajl reads.
 *
 * yajl reads every text that RFC 8259 allows, without recursion, and leaves numbers as text; jansson's own
 * parser does neither. Only known fields become values; the others are skipped, whatever their values are.
 */
#ifndef OW_WIRE_JSON_READER_H
#define OW_WIRE_JSON_READER_H

#include "wire/json_fields.h"

#include <glib.h>
#include <jansson.h>
#include <stddef.h>

/** Error domain of texts that can't be read. */
#define WIRE_JSON_ERROR (wire_json_error_quark())
/** Returns the quark of WIRE_JSON_ERROR. */
GQuark wire_json_error_quark(void);

/** Error codes in the domain WIRE_JSON_ERROR. Messages about the text begin with the position, as "byte N: ",
 * and end with the text near it, cut short and escaped. */
enum wire_json_error {
    WIRE_JSON_ERROR_SYNTAX,     /**< not JSON in UTF-8, or more than one value */
    WIRE_JSON_ERROR_NOT_OBJECT, /**< JSON, but not an object */
    WIRE_JSON_ERROR_REPEATED,   /**< a known field occurs twice in an object */
    WIRE_JSON_ERROR_FIELD,      /**< a field is missing or invalid; the message begins with its name */
};

/**
 * Reads one JSON object. A known value that jansson can't represent (a number beyond the range of a double, a
 * string with NUL or half of a surrogate pair) becomes one that no wire_json_get function accepts.
 * @param text `size` bytes; may be NULL if there are none
 * @param fields known fields of the object
 * @param error may be NULL
 * @return a new reference; NULL on error
 */
json_t *wire_json_read_object(const char *text, size_t size, const struct wire_json_fields *fields,
                              GError **error);

#endif
