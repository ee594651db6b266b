#include "core/scheduling/gang_hold_priority.h"

#include "core/jobs/execution.h"
#include "core/leader/leader_state.h"
#include "core/scheduling/classes.h"
#include "core/scheduling/image_demand.h"

#include <math.h>

/* The share of an SLO for its start after which a gang no longer lets others take what it holds. */
static const double PRIORITY_SHARE_OF_SLO = 0.25;

/* The gangs of a class: members that wait, and members that run or are about to. */
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

/* Whether everything that waits of the gang's class can start within `left_s`, as members that run end. */
static bool is_backlog_short(struct ow_leader *leader, const struct ow_execution *execution, double left_s)
{
    const struct ow_job_spec *spec = execution->job->spec;
    struct class_members members = count_members(leader, spec->class_index);
    double run_time_s = ow_class_run_time_s(leader->core, spec);
    return members.placed > 0 && members.waiting * run_time_s / members.placed < left_s;
}

/* Smaller gangs that fit pass a large one for as long as they come, and it would miss its SLO although
   there is capacity for all. Once a quarter of its time is over, the first such gang in the queue keeps what
   it holds. Where not all can be in time, small ones still go first: more of them are. */
bool ow_gang_hold_priority_claim(struct ow_leader *leader, const struct ow_execution *execution)
{
    const struct ow_job_spec *spec = execution->job->spec;
    double age_s = leader->core->now - execution->accepted_at;
    double slo_s = ow_class_next_start_slo_s(leader->core, spec->class_index, age_s);
    if (leader->cycle.gang_has_hold_priority || slo_s == INFINITY || age_s < PRIORITY_SHARE_OF_SLO * slo_s)
        return false;
    double left_s = slo_s - age_s - ow_image_slowest_fetch_seconds(leader, spec);
    leader->cycle.gang_has_hold_priority = is_backlog_short(leader, execution, left_s);
    return leader->cycle.gang_has_hold_priority;
}
