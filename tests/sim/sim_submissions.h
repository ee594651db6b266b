/**
 * @file
 * Submissions of simulated users, to be changed by the test before they are sent. The caller owns each of
 * them until a function of sim_users.h takes it.
 */
#ifndef OW_TESTS_SIM_SUBMISSIONS_H
#define OW_TESTS_SIM_SUBMISSIONS_H

#include "model/submission.h"

#include <stdint.h>

/** An array of the team "open", of standard rank, that may run on spot machines. */
struct ow_submission *sim_job(const char *id, uint32_t tasks, double cpus);
/** An array of one CPU a task that may run in one zone only. */
struct ow_submission *sim_job_in_zone(const char *id, const char *zone, uint32_t tasks);
/** A service of critical rank, without spot machines. */
struct ow_submission *sim_service(const char *id, uint32_t replicas, double cpus);
/** The same as sim_job(), as a gang. */
struct ow_submission *sim_gang(const char *id, uint32_t tasks, double cpus);
/** Changes the team of the submission. */
void sim_set_team(struct ow_submission *submission, const char *team);

#endif
