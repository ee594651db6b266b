/**
 * @file
 * Descriptions of numbers in settings files: name, range, and the struct member that stores the value.
 *
 * Shared by the TOML and XML readers, which produce their own error messages.
 */
#ifndef OW_CONFIG_NUMBER_FIELD_H
#define OW_CONFIG_NUMBER_FIELD_H

#include <stdbool.h>
#include <stddef.h>

/** The C type of a number's struct member. */
enum ow_number_type { OW_NUMBER_DOUBLE, OW_NUMBER_UNSIGNED };

/** The name, range and storage of a number. */
struct ow_number_field {
    const char *name; /**< path of a TOML field, or name of an XML attribute */
    size_t offset;    /**< offset of the member in its struct */
    enum ow_number_type type;
    double min; /**< smallest accepted value, in the field's unit */
    double max; /**< largest accepted value */
};

/** Parses the whole text as a finite number; false, with *value unspecified, if it is not one. */
bool ow_number_parse(const char *text, double *value);
/** Whether the number is an integer. */
bool ow_number_is_whole(double value);
/** Whether the number is within the field's bounds, inclusive. */
bool ow_number_field_is_in_range(const struct ow_number_field *field, double value);
/** Stores a number, which must be in range, in the field's member of the struct at `base`. An unsigned member
 * truncates the fraction. */
void ow_number_field_store(const struct ow_number_field *field, void *base, double value);

#endif
