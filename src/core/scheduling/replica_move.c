#include "core/scheduling/replica_move.h"

#include "core/jobs/attempt.h"
#include "core/jobs/attempt_end.h"
#include "core/jobs/execution.h"
#include "core/leader/leader_state.h"
#include "core/machines/machine.h"
#include "core/machines/machine_images.h"
#include "core/machines/machine_registry.h"
#include "core/scheduling/placement.h"
#include "model/resources.h"
#include "model/worker.h"

static bool is_serving(const struct ow_attempt *attempt)
{
    return attempt->state == OW_ATTEMPT_REPORTED && attempt->phase == OW_PHASE_RUNNING &&
           !attempt->is_stopping;
}

uint32_t ow_replica_move_count_missing(const struct ow_execution *execution)
{
    uint32_t serving = 0;
    for (guint i = 0; i < execution->attempts->len; i++) {
        if (is_serving(g_ptr_array_index(execution->attempts, i)))
            serving++;
    }
    return execution->count - serving;
}

static bool has_attempt_on(const struct ow_execution *execution, const struct ow_machine *machine)
{
    for (guint i = 0; i < machine->load.attempts->len; i++) {
        const struct ow_attempt *attempt = g_ptr_array_index(machine->load.attempts, i);
        if (attempt->job == execution->job)
            return true;
    }
    return false;
}

/* Whether the machine has the complete image; a fetch in progress doesn't count. */
static bool has_image(const struct ow_machine *machine, int image)
{
    const struct ow_image_copy *copy = ow_machine_image_find(machine, image);
    return copy != NULL && copy->present;
}

/* Whether a replica of the service could start on the machine at once, apart from its other replicas. */
static bool is_target(const struct ow_leader *leader, const struct ow_execution *execution,
                      const struct ow_machine *machine)
{
    const struct ow_job_spec *spec = execution->job->spec;
    return has_image(machine, spec->image) && ow_placement_is_eligible(leader, execution, machine) &&
           ow_placement_slots(leader, spec, machine) > 0 && !has_attempt_on(execution, machine);
}

struct ow_machine *ow_replica_move_find_target(const struct ow_leader *leader,
                                               const struct ow_execution *execution, int not_in_zone)
{
    for (guint i = 0; i < leader->machines->len; i++) {
        struct ow_machine *machine = g_ptr_array_index(leader->machines, i);
        if (machine->zone != not_in_zone && is_target(leader, execution, machine))
            return machine;
    }
    return NULL;
}

void ow_replica_move_to(struct ow_leader *leader, struct ow_attempt *attempt, struct ow_machine *target,
                        const char *why)
{
    ow_resources_add(&target->cycle.held, &attempt->job->spec->submission->need, 1);
    ow_attempt_stop(leader, attempt, 0, why);
}
