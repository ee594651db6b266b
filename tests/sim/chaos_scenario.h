/**
 * @file
 * A scenario of random overlapping failures of the machines, controllers and services of a simulated cluster.
 * Its course is determined by the seed alone.
 */
#ifndef OW_TESTS_CHAOS_SCENARIO_H
#define OW_TESTS_CHAOS_SCENARIO_H

#include "sim_cluster.h"

/** Runs the scenario with this seed, with the fleet divided into two shards or not, and fails the test if a
 * safety rule is broken or a job does not complete. The observer, which may be NULL, gets every effect. */
void chaos_scenario_run(guint32 seed, bool sharded, const struct sim_observer *observer);

#endif
