/** @file
 * Applies a cancellation on the leader: stops the job's attempts, and reports whether any of them may still
 * start.
 */
#ifndef OW_CORE_LEADER_JOB_CANCELLATION_H
#define OW_CORE_LEADER_JOB_CANCELLATION_H

#include <stdbool.h>

struct ow_job;
struct ow_leader;

/** Applies a committed cancellation: queues the stops of all attempts. Returns false while an attempt of the
 * job may still start, or before the leader is ready; the caller must then repeat the call. */
bool ow_job_cancellation_apply(struct ow_leader *leader, struct ow_job *job);
/** Logs one line on an attempt of the job that may still start, if there is one. `wait_s`: for how long the
 * cancellation has been open. */
void ow_job_cancellation_log_blocker(const struct ow_leader *leader, const struct ow_job *job, double wait_s);

#endif
