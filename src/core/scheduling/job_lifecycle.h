/** @file
 * Job lifecycle: an execution for each open job, and the end of jobs that are over.
 *
 * Input: the open jobs, whatever their state. Result: executions created, stopped or dropped, and final
 * records queued. Invariant: a job ends only when no attempt of it can still exist.
 */
#ifndef OW_CORE_SCHEDULING_JOB_LIFECYCLE_H
#define OW_CORE_SCHEDULING_JOB_LIFECYCLE_H

struct ow_leader;

/** Brings the executions in line with the open jobs: creates executions, stops those of cancelled jobs,
 * queues the final records of completed jobs, and closes jobs whose final record has committed. */
void ow_job_lifecycle_update(struct ow_leader *leader);

#endif
