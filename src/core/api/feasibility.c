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

static bool type_allowed(const struct ow_submission *submission, const struct ow_machine_type *type)
{
    if (submission->types != NULL && !contains(submission->types, type->name))
        return false;
    if (submission->zone != NULL && type->zones != NULL && !contains(type->zones, submission->zone))
        return false;
    return fits(&submission->need, &type->size);
}

static bool fits_some_type(const struct ow_core *core, const struct ow_submission *submission)
{
    for (int i = 0; i < OW_MAX_TYPES; i++) {
        const struct ow_machine_type *type = ow_machine_types_at(core->machine_types, i);
        if (type != NULL && type_allowed(submission, type))
            return true;
    }
    return false;
}

/* A gang or service whose tasks must be in several zones, and may not. */
static bool zones_contradict(const struct ow_submission *submission)
{
    if (submission->kind == OW_KIND_ARRAY || !submission->spread || submission->tasks <= 1)
        return false;
    return submission->one_zone || submission->zone != NULL;
}

/* Whether what must run at the same time is more than the team may ever use; a limit of 0 is none. */
static bool over_team_limit(const struct ow_team_settings *team, const struct ow_submission *submission)
{
    bool all_at_once = ow_submission_is_gang(submission) || submission->kind == OW_KIND_SERVICE;
    double at_once = all_at_once ? submission->tasks : 1;
    if (team->cpus_max > 0 && submission->need.cpus * at_once > team->cpus_max)
        return true;
    return team->gpus_max > 0 && submission->need.gpus * at_once > team->gpus_max;
}

const char *ow_infeasible_reason(const struct ow_core *core, const struct ow_submission *submission)
{
    const struct ow_team_settings *team = ow_team_settings_find(core->settings, submission->team);
    if (team == NULL)
        return "unknown team";
    if (!fits_some_type(core, submission))
        return "a task fits no allowed machine type";
    if (zones_contradict(submission))
        return "its tasks must be in several zones, and in one";
    if (over_team_limit(team, submission))
        return "over the team's limit";
    return NULL;
}
