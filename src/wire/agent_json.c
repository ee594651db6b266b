#include "wire/agent_json.h"

#include "model/submission.h"
#include "model/worker.h"
#include "wire/json.h"
#include "wire/user_json.h"
#include "wire/words.h"
#include "wire/worker_json.h"

#include <string.h>

/* The one field of a job's description that a submission has not. */
#define F_COMMAND "command"

static json_t *task_json(const struct ow_task_status *task)
{
    char name[OW_ID_MAX + 16];
    g_snprintf(name, sizeof name, "%s/%u", task->job, task->task);
    json_t *object = json_pack("{s:s,s:I,s:s}", W_TASK, name, W_ATTEMPT, (json_int_t)task->attempt, W_STATE,
                               wire_phases[task->phase]);
    if (task->phase == OW_PHASE_EXITED)
        json_object_set_new(object, W_CAUSE, json_string(wire_causes[task->cause]));
    if (task->saved)
        json_object_set_new(object, W_CHECKPOINT_SAVED, json_true());
    return object;
}

char *wire_heartbeat_encode(const struct ow_heartbeat *heartbeat)
{
    json_t *tasks = json_array();
    for (guint i = 0; i < heartbeat->tasks->len; i++)
        json_array_append_new(tasks, task_json(&g_array_index(heartbeat->tasks, struct ow_task_status, i)));
    json_t *notice = heartbeat->reclaim_notice_s >= 0 ? json_real(heartbeat->reclaim_notice_s) : json_null();
    return wire_json_print_and_unref(json_pack(
        "{s:s,s:s,s:s,s:s,s:b,s:I,s:I,s:I,s:o,s:o}", W_MACHINE, heartbeat->machine, W_ADDRESS,
        heartbeat->addr, W_TYPE, heartbeat->type, W_ZONE, heartbeat->zone, W_SPOT, (int)heartbeat->spot,
        W_INCARNATION, (json_int_t)heartbeat->incarnation, W_SEQUENCE, (json_int_t)heartbeat->seq,
        W_FENCING_TOKEN, (json_int_t)heartbeat->fencing_token, W_RECLAIM_NOTICE_S, notice, W_TASKS, tasks));
}

static bool parse_command(const json_t *object, struct ow_worker_command *command)
{
    const char *kind = NULL, *name = NULL;
    memset(command, 0, sizeof *command);
    if (!wire_json_get_string(object, W_COMMAND, &kind) || !wire_json_get_string(object, W_TASK, &name) ||
        !wire_json_get_count(object, W_ATTEMPT, &command->attempt))
        return false;
    int index = wire_word_index(wire_worker_commands, kind);
    if (index < 0)
        return false;
    command->kind = (enum ow_worker_command_kind)index;
    wire_json_get_number(object, W_GRACE_S, &command->grace_s);
    return wire_task_name_decode(name, command->job, &command->task);
}

static bool parse_commands(const json_t *list, GArray *commands)
{
    size_t i;
    json_t *item;
    if (!json_is_array(list))
        return false;
    json_array_foreach(list, i, item)
    {
        struct ow_worker_command command;
        if (!parse_command(item, &command))
            return false;
        g_array_append_val(commands, command);
    }
    return true;
}

struct wire_command_batch *wire_worker_commands_decode(const char *text, size_t size)
{
    json_t *object = wire_json_parse_object(text, size);
    if (object == NULL)
        return NULL;
    struct wire_command_batch *orders = g_new0(struct wire_command_batch, 1);
    orders->commands = g_array_new(FALSE, FALSE, sizeof(struct ow_worker_command));
    orders->has_fencing_token = wire_json_get_count(object, W_FENCING_TOKEN, &orders->fencing_token);
    orders->has_incarnation = wire_json_get_count(object, W_INCARNATION, &orders->incarnation);
    bool ok = parse_commands(json_object_get(object, W_COMMANDS), orders->commands);
    json_decref(object);
    if (ok)
        return orders;
    wire_command_batch_free(orders);
    return NULL;
}

void wire_command_batch_free(struct wire_command_batch *orders)
{
    if (orders == NULL)
        return;
    g_array_free(orders->commands, TRUE);
    g_free(orders);
}

char *wire_redirect_decode(const char *text, size_t size)
{
    json_t *object = wire_json_parse_object(text, size);
    const char *name = NULL;
    if (object != NULL)
        wire_json_get_string(object, W_REDIRECT_TO, &name);
    char *copy = g_strdup(name);
    json_decref(object);
    return copy;
}

struct wire_job_description *wire_job_description_decode(const char *text, size_t size)
{
    const char *fault = NULL;
    char id[OW_ID_MAX + 1];
    json_t *object = wire_json_parse_object(text, size);
    char **command = object != NULL ? wire_json_copy_strings(json_object_get(object, F_COMMAND)) : NULL;
    json_decref(object);
    struct ow_submission *submission = wire_submission_decode(text, size, id, &fault);
    if (command == NULL || command[0] == NULL || submission == NULL) {
        g_strfreev(command);
        ow_submission_free(submission);
        return NULL;
    }
    struct wire_job_description *description = g_new0(struct wire_job_description, 1);
    description->submission = submission;
    description->command = command;
    return description;
}

void wire_job_description_free(struct wire_job_description *description)
{
    if (description == NULL)
        return;
    ow_submission_free(description->submission);
    g_strfreev(description->command);
    g_free(description);
}
