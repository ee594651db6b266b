#include "message_speller.h"

#include "wire/json.h"

#include <inttypes.h>
#include <string.h>

/* Maximum depth of an unknown value, number of unknown members of an object, and of elements of an unknown
 * value. */
enum { UNKNOWN_DEPTH_MAX = 6, UNKNOWN_MEMBERS_MAX = 3, UNKNOWN_ELEMENTS_MAX = 4 };

struct speller {
    GRand *random;
    GString *text;
    unsigned maps;    /* as in struct json_interface */
    unsigned objects; /* of the message so far */
};

static guint32 draw(struct speller *speller, guint32 bound)
{
    return (guint32)g_rand_int_range(speller->random, 0, (gint32)bound);
}

static const char *pick(struct speller *speller, const char *const *choices, size_t count)
{
    return choices[draw(speller, (guint32)count)];
}

static void append_space(struct speller *speller)
{
    static const char *const spaces[] = {"", "", "", "", " ", "\t", "\r\n", "  "};
    g_string_append(speller->text, pick(speller, spaces, G_N_ELEMENTS(spaces)));
}

/* ---- unknown members ---- */

static void append_unknown_value(struct speller *speller, unsigned depth);

static void append_unknown_scalar(struct speller *speller)
{
    static const char *const scalars[] = {
        "null",
        "true",
        "false",
        "0",
        "-0",
        "18446744073709551615",
        "-18446744073709551616",
        "1e400",
        "-1E-400",
        "123456789012345678901234567890.123456789e+12",
        "\"\"",
        "\"\\u0000\\ud800\\udc00\\ud83d\"",
        "\"\\\"}],{[\"",
        "\"\\\\\"",
        "\"\xe6\x97\xa5 \xf0\x9f\x98\x80\"",
    };
    g_string_append(speller->text, pick(speller, scalars, G_N_ELEMENTS(scalars)));
}

static void append_unknown_name(struct speller *speller)
{
    static const char *const names[] = {"\"x\"",         "\"x_labels\"", "\"\"",
                                        "\"\\u0000\"",   "\"\\ud800\"",  "\"ref\\u0000\"",
                                        "\"x\\\"}],{\"", "\"Talons\"",   "\"\xc3\xbc\""};
    g_string_append(speller->text, pick(speller, names, G_N_ELEMENTS(names)));
}

static void append_unknown_member(struct speller *speller, unsigned depth)
{
    append_space(speller);
    append_unknown_name(speller);
    append_space(speller);
    g_string_append_c(speller->text, ':');
    append_unknown_value(speller, depth);
}

static void append_unknown_elements(struct speller *speller, bool is_object, unsigned depth)
{
    guint32 count = draw(speller, UNKNOWN_ELEMENTS_MAX + 1);
    g_string_append_c(speller->text, is_object ? '{' : '[');
    for (guint32 i = 0; i < count; i++) {
        if (i > 0)
            g_string_append_c(speller->text, ',');
        if (is_object)
            append_unknown_member(speller, depth + 1);
        else
            append_unknown_value(speller, depth + 1);
    }
    g_string_append_c(speller->text, is_object ? '}' : ']');
}

static void append_unknown_value(struct speller *speller, unsigned depth)
{
    append_space(speller);
    guint32 kind = draw(speller, 4);
    if (kind < 2 || depth >= UNKNOWN_DEPTH_MAX)
        append_unknown_scalar(speller);
    else
        append_unknown_elements(speller, kind == 2, depth);
    append_space(speller);
}

/* ---- known members ---- */

static void append_character(struct speller *speller, char character)
{
    bool must_be_escaped = character == '"' || character == '\\';
    if (must_be_escaped || draw(speller, 8) == 0)
        g_string_append_printf(speller->text, draw(speller, 2) == 0 ? "\\u%04x" : "\\u%04X",
                               (unsigned)character);
    else
        g_string_append_c(speller->text, character);
}

