/* Holds of waiting gangs.
 *
 * The members of a gang are alike, so their candidate lists have the same machines in the same order; a
 * machine stands in as many lists as it has room for members. The window closes as soon as every member
 * has a candidate, which in our own picture is often at once. */
#include "core/scheduling/reservation.h"
#include "core/leader_state.h"
#include "core/machines/machine.h"
#include "core/run.h"
#include "core/scheduling/candidates.h"
#include "core/scheduling/placement.h"
#include "core/scheduling/placement_cost.h"
#include "core/scheduling/preempt.h"
#include "core/scheduling/shortlist.h"

#include <math.h>

/* Room for one member of a gang on a machine. */
struct ow_hold {
    struct ow_machine *machine;
    uint32_t member;
    bool picked; /* what the gang would start on, if there were enough of it; else a further candidate */
    double made_at;
};

static const double STOPS_GAP_S = 0.5;

struct pick {
    struct ow_machine *machine;
    uint32_t count;
};

static struct ow_reservation *reservation_of(struct ow_leader *leader, struct ow_run *run)
{
    if (run->reservation == NULL) {
        struct ow_reservation *r = g_new0(struct ow_reservation, 1);
        r->opened_at = r->short_since = leader->controller->now;
        r->holds = g_array_new(FALSE, FALSE, sizeof(struct ow_hold));
        run->reservation = r;
    }
    return run->reservation;
}

static bool holds_on(const struct ow_reservation *r, const struct ow_machine *m)
{
    for (guint i = 0; r != NULL && i < r->holds->len; i++)
        if (g_array_index(r->holds, struct ow_hold, i).machine == m)
            return true;
    return false;
}

bool ow_reservation_conflicts(const struct ow_run *run, const struct ow_machine *m)
{
    return m->holders > (holds_on(run->reservation, m) ? 1 : 0);
}

static void drop_hold(struct ow_reservation *r, guint index)
{
    struct ow_machine *m = g_array_index(r->holds, struct ow_hold, index).machine;
    g_array_remove_index_fast(r->holds, index);
    m->holders -= holds_on(r, m) ? 0 : 1;
}

static void drop_holds(struct ow_reservation *r)
{
    while (r->holds->len > 0)
        drop_hold(r, r->holds->len - 1);
}

void ow_reservation_forget(struct ow_reservation *r, const struct ow_machine *m)
{
    for (guint i = r != NULL ? r->holds->len : 0; i > 0; i--)
        if (g_array_index(r->holds, struct ow_hold, i - 1).machine == m)
            drop_hold(r, i - 1);
}

void ow_reservation_free(struct ow_reservation *r)
{
    if (r == NULL)
        return;
    drop_holds(r);
    g_array_free(r->holds, TRUE);
    g_free(r);
}

/* How many members a zone rule admits on this machine, beside those picked already. */
static uint32_t zone_admits(const struct ow_run *run, const GArray *picks, int zone, int only)
{
    const struct ow_submission *s = run->job->spec->submission;
    if (s->one_zone && only != OW_NO_NAME && zone != only)
        return 0;
    uint32_t admits = ow_placement_zone_admits(run, zone);
    if (!s->spread)
        return admits;
    for (guint i = 0; i < picks->len; i++) {
        const struct pick *p = &g_array_index(picks, struct pick, i);
        if (p->machine->zone == zone)
            admits = admits > p->count ? admits - p->count : 0;
    }
    return admits;
}

/* Picks machines for as many members as the candidates have, in their order; returns how many are left. */
static uint32_t pick_members(const struct ow_run *run, const GArray *candidates, int only, GArray *picks,
                             double *cost)
{
    uint32_t left = run->count;
    *cost = 0;
    for (guint i = 0; i < candidates->len && left > 0; i++) {
        const struct ow_candidate *candidate = &g_array_index(candidates, struct ow_candidate, i);
        uint32_t n =
            MIN(left, MIN(candidate->slots, zone_admits(run, picks, candidate->machine->zone, only)));
        if (n == 0)
            continue;
        struct pick p = {candidate->machine, n};
        g_array_append_val(picks, p);
        *cost += n * candidate->cost;
        left -= n;
    }
    return left;
}

static bool zone_before(const GArray *candidates, guint end, int zone)
{
    for (guint i = 0; i < end; i++)
        if (g_array_index(candidates, struct ow_candidate, i).machine->zone == zone)
            return true;
    return false;
}

