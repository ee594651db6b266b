#include "core/scheduling/preempt.h"

#include "core/jobs/attempt.h"
#include "core/jobs/attempt_end.h"
#include "core/jobs/execution.h"
#include "core/jobs/quota.h"
#include "core/leader/leader_state.h"
#include "core/machines/machine.h"
#include "core/scheduling/deadline.h"
#include "core/scheduling/placement.h"
#include "model/resources.h"
#include "model/submission.h"

#include <math.h>

/* Time that a stop and the heartbeat that reports it take in addition to the checkpoint itself. */
static const double GRACE_MARGIN_S = 2;
/* Loss added for each affected job: a job is complete only with its last task, so stopping any task delays
   all of it. */
static const double JOB_LOSS_S = 500;
/* Loss added if the stop makes a job miss its deadline. */
static const double DEADLINE_MISSED_BY_STOP_S = 500;

/* Whether the team of `spec` may reclaim from the team of `other` what the former is guaranteed and the
   latter has borrowed, for jobs with such needs. */
static bool may_reclaim_from(const struct ow_leader *leader, const struct ow_job_spec *spec,
                             const struct ow_job_spec *other)
{
    return other->team != spec->team && ow_team_demand_is_guaranteed(leader, spec->team) &&
           ow_team_is_borrowing(leader, other->team) &&
           ow_team_has_guarantee_for(leader, spec->team, &spec->submission->need) &&
           ow_team_has_guarantee_for(leader, other->team, &other->submission->need);
}

/* More urgent work may stop less urgent work. Work of the same rank may be stopped if a team reclaims its
   guarantee. */
static bool may_stop(const struct ow_leader *leader, const struct ow_execution *execution,
                     const struct ow_attempt *attempt)
{
    const struct ow_job_spec *spec = execution->job->spec;
    const struct ow_job_spec *other = attempt->job->spec;
    if (attempt->incarnation != attempt->machine->liveness.incarnation || attempt->not_preemptible)
        return false;
    /* A job that can no longer meet its deadline takes nothing from one that still can. */
    if (ow_deadline_is_missed(leader, execution) && ow_deadline_can_be_met(leader, attempt))
        return false;
    if (other->submission->rank > spec->submission->rank)
        return true;
    return other->submission->rank == spec->submission->rank && may_reclaim_from(leader, spec, other);
}

/* Seconds of work of one task that are lost if it is stopped now. */
static double lost_work_s(const struct ow_leader *leader, const struct ow_attempt *attempt)
{
    const struct ow_submission *submission = attempt->job->spec->submission;
    /* An aborted image fetch starts again from the beginning. */
    if (attempt->running_at == 0)
        return leader->core->now - attempt->placed_at;
    double ran_s = leader->core->now - attempt->running_at;
    return submission->checkpoint_interval_s > 0 ? MIN(ran_s, submission->checkpoint_duration_s) : ran_s;
}

/* The lost work, plus the loss of the deadline if the stop would make the job miss it. */
static double stop_loss_s(const struct ow_leader *leader, const struct ow_attempt *attempt)
{
    double work_s = lost_work_s(leader, attempt);
    bool loses_deadline =
        ow_deadline_can_be_met(leader, attempt) && !ow_deadline_allows_delay(leader, attempt, work_s);
    return work_s + (loses_deadline ? DEADLINE_MISSED_BY_STOP_S : 0);
}

/* Slots for the job on the machine without the attempts that use `freed`. */
static uint32_t slots_without(const struct ow_leader *leader, const struct ow_job_spec *spec,
                              const struct ow_machine *machine, const struct ow_resources *freed)
{
    struct ow_resources used = machine->load.used;
    ow_resources_add(&used, freed, -1);
    return ow_placement_slots_with_usage(leader, spec, machine, &used);
}

static void add_need(struct ow_resources *sum, const struct ow_attempt *attempt)
{
    ow_resources_add(sum, &attempt->job->spec->submission->need, 1);
}

int ow_preempt_top_rank(const struct ow_leader *leader, const struct ow_job_spec *spec)
{
    int rank = (int)spec->submission->rank;
    bool demand_guaranteed = ow_team_demand_is_guaranteed(leader, spec->team);
    if (demand_guaranteed && ow_team_has_guarantee_for(leader, spec->team, &spec->submission->need))
        return rank;
    return rank + 1;
}

uint32_t ow_preempt_slots_upper_bound(const struct ow_leader *leader, const struct ow_job_spec *spec,
                                      const struct ow_machine *machine, int top_rank)
{
    struct ow_resources most = machine->load.stopping;
    for (int rank = top_rank; rank <= OW_RANK_LOW; rank++)
        ow_resources_add(&most, &machine->load.used_by_rank[rank], 1);
    return slots_without(leader, spec, machine, &most);
}

