/* Stopping work to make room, where the rules allow it: the cheapest loss first. */
#include "core/scheduling/preempt.h"
#include "core/leader_state.h"
#include "core/machines/machine.h"
#include "core/run.h"
#include "core/scheduling/placement.h"
#include "core/teams.h"

#include <math.h>

/* Time that a stop and its report take beside the saving itself. */
static const double GRACE_MARGIN_S = 2;
/* What it counts that one more job is hurt: a job is late with its last task. */
static const double JOB_LOSS_S = 500;

/* Lower ranks may be stopped for higher ones. What another team runs beyond its guarantee may be stopped to
   give a team its own; we do so for work at least as urgent as what is stopped. */
static bool may_stop(const struct ow_leader *leader, const struct ow_spec *spec, const struct ow_attempt *at)
{
    const struct ow_spec *other = at->job->spec;
    if (at->session != at->machine->session || at->not_preemptible)
        return false;
    if (other->submission->rank > spec->submission->rank)
        return true;
    return other->submission->rank == spec->submission->rank && other->team != spec->team &&
           leader->teams.entitled[spec->team] && leader->teams.borrows[other->team] &&
           ow_team_covers(leader, spec->team, &spec->submission->need) &&
           ow_team_covers(leader, other->team, &other->submission->need);
}

/* Seconds of one task's work that stopping it now throws away. */
static double loss_s(const struct ow_leader *leader, const struct ow_attempt *at)
{
    const struct ow_submission *s = at->job->spec->submission;
    /* A fetch given up has to begin anew. */
    if (at->running_at == 0)
        return leader->controller->now - at->placed_at;
    double ran = leader->controller->now - at->running_at;
    return s->checkpoint_s > 0 ? MIN(ran, s->save_s) : ran;
}

/* A slice of free room as it would be with some attempts gone. */
static uint32_t slots_without(const struct ow_leader *leader, const struct ow_spec *spec,
                              const struct ow_machine *m, const struct ow_amounts *gone)
{
    struct ow_amounts used = m->used;
    ow_amounts_add(&used, gone, -1);
    return ow_placement_slots_beside(leader, spec, m, &used);
}

static void add_need(struct ow_amounts *sum, const struct ow_attempt *at)
{
    ow_amounts_add(sum, &at->job->spec->submission->need, 1);
}

int ow_preempt_top_rank(const struct ow_leader *leader, const struct ow_spec *spec)
{
    int rank = (int)spec->submission->rank;
    return leader->teams.entitled[spec->team] && ow_team_covers(leader, spec->team, &spec->submission->need)
               ? rank
               : rank + 1;
}

uint32_t ow_preempt_slots_upper_bound(const struct ow_leader *leader, const struct ow_spec *spec,
                                      const struct ow_machine *m, int from)
{
    struct ow_amounts most = m->stopping;
    for (int rank = from; rank <= OW_RANK_LOW; rank++)
        ow_amounts_add(&most, &m->used_by[rank], 1);
    return slots_without(leader, spec, m, &most);
}

uint32_t ow_preempt_slots(const struct ow_leader *leader, const struct ow_spec *spec,
                          const struct ow_machine *m)
{
    struct ow_amounts gone = {0};
    /* Most machines are full of work that may not be stopped: they are not to cost a walk over it. */
    if (ow_preempt_slots_upper_bound(leader, spec, m, ow_preempt_top_rank(leader, spec)) == 0)
        return 0;
    for (guint i = 0; i < m->attempts->len; i++) {
        const struct ow_attempt *at = g_ptr_array_index(m->attempts, i);
        if (at->stop || may_stop(leader, spec, at))
            add_need(&gone, at);
    }
    return slots_without(leader, spec, m, &gone);
}

struct victim {
    struct ow_attempt *attempt;
    double loss;
};

static gint by_loss(gconstpointer a, gconstpointer b)
{
    const struct victim *x = a, *y = b;
    return x->loss < y->loss ? -1 : x->loss > y->loss;
}

/* The victims that make room, or NULL if none do. Work already being stopped comes first and is free. */
static GArray *choose_victims(const struct ow_leader *leader, const struct ow_spec *spec,
                              const struct ow_machine *m, uint32_t slots)
{
    GArray *all = g_array_new(FALSE, FALSE, sizeof(struct victim));
    struct ow_amounts gone = {0};
    for (guint i = 0; i < m->attempts->len; i++) {
        struct ow_attempt *at = g_ptr_array_index(m->attempts, i);
        struct victim v = {at, loss_s(leader, at)};
        if (at->stop)
            add_need(&gone, at);
        else if (may_stop(leader, spec, at))
            g_array_append_val(all, v);
    }
    g_array_sort(all, by_loss);
    guint taken = 0;
    while (slots_without(leader, spec, m, &gone) < slots && taken < all->len)
        add_need(&gone, g_array_index(all, struct victim, taken++).attempt);
    if (slots_without(leader, spec, m, &gone) < slots) {
        g_array_free(all, TRUE);
        return NULL;
    }
    g_array_set_size(all, taken);
    return all;
}

double ow_preempt_loss(const struct ow_leader *leader, const struct ow_spec *spec, const struct ow_machine *m,
                       uint32_t slots)
{
    GArray *victims = choose_victims(leader, spec, m, slots);
    double loss = 0;
    if (victims == NULL)
        return INFINITY;
    for (guint i = 0; i < victims->len; i++) {
        const struct victim *v = &g_array_index(victims, struct victim, i);
        bool first = true;
        for (guint k = 0; k < i && first; k++)
            first = g_array_index(victims, struct victim, k).attempt->job != v->attempt->job;
        loss += v->loss + (first ? JOB_LOSS_S : 0);
    }
    g_array_free(victims, TRUE);
    return loss;
}

bool ow_preempt_make_room(struct ow_leader *leader, const struct ow_run *run, struct ow_machine *m,
                          uint32_t slots)
{
    GArray *victims = choose_victims(leader, run->job->spec, m, slots);
    if (victims == NULL)
        return false;
    char *why = g_strdup_printf("room for job %s", run->job->id);
    for (guint i = 0; i < victims->len; i++) {
        struct ow_attempt *at = g_array_index(victims, struct victim, i).attempt;
        const struct ow_submission *s = at->job->spec->submission;
        double grace = s->checkpoint_s > 0 ? s->save_s + GRACE_MARGIN_S : 0;
        /* The tasks of a gang stop in one round, or their saving fails. One stopped before may have ended
           another that was chosen, too. */
        if (s->gang) {
            ow_run_stop(leader, at->job->run, grace, why);
            break;
        }
        ow_attempt_stop(leader, at, grace, why);
    }
    g_free(why);
    g_array_free(victims, TRUE);
    return true;
}
