/* The leases of the simulated key-value store. */
#include "world_state_parts.h"

static void end_lease(struct world *w, uint64_t lease)
{
    GHashTableIter iter;
    void *key, *value;
    w->revision++;
    g_hash_table_iter_init(&iter, w->keys);
    while (g_hash_table_iter_next(&iter, &key, &value)) {
        if (((struct world_value *)value)->lease != lease)
            continue;
        world_log_change(w, key, NULL);
        g_hash_table_iter_remove(&iter);
    }
}

void world_expire_leases(struct world *w)
{
    GHashTableIter iter;
    void *id, *until;
    g_hash_table_iter_init(&iter, w->leases);
    while (!w->store_down && g_hash_table_iter_next(&iter, &id, &until)) {
        if (*(double *)until >= w->now)
            continue;
        uint64_t lease = *(uint64_t *)id;
        g_hash_table_iter_remove(&iter);
        end_lease(w, lease);
    }
}

void world_extend_leases(struct world *w)
{
    GHashTableIter iter;
    void *id, *until;
    g_hash_table_iter_init(&iter, w->leases);
    while (w->store_down && g_hash_table_iter_next(&iter, &id, &until))
        *(double *)until = w->now + w->tuning.leader_lease_s;
}
