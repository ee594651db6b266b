#include "core/machines/reconciliation.h"

#include "core/jobs/attempt.h"
#include "core/jobs/attempt_end.h"
#include "core/jobs/execution.h"
#include "core/leader/leader_state.h"
#include "core/machines/machine.h"
#include "core/machines/machine_images.h"
#include "core/machines/machine_registry.h"
#include "core/records/recorder.h"
#include "model/cloud.h"
#include "model/resources.h"
#include "model/submission.h"

static struct ow_attempt *find_attempt(const struct ow_machine *machine, const struct ow_job *job,
                                       const struct ow_task_status *task_status)
{
    if (job == NULL || job->execution == NULL || task_status->task >= job->execution->count)
        return NULL;
    struct ow_attempt *attempt = job->execution->tasks[task_status->task].attempt;
    if (attempt == NULL || attempt->machine != machine)
        return NULL;
    if (attempt->number != task_status->attempt || attempt->incarnation != machine->liveness.incarnation)
        return NULL;
    return attempt;
}

static void add_command(GArray *commands, enum ow_worker_command_kind kind,
                        const struct ow_task_status *task_status)
{
    if (commands == NULL)
        return;
    struct ow_worker_command command = {
        .kind = kind, .task = task_status->task, .attempt = task_status->attempt, .grace_s = 0};
    g_strlcpy(command.job, task_status->job, sizeof command.job);
    g_array_append_val(commands, command);
}

/* ---- clearing of ended tasks ---- */

static bool is_result_recorded(const struct ow_job *job, uint32_t task)
{
    if (ow_job_is_over(job))
        return true;
    /* The final record, which replaces the chunks, is not committed yet. */
    if (job->execution->is_finishing)
        return false;
    const struct ow_chunk *chunk = ow_execution_chunk(job->execution, task);
    return job->execution->tasks[task].is_done && !chunk->is_dirty && !chunk->is_writing;
}

/* Safety rule 3. Prevents a task from running twice: a worker that has cleared an attempt would execute a
   late copy of its launch. So an attempt is cleared only when no launch of it can still be delivered, and one
   with a result only after the result was recorded. While the job is not over, an attempt that ended in any
   other way stays in the worker's list, so that the worker ignores a late copy of its launch. */
static void clear_ended(const struct ow_machine *machine, const struct ow_job *job,
                        const struct ow_task_status *task_status, GArray *commands)
{
    if (job == NULL ||
        ow_machine_has_unacknowledged_launch(machine, job, task_status->task, task_status->attempt))
        return;
    bool is_known = job->execution != NULL && task_status->task < job->execution->count;
    if (ow_job_is_over(job) ||
        (is_known && task_status->cause == OW_CAUSE_DONE && is_result_recorded(job, task_status->task)))
        add_command(commands, OW_WORKER_CLEAR, task_status);
}

/* ---- tasks without a recorded attempt: late copies of launches ---- */

/* Whether the task belongs to a batch job that is not over, is not done and has no attempt. */
static bool awaits_result(const struct ow_job *job, uint32_t task)
{
    if (job == NULL || job->execution == NULL || ow_job_is_over(job))
        return false;
    if (ow_execution_is_service(job->execution) || task >= job->execution->count)
        return false;
    return !job->execution->tasks[task].is_done && job->execution->tasks[task].attempt == NULL;
}

/* A result counts even if its attempt has already been ended as lost. */
static void apply_unrecorded_exit(struct ow_leader *leader, const struct ow_machine *machine,
                                  struct ow_job *job, const struct ow_task_status *task_status,
                                  GArray *commands)
{
    if (task_status->cause == OW_CAUSE_DONE && awaits_result(job, task_status->task)) {
        job->execution->tasks[task_status->task].is_done = true;
        job->execution->done++;
        ow_recorder_queue_deferred(leader, job->execution, task_status->task);
    }
    clear_ended(machine, job, task_status, commands);
}

/* Counts the resources that the task uses until it ends. Without the job's spec (unknown job, or job that is
   over) the whole machine is assumed to be in use. */
static void count_unknown_use(struct ow_leader *leader, struct ow_machine *machine, const struct ow_job *job)
{
    const struct ow_machine_type *type = ow_machine_type_of(leader, machine);
    if (job != NULL && job->spec != NULL)
        ow_resources_add(&machine->load.unknown_tasks_use, &job->spec->submission->need, 1);
    else if (type != NULL)
        ow_resources_add(&machine->load.unknown_tasks_use, &type->size, 1);
}

static void apply_unrecorded_task(struct ow_leader *leader, struct ow_machine *machine, struct ow_job *job,
                                  const struct ow_task_status *task_status, GArray *commands)
{
    if (task_status->phase == OW_PHASE_EXITED) {
        apply_unrecorded_exit(leader, machine, job, task_status, commands);
        return;
    }
    count_unknown_use(leader, machine, job);
    g_info("task without record is stopped: job=%s task=%u attempt=%" G_GUINT64_FORMAT " machine=%s",
           task_status->job, task_status->task, task_status->attempt, machine->name);
    add_command(commands, OW_WORKER_STOP, task_status);
}

/* ---- tasks of recorded attempts ---- */

static bool is_seen_running(const struct ow_attempt *attempt)
{
    return attempt->state == OW_ATTEMPT_REPORTED && attempt->phase == OW_PHASE_RUNNING;
}

