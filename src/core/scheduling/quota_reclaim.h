/** @file
 * Quota reclaim: when a team reclaims its guaranteed capacity that others have borrowed.
 *
 * Input: the team's guarantee and demand as of the cycle, and how long the job has waited. Result: yes or
 * no. Invariant: no work is stopped for a team whose demand exceeds its guarantee.
 */
#ifndef OW_CORE_SCHEDULING_QUOTA_RECLAIM_H
#define OW_CORE_SCHEDULING_QUOTA_RECLAIM_H

#include <stdbool.h>

struct ow_execution;
struct ow_leader;

/** Whether the execution's team is entitled to reclaim its guarantee, and the job has waited long enough
 * for other teams' work to be stopped for it. */
bool ow_quota_may_reclaim(const struct ow_leader *leader, const struct ow_execution *execution);

#endif