/* The best pick over the zones if the gang must stay in one; fewest members left, then cheapest. */
static uint32_t best_pick(const struct ow_run *run, const GArray *candidates, GArray *out)
{
    uint32_t best_left = run->count + 1;
    double best_cost = INFINITY;
    bool one_zone = run->job->spec->submission->one_zone;
    for (guint i = 0; i < MAX(candidates->len, 1); i++) {
        int only = one_zone && candidates->len > 0
                       ? g_array_index(candidates, struct ow_candidate, i).machine->zone
                       : OW_NO_NAME;
        if (only != OW_NO_NAME && zone_before(candidates, i, only))
            continue;
        GArray *picks = g_array_new(FALSE, FALSE, sizeof(struct pick));
        double cost = 0;
        uint32_t left = pick_members(run, candidates, only, picks, &cost);
        if (left < best_left || (left == best_left && cost < best_cost)) {
            best_left = left;
            best_cost = cost;
            g_array_set_size(out, 0);
            g_array_append_vals(out, picks->data, picks->len);
        }
        g_array_free(picks, TRUE);
        if (!one_zone)
            break;
    }
    return best_left;
}

static void start_all(struct ow_leader *leader, struct ow_run *run, const GArray *picks)
{
    uint64_t number = 0;
    uint32_t task = 0;
    for (uint32_t c = 0; c < run->chunk_count; c++)
        number = MAX(number, run->chunks[c].last_attempt + 1);
    for (guint i = 0; i < picks->len; i++) {
        const struct pick *p = &g_array_index(picks, struct pick, i);
        for (uint32_t n = 0; n < p->count; n++)
            ow_placement_start_task(leader, run, task++, number, p->machine);
    }
    g_info("gang %s: all %u members start in one round, attempt %" G_GUINT64_FORMAT, run->job->id, run->count,
           number);
    /* Holds that were not picked are cancelled with the reservation. */
    g_clear_pointer(&run->reservation, ow_reservation_free);
}

static void add_hold(struct ow_reservation *r, struct ow_machine *m, uint32_t member, bool picked, double now)
{
    for (guint k = 0; k < r->holds->len; k++) {
        const struct ow_hold *old = &g_array_index(r->holds, struct ow_hold, k);
        if (old->member == member && old->machine == m)
            return;
    }
    m->holders += holds_on(r, m) ? 0 : 1;
    struct ow_hold h = {m, member, picked, now};
    g_array_append_val(r->holds, h);
}

static void drop_old_holds(struct ow_leader *leader, struct ow_reservation *r)
{
    for (guint k = r->holds->len; k > 0; k--)
        if (leader->controller->now - g_array_index(r->holds, struct ow_hold, k - 1).made_at >=
            leader->controller->rules->hold_life_s)
            drop_hold(r, k - 1);
}

/* Each member holds what is picked for it now, and nothing else: a hold left over from an earlier pick would
   keep room from everybody. */
static void hold(struct ow_leader *leader, struct ow_run *run, const GArray *picks)
{
    uint32_t member = 0;
    drop_holds(run->reservation);
    for (guint i = 0; i < picks->len; i++) {
        const struct pick *p = &g_array_index(picks, struct pick, i);
        for (uint32_t n = 0; n < p->count; n++, member++)
            add_hold(run->reservation, p->machine, member, true, leader->controller->now);
    }
}

/* While the window is open every member collects further candidates. */
static void collect(struct ow_leader *leader, struct ow_run *run, const GArray *candidates)
{
    struct ow_reservation *r = run->reservation;
    for (uint32_t member = 0; member < run->count && member < candidates->len; member++)
        for (guint i = 0; i < candidates->len && i < leader->controller->rules->candidates; i++)
            add_hold(r, g_array_index(candidates, struct ow_candidate, i).machine, member, false,
                     leader->controller->now);
}

