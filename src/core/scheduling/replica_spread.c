#include "core/scheduling/replica_spread.h"

#include "core/jobs/attempt.h"
#include "core/jobs/execution.h"
#include "core/machines/machine.h"

static guint count_at(GHashTable *counts, const void *key)
{
    return GPOINTER_TO_UINT(g_hash_table_lookup(counts, key));
}

static void count_one(GHashTable *counts, void *key)
{
    g_hash_table_insert(counts, key, GUINT_TO_POINTER(count_at(counts, key) + 1));
}

void ow_replica_spread_add(struct ow_replica_spread *spread, struct ow_machine *machine)
{
    count_one(spread->on_machine, machine);
    count_one(spread->in_zone, GINT_TO_POINTER(machine->zone));
}

struct ow_replica_spread ow_replica_spread_of(const struct ow_execution *execution)
{
    struct ow_replica_spread spread = {
        .on_machine = g_hash_table_new(NULL, NULL),
        .in_zone = g_hash_table_new(NULL, NULL),
    };
    for (guint i = 0; i < execution->attempts->len; i++) {
        const struct ow_attempt *attempt = g_ptr_array_index(execution->attempts, i);
        ow_replica_spread_add(&spread, attempt->machine);
    }
    return spread;
}

void ow_replica_spread_clear(struct ow_replica_spread *spread)
{
    g_hash_table_destroy(spread->on_machine);
    g_hash_table_destroy(spread->in_zone);
}

guint ow_replica_spread_on_machine(const struct ow_replica_spread *spread, const struct ow_machine *machine)
{
    return count_at(spread->on_machine, machine);
}

guint ow_replica_spread_in_zone(const struct ow_replica_spread *spread, int zone)
{
    return count_at(spread->in_zone, GINT_TO_POINTER(zone));
}

guint ow_replica_spread_zones(const struct ow_replica_spread *spread)
{
    return g_hash_table_size(spread->in_zone);
}
