/**
 * @file
 * The random mix of jobs of the workload scenario: arrays, gangs, services, GPU jobs and jobs with deadlines,
 * of several teams and classes. A job is determined by the seed of the scenario and its number alone, so that
 * it can be submitted again.
 */
#ifndef OW_TESTS_WORKLOAD_JOBS_H
#define OW_TESTS_WORKLOAD_JOBS_H

#include "model/settings.h"
#include "model/submission.h"

#include <glib.h>

/** Writes the id of the job with this number into a buffer of this size. */
void workload_job_id(char *id, size_t size, int job);
/** Creates the submission of the job with this number. The caller owns it. */
struct ow_submission *workload_job_new(guint32 scenario_seed, int job);
/** Adds the teams with guarantees and the SLOs of the classes to a controller's settings. */
void workload_set_teams_and_slos(struct ow_settings *settings);

#endif
