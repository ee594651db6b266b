#include "core/api/team_usage.h"

#include "core/core_state.h"
#include "model/effect.h"
#include "model/http_status.h"
#include "model/resources.h"
#include "model/submission.h"

#include <string.h>

static void add_job(struct ow_team_view *view, const struct ow_job *job)
{
    const struct ow_submission *submission = job->spec->submission;
    /* OW_TASK_COUNT_UNKNOWN is negative: until a leader has counted the tasks, all of them are shown as
     * waiting. */
    int done = MAX(job->done, 0);
    int running = MAX(job->running, 0);
    int waiting = MAX((int)submission->tasks - done - running, 0);
    view->jobs++;
    if (waiting > 0)
        view->waiting_jobs++;
    ow_resources_add(&view->running, &submission->need, running);
    ow_resources_add(&view->waiting, &submission->need, waiting);
}

static bool is_open_job_of(const struct ow_job *job, const char *team_name)
{
    return !ow_job_is_over(job) && strcmp(job->spec->submission->team, team_name) == 0;
}

static struct ow_team_view team_view(const char *team_name, const GPtrArray *open_jobs)
{
    struct ow_team_view view = {.name = team_name};
    for (guint i = 0; i < open_jobs->len; i++) {
        const struct ow_job *job = g_ptr_array_index(open_jobs, i);
        if (is_open_job_of(job, team_name))
            add_job(&view, job);
    }
    return view;
}

void ow_team_usage_answer(struct ow_core *core, uint64_t request)
{
    const GArray *teams = core->settings->teams;
    const GPtrArray *open_jobs = ow_jobs_open(core->jobs);
    struct ow_effect *effect = ow_effect_new(OW_EFFECT_TEAMS, request);
    effect->status = OW_HTTP_STATUS_OK;
    effect->teams = g_array_new(FALSE, TRUE, sizeof(struct ow_team_view));
    for (guint i = 0; i < teams->len; i++) {
        const struct ow_team_settings *team = &g_array_index(teams, struct ow_team_settings, i);
        struct ow_team_view view = team_view(team->name, open_jobs);
        g_array_append_val(effect->teams, view);
    }
    ow_core_emit(core, effect);
}
