#include "wire/json_number.h"

#include <glib.h>
#include <math.h>
#include <stdbool.h>
#include <string.h>

/* Bound of exponents and of the number of digits, beyond all that matters to a number of 20 digits. */
enum { EXPONENT_MAX = 1000000 };
/* Digits of 2^64 - 1. */
enum { COUNT_DIGITS_MAX = 20 };

/* A non-negative decimal number: its digits, without leading zeros and cut at COUNT_DIGITS_MAX, times a power
 * of ten. */
struct decimal {
    char digits[COUNT_DIGITS_MAX + 1];
    int count;            /* of digits */
    long exponent;        /* of the last digit */
    bool has_more_digits; /* one that was cut is not 0 */
};

static void append_digit(struct decimal *decimal, char digit, bool is_fraction)
{
    bool is_leading_zero = digit == '0' && decimal->count == 0;
    bool is_kept = decimal->count < COUNT_DIGITS_MAX;
    if (is_fraction && (is_kept || is_leading_zero))
        decimal->exponent--;
    if (!is_fraction && !is_kept)
        decimal->exponent++;
    if (is_leading_zero)
        return;
    if (is_kept)
        decimal->digits[decimal->count++] = digit;
    else
        decimal->has_more_digits = decimal->has_more_digits || digit != '0';
}

static long read_exponent(const char *text, const char *end)
{
    bool is_negative = *text == '-';
    long exponent = 0;
    for (; text < end; text++)
        if (g_ascii_isdigit(*text))
            exponent = MIN(exponent * 10 + (*text - '0'), EXPONENT_MAX);
    return is_negative ? -exponent : exponent;
}

static void read_decimal(const char *text, const char *end, struct decimal *decimal)
{
    bool is_fraction = false;
    memset(decimal, 0, sizeof *decimal);
    for (; text < end && *text != 'e' && *text != 'E'; text++) {
        if (*text == '.')
            is_fraction = true;
        else
            append_digit(decimal, *text, is_fraction);
    }
    if (text < end)
        decimal->exponent += read_exponent(text + 1, end);
}

/* Moves the exponent to 0 as far as the digits allow. */
static void normalize(struct decimal *decimal)
{
    for (; decimal->exponent < 0 && decimal->count > 0 && decimal->digits[decimal->count - 1] == '0';
         decimal->exponent++)
        decimal->count--;
    for (; decimal->exponent > 0 && decimal->count > 0 && decimal->count < COUNT_DIGITS_MAX;
         decimal->exponent--)
        decimal->digits[decimal->count++] = '0';
    decimal->digits[decimal->count] = '\0';
}

/* Whether the number is an integer from 0 to 2^64 - 1; if so, sets *count. */
static bool decimal_to_count(struct decimal *decimal, uint64_t *count)
{
    guint64 value = 0;
    normalize(decimal);
    if (decimal->count == 0 && !decimal->has_more_digits) {
        *count = 0;
        return true;
    }
    if (decimal->exponent != 0 || decimal->has_more_digits ||
        !g_ascii_string_to_unsigned(decimal->digits, 10, 0, G_MAXUINT64, &value, NULL))
        return false;
    *count = value;
    return true;
}

/* Whether the text is the integer in plain digits that most numbers of the protocol are; if so, sets *count.
 */
static bool plain_digits_to_count(const char *text, size_t size, uint64_t *count)
{
    if (size >= COUNT_DIGITS_MAX)
        return false;
    uint64_t value = 0;
    for (size_t i = 0; i < size; i++) {
        if (!g_ascii_isdigit(text[i]))
            return false;
        value = value * 10 + (uint64_t)(text[i] - '0');
    }
    *count = value;
    return true;
}

static bool text_to_count(const char *text, size_t size, uint64_t *count)
{
    if (plain_digits_to_count(text, size, count))
        return true;
    struct decimal decimal;
    bool is_negative = *text == '-';
    read_decimal(text + is_negative, text + size, &decimal);
    return decimal_to_count(&decimal, count) && (!is_negative || *count == 0);
}

json_t *wire_json_number_from_text(const char *text, size_t size)
{
    uint64_t count = 0;
    if (text_to_count(text, size, &count))
        return wire_json_from_count(count);
    g_autofree char *terminated = g_strndup(text, size);
    double real = g_ascii_strtod(terminated, NULL);
    return isfinite(real) ? json_real(real) : NULL;
}

json_t *wire_json_from_count(uint64_t count)
{
    return json_integer((json_int_t)count);
}

uint64_t wire_json_count_value(const json_t *integer)
{
    return (uint64_t)json_integer_value(integer);
}
