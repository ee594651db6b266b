#include "core/scheduling/array_preemption.h"

#include "core/jobs/execution.h"
#include "core/jobs/quota.h"
#include "core/leader/leader_state.h"
#include "core/machines/machine.h"
#include "core/scheduling/candidates.h"
#include "core/scheduling/placement.h"
#include "core/scheduling/preempt.h"
#include "core/scheduling/quota_reclaim.h"
#include "core/scheduling/shortlist.h"
#include "model/resources.h"
#include "model/submission.h"

/* Whether work may be stopped for the execution at all: low rank only reclaims quota, and arrays with zone
   rules never preempt. */
static bool may_preempt(const struct ow_leader *leader, const struct ow_execution *execution)
{
    const struct ow_submission *submission = execution->job->spec->submission;
    if (submission->rank == OW_RANK_LOW && !ow_quota_may_reclaim(leader, execution))
        return false;
    return ow_execution_is_service(execution) || (!submission->one_zone && !submission->spread);
}

/* The zone in which preemption gives most slots, for tasks that must be in one zone. */
static int best_zone_with_preemption(struct ow_leader *leader, const struct ow_execution *execution,
                                     const GPtrArray *machines)
{
    g_autoptr(GArray) candidates = ow_candidates_new();
    for (guint i = 0; i < machines->len; i++) {
        struct ow_machine *machine = g_ptr_array_index(machines, i);
        if (!ow_placement_is_eligible(leader, execution, machine))
            continue;
        struct ow_candidate candidate = {
            .machine = machine,
            .slots = ow_preempt_slots(leader, execution, machine),
        };
        g_array_append_val(candidates, candidate);
    }
    return ow_candidates_best_zone(execution, candidates);
}

/* How many more replicas the zone admits, given the zones (int) of the slots freed in this cycle. */
static uint32_t zone_still_admits(const struct ow_execution *execution, const GArray *freed_zones, int zone)
{
    uint32_t admitted = ow_placement_zone_admits(execution, zone);
    for (guint i = 0; i < freed_zones->len && admitted > 0; i++) {
        if (g_array_index(freed_zones, int, i) == zone)
            admitted--;
    }
    return admitted;
}

/* How many slots to free on one machine in the zone. Replicas are kept apart: at most one slot on each
   machine. */
static uint32_t slots_to_free(const struct ow_execution *execution, const GArray *freed_zones, int zone,
                              uint32_t wanted)
{
    if (!ow_execution_is_service(execution))
        return wanted;
    return MIN(zone_still_admits(execution, freed_zones, zone), 1);
}

/* Stops work on the machine to free up to `wanted` slots, and holds them; returns how many. */
static uint32_t preempt_on(struct ow_leader *leader, const struct ow_execution *execution,
                           struct ow_machine *machine, uint32_t wanted)
{
    const struct ow_job_spec *spec = execution->job->spec;
    uint32_t slots = MIN(wanted, ow_preempt_slots(leader, execution, machine));
    if (slots == 0 || !ow_preempt_free_slots(leader, execution, machine, slots))
        return 0;
    ow_resources_add(&machine->cycle.held, &spec->submission->need, slots);
    return slots;
}

void ow_array_preempt(struct ow_leader *leader, struct ow_execution *execution)
{
    if (!may_preempt(leader, execution))
        return;
    const struct ow_job_spec *spec = execution->job->spec;
    uint32_t wanted = ow_team_count_admitted(leader, spec, ow_execution_count_pending(execution));
    const GPtrArray *machines = ow_shortlist_find_with_preemption(leader, spec->class_index);
    int only_zone =
        spec->submission->one_zone ? best_zone_with_preemption(leader, execution, machines) : OW_NO_NAME;
    g_autoptr(GArray) freed_zones = g_array_new(FALSE, FALSE, sizeof(int));
    for (guint i = 0; i < machines->len && wanted > 0; i++) {
        struct ow_machine *machine = g_ptr_array_index(machines, i);
        if (!ow_placement_is_eligible(leader, execution, machine))
            continue;
        if (only_zone != OW_NO_NAME && machine->zone != only_zone)
            continue;
        uint32_t limit = slots_to_free(execution, freed_zones, machine->zone, wanted);
        uint32_t freed = preempt_on(leader, execution, machine, limit);
        if (freed > 0)
            g_array_append_val(freed_zones, machine->zone);
        wanted -= freed;
    }
}
