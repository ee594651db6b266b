#include "core/machine_types.h"

#include "core/type_sets.h"

struct ow_machine_types {
    struct ow_type_sets *names;
    GPtrArray *by_index; /* struct ow_machine_type, owned; NULL: not known */
};

static void free_type(void *item)
{
    if (item != NULL)
        ow_machine_type_clear(item);
    g_free(item);
}

struct ow_machine_types *ow_machine_types_new(struct ow_type_sets *names)
{
    struct ow_machine_types *types = g_new0(struct ow_machine_types, 1);
    types->names = names;
    types->by_index = g_ptr_array_new_with_free_func(free_type);
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

void ow_machine_types_free(struct ow_machine_types *types)
{
    g_ptr_array_free(types->by_index, TRUE);
    g_free(types);
}

/* Puts a type at its index, in the place of the one that is there. */
static void put_type(struct ow_machine_types *types, int type_index, const struct ow_machine_type *type)
{
    if (ow_machine_types_count(types) <= type_index)
        g_ptr_array_set_size(types->by_index, type_index + 1);
    void **place = &g_ptr_array_index(types->by_index, type_index);
    if (*place == NULL)
        g_info("machine type known: type=%s cpus=%g gpus=%g memory_gb=%g", type->name, type->size.cpus,
               type->size.gpus, type->size.memory_gb);
    free_type(*place);
    *place = copy_type(type);
}

void ow_machine_types_update(struct ow_machine_types *types, const GArray *offered)
{
    for (guint i = 0; i < offered->len; i++) {
        const struct ow_machine_type *type = &g_array_index(offered, struct ow_machine_type, i);
        put_type(types, ow_type_sets_intern(types->names, type->name), type);
    }
}

const struct ow_machine_type *ow_machine_types_at(const struct ow_machine_types *types, int index)
{
    return index >= 0 && index < ow_machine_types_count(types) ? g_ptr_array_index(types->by_index, index)
                                                               : NULL;
}

int ow_machine_types_count(const struct ow_machine_types *types)
{
    return (int)types->by_index->len;
}

bool ow_machine_types_are_known(const struct ow_machine_types *types)
{
    return types->by_index->len > 0;
}
