#include "config/sharding_file.h"

#include "model/submission.h"

#include <math.h>
#include <stddef.h>
#include <string.h>

/* A numeric attribute of <control>, and its range. */
struct value {
    const char *attribute;
    size_t offset;
    bool whole; /* unsigned; else double */
    double least, most;
};

static const struct value values[] = {
    {"heartbeat_s", offsetof(struct ow_sharding_settings, heartbeat_s), false, 0.05, 60},
    {"suspicion_phi", offsetof(struct ow_sharding_settings, suspicion_phi), false, 1, 100},
    {"probe_timeout_s", offsetof(struct ow_sharding_settings, probe_timeout_s), false, 0.05, 60},
    {"relays", offsetof(struct ow_sharding_settings, relays), true, 0, 100},
    {"candidacy_step_s", offsetof(struct ow_sharding_settings, candidacy_step_s), false, 0, 60},
};

/* A textual attribute that is read into `text` or, split at blanks, into `words`. */
struct field {
    const char *attribute;
    char **text;
    char ***words;
    bool required;
};

bool ow_sharding_file_knows(const char *element)
{
    static const char *const elements[] = {"control", "shard", "allotment", "route", NULL};
    return g_strv_contains(elements, element);
}

static char *read_number(const char *attribute, const char *text, double least, double most, double *number)
{
    char *end = NULL;
    *number = g_ascii_strtod(text, &end);
    if (end == text || *end != '\0' || !isfinite(*number))
        return g_strdup_printf("%s: is not a number", attribute);
    if (*number < least || *number > most)
        return g_strdup_printf("%s: must be a number from %g to %g", attribute, least, most);
    return NULL;
}

static char *take_value(struct ow_sharding_settings *sharding, const struct value *value, const char *text)
{
    double number = 0;
    char *fault = read_number(value->attribute, text, value->least, value->most, &number);
    if (fault != NULL)
        return fault;
    if (value->whole && number != floor(number))
        return g_strdup_printf("%s: must be a whole number", value->attribute);
    if (value->whole)
        *(unsigned *)((char *)sharding + value->offset) = (unsigned)number;
    else
        *(double *)((char *)sharding + value->offset) = number;
    return NULL;
}

static char *take_sharding(struct ow_sharding_settings *sharding, const char **attributes, unsigned long line)
{
    if (sharding->enabled)
        return g_strdup("control: is there twice");
    sharding->enabled = true;
    sharding->line = line;
    for (; *attributes != NULL; attributes += 2) {
        const struct value *value = NULL;
        for (size_t i = 0; i < G_N_ELEMENTS(values); i++)
            if (strcmp(values[i].attribute, attributes[0]) == 0)
                value = &values[i];
        if (value == NULL)
            return g_strdup_printf("%s: is not known in control", attributes[0]);
        char *fault = take_value(sharding, value, attributes[1]);
        if (fault != NULL)
            return fault;
    }
    return NULL;
}

/* The words of the text, NULL if there are none. */
static char **split(const char *text)
{
    GPtrArray *words = g_ptr_array_new();
    char **parts = g_strsplit_set(text, " \t\r\n", -1);
    for (char **part = parts; *part != NULL; part++)
        if (**part != '\0')
            g_ptr_array_add(words, g_strdup(*part));
    g_strfreev(parts);
    bool empty = words->len == 0;
    g_ptr_array_add(words, NULL);
    char **list = (char **)g_ptr_array_free(words, empty);
    return empty ? NULL : list;
}

static char *take_field(const struct field *field, const char *text)
{
    if (field->words != NULL) {
        *field->words = split(text);
        return *field->words != NULL ? NULL : g_strdup_printf("%s: is empty", field->attribute);
    }
    if (*text == '\0' || strlen(text) > OW_NAME_MAX)
        return g_strdup_printf("%s: must have 1 to %d bytes", field->attribute, OW_NAME_MAX);
    *field->text = g_strdup(text);
    return NULL;
}

