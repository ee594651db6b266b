#include "core/scheduling/candidates.h"

#include "core/jobs/execution.h"
#include "core/leader/leader_state.h"
#include "core/machines/machine.h"
#include "core/scheduling/placement.h"
#include "core/scheduling/placement_score.h"
#include "core/scheduling/preempt.h"
#include "core/scheduling/price_filter.h"
#include "core/scheduling/reservation.h"
#include "core/scheduling/shortlist.h"
#include "model/submission.h"

GArray *ow_candidates_new(void)
{
    return g_array_new(FALSE, FALSE, sizeof(struct ow_candidate));
}

static gint compare_candidates(gconstpointer a, gconstpointer b)
{
    const struct ow_candidate *first = a;
    const struct ow_candidate *second = b;
    /* Candidates without a conflict are preferred, whatever their score. */
    if (first->has_conflict != second->has_conflict)
        return first->has_conflict ? 1 : -1;
    if (first->score_s < second->score_s)
        return -1;
    return first->score_s > second->score_s ? 1 : 0;
}

GArray *ow_candidates_find(struct ow_leader *leader, const struct ow_execution *execution)
{
    GArray *candidates = ow_candidates_new();
    const struct ow_job_spec *spec = execution->job->spec;
    const GPtrArray *machines = ow_shortlist_find(leader, spec->class_index);
    bool only_cheap = ow_price_filter_applies(leader, execution);
    for (guint i = 0; i < machines->len; i++) {
        struct ow_machine *machine = g_ptr_array_index(machines, i);
        if (!ow_placement_is_eligible(leader, execution, machine))
            continue;
        uint32_t slots = ow_placement_slots(leader, spec, machine);
        if (slots == 0)
            continue;
        if (only_cheap && ow_price_filter_is_expensive(leader, machine))
            continue;
        struct ow_candidate candidate = {
            .machine = machine,
            .slots = slots,
            .score_s = ow_placement_score_s(leader, execution, machine),
            .has_conflict =
                ow_submission_is_gang(spec->submission) && ow_reservation_has_conflict(execution, machine),
        };
        g_array_append_val(candidates, candidate);
    }
    g_array_sort(candidates, compare_candidates);
    return candidates;
}

/* Inserts the candidate after all whose score is not higher. */
static void insert_by_score(GArray *candidates, const struct ow_candidate *candidate)
{
    guint index = 0;
    while (index < candidates->len &&
           g_array_index(candidates, struct ow_candidate, index).score_s <= candidate->score_s)
        index++;
    g_array_insert_vals(candidates, index, candidate, 1);
}

GArray *ow_candidates_find_with_preemption(struct ow_leader *leader, const struct ow_execution *execution)
{
    GArray *candidates = ow_candidates_new();
    const struct ow_job_spec *spec = execution->job->spec;
    const GPtrArray *machines = ow_shortlist_find_with_preemption(leader, spec->class_index);
    for (guint i = 0; i < machines->len; i++) {
        struct ow_machine *machine = g_ptr_array_index(machines, i);
        if (!ow_placement_is_eligible(leader, execution, machine))
            continue;
        uint32_t slots = MIN(ow_preempt_slots(leader, execution, machine), execution->count);
        if (slots == 0)
            continue;
        double score_s = ow_placement_score_s(leader, execution, machine);
        score_s += ow_preempt_loss_s(leader, execution, machine, slots);
        struct ow_candidate candidate = {.machine = machine, .slots = slots, .score_s = score_s};
        insert_by_score(candidates, &candidate);
    }
    return candidates;
}

static uint64_t slots_in_zone(const GArray *candidates, int zone)
{
    uint64_t slots = 0;
    for (guint i = 0; i < candidates->len; i++) {
        const struct ow_candidate *candidate = &g_array_index(candidates, struct ow_candidate, i);
        if (candidate->machine->zone == zone)
            slots += candidate->slots;
    }
    return slots;
}

int ow_candidates_best_zone(const struct ow_execution *execution, const GArray *candidates)
{
    int best_zone = OW_NO_NAME;
    uint64_t most_slots = 0;
    for (guint i = 0; i < candidates->len; i++) {
        int zone = g_array_index(candidates, struct ow_candidate, i).machine->zone;
        if (ow_placement_zone_admits(execution, zone) == 0)
            continue;
        uint64_t slots = slots_in_zone(candidates, zone);
        if (slots > most_slots) {
            most_slots = slots;
            best_zone = zone;
        }
    }
    return best_zone;
}
