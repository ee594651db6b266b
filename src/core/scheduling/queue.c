/* The order of the queue. */
#include "core/scheduling/queue.h"
#include "core/jobs/execution.h"
#include "core/jobs/quota.h"
#include "core/leader/leader_state.h"
#include "core/machines/machine.h"
#include "core/machines/machine_registry.h"
#include "core/scheduling/classes.h"
#include "core/scheduling/deadline.h"
#include "core/scheduling/image_demand.h"
#include "model/cloud.h"
#include "model/resources.h"
#include "model/submission.h"

/* How far the size of an array counts against its age. */
static const double SIZE_WEIGHT = 5;
/* Nobody starves: the size of an array delays it no longer than this. */
static const double SIZE_DELAY_LIMIT_S = 60;
/* The size of an array with a deadline counts so many times as much, for its deadline bounds the delay. */
static const double DEADLINE_SIZE_WEIGHT = 3;
/* However far away its deadline is, a job is passed on its account for no longer than this: nobody starves.
 */
static const double DEADLINE_DELAY_LIMIT_S = 300;
/* A job of which nothing has started for so long is promoted to the front of the queue. Nothing is stopped
   for that, nor what it then starts for others. */
static const double PROMOTION_S = 120;
/* Capacity held firmly for a gang idles until the gang has all of it, so gangs are promoted later. */
static const double PROMOTION_GANG_S = 150;
/* A job that is not complete after so long is promoted as well. */
static const double AGED_S = 220;
/* By then a job is to have begun, its image fetched: a large image is promoted earlier, ... */
static const double BEGIN_S = 220;
/* ... but not before this age. */
static const double PROMOTION_LEAST_S = 40;

struct queue_entry {
    struct ow_execution *execution;
    int rank;
    bool borrowing;       /* beyond its team's guarantee */
    unsigned missed_slos; /* for its start */
    double queue_time;    /* earlier goes first */
};

/* Total capacity of the usable machines. */
struct fleet_capacity {
    double cpus;
    double gpus;
};

bool ow_queue_is_promoted(const struct ow_execution *execution)
{
    return execution->starves || execution->aged;
}

int ow_queue_rank(const struct ow_execution *execution)
{
    return ow_queue_is_promoted(execution) ? OW_RANK_CRITICAL : (int)execution->job->spec->submission->rank;
}

