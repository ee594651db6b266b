#include "core/scheduling/gang_selection.h"

#include "core/jobs/execution.h"
#include "core/machines/machine.h"
#include "core/scheduling/candidates.h"
#include "core/scheduling/placement.h"
#include "model/submission.h"

#include <math.h>

/* A selection under evaluation. */
struct selection {
    GArray *picks; /* struct ow_gang_pick */
    uint32_t members_left;
    double score_s; /* the sum of the members' scores */
};

GArray *ow_gang_selection_new(void)
{
    return g_array_new(FALSE, FALSE, sizeof(struct ow_gang_pick));
}

/* How many more members the zone rules admit in the zone, given the picks so far. */
static uint32_t zone_admits(const struct ow_execution *execution, const GArray *picks, int zone,
                            int only_zone)
{
    const struct ow_submission *submission = execution->job->spec->submission;
    if (submission->one_zone && only_zone != OW_NO_NAME && zone != only_zone)
        return 0;
    uint32_t admits = ow_placement_zone_admits(execution, zone);
    if (!submission->spread)
        return admits;
    for (guint i = 0; i < picks->len; i++) {
        const struct ow_gang_pick *pick = &g_array_index(picks, struct ow_gang_pick, i);
        if (pick->machine->zone == zone)
            admits = admits > pick->members ? admits - pick->members : 0;
    }
    return admits;
}

/* Picks machines for as many members as possible, taking the candidates in their order. */
static struct selection select_in_order(const struct ow_execution *execution, const GArray *candidates,
                                        int only_zone)
{
    struct selection selection = {.picks = ow_gang_selection_new(), .members_left = execution->count};
    for (guint i = 0; i < candidates->len && selection.members_left > 0; i++) {
        const struct ow_candidate *candidate = &g_array_index(candidates, struct ow_candidate, i);
        uint32_t admitted = zone_admits(execution, selection.picks, candidate->machine->zone, only_zone);
        uint32_t members = MIN(selection.members_left, MIN(candidate->slots, admitted));
        if (members == 0)
            continue;
        struct ow_gang_pick pick = {.machine = candidate->machine, .members = members};
        g_array_append_val(selection.picks, pick);
        selection.score_s += members * candidate->score_s;
        selection.members_left -= members;
    }
    return selection;
}

static bool is_better(const struct selection *selection, const struct selection *best)
{
    if (selection->members_left != best->members_left)
        return selection->members_left < best->members_left;
    return selection->score_s < best->score_s;
}

/* Copies `selection` to `best` if it is better. Frees the picks of `selection` in either case. */
static void keep_if_better(struct selection *best, struct selection *selection)
{
    if (is_better(selection, best)) {
        best->members_left = selection->members_left;
        best->score_s = selection->score_s;
        g_array_set_size(best->picks, 0);
        g_array_append_vals(best->picks, selection->picks->data, selection->picks->len);
    }
    g_array_free(selection->picks, TRUE);
}

/* Whether one of the first `end` candidates is in the zone: the zone has been tried already. */
static bool is_zone_before(const GArray *candidates, guint end, int zone)
{
    for (guint i = 0; i < end; i++) {
        if (g_array_index(candidates, struct ow_candidate, i).machine->zone == zone)
            return true;
    }
    return false;
}

uint32_t ow_gang_selection_choose(const struct ow_execution *execution, const GArray *candidates,
                                  GArray *picks)
{
    struct selection best = {.picks = picks, .members_left = execution->count + 1, .score_s = INFINITY};
    if (!execution->job->spec->submission->one_zone || candidates->len == 0) {
        struct selection selection = select_in_order(execution, candidates, OW_NO_NAME);
        keep_if_better(&best, &selection);
        return best.members_left;
    }
    for (guint i = 0; i < candidates->len; i++) {
        int zone = g_array_index(candidates, struct ow_candidate, i).machine->zone;
        if (zone != OW_NO_NAME && is_zone_before(candidates, i, zone))
            continue;
        struct selection selection = select_in_order(execution, candidates, zone);
        keep_if_better(&best, &selection);
    }
    return best.members_left;
}
