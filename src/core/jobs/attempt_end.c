#include "core/jobs/attempt_end.h"

#include "core/jobs/attempt.h"
#include "core/jobs/attempt_table.h"
#include "core/jobs/execution.h"
#include "core/leader/leader_state.h"
#include "core/machines/command_queue.h"
#include "core/machines/machine.h"
#include "core/machines/machine_faults.h"
#include "core/records/recorder.h"
#include "core/scheduling/classes.h"
#include "model/submission.h"

/* Weight of the newest completed task in the moving average of a machine's slowness. */
static const double SLOWNESS_WEIGHT = 0.1;
/* Upper bound of one task's run time in that average, as a multiple of the expected one. */
static const double SLOWNESS_MAX = 6;
/* Pause before an execution starts tasks again after a machine has lost or refused one. */
static const double RETRY_PAUSE_S = 1;

static void mark_done(struct ow_execution *execution, uint32_t task)
{
    if (execution->tasks[task].is_done)
        return;
    execution->tasks[task].is_done = true;
    execution->done++;
}

/* Marks the task as done. The tasks of a gang complete together: one result completes all of them. */
static void complete_tasks(struct ow_leader *leader, struct ow_execution *execution, uint32_t task)
{
    mark_done(execution, task);
    execution->failures = 0;
    if (!ow_submission_is_gang(execution->job->spec->submission))
        return;
    for (uint32_t i = 0; i < execution->count; i++) {
        mark_done(execution, i);
        ow_recorder_queue_deferred(leader, execution, i);
    }
}

/* Updates the estimates of the class and the machine from the run time of a completed task. */
static void observe_run_time(struct ow_leader *leader, const struct ow_attempt *attempt)
{
    const struct ow_job_spec *spec = attempt->job->spec;
    struct ow_machine *machine = attempt->machine;
    double ran_s = leader->core->now - attempt->running_at;
    double expected_s = ow_class_run_time_s(leader->core, spec);
    /* A gang is as fast as its slowest machine, which need not be this one. */
    if (expected_s > 0 && !ow_submission_is_gang(spec->submission)) {
        double slowness = MIN(ran_s / expected_s, SLOWNESS_MAX);
        machine->load.slowness += SLOWNESS_WEIGHT * (slowness - machine->load.slowness);
    }
    ow_class_observe_run_time(leader->core, spec, ran_s);
}

/* Handles the end of an attempt with a result, which proves that its machine works. */
static void apply_result(struct ow_leader *leader, struct ow_execution *execution, uint32_t task,
                         struct ow_machine *machine)
{
    if (ow_execution_is_service(execution)) {
        /* The machine keeps the result and would end a new attempt at the replica at once, so it is avoided.
         */
        ow_machine_faults_avoid(leader, machine, execution);
        return;
    }
    machine->faults.errors = 0;
    machine->faults.probation_until = 0;
    machine->faults.failed_job = NULL;
    complete_tasks(leader, execution, task);
}

/* Handles the end of an attempt without a result. */
static void apply_failure(struct ow_leader *leader, struct ow_execution *execution, uint32_t task,
                          struct ow_machine *machine, enum ow_exit_cause cause, bool was_stopped)
{
    if (cause == OW_CAUSE_ERROR)
        ow_machine_faults_note_error(leader, machine, execution);
    if (cause == OW_CAUSE_UNKNOWN || cause == OW_CAUSE_FULL || cause == OW_CAUSE_BUSY)
        execution->ready_at = MAX(execution->ready_at, leader->core->now + RETRY_PAUSE_S);
    /* The loss of one task, or its refusal, ends the gang's attempt: the other tasks would wait or fail, too.
     */
    if (ow_submission_is_gang(execution->job->spec->submission) && !was_stopped &&
        !execution->tasks[task].is_done)
        ow_execution_stop(leader, execution, 0, "another task of the gang was lost or has failed");
}

void ow_attempt_end(struct ow_leader *leader, struct ow_attempt *attempt, enum ow_exit_cause cause,
                    const char *proof)
{
    struct ow_execution *execution = attempt->job->execution;
    struct ow_machine *machine = attempt->machine;
    uint32_t task = attempt->task;
    bool was_stopped = attempt->is_stopping;
    g_debug("attempt ended: job=%s task=%u attempt=%" G_GUINT64_FORMAT " machine=%s reason=\"%s\"",
            attempt->job->id, task, attempt->number, machine->name, proof);
    if (cause == OW_CAUSE_DONE && attempt->running_at > 0 && !ow_execution_is_service(execution))
        observe_run_time(leader, attempt);
    ow_attempt_remove(leader, attempt);
    ow_leader_request_cycle(leader);
    ow_recorder_queue_deferred(leader, execution, task);
    if (cause == OW_CAUSE_DONE)
        apply_result(leader, execution, task, machine);
    else
        apply_failure(leader, execution, task, machine, cause, was_stopped);
}

void ow_attempt_stop(struct ow_leader *leader, struct ow_attempt *attempt, double grace_s, const char *reason)
{
    struct ow_machine *machine = attempt->machine;
    if (attempt->is_stopping && attempt->stop_grace_s <= grace_s)
        return;
    if (!attempt->is_stopping) {
        g_info("attempt is stopped: job=%s task=%u attempt=%" G_GUINT64_FORMAT
               " machine=%s grace_s=%.1f reason=\"%s\"",
               attempt->job->id, attempt->task, attempt->number, machine->name, grace_s, reason);
        ow_resources_add(&machine->load.stopping, &attempt->job->spec->submission->need, 1);
    }
    attempt->is_stopping = true;
    attempt->stop_grace_s = grace_s;
    attempt->stop_at = leader->core->now;
    if (attempt->state == OW_ATTEMPT_PLANNED || attempt->state == OW_ATTEMPT_COMMITTED)
        ow_attempt_end(leader, attempt, OW_CAUSE_STOPPED, "no launch was sent");
    else
        ow_command_queue_add(leader, machine);
}

void ow_execution_stop(struct ow_leader *leader, struct ow_execution *execution, double grace_s,
                       const char *reason)
{
    for (guint i = execution->attempts->len; i > 0; i--) {
        /* Stopping one attempt may end others, which shortens the list. */
        if (i <= execution->attempts->len)
            ow_attempt_stop(leader, g_ptr_array_index(execution->attempts, i - 1), grace_s, reason);
    }
}
