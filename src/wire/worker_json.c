#include "wire/worker_json.h"

#include "model/submission.h"
#include "model/worker.h"
#include "wire/json.h"
#include "wire/json_reader.h"
#include "wire/submission_json.h"
#include "wire/words.h"

#include <string.h>

/* ---- known fields ---- */

static const struct wire_json_field status_field_list[] = {
    WIRE_JSON_SCALAR(W_TASK),  WIRE_JSON_SCALAR(W_ATTEMPT),          WIRE_JSON_SCALAR(W_STATE),
    WIRE_JSON_SCALAR(W_CAUSE), WIRE_JSON_SCALAR(W_CHECKPOINT_SAVED),
};
static const struct wire_json_fields status_fields = WIRE_JSON_FIELDS(status_field_list);

static const struct wire_json_field heartbeat_field_list[] = {
    WIRE_JSON_SCALAR(W_MACHINE),
    WIRE_JSON_SCALAR(W_ADDRESS),
    WIRE_JSON_SCALAR(W_TYPE),
    WIRE_JSON_SCALAR(W_ZONE),
    WIRE_JSON_SCALAR(W_SPOT),
    WIRE_JSON_SCALAR(W_INCARNATION),
    WIRE_JSON_SCALAR(W_SEQUENCE),
    WIRE_JSON_SCALAR(W_FENCING_TOKEN),
    WIRE_JSON_SCALAR(W_RECLAIM_NOTICE_S),
    WIRE_JSON_OBJECTS(W_TASKS, &status_fields),
};
static const struct wire_json_fields heartbeat_fields = WIRE_JSON_FIELDS(heartbeat_field_list);

static const struct wire_json_field command_field_list[] = {
    WIRE_JSON_SCALAR(W_COMMAND),
    WIRE_JSON_SCALAR(W_TASK),
    WIRE_JSON_SCALAR(W_ATTEMPT),
    WIRE_JSON_SCALAR(W_GRACE_S),
};
static const struct wire_json_fields command_fields = WIRE_JSON_FIELDS(command_field_list);

static const struct wire_json_field batch_field_list[] = {
    WIRE_JSON_SCALAR(W_FENCING_TOKEN),
    WIRE_JSON_SCALAR(W_INCARNATION),
    WIRE_JSON_OBJECTS(W_COMMANDS, &command_fields),
};
static const struct wire_json_fields batch_fields = WIRE_JSON_FIELDS(batch_field_list);

static const struct wire_json_field redirect_field_list[] = {WIRE_JSON_SCALAR(W_REDIRECT_TO)};
static const struct wire_json_fields redirect_fields = WIRE_JSON_FIELDS(redirect_field_list);

/* ---- names of tasks: "<job>/<number>" ---- */

static json_t *task_name_to_json(const char *job, uint32_t task)
{
    g_autofree char *name = g_strdup_printf("%s/%u", job, task);
    return json_string(name);
}

/* Reads the name of a task. `job` must have room for OW_ID_MAX + 1 bytes. */
static bool task_name_from_json(const json_t *object, char *job, uint32_t *task)
{
    const char *name = NULL;
    if (!wire_json_get_string(object, W_TASK, &name))
        return false;
    const char *slash = strrchr(name, '/');
    if (slash == NULL || slash - name > OW_ID_MAX)
        return false;
    memcpy(job, name, (size_t)(slash - name));
    job[slash - name] = '\0';
    guint64 number = 0;
    if (!wire_job_id_is_valid(job) ||
        !g_ascii_string_to_unsigned(slash + 1, 10, 0, OW_MAX_TASKS, &number, NULL))
        return false;
    *task = (uint32_t)number;
    return true;
}

/* ---- heartbeats ---- */

static json_t *task_status_to_json(const struct ow_task_status *status)
{
    json_t *object =
        json_pack("{s:o,s:I,s:s}", W_TASK, task_name_to_json(status->job, status->task), W_ATTEMPT,
                  (json_int_t)status->attempt, W_STATE, wire_task_phases[status->phase]);
    if (status->phase == OW_PHASE_EXITED)
        json_object_set_new(object, W_CAUSE, json_string(wire_exit_causes[status->cause]));
    if (status->saved)
        json_object_set_new(object, W_CHECKPOINT_SAVED, json_true());
    return object;
}

