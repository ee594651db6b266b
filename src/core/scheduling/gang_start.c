#include "core/scheduling/gang_start.h"

#include "core/jobs/execution.h"
#include "core/jobs/quota.h"
#include "core/leader/leader_state.h"
#include "core/machines/machine.h"
#include "core/scheduling/bind.h"
#include "core/scheduling/candidates.h"
#include "core/scheduling/gang_hold_priority.h"
#include "core/scheduling/gang_selection.h"
#include "core/scheduling/preempt.h"
#include "core/scheduling/reservation.h"
#include "model/resources.h"

/* Shortest interval between two decisions on preemption for a gang. */
static const double PREEMPTION_INTERVAL_S = 0.5;
/* Time after which a suspended gang holds capacity again, as a share of the waiting limit. */
static const double RESUME_SHARE_OF_LIMIT = 0.25;

/* ---- holds ---- */

/* Replaces all holds by the current selection. A hold left over from an earlier selection would block
   capacity that nobody uses. */
static void hold_picks(const struct ow_leader *leader, struct ow_reservation *reservation,
                       const GArray *picks)
{
    uint32_t member = 0;
    ow_reservation_drop_holds(reservation);
    for (guint i = 0; i < picks->len; i++) {
        const struct ow_gang_pick *pick = &g_array_index(picks, struct ow_gang_pick, i);
        for (uint32_t n = 0; n < pick->members; n++) {
            ow_reservation_add_hold(reservation, pick->machine, member, OW_HOLD_SELECTED, leader->core->now);
            member++;
        }
    }
}

/* Adds the further candidates that members collect while the window is open. The members of a gang are
   identical, so their lists have the same machines in the same order; there are at most as many lists as
   candidates. */
static void collect_candidates(const struct ow_leader *leader, struct ow_execution *execution,
                               const GArray *candidates)
{
    guint members = MIN(execution->count, candidates->len);
    guint limit = MIN(candidates->len, leader->core->tuning->candidates);
    for (guint member = 0; member < members; member++) {
        for (guint i = 0; i < limit; i++) {
            struct ow_machine *machine = g_array_index(candidates, struct ow_candidate, i).machine;
            ow_reservation_add_hold(execution->reservation, machine, member, OW_HOLD_CANDIDATE,
                                    leader->core->now);
        }
    }
}

/* ---- attempt to start ---- */

/* The commit of docs/design/paper.md: every member starts on its selected machine, in one round with one
   attempt number. */
static void start_all(struct ow_leader *leader, struct ow_execution *execution, const GArray *picks)
{
    uint64_t attempt = ow_execution_next_attempt(execution);
    uint32_t task = 0;
    for (guint i = 0; i < picks->len; i++) {
        const struct ow_gang_pick *pick = &g_array_index(picks, struct ow_gang_pick, i);
        for (uint32_t n = 0; n < pick->members; n++) {
            ow_bind_task(leader, execution, task, attempt, pick->machine);
            task++;
        }
    }
    g_info("gang starts in one round: job=%s tasks=%u attempt=%" G_GUINT64_FORMAT, execution->job->id,
           execution->count, attempt);
    /* Freeing the reservation also cancels the holds that were not selected. */
    g_clear_pointer(&execution->reservation, ow_reservation_free);
}

/* Stops less urgent work if that frees capacity for every member, and holds that capacity; returns whether it
   does. */
static bool preempt_for_all(struct ow_leader *leader, struct ow_execution *execution)
{
    g_autoptr(GArray) candidates = ow_candidates_find_with_preemption(leader, execution);
    g_autoptr(GArray) picks = ow_gang_selection_new();
    if (ow_gang_selection_choose(execution, candidates, picks) > 0)
        return false;
    for (guint i = 0; i < picks->len; i++) {
        const struct ow_gang_pick *pick = &g_array_index(picks, struct ow_gang_pick, i);
        ow_preempt_free_slots(leader, execution, pick->machine, pick->members);
    }
    /* Every member has a machine now; the other holds are cancelled. */
    hold_picks(leader, execution->reservation, picks);
    return true;
}

