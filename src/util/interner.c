#include "util/interner.h"

#include <glib.h>

struct ow_interner {
    GHashTable *indices; /* string -> its index */
    GPtrArray *texts;    /* by index; owns the strings, including the keys of `indices` */
};

struct ow_interner *ow_interner_new(void)
{
    struct ow_interner *interner = g_new0(struct ow_interner, 1);
    interner->indices = g_hash_table_new(g_str_hash, g_str_equal);
    interner->texts = g_ptr_array_new_with_free_func(g_free);
    return interner;
}

void ow_interner_free(struct ow_interner *interner)
{
    if (interner == NULL)
        return;
    g_hash_table_destroy(interner->indices);
    g_ptr_array_free(interner->texts, TRUE);
    g_free(interner);
}

int ow_interner_find(const struct ow_interner *interner, const char *name)
{
    void *value = NULL;
    if (name == NULL || !g_hash_table_lookup_extended(interner->indices, name, NULL, &value))
        return OW_NO_NAME;
    return GPOINTER_TO_INT(value);
}

int ow_interner_intern(struct ow_interner *interner, const char *name)
{
    int known = ow_interner_find(interner, name);
    if (known != OW_NO_NAME)
        return known;
    char *copy = g_strdup(name);
    int index = (int)interner->texts->len;
    g_ptr_array_add(interner->texts, copy);
    g_hash_table_insert(interner->indices, copy, GINT_TO_POINTER(index));
    return index;
}

const char *ow_interner_text(const struct ow_interner *interner, int index)
{
    return g_ptr_array_index(interner->texts, (guint)index);
}

int ow_interner_count(const struct ow_interner *interner)
{
    return (int)interner->texts->len;
}
