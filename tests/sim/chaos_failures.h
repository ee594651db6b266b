/**
 * @file
 * Random overlapping failures of a simulated cluster: of machines, controllers, the key-value store, the
 * cloud and the links between them. Each failure lasts until a later one undoes it, so that several can
 * be active at the same time.
 */
#ifndef OW_TESTS_CHAOS_FAILURES_H
#define OW_TESTS_CHAOS_FAILURES_H

#include "sim_cluster.h"

/** The state of the failure injection. */
struct chaos_failures {
    struct sim_cluster *cluster; /**< not owned */
    GRand *rand;                 /**< also used for the other random choices of a scenario */
    GPtrArray *copies;           /**< struct ow_heartbeat: duplicates to be sent late */
};

/** Prepares random failures of the cluster, determined by the seed. */
void chaos_failures_init(struct chaos_failures *failures, struct sim_cluster *cluster, guint32 seed);
/** Frees what chaos_failures_init() has allocated, but not the cluster. */
void chaos_failures_clear(struct chaos_failures *failures);
/** Injects one random failure, or ends one that is active. */
void chaos_failures_inject(struct chaos_failures *failures);
/** Ends all failures and starts all controllers. Deleted machines stay deleted. */
void chaos_failures_end(struct chaos_failures *failures);

#endif
