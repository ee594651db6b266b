/** @file
 * Deadlines of jobs: how long their tasks may wait, and whether the deadlines can still be met.
 *
 * A deadline is set by the job's owner and measured from the job's acceptance; most jobs have none. Input:
 * deadlines, and estimated run times corrected by the observations of the class. Result: bounds in seconds.
 * The module has no state.
 */
#ifndef OW_CORE_SCHEDULING_DEADLINE_H
#define OW_CORE_SCHEDULING_DEADLINE_H

#include <stdbool.h>

struct ow_attempt;
struct ow_execution;
struct ow_leader;

/** Upper limit of the time for which other jobs overtake a job because its deadline allows it, so that a job
 * with a distant deadline does not starve. */
static const double OW_DEADLINE_DELAY_LIMIT_S = 300;

/** Whether the job was submitted with a deadline. */
bool ow_deadline_is_set(const struct ow_execution *execution);
/** Whether the job has a deadline that it can no longer meet. */
bool ow_deadline_is_missed(const struct ow_leader *leader, const struct ow_execution *execution);
/** Whether the attempt's job has a deadline and the task is expected to meet it if it is not
 * stopped. */
bool ow_deadline_can_be_met(const struct ow_leader *leader, const struct ow_attempt *attempt);
/** Whether the attempt's task is expected to meet its job's deadline even if delayed by `delay_s` seconds.
 * The job must have a deadline. */
bool ow_deadline_allows_delay(const struct ow_leader *leader, const struct ow_attempt *attempt,
                              double delay_s);
/** How long after the job's acceptance a task may start without the job missing its deadline, in seconds,
 * at least 0; INFINITY without a deadline. */
double ow_deadline_latest_start_s(const struct ow_leader *leader, const struct ow_execution *execution);
/** How long after the job's acceptance a task may start without missing the deadline or an SLO of the job's
 * class, in seconds. Without either it is the slack of a class without SLOs. */
double ow_deadline_slack_s(const struct ow_leader *leader, const struct ow_execution *execution);

#endif
