#include "wire/worker_json.h"

#include "model/submission.h"
#include "model/worker.h"
#include "wire/json.h"
#include "wire/user_json.h"
#include "wire/words.h"

#include <string.h>

bool wire_task_name_decode(const char *text, char *job, uint32_t *task)
{
    const char *slash = strrchr(text, '/');
    if (slash == NULL || slash - text > OW_ID_MAX)
        return false;
    memcpy(job, text, (size_t)(slash - text));
    job[slash - text] = '\0';
    guint64 number = 0;
    if (!wire_job_id_valid(job) || !g_ascii_string_to_unsigned(slash + 1, 10, 0, OW_MAX_TASKS, &number, NULL))
        return false;
    *task = (uint32_t)number;
    return true;
}

static bool parse_task(const json_t *object, struct ow_task_status *out)
{
    const char *name = NULL, *phase = NULL, *cause = "";
    memset(out, 0, sizeof *out);
    if (!wire_json_get_string(object, W_TASK, &name) || !wire_task_name_decode(name, out->job, &out->task) ||
        !wire_json_get_count(object, W_ATTEMPT, &out->attempt) ||
        !wire_json_get_string(object, W_STATE, &phase))
        return false;
    int p = wire_word_index(wire_phases, phase);
    if (p < 0)
        return false;
    out->phase = (enum ow_task_phase)p;
    wire_json_get_string(object, W_CAUSE, &cause);
    wire_json_get_bool(object, W_CHECKPOINT_SAVED, &out->saved);
    int c = wire_word_index(wire_causes, cause);
    /* A cause we do not know still says that the task has ended. */
    out->cause = c < 0 ? OW_CAUSE_ERROR : (enum ow_exit_cause)c;
    return true;
}

static bool parse_tasks(const json_t *object, GArray *out)
{
    const json_t *list = json_object_get(object, W_TASKS);
    if (!json_is_array(list))
        return false;
    size_t i;
    json_t *item;
    json_array_foreach(list, i, item)
    {
        struct ow_task_status task;
        /* A task left out would read as a task that is gone: better no heartbeat at all. */
        if (!parse_task(item, &task))
            return false;
        g_array_append_val(out, task);
    }
    return true;
}

struct ow_heartbeat *wire_heartbeat_decode(const char *text, size_t size)
{
    json_t *object = wire_json_parse_object(text, size);
    if (object == NULL)
        return NULL;
    struct ow_heartbeat *heartbeat = g_new0(struct ow_heartbeat, 1);
    const char *machine = NULL, *addr = NULL, *type = NULL, *zone = NULL;
    heartbeat->tasks = g_array_new(FALSE, FALSE, sizeof(struct ow_task_status));
    heartbeat->reclaim_notice_s = -1;
    bool ok =
        wire_json_get_string(object, W_MACHINE, &machine) && wire_json_get_string(object, W_ADDRESS, &addr) &&
        wire_json_get_string(object, W_TYPE, &type) && wire_json_get_string(object, W_ZONE, &zone) &&
        wire_json_get_count(object, W_INCARNATION, &heartbeat->incarnation) &&
        wire_json_get_count(object, W_SEQUENCE, &heartbeat->seq) && parse_tasks(object, heartbeat->tasks);
    if (ok) {
        wire_json_get_bool(object, W_SPOT, &heartbeat->spot);
        wire_json_get_count(object, W_FENCING_TOKEN, &heartbeat->fencing_token);
        wire_json_get_number(object, W_RECLAIM_NOTICE_S, &heartbeat->reclaim_notice_s);
        heartbeat->machine = g_strdup(machine);
        heartbeat->addr = g_strdup(addr);
        heartbeat->type = g_strdup(type);
        heartbeat->zone = g_strdup(zone);
    }
    json_decref(object);
    if (ok)
        return heartbeat;
    ow_heartbeat_free(heartbeat);
    return NULL;
}

static json_t *commands_json(const GArray *commands)
{
    json_t *list = json_array();
    for (guint i = 0; commands != NULL && i < commands->len; i++) {
        const struct ow_worker_command *command = &g_array_index(commands, struct ow_worker_command, i);
        char name[OW_ID_MAX + 16];
        g_snprintf(name, sizeof name, "%s/%u", command->job, command->task);
        json_t *object = json_pack("{s:s,s:s,s:I}", W_COMMAND, wire_worker_commands[command->kind], W_TASK,
                                   name, W_ATTEMPT, (json_int_t)command->attempt);
        if (command->kind == OW_WORKER_STOP)
            json_object_set_new(object, W_GRACE_S, json_real(command->grace_s));
        json_array_append_new(list, object);
    }
    return list;
}

char *wire_worker_commands_encode(uint64_t fencing_token, const GArray *commands)
{
    return wire_json_print_and_unref(json_pack("{s:I,s:o}", W_FENCING_TOKEN, (json_int_t)fencing_token,
                                               W_COMMANDS, commands_json(commands)));
}

char *wire_direct_commands_encode(uint64_t fencing_token, uint64_t incarnation, const GArray *commands)
{
    return wire_json_print_and_unref(json_pack("{s:I,s:I,s:o}", W_FENCING_TOKEN, (json_int_t)fencing_token,
                                               W_INCARNATION, (json_int_t)incarnation, W_COMMANDS,
                                               commands_json(commands)));
}

char *wire_redirect_encode(const char *controller)
{
    return wire_json_print_and_unref(controller != NULL ? json_pack("{s:s}", W_REDIRECT_TO, controller)
                                                        : json_object());
}
