#include "wire/user_json.h"

#include "model/effect.h"
#include "model/resources.h"
#include "model/submission.h"
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

static bool take_name(const json_t *object, const char *field, char **out)
{
    const char *text = NULL;
    if (!wire_json_get_string(object, field, &text) || !name_ok(text))
        return false;
    *out = g_strdup(text);
    return true;
}

static bool take_word(const json_t *object, const char *field, const char *const *table, int *out)
{
    const char *text = NULL;
    if (!wire_json_get_string(object, field, &text))
        return false;
    *out = wire_word_index(table, text);
    return *out >= 0;
}

static bool take_amount(const json_t *object, const char *field, double least, double *out)
{
    return wire_json_get_number(object, field, out) && *out >= least && *out <= AMOUNT_MAX;
}

static bool take_optional_amount(const json_t *object, const char *field, double *out)
{
    return wire_json_is_absent(object, field) || take_amount(object, field, 0, out);
}

static bool take_flag(const json_t *object, const char *field, bool *out)
{
    return wire_json_get_bool(object, field, out);
}

static bool take_tasks(const json_t *object, uint32_t *out)
{
    uint64_t count = 0;
    if (!wire_json_get_count(object, W_TASKS, &count) || count < 1 || count > OW_MAX_TASKS)
        return false;
    *out = (uint32_t)count;
    return true;
}

