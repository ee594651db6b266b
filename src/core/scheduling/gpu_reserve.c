#include "core/scheduling/gpu_reserve.h"

#include "core/jobs/attempt.h"
#include "core/jobs/execution.h"
#include "core/leader/leader_state.h"
#include "core/machines/machine.h"
#include "core/machines/machine_registry.h"
#include "core/scheduling/classes.h"
#include "core/scheduling/deadline.h"
#include "core/scheduling/image_demand.h"
#include "model/cloud.h"

/* GPUs kept for GPU jobs, as a multiple of the GPUs that they need now. */
static const double GPU_MARGIN = 1.2;
/* Assumed share of tasks that have to fetch their image first. */
static const double FETCH_SHARE = 0.5;

/* How well a machine serves GPU jobs, from worst to best. */
enum gpu_fitness {
    GPU_FITNESS_OTHER_WORK, /* it runs other work */
    GPU_FITNESS_FREE,       /* it runs nothing */
    GPU_FITNESS_IN_USE,     /* it runs GPU jobs */
};

void ow_gpu_reserve_observe_jobs(struct ow_leader *leader)
{
    const GPtrArray *open_jobs = ow_jobs_open(leader->core->jobs);
    leader->cycle.gpu_cpus = 0;
    leader->cycle.gpu_rank = OW_RANK_LOW;
    for (guint i = 0; i < open_jobs->len; i++) {
        const struct ow_job *job = g_ptr_array_index(open_jobs, i);
        const struct ow_submission *submission = job->spec->submission;
        const struct ow_resources *need = &submission->need;
        if (need->gpus <= 0)
            continue;
        leader->cycle.gpu_cpus = MAX(leader->cycle.gpu_cpus, need->cpus / need->gpus);
        leader->cycle.gpu_rank = MIN(leader->cycle.gpu_rank, (int)submission->rank);
    }
}

/* GPUs needed to complete the execution's unfinished tasks within its slack, at most one task's need for
   each. */
static double gpus_wanted_by(struct ow_leader *leader, const struct ow_execution *execution)
{
    const struct ow_job_spec *spec = execution->job->spec;
    double gpus = (execution->count - execution->done) * spec->submission->need.gpus;
    if (gpus <= 0 || ow_job_is_over(execution->job))
        return 0;
    double slack_s = MAX(ow_deadline_slack_s(leader, execution), 1);
    double fetch_s = FETCH_SHARE * ow_image_slowest_fetch_s(leader, spec);
    double task_s = ow_class_run_time_s(leader->core, spec) + fetch_s;
    return gpus * MIN(1, task_s / slack_s);
}

static double gpus_wanted(struct ow_leader *leader)
{
    double wanted = 0;
    for (guint i = 0; i < leader->executions->len; i++)
        wanted += gpus_wanted_by(leader, g_ptr_array_index(leader->executions, i));
    return GPU_MARGIN * wanted;
}

static enum gpu_fitness gpu_fitness_of(const struct ow_machine *machine)
{
    for (guint i = 0; i < machine->load.attempts->len; i++) {
        const struct ow_attempt *attempt = g_ptr_array_index(machine->load.attempts, i);
        if (attempt->job->spec->submission->need.gpus > 0)
            return GPU_FITNESS_IN_USE;
    }
    return machine->load.attempts->len > 0 ? GPU_FITNESS_OTHER_WORK : GPU_FITNESS_FREE;
}

/* Reserves the best machines first. Other work may fill GPU machines except those that GPU jobs need;
   otherwise GPU jobs would have to wait or take expensive machines. */
void ow_gpu_reserve_mark_machines(struct ow_leader *leader)
{
    double wanted = gpus_wanted(leader);
    for (int fitness = GPU_FITNESS_IN_USE; fitness >= GPU_FITNESS_OTHER_WORK; fitness--) {
        for (guint i = 0; i < leader->machines->len; i++) {
            struct ow_machine *machine = g_ptr_array_index(leader->machines, i);
            const struct ow_machine_type *type = ow_machine_type_of(leader, machine);
            if (type == NULL || type->size.gpus <= 0 || (int)gpu_fitness_of(machine) != fitness)
                continue;
            machine->cycle.are_gpus_reserved = wanted > 0;
            wanted -= type->size.gpus;
        }
    }
}
