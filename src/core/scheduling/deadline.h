/** @file
 * Deadlines of jobs (ours): how long their tasks may wait, and whether they can still be met.
 *
 * A deadline is the owner's, measured from the job's acceptance; most jobs have none. Input: deadlines, and
 * run times as estimated and corrected by what was seen of the class. Result: bounds in seconds. It has no
 * state.
 */
#ifndef OW_CORE_SCHEDULING_DEADLINE_H
#define OW_CORE_SCHEDULING_DEADLINE_H

#include <stdbool.h>

struct ow_attempt;
struct ow_execution;
struct ow_leader;

/** However far away its deadline is, a job is passed on its account for no longer than this: nobody starves.
 */
static const double OW_DEADLINE_DELAY_LIMIT_S = 300;

/** Whether the job was submitted with a deadline. */
bool ow_deadline_is_set(const struct ow_execution *execution);
/** Whether the job has a deadline that it can't meet any more. */
bool ow_deadline_is_missed(const struct ow_leader *leader, const struct ow_execution *execution);
/** Whether the task's job has a deadline that the task will have kept, as it runs now. */
bool ow_deadline_can_be_met(const struct ow_leader *leader, const struct ow_attempt *attempt);
/** Whether the task would still keep its job's deadline if it were `delay_s` seconds behind. */
bool ow_deadline_allows_delay(const struct ow_leader *leader, const struct ow_attempt *attempt,
                              double delay_s);
/** How long after its acceptance a task of the execution may start without the job missing its deadline;
 * INFINITY without one. */
double ow_deadline_latest_start_s(const struct ow_leader *leader, const struct ow_execution *execution);
/** The same for the deadline and for the SLOs of its class. Without either it is the slack of a class without
 * SLOs. */
double ow_deadline_slack_s(const struct ow_leader *leader, const struct ow_execution *execution);

#endif
