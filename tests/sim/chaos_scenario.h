/**
 * @file
 * A day of a simulated cluster with random overlapping failures of its machines, controllers and services.
 * All that happens on it follows from its seed.
 */
#ifndef OW_TESTS_CHAOS_SCENARIO_H
#define OW_TESTS_CHAOS_SCENARIO_H

#include "sim_cluster.h"

/** Plays the day of the seed, with the fleet divided into two shards or not, and fails if a safety rule is
 * broken or a job does not complete in the end. The observer, which may be NULL, is told of every effect. */
void chaos_scenario_run(guint32 seed, bool sharded, const struct sim_observer *observer);

#endif
