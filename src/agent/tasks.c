#include "agent/tasks.h"

#include "agent/task.h"
#include "model/resources.h"
#include "model/worker.h"
#include "wire/description_json.h"

struct agent_tasks {
    const struct agent_options *options;
    struct agent_task_context context;
    GPtrArray *list; /* struct agent_task, owned; in launch order */
};

static void free_item(void *item)
{
    agent_task_free(item);
}

struct agent_tasks *agent_tasks_new(const struct agent_options *options,
                                    const struct agent_incarnation *incarnation,
                                    const struct agent_lease *lease, const struct agent_history *history)
{
    struct agent_tasks *tasks = g_new0(struct agent_tasks, 1);
    tasks->options = options;
    tasks->context =
        (struct agent_task_context){.incarnation = incarnation, .lease = lease, .history = history};
    tasks->list = g_ptr_array_new_with_free_func(free_item);
    return tasks;
}

void agent_tasks_free(struct agent_tasks *tasks)
{
    g_ptr_array_free(tasks->list, TRUE);
    g_free(tasks);
}

static struct agent_task *task_at(const struct agent_tasks *tasks, guint index)
{
    return g_ptr_array_index(tasks->list, index);
}

/* The attempt that the command names, or NULL. */
static struct agent_task *find(const struct agent_tasks *tasks, const struct ow_worker_command *command)
{
    for (guint i = 0; i < tasks->list->len; i++) {
        struct agent_task *task = task_at(tasks, i);
        if (agent_task_is_of(task, command) && task->status.attempt == command->attempt)
            return task;
    }
    return NULL;
}

/* ---- launches ---- */

static bool has_running_attempt(const struct agent_tasks *tasks, const struct ow_worker_command *command)
{
    for (guint i = 0; i < tasks->list->len; i++) {
        const struct agent_task *task = task_at(tasks, i);
        if (agent_task_is_of(task, command) && task->status.phase != OW_PHASE_EXITED)
            return true;
    }
    return false;
}

/* Whether the resources not used by running tasks suffice. */
static bool has_room(const struct agent_tasks *tasks, const struct ow_resources *need)
{
    struct ow_resources left = tasks->options->size;
    for (guint i = 0; i < tasks->list->len; i++) {
        const struct agent_task *task = task_at(tasks, i);
        if (task->supervisor != NULL)
            ow_resources_add(&left, &task->description->submission->need, -1);
    }
    return need->cpus <= left.cpus && need->gpus <= left.gpus && need->memory_gb <= left.memory_gb;
}

/* Reads the job description that the user has uploaded; NULL if it is missing or malformed. */
static struct wire_job_description *read_description(const struct agent_tasks *tasks, const char *job)
{
    g_autofree char *name = g_strconcat(job, ".json", NULL);
    g_autofree char *path = g_build_filename(tasks->options->jobs_dir, name, NULL);
    g_autofree char *text = NULL;
    gsize size = 0;
    if (!g_file_get_contents(path, &text, &size, NULL))
        return NULL;
    return wire_job_description_decode(text, size);
}

/* Why the launch must be refused; OW_CAUSE_NONE if it is accepted. */
static enum ow_exit_cause refusal_cause(const struct agent_tasks *tasks,
                                        const struct ow_worker_command *command,
                                        const struct wire_job_description *description)
{
    if (description == NULL || command->task >= description->submission->tasks)
        return OW_CAUSE_UNKNOWN;
    if (has_running_attempt(tasks, command))
        return OW_CAUSE_BUSY;
    return has_room(tasks, &description->submission->need) ? OW_CAUSE_NONE : OW_CAUSE_FULL;
}

static void launch(struct agent_tasks *tasks, const struct ow_worker_command *command)
{
    if (find(tasks, command) != NULL)
        return;
    g_autoptr(wire_job_description) description = read_description(tasks, command->job);
    enum ow_exit_cause refusal = refusal_cause(tasks, command, description);
    struct agent_task *task = agent_task_new(command);
    g_ptr_array_add(tasks->list, task);
    if (refusal == OW_CAUSE_NONE)
        agent_task_start(task, &tasks->context, g_steal_pointer(&description));
    else
        agent_task_refuse(task, &tasks->context, refusal);
}

/* ---- commands ---- */

static void stop(struct agent_tasks *tasks, const struct ow_worker_command *command)
{
    struct agent_task *task = find(tasks, command);
    if (task != NULL)
        agent_task_stop(task, command->grace_s);
}

static void clear(struct agent_tasks *tasks, const struct ow_worker_command *command)
{
    struct agent_task *task = find(tasks, command);
    if (task != NULL && task->status.phase == OW_PHASE_EXITED)
        g_ptr_array_remove(tasks->list, task);
}

void agent_tasks_apply(struct agent_tasks *tasks, const GArray *commands)
{
    for (guint i = 0; i < commands->len; i++) {
        const struct ow_worker_command *command = &g_array_index(commands, struct ow_worker_command, i);
        switch (command->kind) {
        case OW_WORKER_LAUNCH:
            launch(tasks, command);
            break;
        case OW_WORKER_STOP:
            stop(tasks, command);
            break;
        case OW_WORKER_CLEAR:
            clear(tasks, command);
            break;
        }
    }
}

/* ---- all tasks ---- */

bool agent_tasks_poll(struct agent_tasks *tasks)
{
    bool has_any_ended = false;
    for (guint i = 0; i < tasks->list->len; i++)
        if (agent_task_poll(task_at(tasks, i), &tasks->context))
            has_any_ended = true;
    return has_any_ended;
}

void agent_tasks_kill_all(struct agent_tasks *tasks)
{
    /* Requests every stop before waiting for any task, so that the tasks end concurrently. */
    for (guint i = 0; i < tasks->list->len; i++) {
        const struct agent_task *task = task_at(tasks, i);
        if (task->supervisor != NULL)
            agent_supervisor_stop(task->supervisor, 0);
    }
    g_ptr_array_set_size(tasks->list, 0);
}

bool agent_tasks_has_running(const struct agent_tasks *tasks)
{
    for (guint i = 0; i < tasks->list->len; i++)
        if (task_at(tasks, i)->supervisor != NULL)
            return true;
    return false;
}

void agent_tasks_append_status(const struct agent_tasks *tasks, GArray *out)
{
    for (guint i = 0; i < tasks->list->len; i++)
        g_array_append_val(out, task_at(tasks, i)->status);
}
