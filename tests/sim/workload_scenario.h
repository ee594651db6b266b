/**
 * @file
 * A day of a simulated cluster under a random mix of work: arrays, gangs, services, GPU jobs and jobs with
 * deadlines, of several teams, on machines of several types, with a few failures. All that happens on it
 * follows from its seed.
 */
#ifndef OW_TESTS_WORKLOAD_SCENARIO_H
#define OW_TESTS_WORKLOAD_SCENARIO_H

#include "sim_cluster.h"

/** Plays the day of the seed, with the fleet divided into two shards or not, and fails if a safety rule is
 * broken or an accepted job is not known in the end. The observer, which may be NULL, is told of every
 * effect. */
void workload_scenario_run(guint32 seed, bool sharded, const struct sim_observer *observer);

#endif
