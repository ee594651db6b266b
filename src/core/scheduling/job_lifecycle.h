/** @file
 * Between jobs and executions: an execution for each open job, and the end of jobs that are over.
 *
 * Input: the open jobs, whatever changed them. Result: executions created, stopped or dropped, and final
 * records queued. Invariant: a job ends only when no attempt of it may exist any more.
 */
#ifndef OW_CORE_SCHEDULING_JOB_LIFECYCLE_H
#define OW_CORE_SCHEDULING_JOB_LIFECYCLE_H

struct ow_leader;

/** Compares the open jobs with their executions: creates executions, stops those of cancelled jobs, and has
 * the end of completed jobs recorded. */
void ow_job_lifecycle_update(struct ow_leader *leader);

#endif
