#include "core/scheduling/shortlist.h"

#include "core/jobs/execution.h"
#include "core/leader/leader_state.h"
#include "core/machines/machine.h"
#include "core/machines/machine_registry.h"
#include "core/scheduling/placement.h"
#include "core/scheduling/preempt.h"
#include "model/submission.h"

#include <stdbool.h>

/* The capacity that a list counts. */
enum capacity_view {
    CAPACITY_FREE,            /* free now */
    CAPACITY_WITH_PREEMPTION, /* free now, plus an upper bound of what stopping work could free */
};

/* The lists of one class. */
struct shortlist {
    bool has_waiting_job; /* a job of the class waits; else the lists are empty */
    bool is_mixed; /* some waiting jobs need GPUs and some don't: capacity for the one kind says nothing about
                      the other */
    struct ow_submission least; /* the smallest needs of its waiting jobs */
    int top_rank;               /* the most urgent rank that may be stopped for any of them */
    GPtrArray *free;            /* struct ow_machine *; NULL: not computed yet */
    GPtrArray *with_preemption; /* struct ow_machine *; NULL: not computed yet */
};

static void clear_list(void *item)
{
    struct shortlist *list = item;
    g_clear_pointer(&list->free, g_ptr_array_unref);
    g_clear_pointer(&list->with_preemption, g_ptr_array_unref);
}

GArray *ow_shortlists_new(void)
{
    GArray *lists = g_array_new(FALSE, TRUE, sizeof(struct shortlist));
    g_array_set_clear_func(lists, clear_list);
    return lists;
}

static struct shortlist *find_or_add(struct ow_leader *leader, int class_index)
{
    if (leader->cycle.shortlists->len <= (guint)class_index)
        g_array_set_size(leader->cycle.shortlists, (guint)class_index + 1);
    return &g_array_index(leader->cycle.shortlists, struct shortlist, class_index);
}

/* Lowers the least needs of the class to cover the job. */
static void include_job(struct shortlist *list, const struct ow_submission *job, int top_rank)
{
    struct ow_submission *least = &list->least;
    list->top_rank = list->has_waiting_job ? MIN(list->top_rank, top_rank) : top_rank;
    if (!list->has_waiting_job) {
        *least = (struct ow_submission){.need = job->need, .rank = job->rank, .kind = job->kind};
        list->has_waiting_job = true;
        return;
    }
    list->is_mixed = list->is_mixed || (least->need.gpus > 0) != (job->need.gpus > 0);
    least->need.cpus = MIN(least->need.cpus, job->need.cpus);
    least->need.gpus = MIN(least->need.gpus, job->need.gpus);
    least->need.memory_gb = MIN(least->need.memory_gb, job->need.memory_gb);
    /* The GPU reserve admits less urgent jobs to more machines; gangs may use capacity held for gangs. */
    least->rank = MAX(least->rank, job->rank);
    if (ow_submission_is_gang(job))
        least->kind = OW_KIND_GANG;
}

void ow_shortlists_begin_cycle(struct ow_leader *leader)
{
    g_array_set_size(leader->cycle.shortlists, 0);
    for (guint i = 0; i < leader->executions->len; i++) {
        const struct ow_execution *execution = g_ptr_array_index(leader->executions, i);
        if (ow_execution_count_pending(execution) == 0)
            continue;
        const struct ow_job_spec *spec = execution->job->spec;
        include_job(find_or_add(leader, spec->class_index), spec->submission,
                    ow_preempt_top_rank(leader, spec));
    }
}

/* Slots on the machine for a job with the least needs of its class. */
static uint32_t slots_for_least(const struct ow_leader *leader, const struct shortlist *list,
                                const struct ow_job_spec *spec, const struct ow_machine *machine,
                                enum capacity_view view)
{
    if (view == CAPACITY_WITH_PREEMPTION)
        return ow_preempt_slots_upper_bound(leader, spec, machine, list->top_rank);
    return ow_placement_slots(leader, spec, machine);
}

static GPtrArray *list_machines(struct ow_leader *leader, const struct shortlist *list,
                                enum capacity_view view)
{
    struct ow_submission least = list->least;
    struct ow_job_spec spec = {.submission = &least};
    GPtrArray *found = g_ptr_array_new();
    for (guint i = 0; list->has_waiting_job && i < leader->machines->len; i++) {
        struct ow_machine *machine = g_ptr_array_index(leader->machines, i);
        if (!ow_machine_is_usable(leader, machine))
            continue;
        if (list->is_mixed || slots_for_least(leader, list, &spec, machine, view) > 0)
            g_ptr_array_add(found, machine);
    }
    return found;
}

const GPtrArray *ow_shortlist_find(struct ow_leader *leader, int class_index)
{
    struct shortlist *list = find_or_add(leader, class_index);
    if (list->free == NULL)
        list->free = list_machines(leader, list, CAPACITY_FREE);
    return list->free;
}

const GPtrArray *ow_shortlist_find_with_preemption(struct ow_leader *leader, int class_index)
{
    struct shortlist *list = find_or_add(leader, class_index);
    if (list->with_preemption == NULL)
        list->with_preemption = list_machines(leader, list, CAPACITY_WITH_PREEMPTION);
    return list->with_preemption;
}
