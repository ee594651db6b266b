#include "core/api/feasibility.h"

#include "core/core_state.h"
#include "core/jobs/quota.h"
#include "core/machine_types.h"
#include "model/cloud.h"
#include "model/resources.h"
#include "model/submission.h"

static bool contains(char **names, const char *name)
{
    return g_strv_contains((const char *const *)names, name);
}

static bool fits(const struct ow_resources *need, const struct ow_resources *size)
{
    return need->cpus <= size->cpus && need->gpus <= size->gpus && need->memory_gb <= size->memory_gb;
}

/* Whether the job allows machines of this type, and a task fits an empty one. */
static bool may_run_on_type(const struct ow_submission *submission, const struct ow_machine_type *type)
{
    if (submission->types != NULL && !contains(submission->types, type->name))
        return false;
    if (submission->zone != NULL && type->zones != NULL && !contains(type->zones, submission->zone))
        return false;
    return fits(&submission->need, &type->size);
}

static bool fits_some_type(const struct ow_core *core, const struct ow_submission *submission)
{
    for (int i = 0; i < ow_machine_types_count(core->machine_types); i++) {
        const struct ow_machine_type *type = ow_machine_types_at(core->machine_types, i);
        if (type != NULL && may_run_on_type(submission, type))
            return true;
    }
    return false;
}

/* Whether the tasks of a gang or service must be in several zones, but are restricted to one. Tasks of an
   array need not run at the same time, so some of them can always run in the one zone. */
static bool has_contradicting_zones(const struct ow_submission *submission)
{
    if (submission->kind == OW_KIND_ARRAY || !submission->spread || submission->tasks <= 1)
        return false;
    return submission->one_zone || submission->zone != NULL;
}

/* Whether the tasks that must run at the same time need more than the team's limit; 0 is no limit. */
static bool exceeds_team_limit(const struct ow_team_settings *team, const struct ow_submission *submission)
{
    bool runs_at_once = ow_submission_is_gang(submission) || submission->kind == OW_KIND_SERVICE;
    double tasks_at_once = runs_at_once ? submission->tasks : 1;
    if (team->cpus_max > 0 && submission->need.cpus * tasks_at_once > team->cpus_max)
        return true;
    return team->gpus_max > 0 && submission->need.gpus * tasks_at_once > team->gpus_max;
}

const char *ow_infeasible_reason(const struct ow_core *core, const struct ow_submission *submission)
{
    const struct ow_team_settings *team = ow_team_settings_find(core->settings, submission->team);
    if (team == NULL)
        return "unknown team";
    if (!fits_some_type(core, submission))
        return "a task fits no allowed machine type";
    if (has_contradicting_zones(submission))
        return "its tasks must be in several zones, and in one";
    if (exceeds_team_limit(team, submission))
        return "over the team's limit";
    return NULL;
}
