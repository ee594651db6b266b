#include "wire/user_json.h"

#include "wire/json.h"
#include "wire/words.h"

#include <string.h>

/* Larger amounts than any machine has; they keep sums finite. */
static const double AMOUNT_MAX = 1e9;

enum { MAX_TYPE_NAMES = 32, ID_DIGITS_MAX = 18 };

bool wire_job_id_valid(const char *id)
{
    size_t prefix = strlen(W_JOB_PREFIX);
    if (id == NULL || strncmp(id, W_JOB_PREFIX, prefix) != 0)
        return false;
    size_t digits = strspn(id + prefix, "0123456789");
    return digits >= 1 && digits <= ID_DIGITS_MAX && id[prefix + digits] == '\0';
}

static bool name_ok(const char *text)
{
    size_t size = strlen(text);
    return size >= 1 && size <= OW_NAME_MAX;
}

static bool take_name(const json_t *o, const char *field, char **out)
{
    const char *text = NULL;
    if (!wj_string(o, field, &text) || !name_ok(text))
        return false;
    *out = g_strdup(text);
    return true;
}

static bool take_word(const json_t *o, const char *field, const char *const *table, int *out)
{
    const char *text = NULL;
    if (!wj_string(o, field, &text))
        return false;
    *out = w_index(table, text);
    return *out >= 0;
}

static bool take_amount(const json_t *o, const char *field, double least, double *out)
{
    return wj_number(o, field, out) && *out >= least && *out <= AMOUNT_MAX;
}

static bool take_optional_amount(const json_t *o, const char *field, double *out)
{
    return wj_absent(o, field) || take_amount(o, field, 0, out);
}

static bool take_flag(const json_t *o, const char *field, bool *out)
{
    return wj_bool(o, field, out);
}

static bool take_tasks(const json_t *o, uint32_t *out)
{
    uint64_t count = 0;
    if (!wj_count(o, W_TASKS, &count) || count < 1 || count > OW_MAX_TASKS)
        return false;
    *out = (uint32_t)count;
    return true;
}

static bool take_types(const json_t *o, char ***out)
{
    if (wj_absent(o, W_TYPES))
        return true;
    char **list = wj_strings(json_object_get(o, W_TYPES));
    if (list == NULL)
        return false;
    *out = list;
    if (g_strv_length(list) > MAX_TYPE_NAMES)
        return false;
    for (char **name = list; *name != NULL; name++)
        if (!name_ok(*name))
            return false;
    return true;
}

static bool take_id(const json_t *o, char **out)
{
    const char *id = NULL;
    if (!wj_string(o, W_ID, &id) || !wire_job_id_valid(id))
        return false;
    *out = g_strdup(id);
    return true;
}

/* Each of these reads some fields, and answers with the first that is wrong, or NULL. */

static const char *identity_fault(const json_t *o, struct ow_submission *s)
{
    int kind = 0, rank = 0;
    if (!take_id(o, &s->id))
        return W_ID ": not the id of a job";
    if (!take_name(o, W_CLASS, &s->class_name))
        return W_CLASS ": missing or not a name";
    if (!take_name(o, W_TEAM, &s->team))
        return W_TEAM ": missing or not a name";
    if (!take_word(o, W_KIND, w_kinds, &kind))
        return W_KIND ": missing or unknown";
    if (!take_word(o, W_RANK, w_ranks, &rank))
        return W_RANK ": missing or unknown";
    if (!take_tasks(o, &s->tasks))
        return W_TASKS ": missing or not from 1 to 100000";
    s->kind = (enum ow_kind)kind;
    s->gang = s->kind == OW_KIND_GANG;
    s->rank = (enum ow_rank)rank;
    return NULL;
}

static const char *need_fault(const json_t *o, struct ow_submission *s)
{
    if (!take_amount(o, W_CPUS, 0, &s->need.cpus))
        return W_CPUS ": missing or out of range";
    if (!take_amount(o, W_GPUS, 0, &s->need.gpus))
        return W_GPUS ": missing or out of range";
    if (!take_amount(o, W_MEMORY, 0, &s->need.memory_gb))
        return W_MEMORY ": missing or out of range";
    if (!take_name(o, W_IMAGE, &s->image))
        return W_IMAGE ": missing or not a name";
    if (!take_amount(o, W_IMAGE_GB, 0, &s->image_gb))
        return W_IMAGE_GB ": missing or out of range";
    return NULL;
}

static const char *placement_fault(const json_t *o, struct ow_submission *s)
{
    if (!take_types(o, &s->types))
        return W_TYPES ": not a list of names";
    if (!wj_absent(o, W_ZONE) && !take_name(o, W_ZONE, &s->zone))
        return W_ZONE ": not a name";
    if (!take_flag(o, W_ONE_ZONE, &s->one_zone))
        return W_ONE_ZONE ": missing or not true or false";
    if (!take_flag(o, W_SPREAD, &s->spread))
        return W_SPREAD ": missing or not true or false";
    if (!take_flag(o, W_SPOT, &s->spot))
        return W_SPOT ": missing or not true or false";
    return NULL;
}

