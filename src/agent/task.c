#include "agent/task.h"

#include <string.h>

/* Exit statuses of tasks: success, and EX_TEMPFAIL from a task of a gang that has lost one of its peers. */
enum { STATUS_DONE = 0, STATUS_PEERS_LOST = 75 };

struct agent_task *agent_task_new(const struct ow_worker_command *command)
{
    struct agent_task *task = g_new0(struct agent_task, 1);
    g_strlcpy(task->status.job, command->job, sizeof task->status.job);
    task->status.task = command->task;
    task->status.attempt = command->attempt;
    return task;
}

void agent_task_free(struct agent_task *task)
{
    if (task->supervisor != NULL)
        agent_supervisor_free(task->supervisor);
    wire_job_description_free(task->description);
    g_free(task);
}

bool agent_task_is_of(const struct agent_task *task, const struct ow_worker_command *command)
{
    return task->status.task == command->task && strcmp(task->status.job, command->job) == 0;
}

static struct agent_attempt attempt_of(const struct agent_task *task)
{
    return (struct agent_attempt){
        .job = task->status.job, .task = task->status.task, .attempt = task->status.attempt};
}

/* Marks the attempt as exited; heartbeats report it until a controller clears it. */
static void mark_exited(struct agent_task *task, const struct agent_task_context *context,
                        enum ow_exit_cause cause)
{
    struct agent_attempt attempt = attempt_of(task);
    task->status.phase = OW_PHASE_EXITED;
    task->status.cause = cause;
    agent_history_record_exit(context->history, &attempt, cause);
}

void agent_task_start(struct agent_task *task, const struct agent_task_context *context,
                      struct wire_job_description *description)
{
    struct agent_task_command command = {
        .attempt = attempt_of(task),
        .argv = description->command,
        .lease = context->lease,
        .history = context->history,
        .lock_fd = context->incarnation->lock_fd,
    };
    agent_history_record_launch(context->history, &command.attempt, context->incarnation->fencing_token);
    task->status.phase = OW_PHASE_RUNNING;
    task->may_checkpoint = description->submission->checkpoint_interval_s > 0;
    task->description = description;
    task->supervisor = agent_supervisor_start(&command);
    if (task->supervisor == NULL)
        mark_exited(task, context, OW_CAUSE_ERROR);
}

void agent_task_refuse(struct agent_task *task, const struct agent_task_context *context,
                       enum ow_exit_cause cause)
{
    mark_exited(task, context, cause);
}

void agent_task_stop(struct agent_task *task, double grace_s)
{
    if (task->supervisor == NULL)
        return;
    double needed_s = task->description->submission->checkpoint_duration_s;
    task->may_checkpoint = task->may_checkpoint && grace_s >= needed_s && grace_s > 0;
    if (task->may_checkpoint)
        task->status.phase = OW_PHASE_CHECKPOINTING;
    task->is_stop_requested = true;
    agent_supervisor_stop(task->supervisor, task->may_checkpoint ? grace_s : 0);
}

static enum ow_exit_cause exit_cause(const struct agent_task *task, enum agent_task_end end, int status)
{
    if (task->is_stop_requested && (end == AGENT_END_STOPPED || end == AGENT_END_KILLED))
        return OW_CAUSE_STOPPED;
    if (end != AGENT_END_EXIT)
        return OW_CAUSE_ERROR;
    if (status == STATUS_DONE)
        return OW_CAUSE_DONE;
    return status == STATUS_PEERS_LOST ? OW_CAUSE_PEERS : OW_CAUSE_ERROR;
}

bool agent_task_poll(struct agent_task *task, const struct agent_task_context *context)
{
    int status = 0;
    if (task->supervisor == NULL)
        return false;
    enum agent_task_end task_end = agent_supervisor_poll(task->supervisor, &status);
    if (task_end == AGENT_END_NONE)
        return false;
    task->status.saved = task_end == AGENT_END_STOPPED && task->may_checkpoint && status == STATUS_DONE;
    mark_exited(task, context, exit_cause(task, task_end, status));
    agent_supervisor_free(g_steal_pointer(&task->supervisor));
    wire_job_description_free(g_steal_pointer(&task->description));
    return true;
}
