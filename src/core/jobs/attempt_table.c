#include "core/jobs/attempt_table.h"

#include "core/jobs/attempt.h"
#include "core/jobs/execution.h"
#include "core/jobs/quota.h"
#include "core/leader/leader_state.h"
#include "core/machines/machine.h"
#include "model/resources.h"
#include "model/submission.h"

#include <string.h>

struct ow_attempt *ow_attempt_new(struct ow_leader *leader, struct ow_execution *execution, uint32_t task,
                                  uint64_t number, struct ow_machine *machine, uint64_t incarnation)
{
    struct ow_attempt *attempt = g_new0(struct ow_attempt, 1);
    const struct ow_submission *submission = execution->job->spec->submission;
    attempt->job = execution->job;
    attempt->task = task;
    attempt->number = number;
    attempt->machine = machine;
    attempt->incarnation = incarnation;
    attempt->placed_at = leader->core->now;
    execution->tasks[task].attempt = attempt;
    g_ptr_array_add(execution->attempts, attempt);
    g_ptr_array_add(machine->attempts, attempt);
    ow_resources_add(&machine->used, &submission->need, 1);
    ow_resources_add(&machine->used_by[submission->rank], &submission->need, 1);
    ow_resources_add(ow_team_usage(leader, execution->job->spec->team), &submission->need, 1);
    return attempt;
}

/* Takes the attempt out of the sums and lists of its machine. */
static void detach_from_machine(const struct ow_leader *leader, struct ow_attempt *attempt)
{
    struct ow_machine *machine = attempt->machine;
    const struct ow_submission *submission = attempt->job->spec->submission;
    g_ptr_array_remove_fast(machine->attempts, attempt);
    ow_resources_add(&machine->used, &submission->need, -1);
    ow_resources_add(&machine->used_by[submission->rank], &submission->need, -1);
    if (attempt->stop)
        ow_resources_add(&machine->stopping, &submission->need, -1);
    if (machine->attempts->len > 0)
        return;
    /* Sums of fractions drift. */
    machine->used = (struct ow_resources){0};
    machine->stopping = (struct ow_resources){0};
    memset(machine->used_by, 0, sizeof machine->used_by);
    machine->idle_since = leader->core->now;
}

void ow_attempt_unload(struct ow_leader *leader, struct ow_attempt *attempt)
{
    const struct ow_job_spec *spec = attempt->job->spec;
    struct ow_execution *execution = attempt->job->execution;
    g_ptr_array_remove_fast(execution->attempts, attempt);
    detach_from_machine(leader, attempt);
    ow_resources_add(ow_team_usage(leader, spec->team), &spec->submission->need, -1);
    if (attempt->state == OW_ATTEMPT_SEEN && attempt->phase == OW_PHASE_RUNNING)
        execution->running--;
    execution->tasks[attempt->task].attempt = NULL;
    execution->cursor = MIN(execution->cursor, attempt->task);
    g_free(attempt);
}
