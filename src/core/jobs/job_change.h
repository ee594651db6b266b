/** @file
 * Announces a change of a job's record to the leader, so that it acts before its next read of the job table.
 */
#ifndef OW_CORE_JOBS_JOB_CHANGE_H
#define OW_CORE_JOBS_JOB_CHANGE_H

#include <stdint.h>

struct ow_core;

/** A job's record has changed, with the key-value store's `revision`: a leader in this process makes a
 * scheduling cycle due, any other controller is told. */
void ow_job_change_announce(struct ow_core *core, uint64_t revision);

#endif
