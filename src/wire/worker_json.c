#include "wire/worker_json.h"

#include "wire/json.h"
#include "wire/user_json.h"
#include "wire/words.h"

#include <string.h>

static bool parse_task_name(const char *text, struct ow_task_report *out)
{
    const char *slash = strrchr(text, '/');
    if (slash == NULL || slash - text > OW_ID_MAX)
        return false;
    memcpy(out->job, text, (size_t)(slash - text));
    out->job[slash - text] = '\0';
    guint64 task = 0;
    if (!wire_job_id_valid(out->job) ||
        !g_ascii_string_to_unsigned(slash + 1, 10, 0, OW_MAX_TASKS, &task, NULL))
        return false;
    out->task = (uint32_t)task;
    return true;
}

static bool parse_task(const json_t *o, struct ow_task_report *out)
{
    const char *name = NULL, *phase = NULL, *cause = "";
    memset(out, 0, sizeof *out);
    if (!wj_string(o, W_TASK, &name) || !parse_task_name(name, out) ||
        !wj_count(o, W_ATTEMPT, &out->attempt) || !wj_string(o, W_STATE, &phase))
        return false;
    int p = w_index(w_phases, phase);
    if (p < 0)
        return false;
    out->phase = (enum ow_phase)p;
    wj_string(o, W_CAUSE, &cause);
    wj_bool(o, W_SAVED, &out->saved);
    int c = w_index(w_causes, cause);
    /* A cause we do not know still says that the task has ended. */
    out->cause = c < 0 ? OW_CAUSE_ERROR : (enum ow_cause)c;
    return true;
}

static bool parse_tasks(const json_t *o, GArray *out)
{
    const json_t *list = json_object_get(o, W_TASKS);
    if (!json_is_array(list))
        return false;
    size_t i;
    json_t *item;
    json_array_foreach(list, i, item)
    {
        struct ow_task_report task;
        /* A task left out would read as a task that is gone: better no report at all. */
        if (!parse_task(item, &task))
            return false;
        g_array_append_val(out, task);
    }
    return true;
}

struct ow_report *wire_report_parse(const char *text, size_t size)
{
    json_t *o = wj_object(text, size);
    if (o == NULL)
        return NULL;
    struct ow_report *r = g_new0(struct ow_report, 1);
    const char *machine = NULL, *addr = NULL, *type = NULL, *zone = NULL;
    r->tasks = g_array_new(FALSE, FALSE, sizeof(struct ow_task_report));
    r->notice_s = -1;
    bool ok = wj_string(o, W_MACHINE, &machine) && wj_string(o, W_ADDR, &addr) &&
              wj_string(o, W_TYPE, &type) && wj_string(o, W_ZONE, &zone) &&
              wj_count(o, W_SESSION, &r->session) && wj_count(o, W_SEQ, &r->seq) && parse_tasks(o, r->tasks);
    if (ok) {
        wj_bool(o, W_SPOT, &r->spot);
        wj_count(o, W_TOKEN, &r->token);
        wj_number(o, W_NOTICE, &r->notice_s);
        r->machine = g_strdup(machine);
        r->addr = g_strdup(addr);
        r->type = g_strdup(type);
        r->zone = g_strdup(zone);
    }
    json_decref(o);
    if (ok)
        return r;
    ow_report_free(r);
    return NULL;
}

static json_t *commands_json(const GArray *commands)
{
    json_t *list = json_array();
    for (guint i = 0; commands != NULL && i < commands->len; i++) {
        const struct ow_worker_command *command = &g_array_index(commands, struct ow_worker_command, i);
        char name[OW_ID_MAX + 16];
        g_snprintf(name, sizeof name, "%s/%u", command->job, command->task);
        json_t *o = json_pack("{s:s,s:s,s:I}", W_OP, w_worker_commands[command->kind], W_TASK, name,
                              W_ATTEMPT, (json_int_t)command->attempt);
        if (command->kind == OW_WORKER_STOP)
            json_object_set_new(o, W_GRACE, json_real(command->grace_s));
        json_array_append_new(list, o);
    }
    return list;
}

char *wire_worker_commands(uint64_t token, const GArray *commands)
{
    return wj_take_text(
        json_pack("{s:I,s:o}", W_TOKEN, (json_int_t)token, W_COMMANDS, commands_json(commands)));
}

char *wire_direct_commands(uint64_t token, uint64_t session, const GArray *commands)
{
    return wj_take_text(json_pack("{s:I,s:I,s:o}", W_TOKEN, (json_int_t)token, W_SESSION, (json_int_t)session,
                                  W_COMMANDS, commands_json(commands)));
}

char *wire_misdirected(const char *controller)
{
    return wj_take_text(controller != NULL ? json_pack("{s:s}", W_REPORT_TO, controller) : json_object());
}
