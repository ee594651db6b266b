/**
 * @file
 * Set-up for the tests of overlapping failures: a cluster with a long job, and a user who cancels jobs.
 */
#ifndef OW_TESTS_FAILURE_SETUP_H
#define OW_TESTS_FAILURE_SETUP_H

#include "sim_cluster.h"
#include "model/submission.h"

/** A user who retries a cancellation every second until it is confirmed. */
struct canceller {
    const char *id;      /**< of the job */
    int controller;      /**< that it asks */
    uint64_t request;    /**< the last one; 0: none yet */
    double requested_at; /**< its time */
    double answered_at;  /**< the time of the confirmation; 0: there is none yet */
};

/** A cluster with all controllers and these machines, on which tasks run for 300 s. */
struct sim_cluster *sim_with_long_tasks(int machines);
/** Submits the job, which it takes ownership of, to a controller that does not lead and waits until it runs;
 * returns its machine. */
struct sim_machine *sim_start_job_at_follower(struct sim_cluster *cluster, struct ow_submission *job);
/** Runs the cluster while the user cancels the job. */
void sim_run_with_canceller(struct sim_cluster *cluster, struct canceller *canceller, double seconds);

#endif
