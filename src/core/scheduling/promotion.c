#include "core/scheduling/promotion.h"

#include "core/jobs/execution.h"
#include "core/leader/leader_state.h"
#include "core/scheduling/deadline.h"
#include "core/scheduling/image_demand.h"

/* A job of which nothing has started for so long is promoted. */
static const double PROMOTION_S = 120;
/* Capacity held exclusively for a gang idles until the gang has all of it, so gangs are promoted later. */
static const double PROMOTION_GANG_S = 150;
/* By then a job is to have begun, its image fetched: a large image is promoted earlier, ... */
static const double BEGIN_S = 220;
/* ... but not before this age. */
static const double PROMOTION_LEAST_S = 40;
/* A job that is not complete after so long is promoted as well. */
static const double AGED_S = 220;

/* How long the execution may wait before it is promoted. */
static double patience_s(const struct ow_leader *leader, const struct ow_execution *execution)
{
    const struct ow_job_spec *spec = execution->job->spec;
    double limit_s = ow_submission_is_gang(spec->submission) ? PROMOTION_GANG_S : PROMOTION_S;
    double begin_s = BEGIN_S - ow_image_slowest_fetch_seconds(leader, spec);
    return CLAMP(begin_s, PROMOTION_LEAST_S, limit_s);
}

/* A service is never complete: its age would put it before everybody for ever. What counts is how long a
   replica has been missed. */
static void update_service(const struct ow_leader *leader, struct ow_execution *execution)
{
    double missing_s = leader->core->now - execution->pending_since;
    execution->is_starving = missing_s > patience_s(leader, execution);
    execution->is_aged = false;
}

void ow_promotion_update(const struct ow_leader *leader, struct ow_execution *execution)
{
    if (ow_execution_is_service(execution)) {
        update_service(leader, execution);
        return;
    }
    double age_s = leader->core->now - execution->accepted_at;
    bool has_begun = execution->attempts->len > 0 || execution->done > 0;
    execution->is_starving = !has_begun && age_s > patience_s(leader, execution);
    /* Its owner does not expect a job with a deadline before it: until then others may pass it. */
    double deadline_s = execution->job->spec->submission->deadline_s;
    execution->is_aged = age_s > AGED_S + MIN(deadline_s, OW_DEADLINE_DELAY_LIMIT_S);
}

bool ow_promotion_is_promoted(const struct ow_execution *execution)
{
    return execution->is_starving || execution->is_aged;
}

enum ow_rank ow_promotion_rank(const struct ow_execution *execution)
{
    return ow_promotion_is_promoted(execution) ? OW_RANK_CRITICAL : execution->job->spec->submission->rank;
}

bool ow_promotion_can_begin_in_time(double age_s)
{
    return age_s < BEGIN_S;
}
