/** @file
 * Creates and frees the executions of a leader, one for each job whose tasks may still exist. They are in
 * `ow_leader.executions`, in no order.
 */
#ifndef OW_CORE_JOBS_EXECUTION_TABLE_H
#define OW_CORE_JOBS_EXECUTION_TABLE_H

struct ow_execution;
struct ow_job;
struct ow_leader;

/** The job's execution, which is created if there is none; the leader owns it. The job must still have its
 * spec. */
struct ow_execution *ow_execution_find_or_add(struct ow_leader *leader, struct ow_job *job);
/** Frees the execution with its attempts and reservation; its record values are rewritten without it. */
void ow_execution_drop(struct ow_leader *leader, struct ow_execution *execution);

#endif
