#include "config/operators_file.h"

#include "config/config_error.h"
#include "config/number_field.h"
#include "config/sharding_file.h"

#include <expat.h>
#include <stddef.h>
#include <string.h>

G_DEFINE_AUTO_CLEANUP_FREE_FUNC(XML_Parser, XML_ParserFree, NULL)

/* A tuning parameter: an element and its attribute. */
struct tuning_field {
    const char *element;
    struct ow_number_field number;
};

static const struct tuning_field tuning_fields[] = {
    {"reservation", {"window_s", offsetof(struct ow_tuning, window_s), OW_NUMBER_DOUBLE, 0, 5}},
    {"reservation", {"hold_life_s", offsetof(struct ow_tuning, hold_life_s), OW_NUMBER_DOUBLE, 0.5, 600}},
    {"reservation",
     {"waiting_limit_s", offsetof(struct ow_tuning, waiting_limit_s), OW_NUMBER_DOUBLE, 1, 86400}},
    {"reservation", {"candidates", offsetof(struct ow_tuning, candidates), OW_NUMBER_UNSIGNED, 1, 100}},
    {"election", {"lease_s", offsetof(struct ow_tuning, leader_lease_s), OW_NUMBER_DOUBLE, 1, 60}},
};

/* The state of reading one file; reading stops at the first error. */
struct reader {
    XML_Parser parser;
    struct ow_tuning *tuning;
    struct ow_sharding_settings *sharding;
    unsigned depth; /* number of open elements */
    GError *error;  /* the first one; NULL: none so far */
};

static unsigned long current_line(const struct reader *reader)
{
    return (unsigned long)XML_GetCurrentLineNumber(reader->parser);
}

/* Stops the parser with the error, of which it takes ownership. Expat may still invoke some callbacks after
 * XML_StopParser(), so only the first error is kept. */
static void fail_with(struct reader *reader, GError *error)
{
    g_prefix_error(&error, "line %lu: ", current_line(reader));
    if (reader->error == NULL)
        reader->error = error;
    else
        g_error_free(error);
    XML_StopParser(reader->parser, XML_FALSE);
}

static void fail(struct reader *reader, enum ow_config_error code, const char *name, const char *reason)
{
    fail_with(reader, g_error_new(OW_CONFIG_ERROR, (gint)code, "%s: %s", name, reason));
}

static void fail_out_of_range(struct reader *reader, const struct ow_number_field *field)
{
    const char *kind = field->type == OW_NUMBER_UNSIGNED ? "a whole number" : "a number";
    fail_with(reader, g_error_new(OW_CONFIG_ERROR, OW_CONFIG_ERROR_OUT_OF_RANGE,
                                  "%s: must be %s from %g to %g", field->name, kind, field->min, field->max));
}

static void read_number(struct reader *reader, const struct ow_number_field *field, const char *text)
{
    double value = 0;
    if (!ow_number_parse(text, &value))
        fail(reader, OW_CONFIG_ERROR_MALFORMED_VALUE, field->name, "is not a number");
    else if (!ow_number_field_is_in_range(field, value) ||
             (field->type == OW_NUMBER_UNSIGNED && !ow_number_is_whole(value)))
        fail_out_of_range(reader, field);
    else
        ow_number_field_store(field, reader->tuning, value);
}

/* The tuning parameter of this element and attribute, or NULL. */
static const struct ow_number_field *find_field(const char *element, const char *attribute)
{
    for (size_t i = 0; i < G_N_ELEMENTS(tuning_fields); i++) {
        const struct tuning_field *field = &tuning_fields[i];
        if (strcmp(field->element, element) == 0 && strcmp(field->number.name, attribute) == 0)
            return &field->number;
    }
    return NULL;
}

/* Reads the attributes of an element outside <control>: alternating names and values, NULL-terminated. */
static void read_tuning(struct reader *reader, const char *element, const char **attributes)
{
    for (; *attributes != NULL && reader->error == NULL; attributes += 2) {
        const struct ow_number_field *field = find_field(element, attributes[0]);
        if (field != NULL)
            read_number(reader, field, attributes[1]);
        else
            g_warning("unknown operators' setting ignored: element=%s attribute=%s", element, attributes[0]);
    }
}

static void read_sharding(struct reader *reader, const char *element, const char **attributes)
{
    GError *error = NULL;
    if (!ow_sharding_file_read_element(reader->sharding, element, attributes, current_line(reader), &error))
        fail_with(reader, error);
}

static void XMLCALL on_start(void *owner, const XML_Char *name, const XML_Char **attributes)
{
    struct reader *reader = owner;
    bool is_root = reader->depth++ == 0;
    if (is_root && strcmp(name, "ospreywell") != 0)
        fail(reader, OW_CONFIG_ERROR_SYNTAX, name, "the root element must be ospreywell");
    if (is_root)
        return;
    if (ow_sharding_file_handles_element(name))
        read_sharding(reader, name, attributes);
    else
        read_tuning(reader, name, attributes);
}

static void XMLCALL on_end(void *owner, const XML_Char *name)
{
    struct reader *reader = owner;
    (void)name;
    reader->depth--;
}

/* Rejects document types, and with them entities, whose expansion may be unbounded. */
static void XMLCALL on_doctype(void *owner, const XML_Char *name, const XML_Char *system, const XML_Char *id,
                               int has_internal_subset)
{
    (void)system;
    (void)id;
    (void)has_internal_subset;
    fail(owner, OW_CONFIG_ERROR_SYNTAX, name, "document type declarations are not allowed");
}

/* Parses the text; returns the first error, owned by the caller, or NULL. */
static GError *parse(struct reader *reader, const char *text, gsize size)
{
    XML_SetUserData(reader->parser, reader);
    XML_SetElementHandler(reader->parser, on_start, on_end);
    XML_SetStartDoctypeDeclHandler(reader->parser, on_doctype);
    if (XML_Parse(reader->parser, text, (int)size, 1) != XML_STATUS_OK && reader->error == NULL)
        reader->error = g_error_new(OW_CONFIG_ERROR, OW_CONFIG_ERROR_SYNTAX, "line %lu: %s",
                                    current_line(reader), XML_ErrorString(XML_GetErrorCode(reader->parser)));
    return reader->error;
}

bool ow_operators_load(const char *path, struct ow_tuning *tuning, struct ow_sharding_settings *sharding,
                       GError **error)
{
    g_autofree char *text = NULL;
    g_autoptr(GError) read_error = NULL;
    gsize size = 0;
    if (!g_file_get_contents(path, &text, &size, &read_error)) {
        g_set_error_literal(error, OW_CONFIG_ERROR, OW_CONFIG_ERROR_UNREADABLE, read_error->message);
        return false;
    }
    g_auto(XML_Parser) parser = XML_ParserCreate(NULL);
    struct ow_tuning new_tuning = *tuning;
    struct reader reader = {.parser = parser, .tuning = &new_tuning, .sharding = sharding};
    GError *cause = parse(&reader, text, size);
    if (cause != NULL) {
        g_propagate_error(error, cause);
        return false;
    }
    *tuning = new_tuning;
    return true;
}
