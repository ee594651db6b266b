#include "core/type_sets.h"

#include "util/interner.h"

#include <string.h>

struct ow_type_sets {
    struct ow_interner *types;
    GHashTable *by_names; /* names, owned by their set -> struct ow_type_set, not owned */
};

struct ow_type_set {
    struct ow_type_sets *sets; /* the table that it belongs to */
    char **names;              /* owned; NULL: all types */
    GByteArray *members;       /* by type index, for each known type: whether the set has it */
    unsigned references;
};

/* ---- lists of names as keys ---- */

/* The weight of the names so far when one more is added to the hash of a list. */
enum { LIST_HASH_WEIGHT = 31 };

static guint hash_names(const void *key)
{
    char *const *names = key;
    guint hash = 0;
    for (; names != NULL && *names != NULL; names++)
        hash = hash * LIST_HASH_WEIGHT + g_str_hash(*names);
    return hash;
}

static gboolean names_equal(const void *a, const void *b)
{
    if (a == NULL || b == NULL)
        return a == b;
    return g_strv_equal(a, b);
}

/* ---- the table ---- */

struct ow_type_sets *ow_type_sets_new(void)
{
    struct ow_type_sets *sets = g_new0(struct ow_type_sets, 1);
    sets->types = ow_interner_new();
    sets->by_names = g_hash_table_new(hash_names, names_equal);
    return sets;
}

void ow_type_sets_free(struct ow_type_sets *sets)
{
    if (sets == NULL)
        return;
    g_hash_table_destroy(sets->by_names);
    ow_interner_free(sets->types);
    g_free(sets);
}

/* Appends the next known type to the set: as a member if the set names it. */
static void append_type(struct ow_type_set *set, const char *type)
{
    guint8 is_member = set->names == NULL || g_strv_contains((const char *const *)set->names, type);
    g_byte_array_append(set->members, &is_member, 1);
}

int ow_type_sets_intern(struct ow_type_sets *sets, const char *name)
{
    int known = ow_interner_find(sets->types, name);
    if (known != OW_NO_NAME)
        return known;
    GHashTableIter iter;
    void *set = NULL;
    g_hash_table_iter_init(&iter, sets->by_names);
    while (g_hash_table_iter_next(&iter, NULL, &set))
        append_type(set, name);
    return ow_interner_intern(sets->types, name);
}

const char *ow_type_sets_name(const struct ow_type_sets *sets, int type_index)
{
    return ow_interner_text(sets->types, type_index);
}

/* ---- sets ---- */

static struct ow_type_set *create_set(struct ow_type_sets *sets, char *const *names)
{
    struct ow_type_set *set = g_new0(struct ow_type_set, 1);
    set->sets = sets;
    set->names = g_strdupv((char **)names);
    set->members = g_byte_array_new();
    for (int i = 0; i < ow_interner_count(sets->types); i++)
        append_type(set, ow_interner_text(sets->types, i));
    g_hash_table_insert(sets->by_names, set->names, set);
    return set;
}

struct ow_type_set *ow_type_sets_get(struct ow_type_sets *sets, char *const *names)
{
    struct ow_type_set *set = g_hash_table_lookup(sets->by_names, names);
    if (set == NULL)
        set = create_set(sets, names);
    return ow_type_set_ref(set);
}

struct ow_type_set *ow_type_set_ref(struct ow_type_set *set)
{
    if (set != NULL)
        set->references++;
    return set;
}

void ow_type_set_unref(struct ow_type_set *set)
{
    if (set == NULL || --set->references > 0)
        return;
    g_hash_table_remove(set->sets->by_names, set->names);
    g_byte_array_unref(set->members);
    g_strfreev(set->names);
    g_free(set);
}

bool ow_type_set_has(const struct ow_type_set *set, int type_index)
{
    return set != NULL && type_index >= 0 && (guint)type_index < set->members->len &&
           set->members->data[type_index] != 0;
}

bool ow_type_set_equal(const struct ow_type_set *a, const struct ow_type_set *b)
{
    /* Both have an entry for each known type. */
    return a == b || a->members->len == 0 || memcmp(a->members->data, b->members->data, a->members->len) == 0;
}
