/**
 * @file
 * A scenario of a simulated cluster under a random mix of jobs: arrays, gangs, services, GPU jobs and jobs
 * with deadlines, of several teams, on machines of several types, with a few failures. Its course is
 * determined by the seed alone.
 */
#ifndef OW_TESTS_WORKLOAD_SCENARIO_H
#define OW_TESTS_WORKLOAD_SCENARIO_H

#include "sim_cluster.h"

/** Runs the scenario with this seed, with the fleet divided into two shards or not, and fails the test if a
 * safety rule is broken or an accepted job is not known at the end. The observer, which may be NULL, gets
 * every effect. */
void workload_scenario_run(guint32 seed, bool sharded, const struct sim_observer *observer);

#endif
