#include "core/scheduling/deadline.h"

#include "core/jobs/attempt.h"
#include "core/jobs/execution.h"
#include "core/leader/leader_state.h"
#include "core/scheduling/classes.h"

#include <math.h>

/* A start counts as in time if the deadline leaves room for this many times the expected run time, because
   estimates are often wrong. */
static const double PESSIMISTIC_RUN_FACTOR = 1.25;
/* A deadline counts as missed only when less than this many times the expected run time is left. */
static const double OPTIMISTIC_RUN_FACTOR = 0.8;

bool ow_deadline_is_set(const struct ow_execution *execution)
{
    return execution->job->spec->submission->deadline_s > 0;
}

/* Seconds until the deadline; negative after it. */
static double seconds_left(const struct ow_leader *leader, const struct ow_execution *execution)
{
    double age_s = leader->core->now - execution->accepted_at;
    return execution->job->spec->submission->deadline_s - age_s;
}

bool ow_deadline_is_missed(const struct ow_leader *leader, const struct ow_execution *execution)
{
    if (!ow_deadline_is_set(execution))
        return false;
    double run_time_s = ow_class_run_time_s(leader->core, execution->job->spec);
    return seconds_left(leader, execution) < OPTIMISTIC_RUN_FACTOR * run_time_s;
}

bool ow_deadline_allows_delay(const struct ow_leader *leader, const struct ow_attempt *attempt,
                              double delay_s)
{
    const struct ow_execution *execution = attempt->job->execution;
    double ran_s = attempt->running_at > 0 ? leader->core->now - attempt->running_at : 0;
    double remaining_s = MAX(0, ow_class_run_time_s(leader->core, execution->job->spec) - ran_s);
    return seconds_left(leader, execution) >= OPTIMISTIC_RUN_FACTOR * remaining_s + delay_s;
}

bool ow_deadline_can_be_met(const struct ow_leader *leader, const struct ow_attempt *attempt)
{
    return ow_deadline_is_set(attempt->job->execution) && ow_deadline_allows_delay(leader, attempt, 0);
}

double ow_deadline_latest_start_s(const struct ow_leader *leader, const struct ow_execution *execution)
{
    const struct ow_job_spec *spec = execution->job->spec;
    if (!ow_deadline_is_set(execution))
        return INFINITY;
    return MAX(0, spec->submission->deadline_s -
                      PESSIMISTIC_RUN_FACTOR * ow_class_run_time_s(leader->core, spec));
}

double ow_deadline_slack_s(const struct ow_leader *leader, const struct ow_execution *execution)
{
    double class_slack_s = ow_class_slack_s(leader->core, execution->job->spec->class_index);
    return MIN(ow_deadline_latest_start_s(leader, execution), class_slack_s);
}
