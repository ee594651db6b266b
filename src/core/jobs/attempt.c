/* Attempts at the tasks of runs. */
#include "core/jobs/attempt.h"
#include "core/jobs/execution.h"
#include "core/jobs/quota.h"
#include "core/leader/leader_state.h"
#include "core/machines/machine.h"
#include "core/machines/machine_health.h"
#include "core/machines/worker_commands.h"
#include "core/records/recorder.h"
#include "core/scheduling/classes.h"
#include "model/resources.h"
#include "model/submission.h"
#include "model/worker.h"

#include <string.h>

/* Weight of the newest run in a machine's slowness. */
static const double SLOWNESS_WEIGHT = 0.1;
/* The most that one run may add to it, as a multiple of the expected run time. */
static const double SLOWNESS_MOST = 6;
/* A run waits so long after a machine has lost or refused a task of it. */
static const double RETRY_PAUSE_S = 1;

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

static void detach(struct ow_leader *leader, struct ow_attempt *attempt)
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
}

void ow_attempt_unload(struct ow_leader *leader, struct ow_attempt *attempt)
{
    detach(leader, attempt);
    g_free(attempt);
}

static void mark_done(struct ow_execution *execution, uint32_t task)
{
    if (execution->tasks[task].done)
        return;
    execution->tasks[task].done = true;
    execution->done++;
}

/* The tasks of a gang complete together: one result is that of all of them. */
static void complete_tasks(struct ow_leader *leader, struct ow_execution *execution, uint32_t task)
{
    mark_done(execution, task);
    execution->failures = 0;
    if (!ow_submission_is_gang(execution->job->spec->submission))
        return;
    for (uint32_t i = 0; i < execution->count; i++) {
        mark_done(execution, i);
        ow_recorder_chunk(leader, execution, i, false);
    }
}

/* Takes in what the run time of a completed task shows of its class and its machine. */
static void observe_run_time(struct ow_leader *leader, const struct ow_attempt *attempt)
{
    const struct ow_job_spec *spec = attempt->job->spec;
    struct ow_machine *machine = attempt->machine;
    double ran_s = leader->core->now - attempt->running_at;
    double expected_s = ow_class_run_time_s(leader->core, spec);
    /* A gang is as fast as its slowest machine, which need not be this one. */
    if (expected_s > 0 && !ow_submission_is_gang(spec->submission)) {
        double slowness = MIN(ran_s / expected_s, SLOWNESS_MOST);
        machine->slowness += SLOWNESS_WEIGHT * (slowness - machine->slowness);
    }
    ow_class_observe_run_time(leader->core, spec, ran_s);
}

/* The attempt at the task has ended with a result. */
static void take_result(struct ow_leader *leader, struct ow_execution *execution, uint32_t task,
                        struct ow_machine *machine)
{
    if (ow_execution_is_service(execution)) {
        /* Its machine keeps the result and would end the replica again: it goes elsewhere. */
        ow_machine_health_avoid(leader, machine, execution);
        return;
    }
    machine->errors = 0;
    machine->probation_until = 0;
    machine->failed_job = NULL;
    complete_tasks(leader, execution, task);
}

/* The attempt at the task has ended without a result. */
static void take_failure(struct ow_leader *leader, struct ow_execution *execution, uint32_t task,
                         struct ow_machine *machine, enum ow_exit_cause cause, bool stopped)
{
    if (cause == OW_CAUSE_ERROR)
        ow_machine_health_error(leader, machine, execution);
    if (cause == OW_CAUSE_UNKNOWN || cause == OW_CAUSE_FULL || cause == OW_CAUSE_BUSY)
        execution->ready_at = MAX(execution->ready_at, leader->core->now + RETRY_PAUSE_S);
    /* One that is gone, or refused, ends the gang's attempt: the others would wait or fail, too. */
    if (ow_submission_is_gang(execution->job->spec->submission) && !stopped && !execution->tasks[task].done)
        ow_execution_stop(leader, execution, 0, "another task of the gang is gone");
}

void ow_attempt_end(struct ow_leader *leader, struct ow_attempt *attempt, enum ow_exit_cause cause,
                    const char *proof)
{
    struct ow_execution *execution = attempt->job->execution;
    struct ow_machine *machine = attempt->machine;
    uint32_t task = attempt->task;
    bool stopped = attempt->stop;
    g_debug("task %s/%u attempt %" G_GUINT64_FORMAT " on %s is gone: %s", attempt->job->id, task,
            attempt->number, machine->name, proof);
    if (cause == OW_CAUSE_DONE && attempt->running_at > 0 && !ow_execution_is_service(execution))
        observe_run_time(leader, attempt);
    detach(leader, attempt);
    g_free(attempt);
    leader->cycle.due = true;
    ow_recorder_chunk(leader, execution, task, false);
    if (cause == OW_CAUSE_DONE)
        take_result(leader, execution, task, machine);
    else
        take_failure(leader, execution, task, machine, cause, stopped);
}

void ow_attempt_stop(struct ow_leader *leader, struct ow_attempt *attempt, double grace_s, const char *why)
{
    struct ow_machine *machine = attempt->machine;
    if (attempt->stop && attempt->stop_grace_s <= grace_s)
        return;
    if (!attempt->stop) {
        g_info("task %s/%u on %s is stopped, grace %.1f s: %s", attempt->job->id, attempt->task,
               machine->name, grace_s, why);
        ow_resources_add(&machine->stopping, &attempt->job->spec->submission->need, 1);
    }
    attempt->stop = true;
    attempt->stop_grace_s = grace_s;
    attempt->stop_at = leader->core->now;
    if (attempt->state == OW_ATTEMPT_PLANNED || attempt->state == OW_ATTEMPT_COMMITTED)
        ow_attempt_end(leader, attempt, OW_CAUSE_STOPPED, "no launch has left");
    else
        ow_worker_commands_want(leader, machine);
}
