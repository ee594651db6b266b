/**
 * @file
 * Submissions of simulated users, which tests may change before they send them. The caller owns each of them
 * until it is passed to a function of sim_users.h.
 */
#ifndef OW_TESTS_SIM_SUBMISSIONS_H
#define OW_TESTS_SIM_SUBMISSIONS_H

#include "model/submission.h"

#include <stdint.h>

/** An array job of the team "open" with standard rank that may run on spot machines. */
struct ow_submission *sim_job(const char *id, uint32_t tasks, double cpus);
/** An array job with one CPU per task that may run in this zone only. */
struct ow_submission *sim_job_in_zone(const char *id, const char *zone, uint32_t tasks);
/** A service of critical rank that may not run on spot machines. */
struct ow_submission *sim_service(const char *id, uint32_t replicas, double cpus);
/** As sim_job(), but a gang. */
struct ow_submission *sim_gang(const char *id, uint32_t tasks, double cpus);
/** Sets the team of the submission to a copy of this name. */
void sim_set_team(struct ow_submission *submission, const char *team);

#endif
