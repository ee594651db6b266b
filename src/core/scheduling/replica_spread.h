/** @file
 * How many replicas of a service there are on each machine and in each zone, counted once: a service may have
 * thousands.
 *
 * Input: the attempts of an execution, and replicas that are added. Result: counts. It refers to machines
 * only by address, and is to be used within one step.
 */
#ifndef OW_CORE_SCHEDULING_REPLICA_SPREAD_H
#define OW_CORE_SCHEDULING_REPLICA_SPREAD_H

#include <glib.h>

struct ow_execution;
struct ow_machine;

/** Counts of replicas; both tables are owned. */
struct ow_replica_spread {
    GHashTable *on_machine; /**< struct ow_machine * -> count */
    GHashTable *in_zone;    /**< zone index -> count */
};

/** Counts the attempts of the execution. Cleared by ow_replica_spread_clear(). */
struct ow_replica_spread ow_replica_spread_of(const struct ow_execution *execution);
/** Frees what the counts own. */
void ow_replica_spread_clear(struct ow_replica_spread *spread);
/** Counts one more replica on the machine. */
void ow_replica_spread_add(struct ow_replica_spread *spread, struct ow_machine *machine);
/** The replicas on the machine. */
guint ow_replica_spread_on_machine(const struct ow_replica_spread *spread, const struct ow_machine *machine);
/** The replicas in the zone. */
guint ow_replica_spread_in_zone(const struct ow_replica_spread *spread, int zone);
/** The number of zones with replicas. */
guint ow_replica_spread_zones(const struct ow_replica_spread *spread);

/** For g_auto(). */
typedef struct ow_replica_spread ow_replica_spread;
G_DEFINE_AUTO_CLEANUP_CLEAR_FUNC(ow_replica_spread, ow_replica_spread_clear)

#endif
