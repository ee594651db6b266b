#include "config/sharding_file.h"

#include "config/config_error.h"
#include "config/number_field.h"
#include "model/submission.h"

#include <stddef.h>
#include <string.h>

/* The numeric attributes of <control>. */
static const struct ow_number_field control_fields[] = {
    {"heartbeat_s", offsetof(struct ow_sharding_settings, heartbeat_s), OW_NUMBER_DOUBLE, 0.05, 60},
    {"suspicion_phi", offsetof(struct ow_sharding_settings, suspicion_phi), OW_NUMBER_DOUBLE, 1, 100},
    {"probe_timeout_s", offsetof(struct ow_sharding_settings, probe_timeout_s), OW_NUMBER_DOUBLE, 0.05, 60},
    {"relays", offsetof(struct ow_sharding_settings, relays), OW_NUMBER_UNSIGNED, 0, 100},
    {"candidacy_step_s", offsetof(struct ow_sharding_settings, candidacy_step_s), OW_NUMBER_DOUBLE, 0, 60},
};

/* The attribute `share` of a shard or an allotment; its base is the double itself. */
static const struct ow_number_field share_field = {"share", 0, OW_NUMBER_DOUBLE, 0, 1};

enum presence { OPTIONAL, REQUIRED };

/* A text attribute: it is stored in `text` or, split at whitespace, in `words`; the other one is NULL. */
struct text_field {
    const char *attribute;
    char **text;
    char ***words;
    enum presence presence;
};

/* The attributes of one kind of element. */
struct element_fields {
    const char *element;
    const struct text_field *texts; /* terminated by an empty one */
    double *share; /* destination of the attribute `share`, which is then required; NULL: no such attribute */
};

bool ow_sharding_file_handles_element(const char *element)
{
    static const char *const elements[] = {"control", "shard", "allotment", "route", NULL};
    return g_strv_contains(elements, element);
}

/* ---- values ---- */

/* Sets the error and returns false, so that callers can return the result. */
static bool fail(GError **error, enum ow_config_error code, const char *name, const char *reason)
{
    g_set_error(error, OW_CONFIG_ERROR, (gint)code, "%s: %s", name, reason);
    return false;
}

static bool read_number(const struct ow_number_field *field, const char *text, void *base, GError **error)
{
    double value = 0;
    if (!ow_number_parse(text, &value))
        return fail(error, OW_CONFIG_ERROR_MALFORMED_VALUE, field->name, "is not a number");
    if (!ow_number_field_is_in_range(field, value)) {
        g_set_error(error, OW_CONFIG_ERROR, OW_CONFIG_ERROR_OUT_OF_RANGE,
                    "%s: must be a number from %g to %g", field->name, field->min, field->max);
        return false;
    }
    if (field->type == OW_NUMBER_UNSIGNED && !ow_number_is_whole(value))
        return fail(error, OW_CONFIG_ERROR_OUT_OF_RANGE, field->name, "must be a whole number");
    ow_number_field_store(field, base, value);
    return true;
}

/* Splits the text at whitespace (g_strfreev); NULL if there are no words. */
static char **split_words(const char *text)
{
    g_auto(GStrv) parts = g_strsplit_set(text, " \t\r\n", -1);
    g_autoptr(GStrvBuilder) words = g_strv_builder_new();
    bool is_empty = true;
    for (char **part = parts; *part != NULL; part++) {
        if (**part == '\0')
            continue;
        g_strv_builder_add(words, *part);
        is_empty = false;
    }
    return is_empty ? NULL : g_strv_builder_end(words);
}

static bool read_text(const struct text_field *field, const char *text, GError **error)
{
    if (field->words != NULL) {
        *field->words = split_words(text);
        return *field->words != NULL ||
               fail(error, OW_CONFIG_ERROR_MISSING_FIELD, field->attribute, "is empty");
    }
    if (*text == '\0' || strlen(text) > OW_NAME_MAX) {
        g_set_error(error, OW_CONFIG_ERROR, OW_CONFIG_ERROR_OUT_OF_RANGE, "%s: must have 1 to %d bytes",
                    field->attribute, OW_NAME_MAX);
        return false;
    }
    *field->text = g_strdup(text);
    return true;
}

/* ---- the attributes of an element ---- */

static bool fail_unknown(GError **error, const char *attribute, const char *element)
{
    g_set_error(error, OW_CONFIG_ERROR, OW_CONFIG_ERROR_UNKNOWN_NAME, "%s: unknown attribute of %s",
                attribute, element);
    return false;
}

static const struct text_field *find_text_field(const struct text_field *fields, const char *attribute)
{
    for (; fields->attribute != NULL; fields++)
        if (strcmp(fields->attribute, attribute) == 0)
            return fields;
    return NULL;
}

/* Sets the error and returns false if the attribute is missing. */
static bool require(const char *element, const char **attributes, const char *name, GError **error)
{
    for (; *attributes != NULL; attributes += 2)
        if (strcmp(attributes[0], name) == 0)
            return true;
    g_set_error(error, OW_CONFIG_ERROR, OW_CONFIG_ERROR_MISSING_FIELD, "%s: %s is missing", element, name);
    return false;
}

