/** @file
 * Promotion (ours): a job that has waited too long goes to the front of the queue, so that none starves.
 *
 * Input: the age of an execution, or how long its replica has been missed. Result: `is_starving` and
 * `is_aged` of the execution, which the module owns. Invariant: nothing is stopped for a promotion, nor what
 * it then starts for others.
 */
#ifndef OW_CORE_SCHEDULING_PROMOTION_H
#define OW_CORE_SCHEDULING_PROMOTION_H

#include "model/submission.h"

#include <stdbool.h>

struct ow_execution;
struct ow_leader;

/** Decides for a waiting execution, as of now, whether it starves or is old. */
void ow_promotion_update(const struct ow_leader *leader, struct ow_execution *execution);
/** Whether the execution is promoted, as last decided. */
bool ow_promotion_is_promoted(const struct ow_execution *execution);
/** The rank by which the execution is queued: that of its job, or the most urgent one if it is promoted. */
enum ow_rank ow_promotion_rank(const struct ow_execution *execution);
/** Whether a starving job of this age can still begin within the time that every job is to begin in. */
bool ow_promotion_can_start_in_time(double age_s);

#endif
