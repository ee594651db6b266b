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

#endif
