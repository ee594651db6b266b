/* How well a machine suits a job. */
#include "core/scheduling/placement_cost.h"
#include "core/jobs/execution.h"
#include "core/leader/leader_state.h"
#include "core/machines/machine.h"
#include "core/machines/machine_registry.h"
#include "core/machines/spot_risk.h"
#include "core/scheduling/classes.h"
#include "core/scheduling/deadline.h"
#include "core/scheduling/placement.h"
#include "model/cloud.h"
#include "model/submission.h"

/* Seconds that a job which needs no GPUs is worth waiting rather than taking a machine with GPUs. */
static const double GPU_WASTE_S = 20;
/* The same for a machine that a more urgent gang is likely to want whole. */
static const double GANG_DEMAND_S = 15;
/* Estimates are rough: only a machine so many times slower than expected counts as slow. */
static const double SLOWNESS_TOLERANCE = 1.7;
/* What missing a deadline counts, in seconds. */
static const double DEADLINE_LOSS_S = 100;
/* Work without SLOs goes on expensive machines only after it has waited so long for cheap ones. */
static const double CHEAP_WAIT_S = 120;

static bool class_allows_type(const struct ow_class *class, int type_index)
{
    return (class->types & (UINT64_C(1) << type_index)) != 0;
}

/* Whether a class of gangs needs the better part of such a machine for a single task. */
static bool is_wanted_whole(const struct ow_class *class, const struct ow_machine *machine,
                            const struct ow_machine_type *type)
{
    if (!class->spot && machine->spot)
        return false;
    if (!class_allows_type(class, machine->type))
        return false;
    return class->need.cpus > type->size.cpus / 2 && class->need.cpus <= type->size.cpus &&
           class->need.memory_gb <= type->size.memory_gb && class->need.gpus <= type->size.gpus;
}

/* Whether a more urgent class of gangs needs the better part of such a machine for a single task: what is
   put there is likely to be stopped for it. */
static bool is_wanted_by_gangs(const struct ow_leader *leader, const struct ow_job_spec *spec,
                               const struct ow_machine *machine, const struct ow_machine_type *type)
{
    const GArray *classes = leader->core->classes;
    for (guint i = 0; i < classes->len; i++) {
        const struct ow_class *class = &g_array_index(classes, struct ow_class, i);
        if (!class->seen || !class->gang || class->rank >= spec->submission->rank)
            continue;
        if (is_wanted_whole(class, machine, type))
            return true;
    }
    return false;
}

/* Seconds that a task with a deadline is expected to lose on a spot machine. Without one it takes its
 * chances. */
static double spot_loss_s(const struct ow_leader *leader, const struct ow_execution *execution,
                          const struct ow_machine *machine)
{
    if (!machine->spot || !ow_deadline_is_set(execution) || ow_deadline_is_missed(leader, execution))
        return 0;
    double run_time_s = ow_class_run_time_s(leader->core, execution->job->spec);
    double age_s = leader->core->now - execution->accepted_at;
    bool has_time_for_another = age_s + run_time_s <= ow_deadline_latest_start_s(leader, execution);
    double loss_s = run_time_s + (has_time_for_another ? 0 : DEADLINE_LOSS_S);
    return ow_spot_risk_within(leader, run_time_s) * loss_s;
}

double ow_placement_cost(const struct ow_leader *leader, const struct ow_execution *execution,
                         const struct ow_machine *machine)
{
    const struct ow_job_spec *spec = execution->job->spec;
    const struct ow_machine_type *type = ow_machine_type_of(leader, machine);
    double cost = ow_machine_fetch_seconds(leader, machine, spec);
    cost += spec->submission->estimate_s * MAX(0, machine->slowness - SLOWNESS_TOLERANCE);
    /* Less urgent work gets only what GPUs leave over, which is nobody else's loss. */
    if (type->size.gpus > 0 && spec->submission->need.gpus <= 0 &&
        (int)spec->submission->rank < leader->cycle.gpu_rank)
        cost += GPU_WASTE_S;
    if (is_wanted_by_gangs(leader, spec, machine, type))
        cost += GANG_DEMAND_S;
    cost += spot_loss_s(leader, execution, machine);
    /* Rent, then the tightest fit. */
    cost += machine->spot ? type->spot_price : type->price;
    double cpus_left = type->size.cpus - machine->used.cpus - spec->submission->need.cpus;
    return cost + cpus_left / type->size.cpus;
}

bool ow_placement_waits_for_cheap(const struct ow_leader *leader, const struct ow_execution *execution)
{
    const struct ow_job_spec *spec = execution->job->spec;
    /* More urgent work waits for no rent, whether or not anybody has set an SLO for it. */
    if (!spec->submission->spot || spec->submission->rank != OW_RANK_LOW)
        return false;
    if (ow_class_has_slo(leader->core, spec->class_index) || execution->starves || execution->aged)
        return false;
    /* The age of the job does not count: when every controller has restarted all jobs may be old, and would
       go on expensive machines at once; but what has waited too long goes there however often they restart.
     */
    return leader->core->now - execution->job->first_seen_at < CHEAP_WAIT_S;
}

/* Whether the class has an SLO and makes proper use of machines of the type. */
static bool is_of_use_to_class(const struct ow_leader *leader, int class_index, int type_index,
                               const struct ow_machine_type *type)
{
    const struct ow_class *class = &g_array_index(leader->core->classes, struct ow_class, class_index);
    if (!class->seen || !class_allows_type(class, type_index))
        return false;
    if (ow_placement_slots_on_empty(type, &class->need) == 0)
        return false;
    if (type->size.gpus > 0 && class->need.gpus <= 0)
        return false;
    return ow_class_has_slo(leader->core, class_index);
}

bool ow_placement_is_expensive(const struct ow_leader *leader, const struct ow_machine *machine)
{
    const struct ow_machine_type *type = ow_machine_type_of(leader, machine);
    if (machine->spot || type->spot_price <= 0 || type->spot_price >= type->price)
        return false;
    if (leader->core->settings->slos->len == 0)
        return false;
    for (guint i = 0; i < leader->core->classes->len; i++) {
        if (is_of_use_to_class(leader, (int)i, machine->type, type))
            return false;
    }
    return true;
}
