/**
 * @file
 * A number in a settings file: its name, its range, and the member of a struct that it is stored in.
 *
 * The readers of TOML and XML share these descriptions; each words its own errors.
 */
#ifndef OW_CONFIG_NUMBER_FIELD_H
#define OW_CONFIG_NUMBER_FIELD_H

#include <stdbool.h>
#include <stddef.h>

/** The C type of the member. */
enum ow_number_type { OW_NUMBER_DOUBLE, OW_NUMBER_UNSIGNED };

/** Where a number stands in the file and in memory. */
struct ow_number_field {
    const char *name; /**< the path of a TOML field, the name of an XML attribute */
    size_t offset;    /**< of the member, from the beginning of its struct */
    enum ow_number_type type;
    double min; /**< the smallest value that is accepted, in the field's unit */
    double max; /**< the largest */
};

/** Reads the whole text as a finite number into *value; false, with *value unspecified, if it is none. */
bool ow_number_parse(const char *text, double *value);
/** Whether the number is an integer. */
bool ow_number_is_whole(double value);
/** Whether the number is within the field's bounds, which belong to the range. */
bool ow_number_field_is_in_range(const struct ow_number_field *field, double value);
/** Stores a number that is in range in its member of the struct at `base`; an unsigned member drops the part
 * behind the point. */
void ow_number_field_store(const struct ow_number_field *field, void *base, double value);

#endif