static const char *time_fault(const json_t *o, struct ow_submission *s)
{
    if (!take_amount(o, W_ESTIMATE, 0, &s->estimate_s))
        return W_ESTIMATE ": missing or out of range";
    if (!take_amount(o, W_CHECKPOINT, 0, &s->checkpoint_s))
        return W_CHECKPOINT ": missing or out of range";
    if (!take_amount(o, W_SAVE, 0, &s->save_s))
        return W_SAVE ": missing or out of range";
    if (!take_optional_amount(o, W_DEADLINE, &s->deadline_s))
        return W_DEADLINE ": out of range";
    return NULL;
}

static const char *first_fault(const json_t *o, struct ow_submission *s)
{
    const char *(*const readers[])(const json_t *, struct ow_submission *) = {identity_fault, need_fault,
                                                                              placement_fault, time_fault};
    const char *fault = NULL;
    for (size_t i = 0; i < G_N_ELEMENTS(readers) && fault == NULL; i++)
        fault = readers[i](o, s);
    return fault;
}

struct ow_submission *wire_submission_from(const json_t *object, const char **fault)
{
    struct ow_submission *s = g_new0(struct ow_submission, 1);
    *fault = first_fault(object, s);
    if (*fault == NULL)
        return s;
    ow_submission_free(s);
    return NULL;
}

/* A service has no run time to estimate; whatever ends has one. */
static const char *estimate_fault(const struct ow_submission *s)
{
    if (s->kind == OW_KIND_SERVICE)
        return s->estimate_s == 0 ? NULL : W_ESTIMATE ": must be 0 for a service";
    return s->estimate_s > 0 ? NULL : W_ESTIMATE ": must be above 0";
}

struct ow_submission *wire_submission_parse(const char *text, size_t size, char *id, const char **fault)
{
    json_t *object = wj_object(text, size);
    const char *named = NULL;
    *id = '\0';
    if (object == NULL) {
        *fault = "not a JSON object";
        return NULL;
    }
    if (wj_string(object, W_ID, &named) && wire_job_id_valid(named))
        g_strlcpy(id, named, OW_ID_MAX + 1);
    struct ow_submission *s = wire_submission_from(object, fault);
    json_decref(object);
    /* Checked on submission alone: what is stored was accepted, and stays readable. */
    if (s != NULL)
        *fault = estimate_fault(s);
    if (s != NULL && *fault != NULL)
        g_clear_pointer(&s, ow_submission_free);
    return s;
}

json_t *wire_submission_json(const struct ow_submission *s)
{
    json_t *types = json_null();
    if (s->types != NULL) {
        types = json_array();
        for (char **name = s->types; *name != NULL; name++)
            json_array_append_new(types, json_string(*name));
    }
    return json_pack("{s:s,s:s,s:s,s:s,s:s,s:I,s:f,s:f,s:f,s:s,s:f,s:o,s:s?,s:b,s:b,s:b,s:f,s:f,s:f,s:f}",
                     W_ID, s->id, W_CLASS, s->class_name, W_TEAM, s->team, W_KIND, w_kinds[s->kind], W_RANK,
                     w_ranks[s->rank], W_TASKS, (json_int_t)s->tasks, W_CPUS, s->need.cpus, W_GPUS,
                     s->need.gpus, W_MEMORY, s->need.memory_gb, W_IMAGE, s->image, W_IMAGE_GB, s->image_gb,
                     W_TYPES, types, W_ZONE, s->zone, W_ONE_ZONE, (int)s->one_zone, W_SPREAD, (int)s->spread,
                     W_SPOT, (int)s->spot, W_ESTIMATE, s->estimate_s, W_CHECKPOINT, s->checkpoint_s, W_SAVE,
                     s->save_s, W_DEADLINE, s->deadline_s);
}

char *wire_job_view(const struct ow_job_view *view)
{
    json_t *o = json_pack("{s:s,s:s}", W_ID, view->id, W_STATE, w_job_states[view->state]);
    if (view->done != OW_UNCOUNTED)
        json_object_set_new(o, W_DONE_COUNT, json_integer(view->done));
    if (view->running != OW_UNCOUNTED)
        json_object_set_new(o, W_RUNNING_COUNT, json_integer(view->running));
    if (view->reason != NULL)
        json_object_set_new(o, W_REASON, json_string(view->reason));
    return wj_take_text(o);
}

static json_t *amounts_json(const struct ow_amounts *a)
{
    return json_pack("{s:f,s:f,s:f}", W_CPUS, a->cpus, W_GPUS, a->gpus, W_MEMORY, a->memory_gb);
}

char *wire_teams(const GArray *teams)
{
    json_t *list = json_array();
    for (guint i = 0; i < teams->len; i++) {
        const struct ow_team_view *t = &g_array_index(teams, struct ow_team_view, i);
        json_array_append_new(list,
                              json_pack("{s:s,s:i,s:i,s:o,s:o}", W_TEAM, t->name, "jobs", (int)t->jobs,
                                        "waiting_jobs", (int)t->waiting_jobs, "running",
                                        amounts_json(&t->running), "waiting", amounts_json(&t->waiting)));
    }
    json_t *o = json_pack("{s:o}", "teams", list);
    return wj_take_text(o);
}

char *wire_error(const char *message)
{
    json_t *o = json_pack("{s:s}", "error", message);
    return wj_take_text(o);
}
