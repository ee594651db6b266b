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

/* Capacity of the machines that are up for jobs with the same constraints; computed once per
   planning round. */
struct demand_capacity {
    struct ow_type_set *types; /* a reference of each entry in `capacities` */
    int zone;
    bool spot;
    bool needs_gpus;
    double capacity; /* GPUs, or else CPUs */
};

struct ow_work_backlog {
    double gpu_s;       /* pending work that needs GPUs, in GPU seconds */
    double cpu_s;       /* other pending work, in CPU seconds */
    GArray *capacities; /* struct demand_capacity */
};

static void clear_capacity(void *item)
{
    struct demand_capacity *capacity = item;
    ow_type_set_unref(capacity->types);
}

struct ow_work_backlog *ow_work_backlog_new(void)
{
    struct ow_work_backlog *backlog = g_new0(struct ow_work_backlog, 1);
    backlog->capacities = g_array_new(FALSE, FALSE, sizeof(struct demand_capacity));
    g_array_set_clear_func(backlog->capacities, clear_capacity);
    return backlog;
}

void ow_work_backlog_free(struct ow_work_backlog *backlog)
{
    if (backlog == NULL)
        return;
    g_array_free(backlog->capacities, TRUE);
    g_free(backlog);
}

/* CPUs of the machine that are not used by tasks without GPUs. */
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

/* Capacity of a machine for the job: the GPUs for which it has enough CPUs, or, if the job needs no GPUs, the
   CPUs that its GPUs don't need. */
static double capacity_on(const struct ow_leader *leader, const struct ow_job_spec *spec,
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

static bool is_same_demand(const struct demand_capacity *a, const struct demand_capacity *b)
{
    return a->zone == b->zone && a->spot == b->spot && a->needs_gpus == b->needs_gpus &&
           ow_type_set_equal(a->types, b->types);
}

/* Capacity of the usable machines for the job, from the cache if another job has the same constraints. */
static double running_capacity(struct ow_work_backlog *backlog, const struct ow_leader *leader,
                               const struct ow_job_spec *spec)
{
    struct demand_capacity demand_capacity = {.types = spec->types,
                                              .zone = spec->zone,
                                              .spot = spec->submission->spot,
                                              .needs_gpus = spec->submission->need.gpus > 0};
    for (guint i = 0; i < backlog->capacities->len; i++) {
        const struct demand_capacity *known = &g_array_index(backlog->capacities, struct demand_capacity, i);
        if (is_same_demand(known, &demand_capacity))
            return known->capacity;
    }
    for (guint i = 0; i < leader->machines->len; i++) {
        const struct ow_machine *machine = g_ptr_array_index(leader->machines, i);
        if (ow_machine_is_usable(leader, machine))
            demand_capacity.capacity += capacity_on(leader, spec, machine);
    }
    ow_type_set_ref(demand_capacity.types);
    g_array_append_val(backlog->capacities, demand_capacity);
    return demand_capacity.capacity;
}

static double running_and_planned_capacity(struct ow_work_backlog *backlog, const struct ow_leader *leader,
                                           const struct ow_job_spec *spec, const GArray *plan)
{
    double sum = running_capacity(backlog, leader, spec);
    for (guint i = 0; i < plan->len; i++)
        sum += capacity_on(leader, spec, &g_array_index(plan, struct ow_expected_machine, i).machine);
    return sum;
}

double ow_work_backlog_add(struct ow_work_backlog *backlog, const struct ow_leader *leader,
                           const struct ow_execution *execution, const GArray *plan)
{
    const struct ow_job_spec *spec = execution->job->spec;
    const struct ow_resources *need = &spec->submission->need;
    bool needs_gpus = need->gpus > 0;
    double need_per_task = needs_gpus ? need->gpus : need->cpus;
    double run_time_s = ow_class_run_time_s(leader->core, spec);
    double *work_s = needs_gpus ? &backlog->gpu_s : &backlog->cpu_s;
    *work_s += ow_execution_count_pending(execution) * need_per_task * run_time_s;
    double capacity = running_and_planned_capacity(backlog, leader, spec, plan);
    if (capacity <= 0 || ow_execution_is_service(execution))
        return INFINITY;
    /* One run time until capacity is first freed, plus the work ahead in the queue. */
    return (*work_s + run_time_s * need_per_task) / capacity;
}
