#include "util/interner.h"

#include <glib.h>

struct ow_interner {
    GHashTable *index;
    GPtrArray *text; /* owns the strings */
};

struct ow_interner *ow_interner_new(void)
{
    struct ow_interner *names = g_new0(struct ow_interner, 1);
    names->index = g_hash_table_new(g_str_hash, g_str_equal);
    names->text = g_ptr_array_new_with_free_func(g_free);
    return names;
}

void ow_interner_free(struct ow_interner *names)
{
    if (names == NULL)
        return;
    g_hash_table_destroy(names->index);
    g_ptr_array_free(names->text, TRUE);
    g_free(names);
}

int ow_interner_find(const struct ow_interner *names, const char *name)
{
    void *value = NULL;
    if (name == NULL || !g_hash_table_lookup_extended(names->index, name, NULL, &value))
        return OW_NO_NAME;
    return GPOINTER_TO_INT(value);
}

int ow_interner_intern(struct ow_interner *names, const char *name)
{
    int found = ow_interner_find(names, name);
    if (found != OW_NO_NAME)
        return found;
    char *copy = g_strdup(name);
    g_ptr_array_add(names->text, copy);
    int index = (int)names->text->len - 1;
    g_hash_table_insert(names->index, copy, GINT_TO_POINTER(index));
    return index;
}

const char *ow_interner_text(const struct ow_interner *names, int index)
{
    return g_ptr_array_index(names->text, (guint)index);
}

int ow_interner_count(const struct ow_interner *names)
{
    return (int)names->text->len;
}
