#include "core/machines/work_backlog.h"

#include "core/jobs/attempt.h"
#include "core/jobs/execution.h"
#include "core/leader/leader_state.h"
#include "core/machines/instance_offers.h"
#include "core/machines/machine.h"
#include "core/machines/machine_registry.h"
#include "core/scheduling/classes.h"
#include "core/scheduling/placement.h"
#include "model/cloud.h"
#include "model/resources.h"

#include <math.h>

/* What the machines that are up have for jobs with the same demands: computed once a round of planning. */
struct supply {
    uint64_t types;
    int zone;
    bool spot;
    bool needs_gpus;
    double amount; /* GPUs, or else CPUs */
};

struct ow_work_backlog {
    double gpu_s;     /* work that waits for GPUs, in GPUs times seconds */
    double cpu_s;     /* other work that waits, in CPUs times seconds */
    GArray *supplies; /* struct supply */
};

struct ow_work_backlog *ow_work_backlog_new(void)
{
    struct ow_work_backlog *backlog = g_new0(struct ow_work_backlog, 1);
    backlog->supplies = g_array_new(FALSE, FALSE, sizeof(struct supply));
    return backlog;
}

void ow_work_backlog_free(struct ow_work_backlog *backlog)
{
    if (backlog == NULL)
        return;
    g_array_free(backlog->supplies, TRUE);
    g_free(backlog);
}

/* The CPUs of a machine that no work without GPUs uses. */
static double cpus_for_gpu_work(const struct ow_machine_type *type, const struct ow_machine *machine)
{
    double cpus = type->size.cpus;
    /* A planned machine has no list of attempts. */
    for (guint i = 0; machine->load.attempts != NULL && i < machine->load.attempts->len; i++) {
        const struct ow_attempt *attempt = g_ptr_array_index(machine->load.attempts, i);
        const struct ow_resources *need = &attempt->job->spec->submission->need;
        if (need->gpus <= 0)
            cpus -= need->cpus;
    }
    return MAX(0, cpus);
}

/* What a machine has for such a job: GPUs as far as there are CPUs to use them, or else the CPUs that its
   GPUs leave over. */
static double amount_on(const struct ow_leader *leader, const struct ow_job_spec *spec,
                        const struct ow_machine *machine)
{
    const struct ow_machine_type *type = ow_machine_type_of(leader, machine);
    if (type == NULL || !ow_placement_is_allowed(spec, machine))
        return 0;
    if (spec->submission->need.gpus <= 0)
        return MAX(0, type->size.cpus - type->size.gpus * leader->cycle.gpu_cpus);
    if (leader->cycle.gpu_cpus <= 0)
        return type->size.gpus;
    return MIN(type->size.gpus, cpus_for_gpu_work(type, machine) / leader->cycle.gpu_cpus);
}

static bool is_same_demand(const struct supply *a, const struct supply *b)
{
    return a->types == b->types && a->zone == b->zone && a->spot == b->spot && a->needs_gpus == b->needs_gpus;
}

/* What the machines that are up have for such a job. */
static double amount_up(struct ow_work_backlog *backlog, const struct ow_leader *leader,
                        const struct ow_job_spec *spec)
{
    struct supply supply = {.types = spec->types,
                            .zone = spec->zone,
                            .spot = spec->submission->spot,
                            .needs_gpus = spec->submission->need.gpus > 0};
    for (guint i = 0; i < backlog->supplies->len; i++) {
        const struct supply *known = &g_array_index(backlog->supplies, struct supply, i);
        if (is_same_demand(known, &supply))
            return known->amount;
    }
    for (guint i = 0; i < leader->machines->len; i++) {
        const struct ow_machine *machine = g_ptr_array_index(leader->machines, i);
        if (ow_machine_is_usable(leader, machine))
            supply.amount += amount_on(leader, spec, machine);
    }
    g_array_append_val(backlog->supplies, supply);
    return supply.amount;
}

static double amount_up_and_planned(struct ow_work_backlog *backlog, const struct ow_leader *leader,
                                    const struct ow_job_spec *spec, const GArray *plan)
{
    double sum = amount_up(backlog, leader, spec);
    for (guint i = 0; i < plan->len; i++)
        sum += amount_on(leader, spec, &g_array_index(plan, struct ow_expected_machine, i).machine);
    return sum;
}

double ow_work_backlog_add(struct ow_work_backlog *backlog, const struct ow_leader *leader,
                           const struct ow_execution *execution, const GArray *plan)
{
    const struct ow_job_spec *spec = execution->job->spec;
    const struct ow_resources *need = &spec->submission->need;
    bool needs_gpus = need->gpus > 0;
    double need_of_task = needs_gpus ? need->gpus : need->cpus;
    double run_time_s = ow_class_run_time_s(leader->core, spec);
    double *work_s = needs_gpus ? &backlog->gpu_s : &backlog->cpu_s;
    *work_s += ow_execution_count_pending(execution) * need_of_task * run_time_s;
    double amount = amount_up_and_planned(backlog, leader, spec, plan);
    if (amount <= 0 || ow_execution_is_service(execution))
        return INFINITY;
    /* Until the first of the places there is free, and then the work ahead. */
    return (*work_s + run_time_s * need_of_task) / amount;
}
