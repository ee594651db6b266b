/** @file
 * Promotion: a job that has waited too long goes to the front of the queue, so that none starves.
 *
 * Input: the age of an execution, or how long a replica of it has been missing. Result: `is_starving` and
 * `is_aged` of the execution, which the module owns. Invariant: no work is stopped because of a promotion,
 * and what a promoted job has started is not stopped for others, except replicas.
 */
#ifndef OW_CORE_SCHEDULING_PROMOTION_H
#define OW_CORE_SCHEDULING_PROMOTION_H

#include "model/submission.h"

#include <stdbool.h>

struct ow_execution;
struct ow_leader;

/** Updates `is_starving` and `is_aged` of a waiting execution, as of now. Its `pending_since` must be up to
 * date. */
void ow_promotion_update(const struct ow_leader *leader, struct ow_execution *execution);
/** Whether the execution is promoted, according to its last update. */
bool ow_promotion_is_promoted(const struct ow_execution *execution);
/** The rank by which the execution is queued: that of its job, or the most urgent one if it is promoted. */
enum ow_rank ow_promotion_rank(const struct ow_execution *execution);
/** Whether a starving job of this age, in seconds, can still start within the target that applies to all
 * jobs. */
bool ow_promotion_can_start_in_time(double age_s);

#endif
