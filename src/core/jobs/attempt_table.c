#include "core/jobs/attempt_table.h"

#include "core/jobs/attempt.h"
#include "core/jobs/execution.h"
#include "core/jobs/quota.h"
#include "core/leader/leader_state.h"
#include "core/machines/machine.h"
#include "model/resources.h"
#include "model/submission.h"

#include <string.h>

/* Adds the attempt's needs to the sums (`sign` 1) or subtracts them (-1). */
static void add_to_sums(struct ow_leader *leader, const struct ow_attempt *attempt, int sign)
{
    const struct ow_job_spec *spec = attempt->job->spec;
    const struct ow_resources *need = &spec->submission->need;
    struct ow_machine *machine = attempt->machine;
    ow_resources_add(&machine->load.used, need, sign);
    ow_resources_add(&machine->load.used_by_rank[spec->submission->rank], need, sign);
    ow_resources_add(ow_team_usage(leader, spec->team), need, sign);
}

struct ow_attempt *ow_attempt_new(struct ow_leader *leader, struct ow_execution *execution, uint32_t task,
                                  uint64_t number, struct ow_machine *machine, uint64_t incarnation)
{
    struct ow_attempt *attempt = g_new0(struct ow_attempt, 1);
    attempt->job = execution->job;
    attempt->task = task;
    attempt->number = number;
    attempt->machine = machine;
    attempt->incarnation = incarnation;
    attempt->placed_at = leader->core->now;
    execution->tasks[task].attempt = attempt;
    g_ptr_array_add(execution->attempts, attempt);
    g_ptr_array_add(machine->load.attempts, attempt);
    add_to_sums(leader, attempt, 1);
    return attempt;
}

/* Sums of fractions accumulate rounding errors: they are reset when the machine has no attempt. */
static void reset_sums(struct ow_machine *machine)
{
    machine->load.used = (struct ow_resources){0};
    machine->load.stopping = (struct ow_resources){0};
    memset(machine->load.used_by_rank, 0, sizeof machine->load.used_by_rank);
}

static void detach_from_machine(const struct ow_leader *leader, struct ow_attempt *attempt)
{
    struct ow_machine *machine = attempt->machine;
    g_ptr_array_remove_fast(machine->load.attempts, attempt);
    if (attempt->is_stopping)
        ow_resources_add(&machine->load.stopping, &attempt->job->spec->submission->need, -1);
    if (machine->load.attempts->len > 0)
        return;
    reset_sums(machine);
    machine->load.idle_since = leader->core->now;
}

static void detach_from_execution(struct ow_attempt *attempt)
{
    struct ow_execution *execution = attempt->job->execution;
    g_ptr_array_remove_fast(execution->attempts, attempt);
    if (attempt->state == OW_ATTEMPT_REPORTED && attempt->phase == OW_PHASE_RUNNING)
        execution->running--;
    execution->tasks[attempt->task].attempt = NULL;
    execution->pending_cursor = MIN(execution->pending_cursor, attempt->task);
}

void ow_attempt_remove(struct ow_leader *leader, struct ow_attempt *attempt)
{
    add_to_sums(leader, attempt, -1);
    detach_from_machine(leader, attempt);
    detach_from_execution(attempt);
    g_free(attempt);
}
