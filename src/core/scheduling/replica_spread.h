/** @file
 * Number of replicas of a service on each machine and in each zone, counted once because a service may have
 * thousands.
 *
 * Input: the attempts of an execution, and replicas that are added. Result: counts. Machines are identified
 * by address only, so the counts are valid only as long as no machine is removed.
 */
#ifndef OW_CORE_SCHEDULING_REPLICA_SPREAD_H
#define OW_CORE_SCHEDULING_REPLICA_SPREAD_H

#include <glib.h>

struct ow_execution;
struct ow_machine;

/** Counts of replicas; owns both tables. */
struct ow_replica_spread {
    GHashTable *on_machine; /**< struct ow_machine * -> count */
    GHashTable *in_zone;    /**< zone index -> count */
};

/** Counts the attempts of the execution, also those that are being stopped. Freed by
 * ow_replica_spread_clear(). */
struct ow_replica_spread ow_replica_spread_of(const struct ow_execution *execution);
/** Frees both tables. */
void ow_replica_spread_clear(struct ow_replica_spread *spread);
/** Counts one more replica on the machine. */
void ow_replica_spread_add(struct ow_replica_spread *spread, struct ow_machine *machine);
/** Number of replicas on the machine; 0 if none. */
guint ow_replica_spread_on_machine(const struct ow_replica_spread *spread, const struct ow_machine *machine);
/** Number of replicas in the zone; 0 if none. */
guint ow_replica_spread_in_zone(const struct ow_replica_spread *spread, int zone);
/** Number of zones with at least one replica. */
guint ow_replica_spread_zones(const struct ow_replica_spread *spread);

/** Alias of the struct, as g_auto() requires. */
typedef struct ow_replica_spread ow_replica_spread;
G_DEFINE_AUTO_CLEANUP_CLEAR_FUNC(ow_replica_spread, ow_replica_spread_clear)

#endif
