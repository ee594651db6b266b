/* Candidate machines of a class: those with capacity for the least that any of its waiting tasks needs.
 * Listed once a cycle, so that a cycle costs machines times classes and not machines times waiting jobs.
 * Capacity only shrinks while a cycle lasts; what a stop frees at once is found by the next one. */
#include "core/scheduling/shortlist.h"
#include "core/jobs/execution.h"
#include "core/leader/leader_state.h"
#include "core/machines/machine.h"
#include "core/machines/machine_registry.h"
#include "core/scheduling/placement.h"
#include "core/scheduling/preempt.h"
#include "model/submission.h"

struct shortlist {
    bool wanted; /* a job of the class waits */
    bool mixed;  /* some of its jobs need GPUs and some don't: capacity for one says nothing of the other */
    struct ow_submission least;
    int stops_from;        /* the most urgent rank that is stopped for any of its jobs */
    GPtrArray *machines;   /* NULL: not listed yet */
    GPtrArray *with_stops; /* counting what stops could free; NULL: not listed yet */
};

static void clear_list(void *item)
{
    struct shortlist *list = item;
    g_clear_pointer(&list->machines, g_ptr_array_unref);
    g_clear_pointer(&list->with_stops, g_ptr_array_unref);
}

GArray *ow_shortlists_new(void)
{
    GArray *lists = g_array_new(FALSE, TRUE, sizeof(struct shortlist));
    g_array_set_clear_func(lists, clear_list);
    return lists;
}

static struct shortlist *list_of(struct ow_leader *leader, int class_index)
{
    if (leader->cycle.shortlists->len <= (guint)class_index)
        g_array_set_size(leader->cycle.shortlists, (guint)class_index + 1);
    return &g_array_index(leader->cycle.shortlists, struct shortlist, class_index);
}

/* Lowers the least needs of the class so that they cover the job, too. */
static void widen(struct shortlist *list, const struct ow_submission *job, int stops_from)
{
    struct ow_submission *least = &list->least;
    list->stops_from = list->wanted ? MIN(list->stops_from, stops_from) : stops_from;
    if (!list->wanted) {
        *least = (struct ow_submission){.need = job->need, .rank = job->rank, .kind = job->kind};
        list->wanted = true;
        return;
    }
    list->mixed = list->mixed || (least->need.gpus > 0) != (job->need.gpus > 0);
    least->need.cpus = MIN(least->need.cpus, job->need.cpus);
    least->need.gpus = MIN(least->need.gpus, job->need.gpus);
    least->need.memory_gb = MIN(least->need.memory_gb, job->need.memory_gb);
    /* The less urgent are let onto more machines, and gangs onto capacity held for gangs. */
    least->rank = MAX(least->rank, job->rank);
    if (ow_submission_is_gang(job))
        least->kind = OW_KIND_GANG;
}

void ow_shortlists_begin(struct ow_leader *leader)
{
    g_array_set_size(leader->cycle.shortlists, 0);
    for (guint i = 0; i < leader->executions->len; i++) {
        const struct ow_execution *execution = g_ptr_array_index(leader->executions, i);
        if (ow_execution_pending(execution) > 0)
            widen(list_of(leader, execution->job->spec->class_index), execution->job->spec->submission,
                  ow_preempt_top_rank(leader, execution->job->spec));
    }
}

/* Slots on the machine for a job with the least need of its class. */
static uint32_t slots_for_least(const struct ow_leader *leader, const struct shortlist *list,
                                const struct ow_job_spec *spec, const struct ow_machine *machine,
                                bool with_stops)
{
    if (with_stops)
        return ow_preempt_slots_upper_bound(leader, spec, machine, list->stops_from);
    return ow_placement_slots(leader, spec, machine);
}

static GPtrArray *list_machines(struct ow_leader *leader, const struct shortlist *list, bool with_stops)
{
    struct ow_submission least = list->least;
    struct ow_job_spec spec = {.submission = &least};
    GPtrArray *found = g_ptr_array_new();
    for (guint i = 0; list->wanted && i < leader->machines->len; i++) {
        struct ow_machine *machine = g_ptr_array_index(leader->machines, i);
        if (!ow_machine_is_usable(leader, machine))
            continue;
        if (list->mixed || slots_for_least(leader, list, &spec, machine, with_stops) > 0)
            g_ptr_array_add(found, machine);
    }
    return found;
}

const GPtrArray *ow_shortlist(struct ow_leader *leader, int class_index)
{
    struct shortlist *list = list_of(leader, class_index);
    if (list->machines == NULL)
        list->machines = list_machines(leader, list, false);
    return list->machines;
}

const GPtrArray *ow_shortlist_with_preemption(struct ow_leader *leader, int class_index)
{
    struct shortlist *list = list_of(leader, class_index);
    if (list->with_stops == NULL)
        list->with_stops = list_machines(leader, list, true);
    return list->with_stops;
}
