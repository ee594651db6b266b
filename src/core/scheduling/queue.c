#include "core/scheduling/queue.h"

#include "core/jobs/execution.h"
#include "core/jobs/quota.h"
#include "core/leader/leader_state.h"
#include "core/machines/machine.h"
#include "core/machines/machine_registry.h"
#include "core/scheduling/classes.h"
#include "core/scheduling/deadline.h"
#include "core/scheduling/promotion.h"
#include "model/cloud.h"
#include "model/resources.h"
#include "model/submission.h"

/* Weight of an array's size against its age. */
static const double SIZE_WEIGHT = 5;
/* Upper limit of the delay by an array's size, so that no array starves. */
static const double SIZE_DELAY_LIMIT_S = 60;
/* The size of an array with a deadline weighs this many times more: its deadline already bounds the delay. */
static const double DEADLINE_SIZE_WEIGHT = 3;

/* Sort key of a waiting execution. */
struct queue_entry {
    struct ow_execution *execution;
    enum ow_rank rank;
    bool is_borrowing;    /* its waiting tasks would take its team beyond its guarantee */
    unsigned missed_slos; /* start SLOs that can no longer be met, plus 1 for a missed deadline */
    double queue_time;    /* earlier goes first */
};

/* Total capacity of the usable machines. */
struct fleet_capacity {
    double cpus;
    double gpus;
};

/* Whether the team stays within its guarantee when the job's waiting tasks are added. */
static bool is_guaranteed(struct ow_leader *leader, const struct ow_execution *execution)
{
    const struct ow_job_spec *spec = execution->job->spec;
    struct ow_resources amounts = *ow_team_usage(leader, spec->team);
    ow_resources_add(&amounts, &spec->submission->need, ow_execution_count_pending(execution));
    return ow_team_has_guarantee_for(leader, spec->team, &spec->submission->need) &&
           ow_team_guarantee_covers(leader, spec->team, &amounts);
}

static int compare_revisions(const struct ow_execution *a, const struct ow_execution *b)
{
    if (a->job->accepted_revision == b->job->accepted_revision)
        return 0;
    return a->job->accepted_revision < b->job->accepted_revision ? -1 : 1;
}

static gint compare_entries(gconstpointer a, gconstpointer b)
{
    const struct queue_entry *first = a;
    const struct queue_entry *second = b;
    if (first->rank != second->rank)
        return first->rank < second->rank ? -1 : 1;
    if (first->is_borrowing != second->is_borrowing)
        return first->is_borrowing ? 1 : -1;
    /* Jobs that can still meet their SLOs go before those that can't; promotion bounds how long the latter
       wait. */
    if (first->missed_slos != second->missed_slos)
        return first->missed_slos < second->missed_slos ? -1 : 1;
    if (first->queue_time != second->queue_time)
        return first->queue_time < second->queue_time ? -1 : 1;
    return compare_revisions(first->execution, second->execution);
}

static struct fleet_capacity fleet_capacity(const struct ow_leader *leader)
{
    struct fleet_capacity capacity = {0};
    for (guint i = 0; i < leader->machines->len; i++) {
        const struct ow_machine *machine = g_ptr_array_index(leader->machines, i);
        const struct ow_machine_type *type = ow_machine_type_of(leader, machine);
        if (!ow_machine_is_usable(leader, machine))
            continue;
        capacity.cpus += type->size.cpus;
        capacity.gpus += type->size.gpus;
    }
    return capacity;
}

/* The share of the fleet's capacity that one task with such a need takes. */
static double fleet_share(const struct ow_resources *need, const struct fleet_capacity *capacity)
{
    if (need->gpus > 0)
        return need->gpus / MAX(capacity->gpus, 1);
    return need->cpus / MAX(capacity->cpus, 1);
}

/* An array's queue time is its acceptance, delayed by the time that the whole fleet needs for its waiting
   work: short arrays overtake long ones, and the limit of the delay prevents starvation. An array with
   a deadline can be overtaken for as long as the deadline allows. Gangs are queued by acceptance alone. */