/* Candidates as they would be after stopping what may be stopped, in the order of what that costs. */
static GArray *candidates_after_stops(struct ow_leader *leader, const struct ow_run *run)
{
    GArray *candidates = g_array_new(FALSE, FALSE, sizeof(struct ow_candidate));
    const struct ow_spec *spec = run->job->spec;
    const GPtrArray *machines = ow_shortlist_with_preemption(leader, spec->class_index);
    for (guint i = 0; i < machines->len; i++) {
        struct ow_machine *m = g_ptr_array_index(machines, i);
        if (!ow_placement_is_permitted(leader, run, m))
            continue;
        uint32_t slots = MIN(ow_preempt_slots(leader, spec, m), run->count);
        if (slots == 0)
            continue;
        double cost = ow_placement_cost(leader, run, m) + ow_preempt_loss(leader, spec, m, slots);
        struct ow_candidate candidate = {m, slots, cost, false};
        guint at = 0;
        while (at < candidates->len && g_array_index(candidates, struct ow_candidate, at).cost <= cost)
            at++;
        g_array_insert_val(candidates, at, candidate);
    }
    return candidates;
}

/* Holds for every member on room that lower work is stopped for. */
static bool make_room(struct ow_leader *leader, struct ow_run *run)
{
    GArray *candidates = candidates_after_stops(leader, run);
    GArray *picks = g_array_new(FALSE, FALSE, sizeof(struct pick));
    bool all = best_pick(run, candidates, picks) == 0;
    for (guint i = 0; all && i < picks->len; i++) {
        const struct pick *p = &g_array_index(picks, struct pick, i);
        ow_preempt_make_room(leader, run, p->machine, p->count);
    }
    if (all)
        hold(leader, run, picks); /* every member has its machine: the other holds are cancelled */
    g_array_free(picks, TRUE);
    g_array_free(candidates, TRUE);
    return all;
}

static void stay_short(struct ow_leader *leader, struct ow_run *run, const GArray *candidates,
                       const GArray *picks)
{
    struct ow_reservation *r = run->reservation;
    double now = leader->controller->now, limit = leader->controller->rules->waiting_limit_s;
    if (now < r->opened_at + leader->controller->rules->window_s) {
        hold(leader, run, picks);
        collect(leader, run, candidates);
        return;
    }
    if (!r->closed) {
        r->closed = true;
        r->short_since = now;
    }
    if (!r->given_up && now - r->short_since > limit) {
        r->given_up = true;
        r->again_at = now + limit / 4;
        drop_holds(r);
        g_info("gang %s: holds dropped after %.0f s, its place is kept", run->job->id, limit);
    }
    if (r->given_up && now < r->again_at)
        return;
    if (r->given_up) {
        r->given_up = false;
        r->short_since = now;
    }
    hold(leader, run, picks);
}

/* Stopping work is weighed again only after a while; until then what was picked stays held. */
static bool stops_pending(const struct ow_leader *leader, const struct ow_reservation *r)
{
    return leader->controller->now < r->stops_at + STOPS_GAP_S;
}

void ow_reservation_try(struct ow_leader *leader, struct ow_run *run)
{
    struct ow_reservation *r = reservation_of(leader, run);
    drop_old_holds(leader, r);
    /* Rule 4: nothing of a gang starts while an earlier attempt is not accounted for. */
    if (run->attempts->len > 0 || ow_team_admits(leader, run->job->spec, run->count) < run->count)
        return;
    GArray *candidates = ow_candidates_find(leader, run);
    GArray *picks = g_array_new(FALSE, FALSE, sizeof(struct pick));
    if (best_pick(run, candidates, picks) == 0) {
        start_all(leader, run, picks);
    } else if (!(r->stops && stops_pending(leader, r))) {
        if (!stops_pending(leader, r)) {
            r->stops = make_room(leader, run);
            r->stops_at = leader->controller->now;
        }
        if (!r->stops)
            stay_short(leader, run, candidates, picks);
    }
    g_array_free(picks, TRUE);
    g_array_free(candidates, TRUE);
}

/* A gang behind in the queue that can start at once may take room from one that is short: a held room is
   taken if there is no other, and a large gang would else idle a zone while it fills. Only what work is
   stopped for is a gang's own, and what a starving one holds: others that starve, smaller, would pass it for
   ever. */
void ow_reservation_apply_holds(const struct ow_run *run)
{
    if (run->reservation == NULL)
        return;
    const struct ow_amounts *need = &run->job->spec->submission->need;
    bool firm = run->reservation->stops || run->starves;
    for (guint i = 0; i < run->reservation->holds->len; i++) {
        const struct ow_hold *h = &g_array_index(run->reservation->holds, struct ow_hold, i);
        if (h->picked)
            ow_amounts_add(firm ? &h->machine->held : &h->machine->held_for_gangs, need, 1);
    }
}
