/** @file
 * Numbers of JSON texts as jansson values.
 *
 * jansson's integers are signed. Here the bits of one are those of an integer from 0 to 2^64 - 1; every other
 * number is a real.
 */
#ifndef OW_WIRE_JSON_NUMBER_H
#define OW_WIRE_JSON_NUMBER_H

#include <jansson.h>
#include <stddef.h>
#include <stdint.h>

/**
 * Converts a number. All spellings of an integer from 0 to 2^64 - 1 (16, 16.0, 1.6e1) give the same integer,
 * exactly.
 * @param text a number by the grammar of RFC 8259, `size` bytes
 * @return a new reference; NULL if the number is beyond the range of a double
 */
json_t *wire_json_number_from_text(const char *text, size_t size);

/** Creates an integer. @return a new reference */
json_t *wire_json_from_count(uint64_t count);

/** The value of an integer. */
uint64_t wire_json_count_value(const json_t *integer);

#endif