static double queue_time(struct ow_leader *leader, const struct ow_execution *execution,
                         const struct fleet_capacity *capacity)
{
    const struct ow_job_spec *spec = execution->job->spec;
    if (ow_submission_is_gang(spec->submission))
        return execution->accepted_at;
    double share = fleet_share(&spec->submission->need, capacity);
    double run_time_s = ow_class_run_time_s(leader->core, spec);
    double delay_s = SIZE_WEIGHT * ow_execution_count_pending(execution) * run_time_s * share;
    if (ow_deadline_is_set(execution)) {
        double limit_s = MIN(ow_deadline_latest_start_s(leader, execution), OW_DEADLINE_DELAY_LIMIT_S);
        return execution->accepted_at + MIN(DEADLINE_SIZE_WEIGHT * delay_s, limit_s);
    }
    return execution->accepted_at + MIN(delay_s, SIZE_DELAY_LIMIT_S);
}

static unsigned missed_slos(struct ow_leader *leader, const struct ow_execution *execution)
{
    double age_s = leader->core->now - execution->accepted_at;
    /* The age of a service does not tell how long a replica of it has been missing. */
    if (ow_execution_is_service(execution))
        return 0;
    /* Starving jobs that can still start in time go first: under overload, none would start in time if they
       were ordered by age. */
    if (execution->is_starving)
        return ow_promotion_can_start_in_time(age_s) ? 0 : 1;
    unsigned missed = ow_class_missed_start_slos(leader->core, execution->job->spec->class_index, age_s);
    return missed + (ow_deadline_is_missed(leader, execution) ? 1 : 0);
}

/* Updates `pending_since`; returns whether the execution belongs in the queue. */
static bool update_waiting(const struct ow_leader *leader, struct ow_execution *execution)
{
    if (ow_execution_count_pending(execution) == 0) {
        execution->pending_since = 0;
        return false;
    }
    if (execution->pending_since == 0)
        execution->pending_since = leader->core->now;
    return execution->ready_at <= leader->core->now;
}

/* The waiting executions as sorted struct queue_entry; the caller frees the array. */
static GArray *sorted_entries(struct ow_leader *leader)
{
    GArray *entries = g_array_new(FALSE, FALSE, sizeof(struct queue_entry));
    struct fleet_capacity capacity = fleet_capacity(leader);
    for (guint i = 0; i < leader->executions->len; i++) {
        struct ow_execution *execution = g_ptr_array_index(leader->executions, i);
        if (!update_waiting(leader, execution))
            continue;
        ow_promotion_update(leader, execution);
        struct queue_entry entry = {
            .execution = execution,
            .rank = ow_promotion_rank(execution),
            .is_borrowing = !is_guaranteed(leader, execution),
            .missed_slos = missed_slos(leader, execution),
            .queue_time = queue_time(leader, execution, &capacity),
        };
        g_array_append_val(entries, entry);
    }
    g_array_sort(entries, compare_entries);
    return entries;
}

/* The index of the next entry, from `start` on, whose execution is promoted or not promoted, as asked for;
   the length if there is none. `start` is at most the length. */
static guint next_entry(const GArray *entries, guint start, bool promoted)
{
    for (guint i = start; i < entries->len; i++) {
        if (ow_promotion_is_promoted(g_array_index(entries, struct queue_entry, i).execution) == promoted)
            return i;
    }
    return entries->len;
}

/* Promoted executions take the first place and every other one after it. If all of them went first, no other
   job would start in time under high load. */
static GPtrArray *interleave_promoted(const GArray *entries)
{
    GPtrArray *executions = g_ptr_array_new();
    guint next_promoted = 0;
    guint next_other = 0;
    bool promoted = true;
    while (executions->len < entries->len) {
        guint *next = promoted ? &next_promoted : &next_other;
        *next = next_entry(entries, *next, promoted);
        if (*next < entries->len) {
            g_ptr_array_add(executions, g_array_index(entries, struct queue_entry, *next).execution);
            ++*next;
        }
        promoted = !promoted;
    }
    return executions;
}

GPtrArray *ow_queue_sorted(struct ow_leader *leader)
{
    g_autoptr(GArray) entries = sorted_entries(leader);
    return interleave_promoted(entries);
}