static void apply_phase(struct ow_leader *leader, struct ow_attempt *attempt, enum ow_task_phase phase)
{
    struct ow_execution *execution = attempt->job->execution;
    if (attempt->state == OW_ATTEMPT_SENT)
        attempt->machine->liveness.unanswered_since = 0; /* a launch has arrived, by either route */
    execution->running -= is_seen_running(attempt) ? 1 : 0;
    attempt->state = OW_ATTEMPT_REPORTED;
    attempt->phase = phase;
    execution->running += is_seen_running(attempt) ? 1 : 0;
    if (phase == OW_PHASE_RUNNING && attempt->running_at == 0)
        attempt->running_at = leader->core->now;
    ow_machine_image_note_use(leader, attempt->machine, attempt->job->spec, phase != OW_PHASE_FETCHING);
}

static void apply_exit(struct ow_leader *leader, struct ow_attempt *attempt,
                       const struct ow_task_status *task_status, GArray *commands)
{
    const struct ow_job *job = attempt->job;
    struct ow_machine *machine = attempt->machine;
    if (task_status->cause == OW_CAUSE_DONE)
        ow_machine_image_note_use(leader, machine, job->spec, true);
    else
        g_info("task ended without result: job=%s task=%u attempt=%" G_GUINT64_FORMAT
               " machine=%s cause=%s checkpoint=%s",
               task_status->job, task_status->task, task_status->attempt, machine->name,
               ow_exit_cause_name(task_status->cause), task_status->saved ? "saved" : "none");
    ow_attempt_end(leader, attempt, task_status->cause, "the worker lists the attempt as exited");
    clear_ended(machine, job, task_status, commands);
}

static void apply_task_status(struct ow_leader *leader, struct ow_machine *machine,
                              const struct ow_task_status *task_status, GArray *commands)
{
    struct ow_job *job = ow_jobs_find(leader->core->jobs, task_status->job);
    struct ow_attempt *attempt = find_attempt(machine, job, task_status);
    if (attempt == NULL) {
        apply_unrecorded_task(leader, machine, job, task_status, commands);
        return;
    }
    attempt->heartbeat_generation = machine->liveness.heartbeat_generation;
    if (task_status->phase == OW_PHASE_EXITED)
        apply_exit(leader, attempt, task_status, commands);
    else
        apply_phase(leader, attempt, task_status->phase);
}

/* ---- recorded attempts that are missing from the worker's list ---- */

/* Safety rule 2, proof by a newer heartbeat that lacks the attempt. An older leader's launch can no
   longer be executed, since the worker has seen this leader's fencing token: the attempt is gone. A launch of
   this leader may still be in flight: nothing is proven, and it is sent again until the worker lists it. */
static void apply_absence(struct ow_leader *leader, struct ow_attempt *attempt)
{
    if (attempt->state == OW_ATTEMPT_INHERITED) {
        ow_attempt_end(leader, attempt, OW_CAUSE_NONE,
                       "the worker does not list the attempt under the new fencing token");
    } else if (attempt->state == OW_ATTEMPT_REPORTED) {
        attempt->job->execution->running -= is_seen_running(attempt) ? 1 : 0;
        attempt->state = OW_ATTEMPT_SENT;
    }
}

static void apply_absent_tasks(struct ow_leader *leader, struct ow_machine *machine)
{
    for (guint i = machine->load.attempts->len; i > 0; i--) {
        /* Ending one attempt may end others of its gang and remove them from the array. */
        if (i > machine->load.attempts->len)
            continue;
        struct ow_attempt *attempt = g_ptr_array_index(machine->load.attempts, i - 1);
        if (attempt->heartbeat_generation != machine->liveness.heartbeat_generation &&
            attempt->incarnation == machine->liveness.incarnation)
            apply_absence(leader, attempt);
    }
}

void ow_reconcile_tasks(struct ow_leader *leader, struct ow_machine *machine, const GArray *tasks,
                        GArray *commands)
{
    machine->liveness.heartbeat_generation = ++leader->heartbeat_generation;
    machine->load.unknown_tasks_use = (struct ow_resources){0};
    for (guint i = 0; i < tasks->len; i++)
        apply_task_status(leader, machine, &g_array_index(tasks, struct ow_task_status, i), commands);
    apply_absent_tasks(leader, machine);
}

/* Safety rule 2, proof by a newer incarnation: the tasks of an incarnation end with it, and each attempt is
   recorded with the incarnation that it belongs to. */
void ow_reconcile_older_incarnations(struct ow_leader *leader, struct ow_machine *machine)
{
    for (guint i = machine->load.attempts->len; i > 0; i--) {
        /* Ending one attempt may end others of its gang and remove them from the array. */
        if (i > machine->load.attempts->len)
            continue;
        struct ow_attempt *attempt = g_ptr_array_index(machine->load.attempts, i - 1);
        if (attempt->incarnation < machine->liveness.incarnation)
            ow_attempt_end(leader, attempt, OW_CAUSE_NONE, "the worker has begun a new incarnation");
    }
}

GArray *ow_reconcile_cancelled(const struct ow_leader *leader, const struct ow_heartbeat *heartbeat)
{
    GArray *commands = g_array_new(FALSE, FALSE, sizeof(struct ow_worker_command));
    for (guint i = 0; i < heartbeat->tasks->len; i++) {
        const struct ow_task_status *task_status = &g_array_index(heartbeat->tasks, struct ow_task_status, i);
        const struct ow_job *job = ow_jobs_find(leader->core->jobs, task_status->job);
        if (job != NULL && job->state == OW_JOB_CANCELLED && task_status->phase != OW_PHASE_EXITED)
            add_command(commands, OW_WORKER_STOP, task_status);
    }
    return commands;
}
