/* What workers report, and what it proves. */
#include "core/machines/reconciliation.h"
#include "core/jobs/attempt.h"
#include "core/jobs/attempt_end.h"
#include "core/jobs/execution.h"
#include "core/leader/leader_state.h"
#include "core/machines/command_queue.h"
#include "core/machines/fleet.h"
#include "core/machines/machine.h"
#include "core/machines/machine_registry.h"
#include "core/machines/reclaim_notice.h"
#include "core/records/recorder.h"
#include "model/cloud.h"
#include "model/resources.h"
#include "model/submission.h"
#include "model/worker.h"

#include <string.h>

static struct ow_attempt *find_attempt(struct ow_machine *machine, const struct ow_job *job,
                                       const struct ow_task_status *task_status)
{
    if (job == NULL || job->execution == NULL || task_status->task >= job->execution->count)
        return NULL;
    struct ow_attempt *attempt = job->execution->tasks[task_status->task].attempt;
    if (attempt == NULL || attempt->machine != machine)
        return NULL;
    if (attempt->number != task_status->attempt || attempt->incarnation != machine->incarnation)
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

static bool result_recorded(const struct ow_job *job, uint32_t task)
{
    if (ow_job_over(job))
        return true;
    /* The final record takes the place of the chunks, and is not there yet. */
    if (job->execution->finishing)
        return false;
    const struct ow_chunk *chunk = ow_execution_chunk(job->execution, task);
    return job->execution->tasks[task].done && !chunk->dirty && !chunk->writing;
}

/* Rule 3: an ended task is cleared only when nothing can deliver its launch again, and a result only
   after it has been recorded. While the job goes on, an attempt that ended in any other way stays known
   to the worker: a late copy of its launch then finds it there and does nothing. */
static void clear_ended(struct ow_machine *machine, const struct ow_job *job,
                        const struct ow_task_status *task_status, GArray *commands)
{
    if (job == NULL ||
        ow_machine_has_unacknowledged_launch(machine, job, task_status->task, task_status->attempt))
        return;
    bool known = job->execution != NULL && task_status->task < job->execution->count;
    if (ow_job_over(job) ||
        (known && task_status->cause == OW_CAUSE_DONE && result_recorded(job, task_status->task)))
        add_command(commands, OW_WORKER_CLEAR, task_status);
}

/* Whether the task belongs to a batch job that goes on, is not done and has no attempt. */
static bool awaits_result(const struct ow_job *job, uint32_t task)
{
    if (job == NULL || job->execution == NULL || ow_job_over(job))
        return false;
    if (ow_execution_is_service(job->execution) || task >= job->execution->count)
        return false;
    return !job->execution->tasks[task].done && job->execution->tasks[task].attempt == NULL;
}

/* A task that no record of ours accounts for: a copy of an old launch. */
static void apply_unrecorded_task(struct ow_leader *leader, struct ow_machine *machine, struct ow_job *job,
                                  const struct ow_task_status *task_status, GArray *commands)
{
    if (task_status->phase == OW_PHASE_EXITED) {
        /* A result counts even if its attempt had been ended as lost. */
        if (task_status->cause == OW_CAUSE_DONE && awaits_result(job, task_status->task)) {
            job->execution->tasks[task_status->task].done = true;
            job->execution->done++;
            ow_recorder_queue_lazy(leader, job->execution, task_status->task);
        }
        clear_ended(machine, job, task_status, commands);
        return;
    }
    const struct ow_job_spec *spec = job != NULL ? job->spec : NULL;
    const struct ow_machine_type *type = ow_machine_type_of(leader, machine);
    const struct ow_resources *need = NULL;
    if (spec != NULL)
        need = &spec->submission->need;
    else if (type != NULL)
        need = &type->size;
    if (need != NULL)
        ow_resources_add(&machine->unknown_tasks_use, need, 1);
    g_info("task %s/%u attempt %" G_GUINT64_FORMAT " on %s is unaccounted for and is stopped",
           task_status->job, task_status->task, task_status->attempt, machine->name);
    add_command(commands, OW_WORKER_STOP, task_status);
}

static void apply_phase(struct ow_leader *leader, struct ow_attempt *attempt, enum ow_task_phase phase)
{
    struct ow_execution *execution = attempt->job->execution;
    bool was_running = attempt->state == OW_ATTEMPT_SEEN && attempt->phase == OW_PHASE_RUNNING;
    if (attempt->state == OW_ATTEMPT_SENT)
        attempt->machine->unanswered_since = 0; /* the command has arrived, by whichever way */
    attempt->state = OW_ATTEMPT_SEEN;
    attempt->phase = phase;
    execution->running += (phase == OW_PHASE_RUNNING ? 1 : 0) - (was_running ? 1 : 0);
    if (phase == OW_PHASE_RUNNING && attempt->running_at == 0)
        attempt->running_at = leader->core->now;
    ow_machine_image_use(leader, attempt->machine, attempt->job->spec, phase != OW_PHASE_FETCHING);
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
    attempt->heartbeat_generation = machine->heartbeat_generation;
    if (task_status->phase != OW_PHASE_EXITED) {
        apply_phase(leader, attempt, task_status->phase);
        return;
    }
    if (task_status->cause == OW_CAUSE_DONE)
        ow_machine_image_use(leader, machine, job->spec, true);
    else
        g_info("task %s/%u on %s ended: cause %d%s", task_status->job, task_status->task, machine->name,
               task_status->cause, task_status->saved ? ", saved" : "");
    ow_attempt_end(leader, attempt, task_status->cause, "reported as ended");
    clear_ended(machine, job, task_status, commands);
}

static void apply_absent_tasks(struct ow_leader *leader, struct ow_machine *machine)
{
    for (guint i = machine->attempts->len; i > 0; i--) {
        if (i > machine->attempts->len)
            continue;
        struct ow_attempt *attempt = g_ptr_array_index(machine->attempts, i - 1);
        if (attempt->heartbeat_generation == machine->heartbeat_generation ||
            attempt->incarnation != machine->incarnation)
            continue;
        /* An older leader's launch can't come true any more: the worker has seen our fencing token.
           Our own may still be on its way; it is sent again until it shows. */
        if (attempt->state == OW_ATTEMPT_INHERITED)
            ow_attempt_end(leader, attempt, OW_CAUSE_NONE, "not on its machine under the new token");
        else if (attempt->state == OW_ATTEMPT_SEEN) {
            if (attempt->phase == OW_PHASE_RUNNING)
                attempt->job->execution->running--;
            attempt->state = OW_ATTEMPT_SENT;
        }
    }
}

static void begin_incarnation(struct ow_machine *machine, uint64_t incarnation)
{
    machine->incarnation = incarnation;
    machine->seq = 0;
    machine->expired_incarnation = MAX(machine->expired_incarnation, incarnation - 1);
    g_array_set_size(machine->unacknowledged_launches, 0);
}

static void end_older_incarnations(struct ow_leader *leader, struct ow_machine *machine)
{
    for (guint i = machine->attempts->len; i > 0; i--) {
        if (i > machine->attempts->len)
            continue;
        struct ow_attempt *attempt = g_ptr_array_index(machine->attempts, i - 1);
        if (attempt->incarnation < machine->incarnation)
            ow_attempt_end(leader, attempt, OW_CAUSE_NONE, "its machine has begun a new session");
    }
}

/* What a heartbeat says of its machine whichever leader's commands it accepts. A incarnation that has ended
   took its tasks along, whichever fencing token the worker has seen: attempts are recorded with the
   incarnation that they were meant for. */
static void apply_incarnation(struct ow_leader *leader, struct ow_machine *machine,
                              const struct ow_heartbeat *heartbeat)
{
    if (heartbeat->incarnation > machine->incarnation)
        begin_incarnation(machine, heartbeat->incarnation);
    /* Also in an incarnation that records have named before: others may name older ones. */
    end_older_incarnations(leader, machine);
    machine->listed = OW_LISTED_RUNNING;
    machine->last_message_at = leader->core->now;
    if (machine->first_message_at == 0)
        machine->first_message_at = leader->core->now;
    machine->seq = heartbeat->seq;
}

static void note_fenced(struct ow_leader *leader, struct ow_machine *machine)
{
    machine->fenced = true;
    machine->fenced_at = machine->idle_since = leader->core->now;
    machine->unanswered_since = 0;
    ow_leader_request_cycle(leader);
    g_info("machine %s reports, session %" G_GUINT64_FORMAT, machine->name, machine->incarnation);
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

struct ow_machine *ow_reconcile_heartbeat(struct ow_leader *leader, const struct ow_heartbeat *heartbeat,
                                          GArray *commands)
{
    /* A copy of an old heartbeat must not bring a deleted machine back. */
    if (ow_fleet_has_terminated(leader, heartbeat->machine))
        return NULL;
    struct ow_machine *machine = ow_machines_find_or_add(leader, heartbeat->machine);
    /* A late copy says nothing about now, renews nothing, and an incarnation proven over is over. */
    if (heartbeat->incarnation < machine->incarnation ||
        (heartbeat->incarnation == machine->incarnation && heartbeat->seq <= machine->seq) ||
        heartbeat->incarnation <= machine->expired_incarnation)
        return machine;
    ow_machine_describe(leader, machine, heartbeat->addr, heartbeat->type, heartbeat->zone, heartbeat->spot);
    apply_incarnation(leader, machine, heartbeat);
    if (heartbeat->fencing_token != leader->fencing_token || leader->phase != OW_LEADER_READY) {
        /* Until it has seen our fencing token an older leader may still change what it says. */
        if (leader->phase == OW_LEADER_READY)
            ow_command_queue_add_unfenced(leader, machine);
        return machine;
    }
    if (!machine->fenced)
        note_fenced(leader, machine);
    machine->heartbeat_generation = ++leader->heartbeat_generation;
    machine->unknown_tasks_use = (struct ow_resources){0};
    ow_reclaim_notice_apply(leader, machine, heartbeat->reclaim_notice_s);
    for (guint i = 0; i < heartbeat->tasks->len; i++)
        apply_task_status(leader, machine, &g_array_index(heartbeat->tasks, struct ow_task_status, i),
                          commands);
    apply_absent_tasks(leader, machine);
    return machine;
}
