#include "config/operators_file.h"

#include <expat.h>
#include <math.h>
#include <stddef.h>
#include <string.h>

struct value {
    const char *element, *attribute;
    size_t offset;
    bool whole; /* unsigned; else double */
    double least, most;
};

#define AT(field) offsetof(struct ow_rules, field)

static const struct value values[] = {
    {"reservation", "window_s", AT(window_s), false, 0, 5},
    {"reservation", "hold_life_s", AT(hold_life_s), false, 0.5, 600},
    {"reservation", "waiting_limit_s", AT(waiting_limit_s), false, 1, 86400},
    {"reservation", "candidates", AT(candidates), true, 1, 100},
    {"election", "lease_s", AT(leader_lease_s), false, 1, 60},
};

struct reader {
    XML_Parser parser;
    struct ow_rules *rules;
    int depth;
    char *fault;
};

static void fail(struct reader *r, const char *name, const char *what)
{
    if (r->fault == NULL)
        r->fault = g_strdup_printf("line %lu: %s: %s", (unsigned long)XML_GetCurrentLineNumber(r->parser),
                                   name, what);
    XML_StopParser(r->parser, XML_FALSE);
}

static void take_value(struct reader *r, const struct value *v, const char *text)
{
    char *end = NULL;
    double number = g_ascii_strtod(text, &end);
    if (end == text || *end != '\0' || !isfinite(number)) {
        fail(r, v->attribute, "is not a number");
    } else if (number < v->least || number > v->most || (v->whole && number != floor(number))) {
        char *what = g_strdup_printf("must be %s from %g to %g", v->whole ? "a whole number" : "a number",
                                     v->least, v->most);
        fail(r, v->attribute, what);
        g_free(what);
    } else if (v->whole) {
        *(unsigned *)((char *)r->rules + v->offset) = (unsigned)number;
    } else {
        *(double *)((char *)r->rules + v->offset) = number;
    }
}

static void take_attribute(struct reader *r, const char *element, const char *name, const char *text)
{
    for (size_t i = 0; i < G_N_ELEMENTS(values); i++) {
        if (strcmp(values[i].element, element) == 0 && strcmp(values[i].attribute, name) == 0) {
            take_value(r, &values[i], text);
            return;
        }
    }
    g_warning("operators' settings: %s of %s is not known and is ignored", name, element);
}

static void XMLCALL on_start(void *owner, const XML_Char *name, const XML_Char **attributes)
{
    struct reader *r = owner;
    if (r->depth++ == 0) {
        if (strcmp(name, "ospreywell") != 0)
            fail(r, name, "the root must be ospreywell");
        return;
    }
    for (; *attributes != NULL && r->fault == NULL; attributes += 2)
        take_attribute(r, name, attributes[0], attributes[1]);
}

static void XMLCALL on_end(void *owner, const XML_Char *name)
{
    struct reader *r = owner;
    (void)name;
    r->depth--;
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

bool ow_operators_load(const char *path, struct ow_rules *rules, char **fault)
{
    char *text = NULL;
    gsize size = 0;
    GError *error = NULL;
    if (!g_file_get_contents(path, &text, &size, &error)) {
        *fault = g_strdup(error->message);
        g_error_free(error);
        return false;
    }
    struct ow_rules changed = *rules;
    struct reader r = {XML_ParserCreate(NULL), &changed, 0, NULL};
    XML_SetUserData(r.parser, &r);
    XML_SetElementHandler(r.parser, on_start, on_end);
    XML_SetStartDoctypeDeclHandler(r.parser, on_doctype);
    if (XML_Parse(r.parser, text, (int)size, 1) != XML_STATUS_OK && r.fault == NULL)
        r.fault = g_strdup_printf("line %lu: %s", (unsigned long)XML_GetCurrentLineNumber(r.parser),
                                  XML_ErrorString(XML_GetErrorCode(r.parser)));
    XML_ParserFree(r.parser);
    g_free(text);
    *fault = r.fault;
    if (r.fault == NULL)
        *rules = changed;
    return r.fault == NULL;
}
