/* The values, changes and transactions of the simulated key-value store. Tests may lower the limits on the
 * size of a value (`value_kb`) and on the number of mutations of a transaction (`txn_ops`). */
#include "sim_store_internal.h"

#include "model/records.h"
#include "wire/json.h"

#include <string.h>

void sim_value_free(void *item)
{
    struct sim_value *value = item;
    g_free(value->text);
    g_free(value);
}

void sim_append_change(struct sim_cluster *cluster, const char *key, const char *text)
{
    struct sim_change change = {g_strdup(key), g_strdup(text), cluster->revision};
    g_array_append_val(cluster->changes, change);
}

static uint64_t version_of(struct sim_cluster *cluster, const char *key)
{
    const struct sim_value *value = g_hash_table_lookup(cluster->keys, key);
    return value != NULL ? value->version : 0;
}

static bool lease_is_alive(struct sim_cluster *cluster, uint64_t lease)
{
    return lease == 0 || g_hash_table_contains(cluster->leases, &lease);
}

static void apply_mutation(struct sim_cluster *cluster, const struct ow_store_mutation *mutation)
{
    sim_append_change(cluster, mutation->key, mutation->value);
    if (mutation->value == NULL) {
        g_hash_table_remove(cluster->keys, mutation->key);
        return;
    }
    struct sim_value *value = g_new0(struct sim_value, 1);
    *value = (struct sim_value){g_strdup(mutation->value), cluster->revision, mutation->lease};
    g_hash_table_replace(cluster->keys, g_strdup(mutation->key), value);
}

/* While a controller of the earlier version runs, no record may be written in smaller chunks than the first
 * format has: that controller would drop it when it rewrites the value. */
static void check_format(struct sim_cluster *cluster, const struct ow_store_mutation *mutation)
{
    bool any_old_version = false;
    for (int i = 0; i < SIM_CONTROLLERS; i++)
        any_old_version = any_old_version || cluster->runs_old_version[i];
    if (!any_old_version || mutation->value == NULL || !g_str_has_prefix(mutation->key, OW_KEY_PROGRESS))
        return;
    json_t *record_value =
        wire_json_parse_object(mutation->value, strlen(mutation->value), &wire_json_any_fields);
    const char *name;
    json_t *record;
    json_object_foreach(record_value, name, record)
    {
        if (strchr(name, '.') != NULL)
            g_string_append_printf(
                cluster->violations,
                "record %s is written in the new format while a controller of the earlier version runs; ",
                name);
    }
    json_decref(record_value);
}

/* Returns the HTTP status of the transaction, which is applied only if that is 200. */
int sim_apply_txn(struct sim_cluster *cluster, const struct ow_store_request *request, char ***failed)
{
    GPtrArray *failed_keys = g_ptr_array_new();
    bool oversized =
        request->mutations->len > cluster->txn_ops || request->comparisons->len > 4 * cluster->txn_ops;
    for (guint i = 0; i < request->comparisons->len; i++) {
        const struct ow_store_comparison *comparison =
            &g_array_index(request->comparisons, struct ow_store_comparison, i);
        if (version_of(cluster, comparison->key) != comparison->mod_revision)
            g_ptr_array_add(failed_keys, g_strdup(comparison->key));
    }
    for (guint i = 0; i < request->mutations->len; i++) {
        const struct ow_store_mutation *mutation =
            &g_array_index(request->mutations, struct ow_store_mutation, i);
        oversized = oversized ||
                    (mutation->value != NULL && (double)strlen(mutation->value) > 1024 * cluster->value_kb);
        check_format(cluster, mutation);
    }
    cluster->oversized_txns += oversized ? 1 : 0;
    bool conditions_hold = failed_keys->len == 0;
    g_ptr_array_add(failed_keys, NULL);
    *failed = (char **)g_ptr_array_free(failed_keys, FALSE);
    if (oversized)
        return 400;
    for (guint i = 0; conditions_hold && i < request->mutations->len; i++)
        if (!lease_is_alive(cluster, g_array_index(request->mutations, struct ow_store_mutation, i).lease))
            return 400;
    if (!conditions_hold)
        return 409;
    cluster->revision++;
    for (guint i = 0; i < request->mutations->len; i++)
        apply_mutation(cluster, &g_array_index(request->mutations, struct ow_store_mutation, i));
    return 200;
}

static void item_clear(void *item)
{
    struct ow_store_item *i = item;
    g_free(i->key);
    json_decref(i->value);
}

GArray *sim_store_items_new(void)
{
    GArray *items = g_array_new(FALSE, FALSE, sizeof(struct ow_store_item));
    g_array_set_clear_func(items, item_clear);
    return items;
}

/* Members that a later version may have written into a job's record; its readers must ignore them. */
#define LATER_MEMBERS                                                                                        \
    "\"x_later\":{\"n\":18446744073709551616,\"n\":[[[[[\"\\ud800\"]]]]]},\"x_again\":1e400,\"x_again\":"    \
    "null"

/* Parses a stored value as controllers read it; a job's record comes with members that no controller knows.
 */
static json_t *parse_value(const char *key, const char *text)
{
    g_autofree char *later = NULL;
    if (g_str_has_prefix(key, OW_KEY_JOBS) && g_str_has_prefix(text, "{\""))
        later = g_strconcat("{" LATER_MEMBERS ",", text + 1, NULL);
    const char *read = later != NULL ? later : text;
    return wire_json_parse_object(read, strlen(read), &wire_json_any_fields);
}

void sim_store_items_add(GArray *items, const char *key, const char *text, uint64_t version)
{
    struct ow_store_item item = {g_strdup(key), text != NULL ? parse_value(key, text) : NULL, version};
    g_array_append_val(items, item);
}

GArray *sim_changes_since(struct sim_cluster *cluster, const char *prefix, uint64_t since)
{
    GArray *items = sim_store_items_new();
    guint first = cluster->changes->len;
    while (first > 0 && g_array_index(cluster->changes, struct sim_change, first - 1).version > since)
        first--;
    for (guint i = first; i < cluster->changes->len; i++) {
        const struct sim_change *change = &g_array_index(cluster->changes, struct sim_change, i);
        if (g_str_has_prefix(change->key, prefix))
            sim_store_items_add(items, change->key, change->text, change->version);
    }
    return items;
}
