/* The simulated key-value store's values, log of changes and transactions. */
#include "world_state_parts.h"

#include "core/records/records.h"
#include "wire/json.h"

#include <string.h>

void world_value_free(void *item)
{
    struct world_value *value = item;
    g_free(value->text);
    g_free(value);
}

void world_log_change(struct world *w, const char *key, const char *text)
{
    struct world_event change = {g_strdup(key), g_strdup(text), w->revision};
    g_array_append_val(w->log, change);
}

static uint64_t version_of(struct world *w, const char *key)
{
    const struct world_value *value = g_hash_table_lookup(w->keys, key);
    return value != NULL ? value->version : 0;
}

static bool lease_alive(struct world *w, uint64_t lease)
{
    return lease == 0 || g_hash_table_contains(w->leases, &lease);
}

static void put(struct world *w, const struct ow_store_mutation *change)
{
    world_log_change(w, change->key, change->value);
    if (change->value == NULL) {
        g_hash_table_remove(w->keys, change->key);
        return;
    }
    struct world_value *value = g_new0(struct world_value, 1);
    *value = (struct world_value){g_strdup(change->value), w->revision, change->lease};
    g_hash_table_replace(w->keys, g_strdup(change->key), value);
}

/* Records in finer chunks, which a controller of the first format would drop when it rewrites the value. */
static void check_format(struct world *w, const struct ow_store_mutation *change)
{
    bool old = false;
    for (int i = 0; i < WORLD_CONTROLLERS; i++)
        old = old || w->old_controller[i];
    if (!old || change->value == NULL || !g_str_has_prefix(change->key, OW_KEY_PROGRESS))
        return;
    json_t *record_value = json_loads(change->value, 0, NULL);
    const char *name;
    json_t *record;
    json_object_foreach(record_value, name, record)
    {
        if (strchr(name, '.') != NULL)
            g_string_append_printf(w->violations, "%s is written beside an old controller; ", name);
    }
    json_decref(record_value);
}

/* The status of the transaction, carried out if it is 200. */
int world_apply_txn(struct world *w, const struct ow_store_request *request, char ***failed)
{
    GPtrArray *failed_keys = g_ptr_array_new();
    bool large = request->mutations->len > w->txn_ops || request->comparisons->len > 4 * w->txn_ops;
    for (guint i = 0; i < request->comparisons->len; i++) {
        const struct ow_store_comparison *comparison =
            &g_array_index(request->comparisons, struct ow_store_comparison, i);
        if (version_of(w, comparison->key) != comparison->version)
            g_ptr_array_add(failed_keys, g_strdup(comparison->key));
    }
    for (guint i = 0; i < request->mutations->len; i++) {
        const struct ow_store_mutation *change =
            &g_array_index(request->mutations, struct ow_store_mutation, i);
        large = large || (change->value != NULL && strlen(change->value) > 1024 * w->value_kb);
        check_format(w, change);
    }
    w->too_large += large ? 1 : 0;
    bool ok = failed_keys->len == 0;
    g_ptr_array_add(failed_keys, NULL);
    *failed = (char **)g_ptr_array_free(failed_keys, FALSE);
    if (large)
        return 400;
    for (guint i = 0; ok && i < request->mutations->len; i++)
        if (!lease_alive(w, g_array_index(request->mutations, struct ow_store_mutation, i).lease))
            return 400;
    if (!ok)
        return 409;
    w->revision++;
    for (guint i = 0; i < request->mutations->len; i++)
        put(w, &g_array_index(request->mutations, struct ow_store_mutation, i));
    return 200;
}

static void item_clear(void *item)
{
    struct ow_store_item *i = item;
    g_free(i->key);
    json_decref(i->value);
}

GArray *world_new_items(void)
{
    GArray *items = g_array_new(FALSE, FALSE, sizeof(struct ow_store_item));
    g_array_set_clear_func(items, item_clear);
    return items;
}

void world_add_item(GArray *items, const char *key, const char *text, uint64_t version)
{
    struct ow_store_item item = {g_strdup(key), text != NULL ? json_loads(text, JSON_DECODE_ANY, NULL) : NULL,
                                 version};
    g_array_append_val(items, item);
}

GArray *world_changes_since(struct world *w, const char *prefix, uint64_t since)
{
    GArray *items = world_new_items();
    guint first = w->log->len;
    while (first > 0 && g_array_index(w->log, struct world_event, first - 1).version > since)
        first--;
    for (guint i = first; i < w->log->len; i++) {
        const struct world_event *change = &g_array_index(w->log, struct world_event, i);
        if (g_str_has_prefix(change->key, prefix))
            world_add_item(items, change->key, change->text, change->version);
    }
    return items;
}

const char *world_value_text(struct world *w, const char *key)
{
    const struct world_value *value = g_hash_table_lookup(w->keys, key);
    return value != NULL ? value->text : NULL;
}

char *world_progress(struct world *w, const char *name)
{
    GHashTableIter iter;
    void *key, *value;
    char *found = NULL;
    g_hash_table_iter_init(&iter, w->keys);
    while (found == NULL && g_hash_table_iter_next(&iter, &key, &value)) {
        if (!g_str_has_prefix(key, OW_KEY_PROGRESS))
            continue;
        json_t *record_value = json_loads(((struct world_value *)value)->text, 0, NULL);
        json_t *record = json_object_get(record_value, name);
        found = record != NULL ? wj_text(record) : NULL;
        json_decref(record_value);
    }
    return found;
}
