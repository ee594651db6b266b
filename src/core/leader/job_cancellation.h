/** @file
 * Applying a cancellation on the leader: its stops, and whether anything of the job may still start.
 */
#ifndef OW_CORE_LEADER_JOB_CANCELLATION_H
#define OW_CORE_LEADER_JOB_CANCELLATION_H

#include <stdbool.h>

struct ow_job;
struct ow_leader;

/** Applies a committed cancellation: its stops are queued. False while something of the job may still start,
 * or before the leader is ready and knows all its tasks; it is to be repeated then. */
bool ow_job_cancellation_apply(struct ow_leader *leader, struct ow_job *job);

#endif
