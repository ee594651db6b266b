#include "core/leader/cycle_timer.h"

#include "core/jobs/execution.h"
#include "core/leader/decision_pacing.h"
#include "core/leader/leader_state.h"
#include "core/scheduling/schedule.h"

/* The minimum and maximum time from one cycle to the next. */
static const double INTERVAL_MIN_S = 0.1;
static const double INTERVAL_MAX_S = 1;
/* Fleet size up to which the minimum is INTERVAL_MIN_S; in a larger fleet it grows in proportion. */
static const double INTERVAL_MIN_MACHINES = 1500;

static bool is_due(const struct ow_leader *leader)
{
    double now = leader->core->now;
    double last_at = leader->cycle.last_at;
    /* The cost of a cycle is proportional to the number of machines. */
    double interval_min_s = INTERVAL_MIN_S * MAX(1, (double)leader->machines->len / INTERVAL_MIN_MACHINES);
    return (leader->cycle.due && now >= last_at + interval_min_s) || now >= last_at + INTERVAL_MAX_S;
}

/* Updates the task counts that users and other controllers are shown. */
static void update_job_counts(struct ow_leader *leader)
{
    for (guint i = 0; i < leader->executions->len; i++) {
        const struct ow_execution *execution = g_ptr_array_index(leader->executions, i);
        execution->job->done = (int)execution->done;
        execution->job->running = (int)execution->running;
    }
}

void ow_cycle_timer_tick(struct ow_leader *leader)
{
    if (!is_due(leader) || !ow_decision_pacing_allows(leader))
        return;
    ow_decision_pacing_note(leader);
    leader->cycle.due = false;
    leader->cycle.last_at = leader->core->now;
    ow_schedule_cycle(leader);
    update_job_counts(leader);
}
