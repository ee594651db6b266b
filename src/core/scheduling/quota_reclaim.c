#include "core/scheduling/quota_reclaim.h"

#include "core/jobs/execution.h"
#include "core/jobs/quota.h"
#include "core/leader/leader_state.h"
#include "core/scheduling/deadline.h"

/* A team with a guarantee for all its demand waits for capacity to come free by itself for this share of
   what its SLOs leave, before others are stopped for it: stopped work is lost work. */
static const double QUOTA_RECLAIM_PATIENCE_SHARE = 0.6;

bool ow_quota_may_reclaim(const struct ow_leader *leader, const struct ow_execution *execution)
{
    const struct ow_job_spec *spec = execution->job->spec;
    double patience_s = QUOTA_RECLAIM_PATIENCE_SHARE * ow_deadline_slack_s(leader, execution);
    if (!ow_team_demand_is_guaranteed(leader, spec->team))
        return false;
    if (!ow_team_has_guarantee_for(leader, spec->team, &spec->submission->need))
        return false;
    return leader->core->now - execution->accepted_at > patience_s;
}