static bool task_status_from_json(const json_t *object, struct ow_task_status *status)
{
    const char *phase_word = NULL;
    const char *cause_word = wire_exit_causes[OW_CAUSE_NONE];
    memset(status, 0, sizeof *status);
    if (!task_name_from_json(object, status->job, &status->task) ||
        !wire_json_get_count(object, W_ATTEMPT, &status->attempt) ||
        !wire_json_get_string(object, W_STATE, &phase_word))
        return false;
    int phase = wire_word_index(wire_task_phases, phase_word);
    if (phase < 0)
        return false;
    status->phase = (enum ow_task_phase)phase;
    if (!wire_json_get_optional_string(object, W_CAUSE, &cause_word) ||
        !wire_json_get_optional_bool(object, W_CHECKPOINT_SAVED, &status->saved))
        return false;
    int cause = wire_word_index(wire_exit_causes, cause_word);
    /* An unknown cause still shows that the attempt has ended. */
    status->cause = cause < 0 ? OW_CAUSE_ERROR : (enum ow_exit_cause)cause;
    return true;
}

static json_t *task_statuses_to_json(const GArray *statuses)
{
    json_t *list = json_array();
    for (guint i = 0; i < statuses->len; i++)
        json_array_append_new(list, task_status_to_json(&g_array_index(statuses, struct ow_task_status, i)));
    return list;
}

static bool task_statuses_from_json(const json_t *list, GArray *statuses)
{
    if (!json_is_array(list))
        return false;
    for (size_t i = 0; i < json_array_size(list); i++) {
        struct ow_task_status status;
        if (!task_status_from_json(json_array_get(list, i), &status))
            return false;
        g_array_append_val(statuses, status);
    }
    return true;
}

char *wire_heartbeat_encode(const struct ow_heartbeat *heartbeat)
{
    bool has_notice = heartbeat->reclaim_notice_s >= 0;
    json_t *object =
        json_pack("{s:s,s:s,s:s,s:s,s:b,s:I,s:I,s:I}", W_MACHINE, heartbeat->machine, W_ADDRESS,
                  heartbeat->addr, W_TYPE, heartbeat->type, W_ZONE, heartbeat->zone, W_SPOT,
                  (int)heartbeat->spot, W_INCARNATION, (json_int_t)heartbeat->incarnation, W_SEQUENCE,
                  (json_int_t)heartbeat->sequence, W_FENCING_TOKEN, (json_int_t)heartbeat->fencing_token);
    json_object_set_new(object, W_RECLAIM_NOTICE_S,
                        has_notice ? json_real(heartbeat->reclaim_notice_s) : json_null());
    json_object_set_new(object, W_TASKS, task_statuses_to_json(heartbeat->tasks));
    return wire_json_print_and_unref(object);
}

static bool read_required_string(const json_t *object, const char *field, char **out, GError **error)
{
    const char *text = NULL;
    if (!wire_json_get_string(object, field, &text))
        return wire_json_fail_field(field, error);
    *out = g_strdup(text);
    return true;
}

static bool read_required_count(const json_t *object, const char *field, uint64_t *out, GError **error)
{
    return wire_json_get_count(object, field, out) || wire_json_fail_field(field, error);
}

/* Reads the fields that a heartbeat must have. */
static bool read_required_fields(const json_t *object, struct ow_heartbeat *heartbeat, GError **error)
{
    return read_required_count(object, W_INCARNATION, &heartbeat->incarnation, error) &&
           read_required_count(object, W_SEQUENCE, &heartbeat->sequence, error) &&
           read_required_string(object, W_MACHINE, &heartbeat->machine, error) &&
           read_required_string(object, W_ADDRESS, &heartbeat->addr, error) &&
           read_required_string(object, W_TYPE, &heartbeat->type, error) &&
           read_required_string(object, W_ZONE, &heartbeat->zone, error) &&
           (task_statuses_from_json(json_object_get(object, W_TASKS), heartbeat->tasks) ||
            wire_json_fail_field(W_TASKS, error));
}

/* Reads the fields that a heartbeat may lack. */
static bool read_optional_fields(const json_t *object, struct ow_heartbeat *heartbeat, GError **error)
{
    if (!wire_json_get_optional_bool(object, W_SPOT, &heartbeat->spot))
        return wire_json_fail_field(W_SPOT, error);
    if (!wire_json_get_optional_count(object, W_FENCING_TOKEN, &heartbeat->fencing_token))
        return wire_json_fail_field(W_FENCING_TOKEN, error);
    return wire_json_get_optional_number(object, W_RECLAIM_NOTICE_S, &heartbeat->reclaim_notice_s) ||
           wire_json_fail_field(W_RECLAIM_NOTICE_S, error);
}