/* Appends a string of ASCII characters. */
static void append_string(struct speller *speller, const char *string)
{
    g_string_append_c(speller->text, '"');
    for (; *string != '\0'; string++)
        append_character(speller, *string);
    g_string_append_c(speller->text, '"');
}

static void append_integer(struct speller *speller, uint64_t count)
{
    /* The last two write zeros in front of the exponent, which 0 itself must not have. */
    static const char *const endings[] = {"", "", ".0", "e0", ".000E+0", "0e-1", "000e-03"};
    size_t choices = count == 0 ? G_N_ELEMENTS(endings) - 2 : G_N_ELEMENTS(endings);
    g_string_append_printf(speller->text, "%" PRIu64 "%s", count, pick(speller, endings, choices));
}

static void append_value(struct speller *speller, json_t *value);

static void append_elements(struct speller *speller, const json_t *array)
{
    g_string_append_c(speller->text, '[');
    for (size_t i = 0; i < json_array_size(array); i++) {
        if (i > 0)
            g_string_append_c(speller->text, ',');
        append_value(speller, json_array_get(array, i));
    }
    g_string_append_c(speller->text, ']');
}

/* Returns the names of an object's members, which it owns. */
static GPtrArray *names_of(json_t *object)
{
    GPtrArray *names = g_ptr_array_new();
    const char *name;
    json_t *member;
    json_object_foreach(object, name, member) g_ptr_array_add(names, (gpointer)name);
    return names;
}

static void shuffle(struct speller *speller, GPtrArray *names)
{
    for (guint i = names->len; i > 1; i--) {
        guint32 other = draw(speller, i);
        gpointer moved = names->pdata[i - 1];
        names->pdata[i - 1] = names->pdata[other];
        names->pdata[other] = moved;
    }
}

static void append_member(struct speller *speller, const char *name, json_t *value)
{
    append_space(speller);
    append_string(speller, name);
    append_space(speller);
    g_string_append_c(speller->text, ':');
    append_value(speller, value);
}

static void append_unknown_members(struct speller *speller)
{
    for (guint32 count = draw(speller, UNKNOWN_MEMBERS_MAX + 1); count > 0; count--) {
        append_unknown_member(speller, 0);
        g_string_append_c(speller->text, ',');
    }
}

/* The numbers of objects hold only as long as no member that has objects changes place with another one. */
static bool has_objects(json_t *object)
{
    g_autofree char *text = wire_json_print(object);
    return strchr(text + 1, '{') != NULL;
}

static void append_members(struct speller *speller, json_t *object)
{
    bool is_map = (speller->maps >> speller->objects++ & 1) != 0;
    g_autoptr(GPtrArray) names = names_of(object);
    if (!is_map && (speller->maps == 0 || !has_objects(object)))
        shuffle(speller, names);
    g_string_append_c(speller->text, '{');
    for (guint i = 0; i < names->len; i++) {
        if (i > 0)
            g_string_append_c(speller->text, ',');
        if (!is_map)
            append_unknown_members(speller);
        append_member(speller, names->pdata[i], json_object_get(object, names->pdata[i]));
    }
    g_string_append_c(speller->text, '}');
}

static void append_value(struct speller *speller, json_t *value)
{
    append_space(speller);
    if (json_is_object(value)) {
        append_members(speller, value);
    } else if (json_is_array(value)) {
        append_elements(speller, value);
    } else if (json_is_string(value)) {
        append_string(speller, json_string_value(value));
    } else if (json_is_integer(value)) {
        append_integer(speller, wire_json_count_value(value));
    } else {
        g_autofree char *text = wire_json_print(value);
        g_string_append(speller->text, text);
    }
    append_space(speller);
}

char *message_respell(const struct json_interface *interface, GRand *random)
{
    struct speller speller = {.random = random, .text = g_string_new(NULL), .maps = interface->maps};
    json_t *message =
        wire_json_parse_object(interface->message, strlen(interface->message), &wire_json_any_fields);
    append_value(&speller, message);
    json_decref(message);
    return g_string_free(speller.text, FALSE);
}
