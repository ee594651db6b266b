/**
 * @file
 * The simulated users: their requests to controllers, and the responses. Each request returns its number; the
 * response arrives while the cluster runs. Users check that a final state, once reported, does not change.
 */
#ifndef OW_TESTS_SIM_USERS_H
#define OW_TESTS_SIM_USERS_H

#include "model/submission.h"

#include <stdbool.h>
#include <stdint.h>

struct sim_cluster;
struct sim_machine;

/** The requirements of a submission, for the checks of the safety rules. */
struct sim_requirements {
    char team[16];
    char zone[16]; /**< "": any */
    uint32_t tasks;
    double cpus; /**< of each task */
    bool one_zone;
    bool spread;
    bool spot;
    bool service;
};

/** The first final state of a job that was reported to a user. */
struct sim_final_state {
    enum ow_job_state state;
    double at;
};

/** The last response to a user's request. */
struct sim_response {
    uint64_t request;
    int status;
    enum ow_job_state state;
    int retry_after_s;
    char *reason; /**< why the job waits, or why the request is refused; may be NULL */
};

/** Submits a job; takes ownership of the submission and returns the number of the request. */
uint64_t sim_submit(struct sim_cluster *cluster, int controller, struct ow_submission *submission);
/** Sends a submission that could not be parsed, except for its id. */
uint64_t sim_submit_malformed(struct sim_cluster *cluster, int controller, const char *id);
uint64_t sim_poll(struct sim_cluster *cluster, int controller, const char *id);
uint64_t sim_cancel(struct sim_cluster *cluster, int controller, const char *id);
/** The response to the request, which the cluster owns; NULL: there is none yet. */
const struct sim_response *sim_response(struct sim_cluster *cluster, uint64_t request);
/** The HTTP status of the response; 0: there is none yet. */
int sim_status(struct sim_cluster *cluster, uint64_t request);
/** Polls each second, at one controller after the other, until one answers; returns the job's state, -404 if
 * there is no such job, or -1 after 30 s without an answer. */
int sim_job_state(struct sim_cluster *cluster, const char *id);

/** Submits the job, which it takes ownership of, and fails the test unless it is accepted within 3 s. */
void sim_submit_accepted(struct sim_cluster *cluster, int controller, struct ow_submission *job);
/** Submits the job, which it takes ownership of, to the first controller and waits until one of its tasks
 * runs; returns its machine. */
struct sim_machine *sim_start_job(struct sim_cluster *cluster, struct ow_submission *job);
/** As sim_start_job(), but returns 3 s after the first task has started. */
struct sim_machine *sim_start_and_settle_job(struct sim_cluster *cluster, struct ow_submission *job);
/** Starts the job "run-1" of one task that runs for 100 s; returns its machine. */
struct sim_machine *sim_start_long_job(struct sim_cluster *cluster);
/** Submits an array job and lets every other task on each machine end, so that the ranges of its progress
 * records cannot be merged. */
void sim_submit_interleaved(struct sim_cluster *cluster, const char *id, uint32_t tasks);

#endif
