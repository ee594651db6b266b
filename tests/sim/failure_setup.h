/**
 * @file
 * Setup for the tests of overlapping failures: a cluster with long tasks, and a user who cancels a job.
 */
#ifndef OW_TESTS_FAILURE_SETUP_H
#define OW_TESTS_FAILURE_SETUP_H

#include "sim_cluster.h"
#include "model/submission.h"

/** A user who retries a cancellation every second until it is confirmed. */
struct canceller {
    const char *id;      /**< the id of the job */
    int controller;      /**< the controller that the requests are sent to */
    uint64_t request;    /**< the number of the last request; 0: none yet */
    double requested_at; /**< the time of the last request */
    double answered_at;  /**< the time of the confirmation; 0: there is none yet */
};

/** A cluster with all controllers and this number of machines, on which tasks run for 300 s. */
struct sim_cluster *sim_with_long_tasks(int machines);
/** Submits the job, which it takes ownership of, to a controller that does not lead and runs the cluster
 * until 4 s after a task of it has started; returns its machine. */
struct sim_machine *sim_start_job_at_follower(struct sim_cluster *cluster, struct ow_submission *job);
/** Runs the cluster while the user cancels the job. */
void sim_run_with_canceller(struct sim_cluster *cluster, struct canceller *canceller, double seconds);

#endif
