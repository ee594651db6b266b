#include "core/scheduling/gang_hold_priority.h"

#include "core/jobs/execution.h"
#include "core/leader/leader_state.h"
#include "core/scheduling/classes.h"
#include "core/scheduling/image_demand.h"

#include <math.h>

/* A gang qualifies once this share of its start SLO has passed. */
static const double PRIORITY_SHARE_OF_SLO = 0.25;

/* Members of the gangs of a class: those that wait, and those that run or are about to. */
struct class_members {
    double waiting;
    double placed;
};

static struct class_members count_members(const struct ow_leader *leader, int class_index)
{
    struct class_members members = {0};
    for (guint i = 0; i < leader->executions->len; i++) {
        const struct ow_execution *execution = g_ptr_array_index(leader->executions, i);
        if (execution->job->spec->class_index != class_index || ow_job_is_over(execution->job))
            continue;
        members.placed += execution->attempts->len;
        members.waiting += ow_execution_count_pending(execution);
    }
    return members;
}

/* Whether all waiting members of the gang's class can start within `left_s`, given the rate at which
   running members end. */
static bool is_backlog_short(struct ow_leader *leader, const struct ow_execution *execution, double left_s)
{
    const struct ow_job_spec *spec = execution->job->spec;
    struct class_members members = count_members(leader, spec->class_index);
    double run_time_s = ow_class_run_time_s(leader->core, spec);
    return members.placed > 0 && members.waiting * run_time_s / members.placed < left_s;
}

/* Without priority, smaller gangs that fit overtake a large one for as long as they arrive, and it would
   miss its SLO although the capacity suffices for all. Once a quarter of the SLO's time has passed, the
   first such gang in the queue keeps its holds. If not all gangs can start in time, small ones still go
   first, because more of them can. */
bool ow_gang_hold_priority_claim(struct ow_leader *leader, const struct ow_execution *execution)
{
    const struct ow_job_spec *spec = execution->job->spec;
    double age_s = leader->core->now - execution->accepted_at;
    double slo_s = ow_class_next_start_slo_s(leader->core, spec->class_index, age_s);
    if (leader->cycle.gang_has_hold_priority || slo_s == INFINITY || age_s < PRIORITY_SHARE_OF_SLO * slo_s)
        return false;
    double left_s = slo_s - age_s - ow_image_slowest_fetch_s(leader, spec);
    leader->cycle.gang_has_hold_priority = is_backlog_short(leader, execution, left_s);
    return leader->cycle.gang_has_hold_priority;
}
