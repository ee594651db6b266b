/* Machines worth a look for a class: those with room for the least that any of its waiting tasks needs.
 * Listed once a pass, so that a pass costs machines times classes and not machines times waiting jobs. Room
 * only shrinks while a pass lasts; what a stop frees at once is found by the next one. */
#include "core/scheduling/shortlist.h"
#include "core/leader_state.h"
#include "core/machines/machine.h"
#include "core/machines/machine_registry.h"
#include "core/run.h"
#include "core/scheduling/placement.h"
#include "core/scheduling/preempt.h"

struct shortlist {
    bool wanted; /* a job of the class waits */
    bool mixed;  /* some of its jobs need GPUs and some don't: room for one says nothing of the other */
    struct ow_submission least;
    int stops_from;                   /* the most urgent rank that is stopped for any of its jobs */
    GPtrArray *machines, *with_stops; /* NULL: not listed yet */
};

static void clear(void *item)
{
    struct shortlist *s = item;
    g_clear_pointer(&s->machines, g_ptr_array_unref);
    g_clear_pointer(&s->with_stops, g_ptr_array_unref);
}

GArray *ow_shortlists_new(void)
{
    GArray *lists = g_array_new(FALSE, TRUE, sizeof(struct shortlist));
    g_array_set_clear_func(lists, clear);
    return lists;
}

static struct shortlist *list_of(struct ow_leader *leader, int class_index)
{
    if (leader->pass.shortlists->len <= (guint)class_index)
        g_array_set_size(leader->pass.shortlists, (guint)class_index + 1);
    return &g_array_index(leader->pass.shortlists, struct shortlist, class_index);
}

static void widen(struct shortlist *s, const struct ow_submission *job, int stops_from)
{
    struct ow_submission *least = &s->least;
    s->stops_from = s->wanted ? MIN(s->stops_from, stops_from) : stops_from;
    if (!s->wanted) {
        *least = (struct ow_submission){.need = job->need, .rank = job->rank, .gang = job->gang};
        s->wanted = true;
        return;
    }
    s->mixed = s->mixed || (least->need.gpus > 0) != (job->need.gpus > 0);
    least->need.cpus = MIN(least->need.cpus, job->need.cpus);
    least->need.gpus = MIN(least->need.gpus, job->need.gpus);
    least->need.memory_gb = MIN(least->need.memory_gb, job->need.memory_gb);
    /* The less urgent are let onto more machines, and gangs onto room held for gangs. */
    least->rank = MAX(least->rank, job->rank);
    least->gang = least->gang || job->gang;
}

void ow_shortlists_begin(struct ow_leader *leader)
{
    g_array_set_size(leader->pass.shortlists, 0);
    for (guint i = 0; i < leader->runs->len; i++) {
        const struct ow_run *run = g_ptr_array_index(leader->runs, i);
        if (ow_run_pending(run) > 0)
            widen(list_of(leader, run->job->spec->class_index), run->job->spec->submission,
                  ow_preempt_top_rank(leader, run->job->spec));
    }
}

static GPtrArray *list_machines(struct ow_leader *leader, const struct shortlist *s, bool with_stops)
{
    struct ow_submission least = s->least;
    struct ow_spec spec = {.submission = &least};
    GPtrArray *found = g_ptr_array_new();
    for (guint i = 0; s->wanted && i < leader->machines->len; i++) {
        struct ow_machine *m = g_ptr_array_index(leader->machines, i);
        if (!ow_machine_is_usable(leader, m))
            continue;
        if (s->mixed || (with_stops ? ow_preempt_slots_upper_bound(leader, &spec, m, s->stops_from)
                                    : ow_placement_slots(leader, &spec, m)) > 0)
            g_ptr_array_add(found, m);
    }
    return found;
}

const GPtrArray *ow_shortlist(struct ow_leader *leader, int class_index)
{
    struct shortlist *s = list_of(leader, class_index);
    if (s->machines == NULL)
        s->machines = list_machines(leader, s, false);
    return s->machines;
}

const GPtrArray *ow_shortlist_with_preemption(struct ow_leader *leader, int class_index)
{
    struct shortlist *s = list_of(leader, class_index);
    if (s->with_stops == NULL)
        s->with_stops = list_machines(leader, s, true);
    return s->with_stops;
}
