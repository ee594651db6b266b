#include "core/scheduling/placement_score.h"

#include "core/jobs/execution.h"
#include "core/leader/leader_state.h"
#include "core/machines/machine.h"
#include "core/machines/machine_images.h"
#include "core/machines/machine_registry.h"
#include "core/machines/spot_risk.h"
#include "core/scheduling/classes.h"
#include "core/scheduling/deadline.h"
#include "model/cloud.h"
#include "model/submission.h"

/* Added to the score of a machine with GPUs for a job that needs none: a wait of up to this long for a
   machine without GPUs is preferred. */
static const double GPU_WASTE_S = 20;
/* Added to the score of a machine that a more urgent gang is likely to need as a whole. */
static const double GANG_DEMAND_S = 15;
/* Estimates are rough: a machine counts as slow only beyond this ratio of observed to expected run time. */
static const double SLOWNESS_TOLERANCE = 1.7;
/* Added to the lost run time if a reclaim would also make the job miss its deadline. */
static const double DEADLINE_MISSED_BY_RECLAIM_S = 100;

/* How much longer than expected the run takes, beyond the tolerance for rough estimates. */
static double slowness_s(const struct ow_submission *submission, const struct ow_machine *machine)
{
    return submission->estimate_s * MAX(0, machine->load.slowness - SLOWNESS_TOLERANCE);
}

/* Applies only to jobs more urgent than rank low and every GPU job: less urgent ones get only what GPU jobs
   leave unused, so nothing is wasted. */
static double gpu_waste_s(const struct ow_leader *leader, const struct ow_submission *submission,
                          const struct ow_machine_type *type)
{
    bool wastes =
        type->size.gpus > 0 && submission->need.gpus <= 0 && (int)submission->rank < leader->cycle.gpu_rank;
    return wastes ? GPU_WASTE_S : 0;
}

/* Whether one task of the class needs more than half of the machine's CPUs, and fits on it. */
static bool needs_whole_machine(const struct ow_class *class, const struct ow_machine *machine,
                                const struct ow_machine_type *type)
{
    if (!class->spot && machine->spot)
        return false;
    if (!ow_class_allows_type(class, machine->type))
        return false;
    return class->need.cpus > type->size.cpus / 2 && class->need.cpus <= type->size.cpus &&
           class->need.memory_gb <= type->size.memory_gb && class->need.gpus <= type->size.gpus;
}

/* Work on a machine that a more urgent class of gangs needs as a whole is likely to be stopped for it. */
static double gang_demand_s(const struct ow_leader *leader, const struct ow_submission *submission,
                            const struct ow_machine *machine, const struct ow_machine_type *type)
{
    const GArray *classes = leader->core->classes;
    for (guint i = 0; i < classes->len; i++) {
        const struct ow_class *class = &g_array_index(classes, struct ow_class, i);
        if (!class->seen || !class->gang || class->rank >= submission->rank)
            continue;
        if (needs_whole_machine(class, machine, type))
            return GANG_DEMAND_S;
    }
    return 0;
}

/* Expected loss, in seconds, of a task with a deadline on a spot machine. Without a deadline, or once it is
   missed, the risk is ignored. */
static double spot_risk_s(const struct ow_leader *leader, const struct ow_execution *execution,
                          const struct ow_machine *machine)
{
    if (!machine->spot || !ow_deadline_is_set(execution) || ow_deadline_is_missed(leader, execution))
        return 0;
    double run_time_s = ow_class_run_time_s(leader->core, execution->job->spec);
    double age_s = leader->core->now - execution->accepted_at;
    bool has_time_for_rerun = age_s + run_time_s <= ow_deadline_latest_start_s(leader, execution);
    double loss_s = run_time_s + (has_time_for_rerun ? 0 : DEADLINE_MISSED_BY_RECLAIM_S);
    return ow_spot_risk_within(leader, run_time_s) * loss_s;
}

/* The share of the machine's CPUs that is left once the task is placed: less means a tighter fit. */
static double cpu_share_left(const struct ow_submission *submission, const struct ow_machine *machine,
                             const struct ow_machine_type *type)
{
    double cpus_left = type->size.cpus - machine->load.used.cpus - submission->need.cpus;
    return cpus_left / type->size.cpus;
}

double ow_placement_score_s(const struct ow_leader *leader, const struct ow_execution *execution,
                            const struct ow_machine *machine)
{
    const struct ow_submission *submission = execution->job->spec->submission;
    const struct ow_machine_type *type = ow_machine_type_of(leader, machine);
    double score_s = ow_machine_image_fetch_s(leader, machine, execution->job->spec);
    score_s += slowness_s(submission, machine);
    score_s += gpu_waste_s(leader, submission, type);
    score_s += gang_demand_s(leader, submission, machine, type);
    score_s += spot_risk_s(leader, execution, machine);
    score_s += machine->spot ? type->spot_price : type->price;
    score_s += cpu_share_left(submission, machine, type);
    return score_s;
}
