#include "config/operators_file.h"

#include "config/sharding_file.h"

#include <expat.h>
#include <math.h>
#include <stddef.h>
#include <string.h>

/* A setting: where it stands in the file and in struct ow_tuning, and its range. */
struct value {
    const char *element, *attribute;
    size_t offset;
    bool whole; /* unsigned; else double */
    double least, most;
};

static const struct value values[] = {
    {"reservation", "window_s", offsetof(struct ow_tuning, window_s), false, 0, 5},
    {"reservation", "hold_life_s", offsetof(struct ow_tuning, hold_life_s), false, 0.5, 600},
    {"reservation", "waiting_limit_s", offsetof(struct ow_tuning, waiting_limit_s), false, 1, 86400},
    {"reservation", "candidates", offsetof(struct ow_tuning, candidates), true, 1, 100},
    {"election", "lease_s", offsetof(struct ow_tuning, leader_lease_s), false, 1, 60},
};

/* The state of reading one file. */
struct reader {
    XML_Parser parser;
    struct ow_tuning *tuning;
    struct ow_sharding_settings *sharding;
    int depth;
    char *fault;
};

static void fail(struct reader *reader, const char *name, const char *what)
{
    if (reader->fault == NULL)
        reader->fault = g_strdup_printf("line %lu: %s: %s",
                                        (unsigned long)XML_GetCurrentLineNumber(reader->parser), name, what);
    XML_StopParser(reader->parser, XML_FALSE);
}

static void take_sharding(struct reader *reader, const char *element, const char **attributes)
{
    unsigned long line = (unsigned long)XML_GetCurrentLineNumber(reader->parser);
    char *fault = ow_sharding_file_take(reader->sharding, element, attributes, line);
    if (fault != NULL && reader->fault == NULL) {
        reader->fault = g_strdup_printf("line %lu: %s", line, fault);
        XML_StopParser(reader->parser, XML_FALSE);
    }
    g_free(fault);
}

static void take_value(struct reader *reader, const struct value *value, const char *text)
{
    char *end = NULL;
    double number = g_ascii_strtod(text, &end);
    if (end == text || *end != '\0' || !isfinite(number)) {
        fail(reader, value->attribute, "is not a number");
    } else if (number < value->least || number > value->most || (value->whole && number != floor(number))) {
        char *what = g_strdup_printf("must be %s from %g to %g", value->whole ? "a whole number" : "a number",
                                     value->least, value->most);
        fail(reader, value->attribute, what);
        g_free(what);
    } else if (value->whole) {
        *(unsigned *)((char *)reader->tuning + value->offset) = (unsigned)number;
    } else {
        *(double *)((char *)reader->tuning + value->offset) = number;
    }
}

static void take_attribute(struct reader *reader, const char *element, const char *name, const char *text)
{
    for (size_t i = 0; i < G_N_ELEMENTS(values); i++) {
        if (strcmp(values[i].element, element) == 0 && strcmp(values[i].attribute, name) == 0) {
            take_value(reader, &values[i], text);
            return;
        }
    }
    g_warning("operators' settings: %s of %s is not known and is ignored", name, element);
}

static void XMLCALL on_start(void *owner, const XML_Char *name, const XML_Char **attributes)
{
    struct reader *reader = owner;
    if (reader->depth++ == 0) {
        if (strcmp(name, "ospreywell") != 0)
            fail(reader, name, "the root must be ospreywell");
        return;
    }
    if (ow_sharding_file_knows(name)) {
        take_sharding(reader, name, attributes);
        return;
    }
    for (; *attributes != NULL && reader->fault == NULL; attributes += 2)
        take_attribute(reader, name, attributes[0], attributes[1]);
}

static void XMLCALL on_end(void *owner, const XML_Char *name)
{
    struct reader *reader = owner;
    (void)name;
    reader->depth--;
}

static void XMLCALL on_doctype(void *owner, const XML_Char *name, const XML_Char *system, const XML_Char *id,
                               int internal)
{
    (void)system;
    (void)id;
    (void)internal;
    /* No entities: a file of settings needs none, and they can grow without end. */
    fail(owner, name, "a document type is not accepted");
}

bool ow_operators_load(const char *path, struct ow_tuning *tuning, struct ow_sharding_settings *sharding,
                       char **fault)
{
    char *text = NULL;
    gsize size = 0;
    GError *error = NULL;
    if (!g_file_get_contents(path, &text, &size, &error)) {
        *fault = g_strdup(error->message);
        g_error_free(error);
        return false;
    }
    struct ow_tuning changed = *tuning;
    struct reader reader = {XML_ParserCreate(NULL), &changed, sharding, 0, NULL};
    XML_SetUserData(reader.parser, &reader);
    XML_SetElementHandler(reader.parser, on_start, on_end);
    XML_SetStartDoctypeDeclHandler(reader.parser, on_doctype);
    if (XML_Parse(reader.parser, text, (int)size, 1) != XML_STATUS_OK && reader.fault == NULL)
        reader.fault = g_strdup_printf("line %lu: %s", (unsigned long)XML_GetCurrentLineNumber(reader.parser),
                                       XML_ErrorString(XML_GetErrorCode(reader.parser)));
    XML_ParserFree(reader.parser);
    g_free(text);
    *fault = reader.fault;
    if (reader.fault == NULL)
        *tuning = changed;
    return reader.fault == NULL;
}
