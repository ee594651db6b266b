/**
 * @file
 * The random mix of jobs of a workload day: arrays, gangs, services, GPU jobs and jobs with deadlines, of
 * several teams and classes. A job follows from the seed of the day and its number alone, so that it can be
 * submitted again.
 */
#ifndef OW_TESTS_WORKLOAD_JOBS_H
#define OW_TESTS_WORKLOAD_JOBS_H

#include "model/settings.h"
#include "model/submission.h"

#include <glib.h>

/** Writes the id of the job of this number. */
void workload_job_id(char *id, size_t size, int job);
/** The submission of the job of this number, which the caller owns. */
struct ow_submission *workload_job_new(guint32 scenario_seed, int job);
/** Adds the teams with guarantees and the SLOs of the classes to a controller's settings. */
void workload_set_teams_and_slos(struct ow_settings *settings);

#endif