static const struct field *find_field(const struct field *fields, const char *attribute)
{
    for (; fields->attribute != NULL; fields++)
        if (strcmp(fields->attribute, attribute) == 0)
            return fields;
    return NULL;
}

/* Whether the element names this attribute. */
static bool is_given(const char **attributes, const char *name)
{
    for (; *attributes != NULL; attributes += 2)
        if (strcmp(attributes[0], name) == 0)
            return true;
    return false;
}

/* Reads the textual attributes, and the number `share` where there is one. */
static char *take_fields(const char *element, const struct field *fields, double *share,
                         const char **attributes)
{
    for (const struct field *field = fields; field->attribute != NULL; field++)
        if (field->required && !is_given(attributes, field->attribute))
            return g_strdup_printf("%s: %s is missing", element, field->attribute);
    if (share != NULL && !is_given(attributes, "share"))
        return g_strdup_printf("%s: share is missing", element);
    for (; *attributes != NULL; attributes += 2) {
        const struct field *field = find_field(fields, attributes[0]);
        char *fault = NULL;
        if (share != NULL && strcmp(attributes[0], "share") == 0)
            fault = read_number("share", attributes[1], 0, 1, share);
        else if (field == NULL)
            fault = g_strdup_printf("%s: is not known in %s", attributes[0], element);
        else
            fault = take_field(field, attributes[1]);
        if (fault != NULL)
            return fault;
    }
    return NULL;
}

/* Keys of the key-value store may hold neither blanks nor, for us, a slash. */
static char *check_name(const char *name)
{
    for (const char *at = name; at != NULL && *at != '\0'; at++)
        if (!g_ascii_isalnum(*at) && *at != '-' && *at != '_')
            return g_strdup_printf("shard: name \"%s\" has other characters than letters, digits, - and _",
                                   name);
    return NULL;
}

static char *take_shard(struct ow_sharding_settings *sharding, const char **attributes, unsigned long line)
{
    struct ow_shard_settings *shard = g_new0(struct ow_shard_settings, 1);
    const struct field fields[] = {{"name", &shard->name, NULL, true},
                                   {"zones", NULL, &shard->zones, true},
                                   {"types", NULL, &shard->types, false},
                                   {0}};
    shard->line = line;
    g_ptr_array_add(sharding->shards, shard);
    char *fault = take_fields("shard", fields, &shard->share, attributes);
    return fault != NULL ? fault : check_name(shard->name);
}

static char *take_allotment(struct ow_sharding_settings *sharding, const char **attributes,
                            unsigned long line)
{
    struct ow_allotment *allotment = g_new0(struct ow_allotment, 1);
    const struct field fields[] = {
        {"team", &allotment->team, NULL, true}, {"shard", &allotment->shard, NULL, true}, {0}};
    allotment->line = line;
    g_ptr_array_add(sharding->allotments, allotment);
    return take_fields("allotment", fields, &allotment->share, attributes);
}

static char *take_route(struct ow_sharding_settings *sharding, const char **attributes, unsigned long line)
{
    struct ow_route *route = g_new0(struct ow_route, 1);
    const struct field fields[] = {{"class", &route->class_name, NULL, false},
                                   {"team", &route->team, NULL, false},
                                   {"zone", &route->zone, NULL, false},
                                   {"shards", NULL, &route->shards, true},
                                   {0}};
    route->line = line;
    g_ptr_array_add(sharding->routes, route);
    return take_fields("route", fields, NULL, attributes);
}

char *ow_sharding_file_take(struct ow_sharding_settings *sharding, const char *element,
                            const char **attributes, unsigned long line)
{
    if (strcmp(element, "control") == 0)
        return take_sharding(sharding, attributes, line);
    if (!sharding->enabled)
        return g_strdup_printf("%s: belongs inside control", element);
    if (strcmp(element, "shard") == 0)
        return take_shard(sharding, attributes, line);
    if (strcmp(element, "allotment") == 0)
        return take_allotment(sharding, attributes, line);
    return take_route(sharding, attributes, line);
}
