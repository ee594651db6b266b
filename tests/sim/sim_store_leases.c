/* The leases of the simulated key-value store. The keys of an expired lease are deleted. Leases do not expire
 * during an outage (`store_down`). */
#include "sim_store_internal.h"

static void end_lease(struct sim_cluster *cluster, uint64_t lease)
{
    GHashTableIter iter;
    void *key;
    void *value;
    cluster->revision++;
    g_hash_table_iter_init(&iter, cluster->keys);
    while (g_hash_table_iter_next(&iter, &key, &value)) {
        if (((struct sim_value *)value)->lease != lease)
            continue;
        sim_append_change(cluster, key, NULL);
        g_hash_table_iter_remove(&iter);
    }
}

void sim_expire_leases(struct sim_cluster *cluster)
{
    GHashTableIter iter;
    void *id;
    void *expires_at;
    g_hash_table_iter_init(&iter, cluster->leases);
    while (!cluster->store_down && g_hash_table_iter_next(&iter, &id, &expires_at)) {
        if (*(double *)expires_at >= cluster->now)
            continue;
        uint64_t lease = *(uint64_t *)id;
        g_hash_table_iter_remove(&iter);
        end_lease(cluster, lease);
    }
}

void sim_extend_leases(struct sim_cluster *cluster)
{
    GHashTableIter iter;
    void *id;
    void *expires_at;
    g_hash_table_iter_init(&iter, cluster->leases);
    while (cluster->store_down && g_hash_table_iter_next(&iter, &id, &expires_at))
        *(double *)expires_at = cluster->now + cluster->tuning.leader_lease_s;
}