static bool take_types(const json_t *object, char ***out)
{
    if (wire_json_is_absent(object, W_TYPES))
        return true;
    char **list = wire_json_copy_strings(json_object_get(object, W_TYPES));
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

static bool take_id(const json_t *object, char **out)
{
    const char *id = NULL;
    if (!wire_json_get_string(object, W_ID, &id) || !wire_job_id_valid(id))
        return false;
    *out = g_strdup(id);
    return true;
}

/* Each of these reads some fields, and answers with the first that is wrong, or NULL. */

static const char *identity_fault(const json_t *object, struct ow_submission *submission)
{
    int kind = 0, rank = 0;
    if (!take_id(object, &submission->id))
        return W_ID ": not the id of a job";
    if (!take_name(object, W_CLASS, &submission->class_name))
        return W_CLASS ": missing or not a name";
    if (!take_name(object, W_TEAM, &submission->team))
        return W_TEAM ": missing or not a name";
    if (!take_word(object, W_KIND, wire_kinds, &kind))
        return W_KIND ": missing or unknown";
    if (!take_word(object, W_RANK, wire_ranks, &rank))
        return W_RANK ": missing or unknown";
    if (!take_tasks(object, &submission->tasks))
        return W_TASKS ": missing or not from 1 to 100000";
    submission->kind = (enum ow_job_kind)kind;
    submission->rank = (enum ow_rank)rank;
    return NULL;
}

static const char *need_fault(const json_t *object, struct ow_submission *submission)
{
    if (!take_amount(object, W_CPUS, 0, &submission->need.cpus))
        return W_CPUS ": missing or out of range";
    if (!take_amount(object, W_GPUS, 0, &submission->need.gpus))
        return W_GPUS ": missing or out of range";
    if (!take_amount(object, W_MEMORY_GB, 0, &submission->need.memory_gb))
        return W_MEMORY_GB ": missing or out of range";
    if (!take_name(object, W_IMAGE, &submission->image))
        return W_IMAGE ": missing or not a name";
    if (!take_amount(object, W_IMAGE_GB, 0, &submission->image_gb))
        return W_IMAGE_GB ": missing or out of range";
    return NULL;
}

static const char *placement_fault(const json_t *object, struct ow_submission *submission)
{
    if (!take_types(object, &submission->types))
        return W_TYPES ": not a list of names";
    if (!wire_json_is_absent(object, W_ZONE) && !take_name(object, W_ZONE, &submission->zone))
        return W_ZONE ": not a name";
    if (!take_flag(object, W_ONE_ZONE, &submission->one_zone))
        return W_ONE_ZONE ": missing or not true or false";
    if (!take_flag(object, W_SPREAD, &submission->spread))
        return W_SPREAD ": missing or not true or false";
    if (!take_flag(object, W_SPOT, &submission->spot))
        return W_SPOT ": missing or not true or false";
    return NULL;
}

static const char *time_fault(const json_t *object, struct ow_submission *submission)
{
    if (!take_amount(object, W_ESTIMATE_S, 0, &submission->estimate_s))
        return W_ESTIMATE_S ": missing or out of range";
    if (!take_amount(object, W_CHECKPOINT_INTERVAL_S, 0, &submission->checkpoint_interval_s))
        return W_CHECKPOINT_INTERVAL_S ": missing or out of range";
    if (!take_amount(object, W_CHECKPOINT_DURATION_S, 0, &submission->checkpoint_duration_s))
        return W_CHECKPOINT_DURATION_S ": missing or out of range";
    if (!take_optional_amount(object, W_DEADLINE_S, &submission->deadline_s))
        return W_DEADLINE_S ": out of range";
    return NULL;
}

static const char *first_fault(const json_t *object, struct ow_submission *submission)
{
    const char *(*const readers[])(const json_t *, struct ow_submission *) = {identity_fault, need_fault,
                                                                              placement_fault, time_fault};
    const char *fault = NULL;
    for (size_t i = 0; i < G_N_ELEMENTS(readers) && fault == NULL; i++)
        fault = readers[i](object, submission);
    return fault;
}

struct ow_submission *wire_submission_from_json(const json_t *object, const char **fault)
{
    struct ow_submission *submission = g_new0(struct ow_submission, 1);
    *fault = first_fault(object, submission);
    if (*fault == NULL)
        return submission;
    ow_submission_free(submission);
    return NULL;
}

/* A service has no run time to estimate; whatever ends has one. */
static const char *estimate_fault(const struct ow_submission *submission)
{
    if (submission->kind == OW_KIND_SERVICE)
        return submission->estimate_s == 0 ? NULL : W_ESTIMATE_S ": must be 0 for a service";
    return submission->estimate_s > 0 ? NULL : W_ESTIMATE_S ": must be above 0";
}

struct ow_submission *wire_submission_decode(const char *text, size_t size, char *id, const char **fault)
{
    json_t *object = wire_json_parse_object(text, size);
    const char *named = NULL;
    *id = '\0';
    if (object == NULL) {
        *fault = "not a JSON object";
        return NULL;
    }
    if (wire_json_get_string(object, W_ID, &named) && wire_job_id_valid(named))
        g_strlcpy(id, named, OW_ID_MAX + 1);
    struct ow_submission *submission = wire_submission_from_json(object, fault);
    json_decref(object);
    /* Checked on submission alone: what is stored was accepted, and stays readable. */
    if (submission != NULL)
        *fault = estimate_fault(submission);
    if (submission != NULL && *fault != NULL)
        g_clear_pointer(&submission, ow_submission_free);
    return submission;
}

json_t *wire_submission_to_json(const struct ow_submission *submission)
{
    json_t *types = json_null();
    if (submission->types != NULL) {
        types = json_array();
        for (char **name = submission->types; *name != NULL; name++)
            json_array_append_new(types, json_string(*name));
    }
    return json_pack(
        "{s:s,s:s,s:s,s:s,s:s,s:I,s:f,s:f,s:f,s:s,s:f,s:o,s:s?,s:b,s:b,s:b,s:f,s:f,s:f,s:f}", W_ID,
        submission->id, W_CLASS, submission->class_name, W_TEAM, submission->team, W_KIND,
        wire_kinds[submission->kind], W_RANK, wire_ranks[submission->rank], W_TASKS,
        (json_int_t)submission->tasks, W_CPUS, submission->need.cpus, W_GPUS, submission->need.gpus,
        W_MEMORY_GB, submission->need.memory_gb, W_IMAGE, submission->image, W_IMAGE_GB, submission->image_gb,
        W_TYPES, types, W_ZONE, submission->zone, W_ONE_ZONE, (int)submission->one_zone, W_SPREAD,
        (int)submission->spread, W_SPOT, (int)submission->spot, W_ESTIMATE_S, submission->estimate_s,
        W_CHECKPOINT_INTERVAL_S, submission->checkpoint_interval_s, W_CHECKPOINT_DURATION_S,
        submission->checkpoint_duration_s, W_DEADLINE_S, submission->deadline_s);
}

char *wire_job_view_encode(const struct wire_job_view *view)
{
    json_t *object = json_pack("{s:s,s:s}", W_ID, view->id, W_STATE, wire_job_states[view->state]);
    if (view->done != OW_UNCOUNTED)
        json_object_set_new(object, W_DONE_COUNT, json_integer(view->done));
    if (view->running != OW_UNCOUNTED)
        json_object_set_new(object, W_RUNNING_COUNT, json_integer(view->running));
    if (view->reason != NULL)
        json_object_set_new(object, W_REASON, json_string(view->reason));
    return wire_json_print_and_unref(object);
}

static json_t *amounts_json(const struct ow_resources *amounts)
{
    return json_pack("{s:f,s:f,s:f}", W_CPUS, amounts->cpus, W_GPUS, amounts->gpus, W_MEMORY_GB,
                     amounts->memory_gb);
}

char *wire_teams_encode(const GArray *teams)
{
    json_t *list = json_array();
    for (guint i = 0; i < teams->len; i++) {
        const struct ow_team_view *team = &g_array_index(teams, struct ow_team_view, i);
        json_array_append_new(list, json_pack("{s:s,s:i,s:i,s:o,s:o}", W_TEAM, team->name, "jobs",
                                              (int)team->jobs, "waiting_jobs", (int)team->waiting_jobs,
                                              "running", amounts_json(&team->running), "waiting",
                                              amounts_json(&team->waiting)));
    }
    json_t *object = json_pack("{s:o}", "teams", list);
    return wire_json_print_and_unref(object);
}

char *wire_error_encode(const char *message)
{
    json_t *object = json_pack("{s:s}", "error", message);
    return wire_json_print_and_unref(object);
}
