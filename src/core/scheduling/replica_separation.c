#include "core/scheduling/replica_separation.h"

#include "core/jobs/attempt.h"
#include "core/jobs/execution.h"
#include "core/leader/leader_state.h"
#include "core/machines/machine.h"
#include "core/scheduling/replica_move.h"
#include "core/scheduling/replica_spread.h"

/* Replicas are separated only in a service that has been stable for this long. */
static const double STABLE_S = 60;
/* Interval between checks of a service for replicas to separate. */
static const double SEPARATION_INTERVAL_S = 5;

static struct ow_attempt *find_on_shared_machine(const struct ow_execution *execution,
                                                 const struct ow_replica_spread *spread)
{
    for (guint i = 0; i < execution->attempts->len; i++) {
        struct ow_attempt *attempt = g_ptr_array_index(execution->attempts, i);
        if (ow_replica_spread_on_machine(spread, attempt->machine) > 1)
            return attempt;
    }
    return NULL;
}

/* Whether all replicas are in one zone although the job does not require that. */
static bool are_in_one_zone(const struct ow_execution *execution, const struct ow_replica_spread *spread)
{
    const struct ow_job_spec *spec = execution->job->spec;
    return execution->attempts->len > 1 && ow_replica_spread_zones(spread) == 1 &&
           !spec->submission->one_zone && spec->zone == OW_NO_NAME;
}

/* A replica that would be lost together with another one: it shares a machine with another, or all replicas
   are in one zone, which is then stored in `not_in_zone`. NULL if there is none. */
static struct ow_attempt *find_colocated(const struct ow_execution *execution, int *not_in_zone)
{
    g_auto(ow_replica_spread) spread = ow_replica_spread_of(execution);
    struct ow_attempt *found = find_on_shared_machine(execution, &spread);
    *not_in_zone = OW_NO_NAME;
    if (found == NULL && are_in_one_zone(execution, &spread)) {
        found = g_ptr_array_index(execution->attempts, 0);
        *not_in_zone = found->machine->zone;
    }
    return found;
}

static bool has_been_stable(const struct ow_leader *leader, const struct ow_execution *execution)
{
    for (guint i = 0; i < execution->attempts->len; i++) {
        const struct ow_attempt *attempt = g_ptr_array_index(execution->attempts, i);
        if (leader->core->now - attempt->placed_at < STABLE_S)
            return false;
    }
    return leader->core->now - leader->ready_at >= STABLE_S && ow_replica_move_count_missing(execution) == 0;
}

void ow_replica_separation_consider(struct ow_leader *leader, struct ow_execution *execution)
{
    if (!ow_execution_is_service(execution) || ow_job_is_over(execution->job) ||
        leader->core->now < execution->separation_check_at)
        return;
    execution->separation_check_at = leader->core->now + SEPARATION_INTERVAL_S;
    if (!has_been_stable(leader, execution))
        return;
    int not_in_zone = OW_NO_NAME;
    struct ow_attempt *attempt = find_colocated(execution, &not_in_zone);
    if (attempt == NULL)
        return;
    struct ow_machine *target = ow_replica_move_find_target(leader, execution, not_in_zone);
    if (target != NULL)
        ow_replica_move_to(leader, attempt, target,
                           "the replica is moved: it shares a machine or zone with others of its service");
}
