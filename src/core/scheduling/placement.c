#include "core/scheduling/placement.h"

#include "core/jobs/attempt.h"
#include "core/jobs/execution.h"
#include "core/leader/leader_state.h"
#include "core/machines/machine.h"
#include "core/machines/machine_registry.h"
#include "model/cloud.h"
#include "model/resources.h"
#include "model/submission.h"

#include <math.h>

/* Sums of fractions accumulate rounding errors: a need that exceeds the free amount by no more than this
   still fits. In CPUs, GPUs or gigabytes. */
static const double AMOUNT_TOLERANCE = 1e-6;

bool ow_placement_is_allowed(const struct ow_job_spec *spec, const struct ow_machine *machine)
{
    if (!ow_type_set_has(spec->types, machine->type))
        return false;
    if (spec->zone != OW_NO_NAME && spec->zone != machine->zone)
        return false;
    return spec->submission->spot || !machine->spot;
}

bool ow_placement_is_eligible(const struct ow_leader *leader, const struct ow_execution *execution,
                              const struct ow_machine *machine)
{
    if (!ow_machine_is_usable(leader, machine))
        return false;
    if (!ow_placement_is_allowed(execution->job->spec, machine))
        return false;
    return leader->core->now > execution->failed_machines_until ||
           !g_hash_table_contains(execution->failed_machines, machine);
}

/* How many times `need` fits in `free`; OW_MAX_TASKS if there is no need. */
static double times_fitting(double free, double need)
{
    if (need <= 0)
        return OW_MAX_TASKS;
    return floor((free + AMOUNT_TOLERANCE) / need);
}

/* How many tasks with such a need fit in the free amounts; negative if more is taken than there is. */
static double tasks_fitting(const struct ow_resources *free, const struct ow_resources *need)
{
    double cpus = times_fitting(free->cpus, need->cpus);
    double gpus = times_fitting(free->gpus, need->gpus);
    double memory = times_fitting(free->memory_gb, need->memory_gb);
    return MIN(MIN(cpus, gpus), memory);
}

uint32_t ow_placement_slots_on_empty(const struct ow_machine_type *type, const struct ow_resources *need)
{
    return (uint32_t)tasks_fitting(&type->size, need);
}

/* CPUs kept for the machine's free GPUs, which are useless without CPUs. They are kept if the GPUs are
   reserved; on an on-demand machine, whose GPUs are too expensive to idle, also from jobs more urgent than
   rank low and every GPU job. */
static double cpus_kept_for_gpus(const struct ow_leader *leader, const struct ow_submission *submission,
                                 const struct ow_machine *machine, double free_gpus)
{
    if (submission->need.gpus > 0 || free_gpus <= 0)
        return 0;
    bool urgent = (int)submission->rank < leader->cycle.gpu_rank;
    if (!machine->cycle.are_gpus_reserved && (!urgent || machine->spot))
        return 0;
    return free_gpus * leader->cycle.gpu_cpus;
}

/* Capacity that the job can't use if attempts use `used`. Only gangs may take what is held for gangs. */
static struct ow_resources unavailable_resources(const struct ow_machine *machine,
                                                 const struct ow_submission *submission,
                                                 const struct ow_resources *used)
{
    struct ow_resources taken = *used;
    ow_resources_add(&taken, &machine->load.unknown_tasks_use, 1);
    ow_resources_add(&taken, &machine->cycle.held, 1);
    if (!ow_submission_is_gang(submission))
        ow_resources_add(&taken, &machine->cycle.held_for_gangs, 1);
    return taken;
}

uint32_t ow_placement_slots_with_usage(const struct ow_leader *leader, const struct ow_job_spec *spec,
                                       const struct ow_machine *machine, const struct ow_resources *used)
{
    const struct ow_machine_type *type = ow_machine_type_of(leader, machine);
    if (type == NULL)
        return 0;
    struct ow_resources taken = unavailable_resources(machine, spec->submission, used);
    struct ow_resources free = {
        .cpus = type->size.cpus - taken.cpus,
        .gpus = type->size.gpus - taken.gpus,
        .memory_gb = type->size.memory_gb - taken.memory_gb,
    };
    free.cpus -= cpus_kept_for_gpus(leader, spec->submission, machine, free.gpus);
    double slots = tasks_fitting(&free, &spec->submission->need);
    return slots <= 0 ? 0 : (uint32_t)slots;
}

uint32_t ow_placement_slots(const struct ow_leader *leader, const struct ow_job_spec *spec,
                            const struct ow_machine *machine)
{
    return ow_placement_slots_with_usage(leader, spec, machine, &machine->load.used);
}

uint32_t ow_placement_zone_admits(const struct ow_execution *execution, int zone)
{
    const struct ow_submission *submission = execution->job->spec->submission;
    if (!submission->one_zone && !submission->spread)
        return execution->count;
    uint32_t in_zone = 0;
    /* Safety rule 6: all attempts that may still exist count, also those of tasks that are done or being
       stopped. */
    for (guint i = 0; i < execution->attempts->len; i++) {
        const struct ow_attempt *attempt = g_ptr_array_index(execution->attempts, i);
        int attempt_zone = attempt->machine->zone;
        /* A machine of unknown zone may be in any zone. */
        if (attempt_zone == OW_NO_NAME || (submission->one_zone && attempt_zone != zone))
            return 0;
        if (attempt_zone == zone)
            in_zone++;
    }
    if (!submission->spread)
        return execution->count;
    uint32_t limit = (execution->count + 1) / 2;
    return in_zone >= limit ? 0 : limit - in_zone;
}
