#include "config/number_field.h"

#include <glib.h>
#include <math.h>

bool ow_number_parse(const char *text, double *value)
{
    char *end = NULL;
    *value = g_ascii_strtod(text, &end);
    return end != text && *end == '\0' && isfinite(*value);
}

bool ow_number_is_whole(double value)
{
    return value == floor(value);
}

bool ow_number_field_is_in_range(const struct ow_number_field *field, double value)
{
    return value >= field->min && value <= field->max;
}

void ow_number_field_store(const struct ow_number_field *field, void *base, double value)
{
    if (field->type == OW_NUMBER_UNSIGNED)
        G_STRUCT_MEMBER(unsigned, base, field->offset) = (unsigned)value;
    else
        G_STRUCT_MEMBER(double, base, field->offset) = value;
}
