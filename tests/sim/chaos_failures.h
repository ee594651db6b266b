/**
 * @file
 * Random overlapping failures of a simulated cluster: of machines, controllers, the key-value store, the
 * cloud and the links between them. Each is a change of state that a later one may undo, so that many hold at
 * once.
 */
#ifndef OW_TESTS_CHAOS_FAILURES_H
#define OW_TESTS_CHAOS_FAILURES_H

#include "sim_cluster.h"

/** What failures are drawn from. */
struct chaos_failures {
    struct sim_cluster *cluster; /**< not owned */
    GRand *rand;                 /**< also for the other choices of the day */
    GPtrArray *copies;           /**< struct ow_heartbeat, to be sent late */
};

/** Prepares failures of the cluster, which follow from the seed. */
void chaos_failures_init(struct chaos_failures *failures, struct sim_cluster *cluster, guint32 seed);
/** Frees what chaos_failures_init() has allocated, but not the cluster. */
void chaos_failures_clear(struct chaos_failures *failures);
/** Brings one failure about, or ends one. */
void chaos_failures_inject(struct chaos_failures *failures);
/** Ends all failures, and starts all controllers. Deleted machines stay deleted. */
void chaos_failures_end(struct chaos_failures *failures);

#endif
