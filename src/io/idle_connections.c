#include "io/idle_connections.h"

#include <glib.h>

struct ow_idle_connections {
    GHashTable *by_endpoint; /* endpoint -> GPtrArray of struct ow_client_connection, never empty */
};

static void free_list(gpointer list)
{
    g_ptr_array_free(list, TRUE);
}

struct ow_idle_connections *ow_idle_connections_new(void)
{
    struct ow_idle_connections *idle = g_new0(struct ow_idle_connections, 1);
    idle->by_endpoint = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_list);
    return idle;
}

void ow_idle_connections_free(struct ow_idle_connections *idle)
{
    g_hash_table_destroy(idle->by_endpoint);
    g_free(idle);
}

void ow_idle_connections_add(struct ow_idle_connections *idle, const char *endpoint,
                             struct ow_client_connection *connection)
{
    GPtrArray *list = g_hash_table_lookup(idle->by_endpoint, endpoint);
    if (list == NULL) {
        list = g_ptr_array_new();
        g_hash_table_insert(idle->by_endpoint, g_strdup(endpoint), list);
    }
    g_ptr_array_add(list, connection);
}

void ow_idle_connections_remove(struct ow_idle_connections *idle, const char *endpoint,
                                struct ow_client_connection *connection)
{
    GPtrArray *list = g_hash_table_lookup(idle->by_endpoint, endpoint);
    if (list == NULL || !g_ptr_array_remove_fast(list, connection))
        return;
    if (list->len == 0)
        g_hash_table_remove(idle->by_endpoint, endpoint);
}

struct ow_client_connection *ow_idle_connections_find(const struct ow_idle_connections *idle,
                                                      const char *endpoint)
{
    const GPtrArray *list = g_hash_table_lookup(idle->by_endpoint, endpoint);
    return list != NULL ? g_ptr_array_index(list, list->len - 1) : NULL;
}
