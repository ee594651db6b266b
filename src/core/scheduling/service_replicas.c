#include "core/scheduling/service_replicas.h"

#include "core/jobs/attempt.h"
#include "core/jobs/execution.h"
#include "core/jobs/quota.h"
#include "core/leader/leader_state.h"
#include "core/machines/machine.h"
#include "core/machines/machine_registry.h"
#include "core/scheduling/bind.h"
#include "core/scheduling/candidates.h"
#include "core/scheduling/placement.h"
#include "core/scheduling/replica_spread.h"

#include <math.h>

/* Added to the score for each replica of the same service on the machine, and in its zone, so that the loss
   of one affects few replicas. */
static const double SAME_MACHINE_S = 60;
static const double SAME_ZONE_S = 4;
/* Added to the score for each replica of any service on the machine, and the limit for all of them. */
static const double CROWDING_S = 0.2;
static const double CROWDING_LIMIT_S = 2;

/* How many more replicas the job's zone rules admit in each zone, by zone index. The caller frees the
   array. */
static GArray *admitted_by_zone(const struct ow_leader *leader, const struct ow_execution *execution)
{
    GArray *admitted = g_array_new(FALSE, FALSE, sizeof(uint32_t));
    for (int zone = 0; zone < ow_interner_count(leader->core->interners.zones); zone++) {
        uint32_t count = ow_placement_zone_admits(execution, zone);
        g_array_append_val(admitted, count);
    }
    return admitted;
}

/* Adds the crowding term, so that the loss of one machine affects few replicas of other services, too: of
   otherwise similar machines the one with fewer replicas is chosen. The limit is far below the cost of an
   image fetch. */
static void add_crowding_scores(GArray *candidates)
{
    for (guint i = 0; i < candidates->len; i++) {
        struct ow_candidate *candidate = &g_array_index(candidates, struct ow_candidate, i);
        const GPtrArray *attempts = candidate->machine->load.attempts;
        double crowding_s = 0;
        for (guint k = 0; k < attempts->len && crowding_s < CROWDING_LIMIT_S; k++) {
            const struct ow_attempt *attempt = g_ptr_array_index(attempts, k);
            if (ow_execution_is_service(attempt->job->execution))
                crowding_s += CROWDING_S;
        }
        candidate->score_s += MIN(crowding_s, CROWDING_LIMIT_S);
    }
}

/* The score of one more replica on the machine: the more replicas of its service are on the machine or in
   its zone, the higher. */
static double replica_score_s(const struct ow_replica_spread *spread, const struct ow_candidate *candidate)
{
    const struct ow_machine *machine = candidate->machine;
    return candidate->score_s + SAME_MACHINE_S * ow_replica_spread_on_machine(spread, machine) +
           SAME_ZONE_S * ow_replica_spread_in_zone(spread, machine->zone);
}

/* The candidate with the lowest score in a zone that admits a replica; NULL if there is none. */
static struct ow_candidate *best_candidate(const struct ow_replica_spread *spread, GArray *candidates,
                                           const GArray *admitted, int only_zone)
{
    struct ow_candidate *best = NULL;
    double lowest_score_s = INFINITY;
    for (guint i = 0; i < candidates->len; i++) {
        struct ow_candidate *candidate = &g_array_index(candidates, struct ow_candidate, i);
        int zone = candidate->machine->zone;
        if (only_zone != OW_NO_NAME && zone != only_zone)
            continue;
        if (candidate->slots == 0 || g_array_index(admitted, uint32_t, zone) == 0)
            continue;
        double score_s = replica_score_s(spread, candidate);
        if (score_s < lowest_score_s) {
            lowest_score_s = score_s;
            best = candidate;
        }
    }
    return best;
}

static void place_replica(struct ow_leader *leader, struct ow_execution *execution, uint64_t number,
                          struct ow_machine *machine)
{
    uint32_t task = ow_bind_next_pending_task(execution);
    g_info("replica placed: job=%s task=%u attempt=%" G_GUINT64_FORMAT " machine=%s", execution->job->id,
           task, number, machine->name);
    ow_bind_task(leader, execution, task, number, machine);
}

void ow_service_replicas_start(struct ow_leader *leader, struct ow_execution *execution)
{
    uint32_t wanted =
        ow_team_count_admitted(leader, execution->job->spec, ow_execution_count_pending(execution));
    if (wanted == 0)
        return;
    g_autoptr(GArray) candidates = ow_candidates_find(leader, execution);
    bool one_zone = execution->job->spec->submission->one_zone;
    int only_zone = one_zone ? ow_candidates_best_zone(execution, candidates) : OW_NO_NAME;
    uint64_t number = ow_execution_next_attempt(execution);
    g_auto(ow_replica_spread) spread = ow_replica_spread_of(execution);
    add_crowding_scores(candidates);
    for (; wanted > 0; wanted--) {
        g_autoptr(GArray) admitted = admitted_by_zone(leader, execution);
        struct ow_candidate *candidate = best_candidate(&spread, candidates, admitted, only_zone);
        if (candidate == NULL)
            break;
        candidate->slots--;
        ow_replica_spread_add(&spread, candidate->machine);
        place_replica(leader, execution, number, candidate->machine);
    }
}
