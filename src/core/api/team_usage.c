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
    if (ow_job_over(job) || strcmp(submission->team, view->name) != 0)
        return;
    int done = MAX(job->done, 0);
    int running = MAX(job->running, 0);
    int waiting = MAX((int)submission->tasks - done - running, 0);
    view->jobs++;
    if (waiting > 0)
        view->waiting_jobs++;
    ow_resources_add(&view->running, &submission->need, running);
    ow_resources_add(&view->waiting, &submission->need, waiting);
}

void ow_team_usage_answer(struct ow_core *core, uint64_t request)
{
    const GArray *teams = core->settings->teams;
    const GPtrArray *open_jobs = ow_jobs_open(core->jobs);
    struct ow_effect *effect = ow_effect_new(OW_EFFECT_TEAMS, request);
    effect->status = OW_HTTP_STATUS_OK;
    effect->teams = g_array_new(FALSE, TRUE, sizeof(struct ow_team_view));
    for (guint i = 0; i < teams->len; i++) {
        struct ow_team_view view = {.name = g_array_index(teams, struct ow_team_settings, i).name};
        for (guint k = 0; k < open_jobs->len; k++)
            add_job(&view, g_ptr_array_index(open_jobs, k));
        g_array_append_val(effect->teams, view);
    }
    ow_core_emit(core, effect);
}
