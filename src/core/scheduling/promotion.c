#include "core/scheduling/promotion.h"

#include "core/jobs/execution.h"
#include "core/leader/leader_state.h"
#include "core/scheduling/deadline.h"
#include "core/scheduling/image_demand.h"

/* A job none of whose tasks has started after this time is promoted. */
static const double PROMOTION_AGE_S = 120;
/* Gangs are promoted later: capacity held exclusively for a gang idles until the gang has all of it. */
static const double GANG_PROMOTION_AGE_S = 150;
/* Target for the start of every job, its image fetched: jobs with large images are promoted earlier. */
static const double START_TARGET_S = 220;
/* No job is promoted before this age, however large its image. */
static const double MIN_PROMOTION_AGE_S = 40;
/* A job that is not complete after this time is promoted as well. */
static const double AGED_AFTER_S = 220;

/* How long the execution may wait before it is starving. */
static double promotion_age_s(const struct ow_leader *leader, const struct ow_execution *execution)
{
    const struct ow_job_spec *spec = execution->job->spec;
    double limit_s = ow_submission_is_gang(spec->submission) ? GANG_PROMOTION_AGE_S : PROMOTION_AGE_S;
    double latest_s = START_TARGET_S - ow_image_slowest_fetch_s(leader, spec);
    return CLAMP(latest_s, MIN_PROMOTION_AGE_S, limit_s);
}

/* A service never completes, so its age would keep it ahead of all other jobs indefinitely. What counts is
   how long a replica has been missing. */
static void update_service(const struct ow_leader *leader, struct ow_execution *execution)
{
    double missing_s = leader->core->now - execution->pending_since;
    execution->is_starving = missing_s > promotion_age_s(leader, execution);
    execution->is_aged = false;
}

void ow_promotion_update(const struct ow_leader *leader, struct ow_execution *execution)
{
    if (ow_execution_is_service(execution)) {
        update_service(leader, execution);
        return;
    }
    double age_s = leader->core->now - execution->accepted_at;
    bool has_started = execution->attempts->len > 0 || execution->done > 0;
    execution->is_starving = !has_started && age_s > promotion_age_s(leader, execution);
    /* The owner of a job with a deadline expects no result earlier, so other jobs may overtake it until
       then. */
    double deadline_s = execution->job->spec->submission->deadline_s;
    execution->is_aged = age_s > AGED_AFTER_S + MIN(deadline_s, OW_DEADLINE_DELAY_LIMIT_S);
}

bool ow_promotion_is_promoted(const struct ow_execution *execution)
{
    return execution->is_starving || execution->is_aged;
}

enum ow_rank ow_promotion_rank(const struct ow_execution *execution)
{
    return ow_promotion_is_promoted(execution) ? OW_RANK_CRITICAL : execution->job->spec->submission->rank;
}

bool ow_promotion_can_start_in_time(double age_s)
{
    return age_s < START_TARGET_S;
}
