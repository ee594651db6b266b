/* Reads of the contents of the simulated key-value store by tests. */
#include "sim_store_internal.h"

#include "model/records.h"
#include "wire/json.h"

const char *sim_read_value(struct sim_cluster *cluster, const char *key)
{
    const struct sim_value *value = g_hash_table_lookup(cluster->keys, key);
    return value != NULL ? value->text : NULL;
}

char *sim_read_progress_record(struct sim_cluster *cluster, const char *name)
{
    GHashTableIter iter;
    void *key;
    void *value;
    char *found = NULL;
    g_hash_table_iter_init(&iter, cluster->keys);
    while (found == NULL && g_hash_table_iter_next(&iter, &key, &value)) {
        if (!g_str_has_prefix(key, OW_KEY_PROGRESS))
            continue;
        json_t *record_value =
            wire_json_parse_object(((struct sim_value *)value)->text,
                                   strlen(((struct sim_value *)value)->text), &wire_json_any_fields);
        json_t *record = json_object_get(record_value, name);
        found = record != NULL ? wire_json_print(record) : NULL;
        json_decref(record_value);
    }
    return found;
}
