#include "wire/user_json.h"

#include "model/effect.h"
#include "model/resources.h"
#include "wire/json.h"
#include "wire/words.h"

char *wire_job_view_encode(const struct wire_job_view *view)
{
    json_t *object = json_pack("{s:s,s:s}", W_ID, view->id, W_STATE, wire_job_states[view->state]);
    if (view->done != OW_TASK_COUNT_UNKNOWN)
        json_object_set_new(object, W_DONE_COUNT, json_integer(view->done));
    if (view->running != OW_TASK_COUNT_UNKNOWN)
        json_object_set_new(object, W_RUNNING_COUNT, json_integer(view->running));
    if (view->reason != NULL)
        json_object_set_new(object, W_REASON, json_string(view->reason));
    return wire_json_print_and_unref(object);
}

static json_t *amounts_to_json(const struct ow_resources *amounts)
{
    return json_pack("{s:f,s:f,s:f}", W_CPUS, amounts->cpus, W_GPUS, amounts->gpus, W_MEMORY_GB,
                     amounts->memory_gb);
}

static json_t *team_to_json(const struct ow_team_view *team)
{
    return json_pack("{s:s,s:i,s:i,s:o,s:o}", W_TEAM, team->name, W_TEAM_JOBS, (int)team->jobs,
                     W_TEAM_WAITING_JOBS, (int)team->waiting_jobs, W_TEAM_RUNNING,
                     amounts_to_json(&team->running), W_TEAM_WAITING, amounts_to_json(&team->waiting));
}

char *wire_teams_encode(const GArray *teams)
{
    json_t *list = json_array();
    for (guint i = 0; i < teams->len; i++)
        json_array_append_new(list, team_to_json(&g_array_index(teams, struct ow_team_view, i)));
    return wire_json_print_and_unref(json_pack("{s:o}", W_TEAMS, list));
}

char *wire_error_encode(const char *message)
{
    return wire_json_print_and_unref(json_pack("{s:s}", W_ERROR, message));
}