struct ow_heartbeat *wire_heartbeat_decode(const char *text, size_t size, GError **error)
{
    json_auto_t *object = wire_json_read_object(text, size, &heartbeat_fields, error);
    if (object == NULL)
        return NULL;
    g_autoptr(ow_heartbeat) heartbeat = g_new0(struct ow_heartbeat, 1);
    heartbeat->tasks = g_array_new(FALSE, FALSE, sizeof(struct ow_task_status));
    heartbeat->reclaim_notice_s = -1;
    if (!read_required_fields(object, heartbeat, error) || !read_optional_fields(object, heartbeat, error))
        return NULL;
    return g_steal_pointer(&heartbeat);
}

/* ---- commands ---- */

static json_t *command_to_json(const struct ow_worker_command *command)
{
    json_t *object =
        json_pack("{s:s,s:o,s:I}", W_COMMAND, wire_worker_commands[command->kind], W_TASK,
                  task_name_to_json(command->job, command->task), W_ATTEMPT, (json_int_t)command->attempt);
    if (command->kind == OW_WORKER_STOP)
        json_object_set_new(object, W_GRACE_S, json_real(command->grace_s));
    return object;
}

static bool command_from_json(const json_t *object, struct ow_worker_command *command)
{
    const char *kind_word = NULL;
    memset(command, 0, sizeof *command);
    if (!wire_json_get_string(object, W_COMMAND, &kind_word) ||
        !wire_json_get_count(object, W_ATTEMPT, &command->attempt) ||
        !task_name_from_json(object, command->job, &command->task))
        return false;
    int kind = wire_word_index(wire_worker_commands, kind_word);
    if (kind < 0)
        return false;
    command->kind = (enum ow_worker_command_kind)kind;
    return wire_json_get_optional_number(object, W_GRACE_S, &command->grace_s);
}

static json_t *commands_to_json(const GArray *commands)
{
    json_t *list = json_array();
    for (guint i = 0; commands != NULL && i < commands->len; i++)
        json_array_append_new(list, command_to_json(&g_array_index(commands, struct ow_worker_command, i)));
    return list;
}

static bool commands_from_json(const json_t *list, GArray *commands)
{
    if (!json_is_array(list))
        return false;
    for (size_t i = 0; i < json_array_size(list); i++) {
        struct ow_worker_command command;
        if (!command_from_json(json_array_get(list, i), &command))
            return false;
        g_array_append_val(commands, command);
    }
    return true;
}

char *wire_worker_commands_encode(uint64_t fencing_token, const GArray *commands)
{
    return wire_json_print_and_unref(json_pack("{s:I,s:o}", W_FENCING_TOKEN, (json_int_t)fencing_token,
                                               W_COMMANDS, commands_to_json(commands)));
}

char *wire_direct_commands_encode(uint64_t fencing_token, uint64_t incarnation, const GArray *commands)
{
    return wire_json_print_and_unref(json_pack("{s:I,s:I,s:o}", W_FENCING_TOKEN, (json_int_t)fencing_token,
                                               W_INCARNATION, (json_int_t)incarnation, W_COMMANDS,
                                               commands_to_json(commands)));
}

struct wire_command_batch *wire_worker_commands_decode(const char *text, size_t size)
{
    json_auto_t *object = wire_json_parse_object(text, size, &batch_fields);
    if (object == NULL)
        return NULL;
    g_autoptr(wire_command_batch) batch = g_new0(struct wire_command_batch, 1);
    batch->commands = g_array_new(FALSE, FALSE, sizeof(struct ow_worker_command));
    batch->has_fencing_token = wire_json_get_count(object, W_FENCING_TOKEN, &batch->fencing_token);
    batch->has_incarnation = wire_json_get_count(object, W_INCARNATION, &batch->incarnation);
    if (!commands_from_json(json_object_get(object, W_COMMANDS), batch->commands))
        return NULL;
    return g_steal_pointer(&batch);
}

void wire_command_batch_free(struct wire_command_batch *batch)
{
    if (batch == NULL)
        return;
    g_array_free(batch->commands, TRUE);
    g_free(batch);
}

/* ---- redirects ---- */

char *wire_redirect_encode(const char *controller)
{
    return wire_json_print_and_unref(controller != NULL ? json_pack("{s:s}", W_REDIRECT_TO, controller)
                                                        : json_object());
}

char *wire_redirect_decode(const char *text, size_t size)
{
    json_auto_t *object = wire_json_parse_object(text, size, &redirect_fields);
    const char *controller = NULL;
    if (object != NULL)
        wire_json_get_string(object, W_REDIRECT_TO, &controller);
    return g_strdup(controller);
}
