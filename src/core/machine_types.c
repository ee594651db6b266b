#include "core/machine_types.h"

#include "util/interner.h"

struct ow_machine_types {
    struct ow_interner *names;
    struct ow_machine_type *by_index[OW_MAX_TYPES]; /* NULL: not known */
    bool are_known;
};

struct ow_machine_types *ow_machine_types_new(struct ow_interner *names)
{
    struct ow_machine_types *types = g_new0(struct ow_machine_types, 1);
    types->names = names;
    return types;
}

static struct ow_machine_type *copy_type(const struct ow_machine_type *type)
{
    struct ow_machine_type *copy = g_new(struct ow_machine_type, 1);
    *copy = *type;
    copy->name = g_strdup(type->name);
    copy->zones = g_strdupv(type->zones);
    return copy;
}

static void free_type(struct ow_machine_type *type)
{
    if (type != NULL)
        ow_machine_type_clear(type);
    g_free(type);
}

void ow_machine_types_free(struct ow_machine_types *types)
{
    for (int i = 0; i < OW_MAX_TYPES; i++)
        free_type(types->by_index[i]);
    g_free(types);
}

void ow_machine_types_update(struct ow_machine_types *types, const GArray *offered)
{
    for (guint i = 0; i < offered->len; i++) {
        const struct ow_machine_type *type = &g_array_index(offered, struct ow_machine_type, i);
        int index = ow_interner_intern(types->names, type->name);
        if (index >= OW_MAX_TYPES)
            continue;
        free_type(types->by_index[index]);
        types->by_index[index] = copy_type(type);
        types->are_known = true;
    }
}

const struct ow_machine_type *ow_machine_types_at(const struct ow_machine_types *types, int index)
{
    return index >= 0 && index < OW_MAX_TYPES ? types->by_index[index] : NULL;
}

bool ow_machine_types_are_known(const struct ow_machine_types *types)
{
    return types->are_known;
}