/* Suspends a gang that has been short of capacity for longer than the waiting limit: drops its holds. */
static void suspend_after_limit(const struct ow_leader *leader, struct ow_execution *execution)
{
    struct ow_reservation *reservation = execution->reservation;
    double now = leader->core->now;
    double limit_s = leader->core->tuning->waiting_limit_s;
    if (reservation->is_suspended || now - reservation->short_since <= limit_s)
        return;
    reservation->is_suspended = true;
    reservation->resume_at = now + RESUME_SHARE_OF_LIMIT * limit_s;
    ow_reservation_drop_holds(reservation);
    g_info("gang holds dropped at the waiting limit: job=%s wait_s=%.0f", execution->job->id, limit_s);
}

/* Updates the holds of a gang with members for which no machine was selected. */
static void hold_while_short(const struct ow_leader *leader, struct ow_execution *execution,
                             const GArray *candidates, const GArray *picks)
{
    struct ow_reservation *reservation = execution->reservation;
    double now = leader->core->now;
    if (now < reservation->window_opened_at + leader->core->tuning->window_s) {
        hold_picks(leader, reservation, picks);
        collect_candidates(leader, execution, candidates);
        return;
    }
    if (!reservation->is_window_closed) {
        reservation->is_window_closed = true;
        reservation->short_since = now;
    }
    suspend_after_limit(leader, execution);
    if (reservation->is_suspended && now < reservation->resume_at)
        return;
    if (reservation->is_suspended) {
        reservation->is_suspended = false;
        reservation->short_since = now;
    }
    hold_picks(leader, reservation, picks);
}

/* Stops work for a gang that is short of capacity, or updates its holds if stopping work would not free
   enough. */
static void wait_for_capacity(struct ow_leader *leader, struct ow_execution *execution,
                              const GArray *candidates, const GArray *picks)
{
    struct ow_reservation *reservation = execution->reservation;
    double now = leader->core->now;
    /* The selection made with preemption stays held until preemption is considered again. */
    bool was_considered_recently = now < reservation->preemption_considered_at + PREEMPTION_INTERVAL_S;
    if (was_considered_recently && reservation->is_preempting)
        return;
    if (!was_considered_recently) {
        reservation->is_preempting = preempt_for_all(leader, execution);
        reservation->preemption_considered_at = now;
    }
    if (!reservation->is_preempting)
        hold_while_short(leader, execution, candidates, picks);
}

void ow_gang_start_try(struct ow_leader *leader, struct ow_execution *execution)
{
    struct ow_reservation *reservation = ow_reservation_find_or_add(leader, execution);
    ow_reservation_drop_expired_holds(leader, reservation);
    /* Safety rule 4: nothing of a gang starts while an earlier attempt may still exist. */
    if (execution->attempts->len > 0)
        return;
    if (ow_team_count_admitted(leader, execution->job->spec, execution->count) < execution->count)
        return;
    g_autoptr(GArray) candidates = ow_candidates_find(leader, execution);
    g_autoptr(GArray) picks = ow_gang_selection_new();
    /* The window ends early when every member has a candidate. The leader knows the whole fleet, so this is
       often the case at once. */
    if (ow_gang_selection_choose(execution, candidates, picks) == 0)
        start_all(leader, execution, picks);
    else
        wait_for_capacity(leader, execution, candidates, picks);
}

/* Whether other gangs are excluded from what the gang holds, too: work is being stopped for it, or it is
   starving, since smaller starving gangs would otherwise overtake it indefinitely, or it has priority. */
static bool claim_exclusive_holds(struct ow_leader *leader, const struct ow_execution *execution)
{
    return execution->reservation->is_preempting || execution->is_starving ||
           ow_gang_hold_priority_claim(leader, execution);
}

/* By default a later gang that can start at once may take capacity from one that is short: as in
   docs/design/paper.md, a candidate in conflict is taken if there is no other. Otherwise a large gang would
   leave a zone idle while it waits for its remaining capacity. */
void ow_gang_start_subtract_holds(struct ow_leader *leader, const struct ow_execution *execution)
{
    if (execution->reservation == NULL)
        return;
    const struct ow_resources *need = &execution->job->spec->submission->need;
    bool exclusive = claim_exclusive_holds(leader, execution);
    for (guint i = 0; i < execution->reservation->holds->len; i++) {
        const struct ow_hold *hold = &g_array_index(execution->reservation->holds, struct ow_hold, i);
        if (hold->kind != OW_HOLD_SELECTED)
            continue;
        struct ow_machine *machine = hold->machine;
        ow_resources_add(exclusive ? &machine->cycle.held : &machine->cycle.held_for_gangs, need, 1);
    }
}