static bool require_all(const struct element_fields *fields, const char **attributes, GError **error)
{
    for (const struct text_field *field = fields->texts; field->attribute != NULL; field++)
        if (field->presence == REQUIRED && !require(fields->element, attributes, field->attribute, error))
            return false;
    return fields->share == NULL || require(fields->element, attributes, share_field.name, error);
}

static bool read_attribute(const struct element_fields *fields, const char *name, const char *text,
                           GError **error)
{
    if (fields->share != NULL && strcmp(name, share_field.name) == 0)
        return read_number(&share_field, text, fields->share, error);
    const struct text_field *field = find_text_field(fields->texts, name);
    if (field == NULL)
        return fail_unknown(error, name, fields->element);
    return read_text(field, text, error);
}

static bool read_attributes(const struct element_fields *fields, const char **attributes, GError **error)
{
    if (!require_all(fields, attributes, error))
        return false;
    for (; *attributes != NULL; attributes += 2)
        if (!read_attribute(fields, attributes[0], attributes[1], error))
            return false;
    return true;
}

/* ---- the elements ---- */

static const struct ow_number_field *find_control_field(const char *attribute)
{
    for (size_t i = 0; i < G_N_ELEMENTS(control_fields); i++)
        if (strcmp(control_fields[i].name, attribute) == 0)
            return &control_fields[i];
    return NULL;
}

static bool read_control(struct ow_sharding_settings *sharding, const char **attributes, unsigned long line,
                         GError **error)
{
    if (sharding->is_enabled)
        return fail(error, OW_CONFIG_ERROR_INCONSISTENT, "control", "appears more than once");
    sharding->is_enabled = true;
    sharding->line = line;
    for (; *attributes != NULL; attributes += 2) {
        const struct ow_number_field *field = find_control_field(attributes[0]);
        if (field == NULL)
            return fail_unknown(error, attributes[0], "control");
        if (!read_number(field, attributes[1], sharding, error))
            return false;
    }
    return true;
}

/* The name is part of keys in the key-value store, which uses slashes as separators and rejects whitespace.
 */
static bool check_shard_name(const char *name, GError **error)
{
    for (const char *at = name; *at != '\0'; at++) {
        if (g_ascii_isalnum(*at) || *at == '-' || *at == '_')
            continue;
        g_set_error(error, OW_CONFIG_ERROR, OW_CONFIG_ERROR_MALFORMED_VALUE,
                    "shard: name \"%s\" has characters other than letters, digits, - and _", name);
        return false;
    }
    return true;
}

static bool read_shard(struct ow_sharding_settings *sharding, const char **attributes, unsigned long line,
                       GError **error)
{
    struct ow_shard_settings *shard = g_new0(struct ow_shard_settings, 1);
    const struct text_field texts[] = {{"name", &shard->name, NULL, REQUIRED},
                                       {"zones", NULL, &shard->zones, REQUIRED},
                                       {"types", NULL, &shard->types, OPTIONAL},
                                       {0}};
    const struct element_fields fields = {.element = "shard", .texts = texts, .share = &shard->share};
    shard->line = line;
    g_ptr_array_add(sharding->shards, shard);
    return read_attributes(&fields, attributes, error) && check_shard_name(shard->name, error);
}

static bool read_allotment(struct ow_sharding_settings *sharding, const char **attributes, unsigned long line,
                           GError **error)
{
    struct ow_allotment *allotment = g_new0(struct ow_allotment, 1);
    const struct text_field texts[] = {
        {"team", &allotment->team, NULL, REQUIRED}, {"shard", &allotment->shard, NULL, REQUIRED}, {0}};
    const struct element_fields fields = {.element = "allotment", .texts = texts, .share = &allotment->share};
    allotment->line = line;
    g_ptr_array_add(sharding->allotments, allotment);
    return read_attributes(&fields, attributes, error);
}

static bool read_route(struct ow_sharding_settings *sharding, const char **attributes, unsigned long line,
                       GError **error)
{
    struct ow_route *route = g_new0(struct ow_route, 1);
    const struct text_field texts[] = {{"class", &route->class_name, NULL, OPTIONAL},
                                       {"team", &route->team, NULL, OPTIONAL},
                                       {"zone", &route->zone, NULL, OPTIONAL},
                                       {"shards", NULL, &route->shards, REQUIRED},
                                       {0}};
    const struct element_fields fields = {.element = "route", .texts = texts};
    route->line = line;
    g_ptr_array_add(sharding->routes, route);
    return read_attributes(&fields, attributes, error);
}

bool ow_sharding_file_read_element(struct ow_sharding_settings *sharding, const char *element,
                                   const char **attributes, unsigned long line, GError **error)
{
    if (strcmp(element, "control") == 0)
        return read_control(sharding, attributes, line, error);
    if (!sharding->is_enabled)
        return fail(error, OW_CONFIG_ERROR_INCONSISTENT, element, "must be inside the control element");
    if (strcmp(element, "shard") == 0)
        return read_shard(sharding, attributes, line, error);
    if (strcmp(element, "allotment") == 0)
        return read_allotment(sharding, attributes, line, error);
    return read_route(sharding, attributes, line, error);
}