/* Whether the team stays within its guarantee with the job's waiting tasks. */
static bool is_guaranteed(struct ow_leader *leader, const struct ow_execution *execution)
{
    const struct ow_job_spec *spec = execution->job->spec;
    struct ow_resources amounts = *ow_team_usage(leader, spec->team);
    ow_resources_add(&amounts, &spec->submission->need, ow_execution_pending(execution));
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
    if (first->borrowing != second->borrowing)
        return first->borrowing ? 1 : -1;
    /* Who can still be in time goes before who can't any more. That is bounded: nobody starves. */
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

/* The share of the fleet that one such task takes. */
static double fleet_share(const struct ow_resources *need, const struct fleet_capacity *capacity)
{
    if (need->gpus > 0)
        return need->gpus / MAX(capacity->gpus, 1);
    return need->cpus / MAX(capacity->cpus, 1);
}

/* An array's queue time is its arrival, delayed by the time that its waiting work needs of the whole fleet: a
   short one passes a long one, and each is reached in the end. One with a deadline can be passed for as long
   as the deadline allows. A gang keeps its place. */
static double queue_time(struct ow_leader *leader, const struct ow_execution *execution,
                         const struct fleet_capacity *capacity)
{
    const struct ow_job_spec *spec = execution->job->spec;
    if (ow_submission_is_gang(spec->submission))
        return execution->accepted_at;
    double share = fleet_share(&spec->submission->need, capacity);
    double delay =
        SIZE_WEIGHT * ow_execution_pending(execution) * ow_class_run_time_s(leader->core, spec) * share;
    if (ow_deadline_is_set(execution)) {
        double limit_s = MIN(ow_deadline_latest_start_s(leader, execution), DEADLINE_DELAY_LIMIT_S);
        return execution->accepted_at + MIN(DEADLINE_SIZE_WEIGHT * delay, limit_s);
    }
    return execution->accepted_at + MIN(delay, SIZE_DELAY_LIMIT_S);
}

/* Sets whether the run starves or is old. */
static void update_age(const struct ow_leader *leader, struct ow_execution *execution)
{
    bool service = ow_execution_is_service(execution);
    double age = leader->core->now - (service ? execution->missing_since : execution->accepted_at);
    double promotion_s =
        ow_submission_is_gang(execution->job->spec->submission) ? PROMOTION_GANG_S : PROMOTION_S;
    double begin_s = BEGIN_S - ow_image_slowest_fetch_seconds(leader, execution->job->spec);
    double patience = CLAMP(begin_s, PROMOTION_LEAST_S, promotion_s);
    /* A service is never complete: its age would put it before everybody for ever. What counts is how long a
       replica has been missed. */
    if (service) {
        execution->starves = age > patience;
        execution->aged = false;
        return;
    }
    execution->starves = execution->attempts->len == 0 && execution->done == 0 && age > patience;
    /* Its owner does not expect a job with a deadline before it: until then others may pass it. */
    execution->aged =
        age > AGED_S + MIN(execution->job->spec->submission->deadline_s, DEADLINE_DELAY_LIMIT_S);
}

static unsigned missed_slos(struct ow_leader *leader, const struct ow_execution *execution)
{
    double age = leader->core->now - execution->accepted_at;
    /* A service's age says nothing of how long its replica has been missed. */
    if (ow_execution_is_service(execution))
        return 0;
    /* Of those that starve, who can still begin in time goes first: where all wait too long, nobody would. */
    if (execution->starves)
        return age < BEGIN_S ? 0 : 1;
    unsigned missed = ow_class_missed(leader->core, execution->job->spec->class_index, age);
    return missed + (ow_deadline_is_missed(leader, execution) ? 1 : 0);
}

/* Updates since when a task of the run waits; returns whether the run belongs in the queue. */
static bool is_waiting(const struct ow_leader *leader, struct ow_execution *execution)
{
    if (ow_execution_pending(execution) == 0) {
        execution->missing_since = 0;
        return false;
    }
    if (execution->missing_since == 0)
        execution->missing_since = leader->core->now;
    return execution->ready_at <= leader->core->now;
}

/* The waiting runs as sorted struct queue_entry; the caller frees the array. */
static GArray *sorted_entries(struct ow_leader *leader)
{
    GArray *entries = g_array_new(FALSE, FALSE, sizeof(struct queue_entry));
    struct fleet_capacity capacity = fleet_capacity(leader);
    for (guint i = 0; i < leader->executions->len; i++) {
        struct ow_execution *execution = g_ptr_array_index(leader->executions, i);
        if (!is_waiting(leader, execution))
            continue;
        update_age(leader, execution);
        struct queue_entry entry = {
            .execution = execution,
            .rank = ow_queue_rank(execution),
            .borrowing = !is_guaranteed(leader, execution),
            .missed_slos = missed_slos(leader, execution),
            .queue_time = queue_time(leader, execution, &capacity),
        };
        g_array_append_val(entries, entry);
    }
    g_array_sort(entries, compare_entries);
    return entries;
}

/* The index, from `start` on, of the next entry that is promoted or not; the length if there is none. */
static guint next_entry(const GArray *entries, guint start, bool promoted)
{
    guint index = start;
    while (index < entries->len &&
           ow_queue_is_promoted(g_array_index(entries, struct queue_entry, index).execution) != promoted)
        index++;
    return index;
}

/* The first place and every other one after it are for those that starve. With all of them before the rest
   nobody would be in time under much load. */
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
    GArray *entries = sorted_entries(leader);
    GPtrArray *executions = interleave_promoted(entries);
    g_array_free(entries, TRUE);
    return executions;
}
