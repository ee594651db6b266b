/* What teams use, are guaranteed and are limited to. */
#include "core/jobs/quota.h"
#include "core/jobs/execution.h"
#include "core/leader/leader_state.h"
#include "model/resources.h"

#include <string.h>

/* Sums of fractions drift: so much more than a limit or guarantee still lies within it, in CPUs or GPUs. */
static const double AMOUNT_TOLERANCE = 1e-6;

struct ow_resources *ow_team_usage(struct ow_leader *leader, int team)
{
    guint wanted = (guint)team + 1;
    if (wanted > leader->teams.count) {
        guint added = wanted - leader->teams.count;
        leader->teams.used = g_renew(struct ow_resources, leader->teams.used, wanted);
        memset(leader->teams.used + leader->teams.count, 0, added * sizeof *leader->teams.used);
        leader->teams.count = wanted;
    }
    return &leader->teams.used[team];
}

const struct ow_team_settings *ow_team_settings_of(const struct ow_leader *leader, int team)
{
    const char *name = ow_interner_text(leader->core->interners.teams, team);
    const GArray *teams = leader->core->settings->teams;
    for (guint i = 0; i < teams->len; i++) {
        const struct ow_team_settings *settings = &g_array_index(teams, struct ow_team_settings, i);
        if (strcmp(settings->name, name) == 0)
            return settings;
    }
    return NULL;
}

/* How many of `wanted` tasks the limit of one resource admits; a limit of 0 is none. */
static uint32_t limit_admits(double limit, double used, double need, uint32_t wanted)
{
    if (limit <= 0 || need <= 0)
        return wanted;
    double left = (limit - used + AMOUNT_TOLERANCE) / need;
    if (left <= 0)
        return 0;
    return (uint32_t)MIN((double)wanted, left);
}

uint32_t ow_team_admits(struct ow_leader *leader, const struct ow_job_spec *spec, uint32_t wanted)
{
    const struct ow_resources *used = ow_team_usage(leader, spec->team);
    const struct ow_resources *need = &spec->submission->need;
    const struct ow_team_settings *settings = ow_team_settings_of(leader, spec->team);
    if (settings == NULL)
        return 0;
    wanted = limit_admits(settings->cpus_max, used->cpus, need->cpus, wanted);
    return limit_admits(settings->gpus_max, used->gpus, need->gpus, wanted);
}

/* A resource of which a team is guaranteed none does not count. */
static bool exceeds(double guarantee, double amount)
{
    return guarantee > 0 && amount > guarantee + AMOUNT_TOLERANCE;
}

/* Whether any of the amounts is of a resource of which the team is guaranteed some. */
static bool has_guaranteed_resource(const struct ow_team_settings *settings,
                                    const struct ow_resources *amounts)
{
    if (settings->gpus > 0 && amounts->gpus > 0)
        return true;
    return settings->cpus > 0 && amounts->cpus > 0;
}

bool ow_team_guarantee_covers(const struct ow_leader *leader, int team, const struct ow_resources *amounts)
{
    const struct ow_team_settings *settings = ow_team_settings_of(leader, team);
    if (settings == NULL || !has_guaranteed_resource(settings, amounts))
        return false;
    return !exceeds(settings->gpus, amounts->gpus) && !exceeds(settings->cpus, amounts->cpus);
}

bool ow_team_has_guarantee_for(const struct ow_leader *leader, int team, const struct ow_resources *need)
{
    const struct ow_team_settings *settings = ow_team_settings_of(leader, team);
    return settings != NULL && has_guaranteed_resource(settings, need);
}

bool ow_team_demand_is_guaranteed(const struct ow_leader *leader, int team)
{
    struct ow_resources demand = {0};
    for (guint i = 0; i < leader->executions->len; i++) {
        const struct ow_execution *execution = g_ptr_array_index(leader->executions, i);
        if (execution->job->spec->team == team && !ow_job_over(execution->job))
            ow_resources_add(&demand, &execution->job->spec->submission->need,
                             execution->count - execution->done);
    }
    return ow_team_guarantee_covers(leader, team, &demand);
}

bool ow_team_is_borrowing(struct ow_leader *leader, int team)
{
    const struct ow_team_settings *settings = ow_team_settings_of(leader, team);
    const struct ow_resources *used = ow_team_usage(leader, team);
    if (settings == NULL)
        return false;
    return exceeds(settings->gpus, used->gpus) || exceeds(settings->cpus, used->cpus);
}
