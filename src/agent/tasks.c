#include "agent/tasks.h"

#include "model/resources.h"
#include "model/worker.h"
#include "wire/submission_json.h"

#include <inttypes.h>
#include <string.h>

/* The exit status by which a gang's task says that another one is gone (EX_TEMPFAIL). */
enum { STATUS_PEERS = 75, STATUS_DONE = 0 };

/* A task that the agent knows, until it is told to clear it. */
struct task {
    struct ow_task_status heartbeat;
    struct agent_supervisor *supervisor;      /* NULL: it has ended, or never began */
    struct wire_job_description *description; /* while there is a supervisor */
    bool told_to_stop, may_checkpoint;
};

struct agent_tasks {
    const struct agent_options *options;
    const struct agent_incarnation *incarnation;
    const struct agent_lease *lease;
    const struct agent_history *history;
    GPtrArray *list; /* struct task, owned */
};

static void task_free(void *item)
{
    struct task *task = item;
    if (task->supervisor != NULL)
        agent_supervisor_free(task->supervisor);
    wire_job_description_free(task->description);
    g_free(task);
}

struct agent_tasks *agent_tasks_new(const struct agent_options *options,
                                    const struct agent_incarnation *incarnation,
                                    const struct agent_lease *lease, const struct agent_history *history)
{
    struct agent_tasks *tasks = g_new0(struct agent_tasks, 1);
    tasks->options = options;
    tasks->incarnation = incarnation;
    tasks->lease = lease;
    tasks->history = history;
    tasks->list = g_ptr_array_new_with_free_func(task_free);
    return tasks;
}

void agent_tasks_free(struct agent_tasks *tasks)
{
    g_ptr_array_free(tasks->list, TRUE);
    g_free(tasks);
}

static bool is_task(const struct task *task, const struct ow_worker_command *command)
{
    return task->heartbeat.task == command->task && strcmp(task->heartbeat.job, command->job) == 0;
}

static struct task *find(const struct agent_tasks *tasks, const struct ow_worker_command *command)
{
    for (guint i = 0; i < tasks->list->len; i++) {
        struct task *task = g_ptr_array_index(tasks->list, i);
        if (is_task(task, command) && task->heartbeat.attempt == command->attempt)
            return task;
    }
    return NULL;
}

/* ---- launches ---- */

static bool runs_with_other_attempt(const struct agent_tasks *tasks, const struct ow_worker_command *command)
{
    for (guint i = 0; i < tasks->list->len; i++) {
        const struct task *task = g_ptr_array_index(tasks->list, i);
        if (is_task(task, command) && task->heartbeat.phase != OW_PHASE_EXITED)
            return true;
    }
    return false;
}

/* Whether what is free is enough. */
static bool fits(const struct agent_tasks *tasks, const struct ow_resources *need)
{
    struct ow_resources left = tasks->options->size;
    for (guint i = 0; i < tasks->list->len; i++) {
        const struct task *task = g_ptr_array_index(tasks->list, i);
        if (task->supervisor != NULL)
            ow_resources_add(&left, &task->description->submission->need, -1);
    }
    return need->cpus <= left.cpus && need->gpus <= left.gpus && need->memory_gb <= left.memory_gb;
}

/* What the job's user has uploaded, or NULL. */
static struct wire_job_description *read_description(const struct agent_tasks *tasks, const char *job)
{
    char *name = g_strconcat(job, ".json", NULL);
    char *path = g_build_filename(tasks->options->jobs_dir, name, NULL);
    char *text = NULL;
    gsize size = 0;
    struct wire_job_description *description = NULL;
    if (g_file_get_contents(path, &text, &size, NULL))
        description = wire_job_description_decode(text, size);
    g_free(text);
    g_free(path);
    g_free(name);
    return description;
}

/* Why the launch is refused; OW_CAUSE_NONE: it is not. */
static enum ow_exit_cause refusal(const struct agent_tasks *tasks, const struct ow_worker_command *command,
                                  const struct wire_job_description *description)
{
    if (description == NULL || command->task >= description->submission->tasks)
        return OW_CAUSE_UNKNOWN;
    if (runs_with_other_attempt(tasks, command))
        return OW_CAUSE_BUSY;
    return fits(tasks, &description->submission->need) ? OW_CAUSE_NONE : OW_CAUSE_FULL;
}

static void end_task(const struct agent_tasks *tasks, struct task *task, enum ow_exit_cause cause)
{
    task->heartbeat.phase = OW_PHASE_EXITED;
    task->heartbeat.cause = cause;
    agent_history_add(tasks->history, "exited",
                      ",\"task\":\"%s/%" PRIu32 "\",\"attempt\":%" PRIu64 ",\"cause\":%d",
                      task->heartbeat.job, task->heartbeat.task, task->heartbeat.attempt, (int)cause);
}

