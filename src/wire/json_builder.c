#include "wire/json_builder.h"

#include <string.h>

const struct wire_json_fields wire_json_any_fields = {0};

/* An open object or array that is kept. */
struct level {
    json_t *container;                     /* owned by the root */
    const struct wire_json_fields *fields; /* of the object, or of the objects in the array; NULL: none */
};

void wire_json_builder_init(struct wire_json_builder *builder, const struct wire_json_fields *fields)
{
    *builder = (struct wire_json_builder){
        .root_fields = fields,
        .levels = g_array_new(FALSE, FALSE, sizeof(struct level)),
        .name = g_string_new(NULL),
    };
}

json_t *wire_json_builder_finish(struct wire_json_builder *builder)
{
    g_array_unref(builder->levels);
    g_string_free(builder->name, TRUE);
    return g_steal_pointer(&builder->root);
}

/* A value in place of one that can't be represented: no field is an object without members. */
static json_t *unreadable_value(void)
{
    return json_object();
}

static struct level *innermost(const struct wire_json_builder *builder)
{
    return &g_array_index(builder->levels, struct level, builder->levels->len - 1);
}

bool wire_json_builder_is_at_root(const struct wire_json_builder *builder)
{
    return builder->levels->len == 0;
}

bool wire_json_builder_keeps_next(const struct wire_json_builder *builder)
{
    if (builder->skipped_levels > 0 || wire_json_builder_is_at_root(builder))
        return false;
    return json_is_array(innermost(builder)->container) || builder->is_member_known;
}

void wire_json_builder_add_scalar(struct wire_json_builder *builder, json_t *value)
{
    json_t *container = innermost(builder)->container;
    if (value == NULL)
        value = unreadable_value();
    if (json_is_array(container))
        json_array_append_new(container, value);
    else
        json_object_setn_new_nocheck(container, builder->name->str, builder->name->len, value);
}

/* ---- names ---- */

static const struct wire_json_field *find_field(const struct wire_json_fields *fields, const char *name,
                                                size_t size)
{
    for (size_t i = 0; i < fields->count; i++) {
        const struct wire_json_field *field = &fields->fields[i];
        if (field->name_bytes == size && memcmp(field->name, name, size) == 0)
            return field;
    }
    return NULL;
}

static bool is_repeated(const struct wire_json_builder *builder)
{
    const json_t *container = innermost(builder)->container;
    return json_object_getn(container, builder->name->str, builder->name->len) != NULL;
}

static void begin_known_member(struct wire_json_builder *builder, const char *name, size_t size,
                               const struct wire_json_fields *members)
{
    g_string_truncate(builder->name, 0);
    g_string_append_len(builder->name, name, (gssize)size);
    builder->is_member_known = true;
    builder->members = members;
}

/* Where every field is known, a repeated one must not cost the message: the names are those of a later
 * version. */
static void begin_any_member(struct wire_json_builder *builder, const char *name, size_t size)
{
    begin_known_member(builder, name, size, &wire_json_any_fields);
    builder->is_member_known = memchr(name, '\0', size) == NULL;
    if (builder->is_member_known && is_repeated(builder)) {
        wire_json_builder_add_scalar(builder, NULL);
        builder->is_member_known = false;
    }
}

bool wire_json_builder_begin_member(struct wire_json_builder *builder, const char *name, size_t size)
{
    if (builder->skipped_levels > 0)
        return true;
    const struct wire_json_fields *fields = innermost(builder)->fields;
    if (fields == &wire_json_any_fields) {
        begin_any_member(builder, name, size);
        return true;
    }
    const struct wire_json_field *field = find_field(fields, name, size);
    builder->is_member_known = field != NULL;
    if (field == NULL)
        return true;
    begin_known_member(builder, name, size, field->members);
    return !is_repeated(builder);
}

/* ---- objects and arrays ---- */

static void open_level(struct wire_json_builder *builder, json_t *container,
                       const struct wire_json_fields *fields)
{
    struct level level = {.container = container, .fields = fields};
    g_array_append_val(builder->levels, level);
}

/* The fields of a container that begins in the innermost one; NULL: it is not kept. */
static const struct wire_json_fields *fields_of_next(const struct wire_json_builder *builder, bool is_object)
{
    const struct level *parent = innermost(builder);
    bool is_in_array = json_is_array(parent->container);
    const struct wire_json_fields *fields = is_in_array ? parent->fields : builder->members;
    if (fields == &wire_json_any_fields)
        return builder->levels->len < WIRE_JSON_LEVELS_MAX ? fields : NULL;
    /* No message has arrays in arrays. */
    return is_in_array && !is_object ? NULL : fields;
}

/* Whether the next container is an array whose elements are kept although they are no objects. */
static bool is_list_of_scalars(const struct wire_json_builder *builder, bool is_object)
{
    return !is_object && json_is_object(innermost(builder)->container) && builder->members == NULL;
}

static void begin_nested(struct wire_json_builder *builder, bool is_object)
{
    const struct wire_json_fields *fields = fields_of_next(builder, is_object);
    if (fields == NULL && !is_list_of_scalars(builder, is_object)) {
        wire_json_builder_add_scalar(builder, unreadable_value());
        builder->skipped_levels = 1;
        return;
    }
    json_t *container = is_object ? json_object() : json_array();
    wire_json_builder_add_scalar(builder, container);
    open_level(builder, container, fields);
}

void wire_json_builder_begin_container(struct wire_json_builder *builder, bool is_object)
{
    if (wire_json_builder_is_at_root(builder)) {
        builder->root = json_object();
        open_level(builder, builder->root, builder->root_fields);
    } else if (wire_json_builder_keeps_next(builder)) {
        begin_nested(builder, is_object);
    } else {
        builder->skipped_levels++;
    }
}

void wire_json_builder_end_container(struct wire_json_builder *builder)
{
    if (builder->skipped_levels > 0)
        builder->skipped_levels--;
    else
        g_array_set_size(builder->levels, builder->levels->len - 1);
}
