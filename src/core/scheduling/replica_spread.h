/* How many replicas of a service there are on each machine and in each zone, counted once: a service may have
 * thousands. */
#ifndef OW_CORE_SCHEDULING_REPLICA_SPREAD_H
#define OW_CORE_SCHEDULING_REPLICA_SPREAD_H

#include <glib.h>

struct ow_machine;
struct ow_execution;

struct ow_replica_spread {
    GHashTable *on_machine; /* machine -> count */
    GHashTable *in_zone;    /* zone index -> count */
};

/* Counts the attempts of the run. Freed with ow_replica_spread_clear. */
struct ow_replica_spread ow_replica_spread_of(const struct ow_execution *execution);
void ow_replica_spread_clear(struct ow_replica_spread *spread);
/* Counts one more replica on the machine. */
void ow_replica_spread_add(struct ow_replica_spread *spread, struct ow_machine *machine);
guint ow_replica_spread_on_machine(const struct ow_replica_spread *spread, const struct ow_machine *machine);
guint ow_replica_spread_in_zone(const struct ow_replica_spread *spread, int zone);
/* The number of zones with replicas. */
guint ow_replica_spread_zones(const struct ow_replica_spread *spread);

#endif
