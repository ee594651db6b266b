#include "core/scheduling/quota_reclaim.h"

#include "core/jobs/execution.h"
#include "core/jobs/quota.h"
#include "core/leader/leader_state.h"
#include "core/scheduling/deadline.h"

/* Share of the slack for which a team waits for capacity to become free by itself before other teams' work
   is stopped for it: stopping work loses it. */
static const double RECLAIM_WAIT_SHARE = 0.6;

bool ow_quota_may_reclaim(const struct ow_leader *leader, const struct ow_execution *execution)
{
    const struct ow_job_spec *spec = execution->job->spec;
    double wait_s = RECLAIM_WAIT_SHARE * ow_deadline_slack_s(leader, execution);
    if (!ow_team_demand_is_guaranteed(leader, spec->team))
        return false;
    if (!ow_team_has_guarantee_for(leader, spec->team, &spec->submission->need))
        return false;
    return leader->core->now - execution->accepted_at > wait_s;
}