static void start(const struct agent_tasks *tasks, struct task *task,
                  struct wire_job_description *description)
{
    struct agent_task_command run = {
        .job = task->heartbeat.job,
        .task = task->heartbeat.task,
        .attempt = task->heartbeat.attempt,
        .words = description->command,
        .lease = tasks->lease,
        .history = tasks->history,
        .lock_fd = tasks->incarnation->lock_fd,
    };
    agent_history_add(tasks->history, "launched",
                      ",\"task\":\"%s/%" PRIu32 "\",\"attempt\":%" PRIu64 ",\"token\":%" PRIu64, run.job,
                      run.task, run.attempt, tasks->incarnation->fencing_token);
    task->heartbeat.phase = OW_PHASE_RUNNING;
    task->may_checkpoint = description->submission->checkpoint_interval_s > 0;
    task->description = description;
    task->supervisor = agent_supervisor_start(&run);
    if (task->supervisor == NULL)
        end_task(tasks, task, OW_CAUSE_ERROR);
}

static void launch(struct agent_tasks *tasks, const struct ow_worker_command *command)
{
    if (find(tasks, command) != NULL)
        return;
    struct task *task = g_new0(struct task, 1);
    g_strlcpy(task->heartbeat.job, command->job, sizeof task->heartbeat.job);
    task->heartbeat.task = command->task;
    task->heartbeat.attempt = command->attempt;
    struct wire_job_description *description = read_description(tasks, command->job);
    enum ow_exit_cause cause = refusal(tasks, command, description);
    g_ptr_array_add(tasks->list, task);
    if (cause == OW_CAUSE_NONE) {
        start(tasks, task, description);
    } else {
        wire_job_description_free(description);
        end_task(tasks, task, cause);
    }
}

/* ---- stops, clears, ends ---- */

static void stop(struct task *task, double grace_s)
{
    if (task == NULL || task->supervisor == NULL)
        return;
    double checkpoint_duration_s = task->description->submission->checkpoint_duration_s;
    bool has_checkpoints = task->may_checkpoint && grace_s >= checkpoint_duration_s && grace_s > 0;
    if (has_checkpoints)
        task->heartbeat.phase = OW_PHASE_CHECKPOINTING;
    task->may_checkpoint = task->may_checkpoint && has_checkpoints;
    task->told_to_stop = true;
    agent_supervisor_stop(task->supervisor, has_checkpoints ? grace_s : 0);
}

static void clear(struct agent_tasks *tasks, struct task *task)
{
    if (task != NULL && task->heartbeat.phase == OW_PHASE_EXITED)
        g_ptr_array_remove(tasks->list, task);
}

void agent_tasks_obey(struct agent_tasks *tasks, const GArray *commands)
{
    for (guint i = 0; i < commands->len; i++) {
        const struct ow_worker_command *command = &g_array_index(commands, struct ow_worker_command, i);
        if (command->kind == OW_WORKER_LAUNCH)
            launch(tasks, command);
        else if (command->kind == OW_WORKER_STOP)
            stop(find(tasks, command), command->grace_s);
        else
            clear(tasks, find(tasks, command));
    }
}

static enum ow_exit_cause cause_of(const struct task *task, enum agent_task_end end, int status)
{
    if (task->told_to_stop && (end == AGENT_END_STOPPED || end == AGENT_END_KILLED))
        return OW_CAUSE_STOPPED;
    if (end != AGENT_END_EXIT)
        return OW_CAUSE_ERROR;
    if (status == STATUS_DONE)
        return OW_CAUSE_DONE;
    return status == STATUS_PEERS ? OW_CAUSE_PEERS : OW_CAUSE_ERROR;
}

bool agent_tasks_poll(struct agent_tasks *tasks)
{
    bool any = false;
    for (guint i = 0; i < tasks->list->len; i++) {
        struct task *task = g_ptr_array_index(tasks->list, i);
        int status = 0;
        enum agent_task_end end =
            task->supervisor != NULL ? agent_supervisor_poll(task->supervisor, &status) : AGENT_END_NONE;
        if (end == AGENT_END_NONE)
            continue;
        any = true;
        task->heartbeat.saved = end == AGENT_END_STOPPED && task->may_checkpoint && status == STATUS_DONE;
        end_task(tasks, task, cause_of(task, end, status));
        agent_supervisor_free(g_steal_pointer(&task->supervisor));
        wire_job_description_free(g_steal_pointer(&task->description));
    }
    return any;
}

void agent_tasks_forget_all(struct agent_tasks *tasks)
{
    /* All at once, and only then one after the other waited for. */
    for (guint i = 0; i < tasks->list->len; i++) {
        const struct task *task = g_ptr_array_index(tasks->list, i);
        if (task->supervisor != NULL)
            agent_supervisor_stop(task->supervisor, 0);
    }
    g_ptr_array_set_size(tasks->list, 0);
}

bool agent_tasks_any_running(const struct agent_tasks *tasks)
{
    for (guint i = 0; i < tasks->list->len; i++)
        if (((const struct task *)g_ptr_array_index(tasks->list, i))->supervisor != NULL)
            return true;
    return false;
}

void agent_tasks_status(const struct agent_tasks *tasks, GArray *out)
{
    for (guint i = 0; i < tasks->list->len; i++)
        g_array_append_val(out, ((const struct task *)g_ptr_array_index(tasks->list, i))->heartbeat);
}