uint32_t ow_preempt_slots(const struct ow_leader *leader, const struct ow_execution *execution,
                          const struct ow_machine *machine)
{
    const struct ow_job_spec *spec = execution->job->spec;
    struct ow_resources freed = {0};
    /* Most machines are full of work that may not be stopped: the bound saves visiting their attempts. */
    if (ow_preempt_slots_upper_bound(leader, spec, machine, ow_preempt_top_rank(leader, spec)) == 0)
        return 0;
    for (guint i = 0; i < machine->load.attempts->len; i++) {
        const struct ow_attempt *attempt = g_ptr_array_index(machine->load.attempts, i);
        if (attempt->is_stopping || may_stop(leader, execution, attempt))
            add_need(&freed, attempt);
    }
    return slots_without(leader, spec, machine, &freed);
}

/* An attempt that may be stopped, with the loss that this causes. */
struct victim {
    struct ow_attempt *attempt; /* not owned */
    double loss_s;
};

static gint compare_losses(gconstpointer a, gconstpointer b)
{
    const struct victim *first = a;
    const struct victim *second = b;
    if (first->loss_s < second->loss_s)
        return -1;
    return first->loss_s > second->loss_s;
}

/* The victims with the smallest loss that free `slots` slots, or NULL if all of them together don't; the
   caller frees the array. Work that is being stopped already is counted first, at no loss. */
static GArray *choose_victims(const struct ow_leader *leader, const struct ow_execution *execution,
                              const struct ow_machine *machine, uint32_t slots)
{
    const struct ow_job_spec *spec = execution->job->spec;
    g_autoptr(GArray) victims = g_array_new(FALSE, FALSE, sizeof(struct victim));
    struct ow_resources freed = {0};
    for (guint i = 0; i < machine->load.attempts->len; i++) {
        struct ow_attempt *attempt = g_ptr_array_index(machine->load.attempts, i);
        struct victim victim = {.attempt = attempt, .loss_s = stop_loss_s(leader, attempt)};
        if (attempt->is_stopping)
            add_need(&freed, attempt);
        else if (may_stop(leader, execution, attempt))
            g_array_append_val(victims, victim);
    }
    g_array_sort(victims, compare_losses);
    guint taken = 0;
    while (slots_without(leader, spec, machine, &freed) < slots && taken < victims->len) {
        add_need(&freed, g_array_index(victims, struct victim, taken).attempt);
        taken++;
    }
    if (slots_without(leader, spec, machine, &freed) < slots)
        return NULL;
    g_array_set_size(victims, taken);
    return g_steal_pointer(&victims);
}

/* Whether the victim at the index is the first one of its job. */
static bool is_first_of_job(const GArray *victims, guint index)
{
    const struct ow_job *job = g_array_index(victims, struct victim, index).attempt->job;
    for (guint i = 0; i < index; i++) {
        if (g_array_index(victims, struct victim, i).attempt->job == job)
            return false;
    }
    return true;
}

double ow_preempt_loss_s(const struct ow_leader *leader, const struct ow_execution *execution,
                         const struct ow_machine *machine, uint32_t slots)
{
    g_autoptr(GArray) victims = choose_victims(leader, execution, machine, slots);
    double loss_s = 0;
    if (victims == NULL)
        return INFINITY;
    for (guint i = 0; i < victims->len; i++) {
        loss_s += g_array_index(victims, struct victim, i).loss_s;
        if (is_first_of_job(victims, i))
            loss_s += JOB_LOSS_S;
    }
    return loss_s;
}

/* Time that an attempt of such a job gets to write a checkpoint when it is stopped. */
static double grace_s(const struct ow_submission *submission)
{
    return submission->checkpoint_interval_s > 0 ? submission->checkpoint_duration_s + GRACE_MARGIN_S : 0;
}

bool ow_preempt_free_slots(struct ow_leader *leader, const struct ow_execution *execution,
                           struct ow_machine *machine, uint32_t slots)
{
    g_autoptr(GArray) victims = choose_victims(leader, execution, machine, slots);
    if (victims == NULL)
        return false;
    g_autofree char *why = g_strdup_printf("preempted for job %s", execution->job->id);
    for (guint i = 0; i < victims->len; i++) {
        struct ow_attempt *attempt = g_array_index(victims, struct victim, i).attempt;
        const struct ow_submission *submission = attempt->job->spec->submission;
        /* The tasks of a gang must be stopped in one round, or their checkpoint fails. The stop may also
           have ended other victims, whose attempts are freed then: the next cycle stops what is still
           needed. */
        if (ow_submission_is_gang(submission)) {
            ow_execution_stop(leader, attempt->job->execution, grace_s(submission), why);
            break;
        }
        ow_attempt_stop(leader, attempt, grace_s(submission), why);
    }
    return true;
}
