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

/* Whether other work may be stopped for the execution at all. */
static bool may_preempt(const struct ow_leader *leader, const struct ow_execution *execution)
{
    const struct ow_submission *submission = execution->job->spec->submission;
    if (submission->rank == OW_RANK_LOW && !ow_quota_may_reclaim(leader, execution))
        return false;
    return ow_execution_is_service(execution) || (!submission->one_zone && !submission->spread);
}

/* The zone where stopping less urgent work makes most capacity for tasks that must stay together. */
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

/* Replicas the zone still admits, given the zones (int) of the slots that were made in this cycle. */
static uint32_t zone_still_admits(const struct ow_execution *execution, const GArray *made_zones, int zone)
{
    uint32_t admitted = ow_placement_zone_admits(execution, zone);
    for (guint i = 0; i < made_zones->len && admitted > 0; i++) {
        if (g_array_index(made_zones, int, i) == zone)
            admitted--;
    }
    return admitted;
}

/* How many tasks to make capacity for on one machine in the zone. Replicas are kept apart: a machine of its
   own for each, if need be. */
static uint32_t slots_wanted(const struct ow_execution *execution, const GArray *made_zones, int zone,
                             uint32_t wanted)
{
    if (!ow_execution_is_service(execution))
        return wanted;
    return MIN(zone_still_admits(execution, made_zones, zone), 1);
}

/* Stops work on the machine for up to `wanted` tasks; returns for how many there will be capacity. */
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
    g_autoptr(GArray) made_zones = g_array_new(FALSE, FALSE, sizeof(int));
    for (guint i = 0; i < machines->len && wanted > 0; i++) {
        struct ow_machine *machine = g_ptr_array_index(machines, i);
        if (!ow_placement_is_eligible(leader, execution, machine))
            continue;
        if (only_zone != OW_NO_NAME && machine->zone != only_zone)
            continue;
        uint32_t limit = slots_wanted(execution, made_zones, machine->zone, wanted);
        uint32_t made = preempt_on(leader, execution, machine, limit);
        if (made > 0)
            g_array_append_val(made_zones, machine->zone);
        wanted -= made;
    }
}
