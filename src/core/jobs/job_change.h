/** @file
 * Announces a change of a job's record to the leader, so that it acts before its next read of the job table.
 */
#ifndef OW_CORE_JOBS_JOB_CHANGE_H
#define OW_CORE_JOBS_JOB_CHANGE_H

#include <stdint.h>

struct ow_core;

/** Announces that a job's record has changed at `revision` of the key-value store. If this controller leads,
 * a scheduling cycle becomes due; otherwise a message goes to all peers. */
void ow_job_change_announce(struct ow_core *core, uint64_t revision);

#endif
