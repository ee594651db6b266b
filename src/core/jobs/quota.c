#include "core/jobs/quota.h"

#include "core/jobs/execution.h"
#include "core/leader/leader_state.h"
#include "model/resources.h"

#include <string.h>

/* Tolerance for rounding errors in sums of fractions, in CPUs or GPUs. */
static const double AMOUNT_TOLERANCE = 1e-6;

struct ow_quota {
    struct ow_resources *used; /* `count` of them, by team index; grows when a team is first used */
    guint count;
    /* As of the beginning of the scheduling cycle, by team index: */
    bool *demand_is_guaranteed;
    bool *is_borrowing;
};

struct ow_quota *ow_quota_new(void)
{
    return g_new0(struct ow_quota, 1);
}

void ow_quota_free(struct ow_quota *quota)
{
    g_free(quota->used);
    g_free(quota->demand_is_guaranteed);
    g_free(quota->is_borrowing);
    g_free(quota);
}

struct ow_resources *ow_team_usage(struct ow_leader *leader, int team)
{
    struct ow_quota *quota = leader->quota;
    guint new_count = (guint)team + 1;
    if (new_count > quota->count) {
        guint added = new_count - quota->count;
        quota->used = g_renew(struct ow_resources, quota->used, new_count);
        memset(quota->used + quota->count, 0, added * sizeof *quota->used);
        quota->count = new_count;
    }
    return &quota->used[team];
}

const struct ow_team_settings *ow_team_settings_find(const struct ow_settings *settings, const char *name)
{
    for (guint i = 0; i < settings->teams->len; i++) {
        const struct ow_team_settings *team = &g_array_index(settings->teams, struct ow_team_settings, i);
        if (strcmp(team->name, name) == 0)
            return team;
    }
    return NULL;
}

static const struct ow_team_settings *settings_of(const struct ow_leader *leader, int team)
{
    const char *name = ow_interner_text(leader->core->interners.teams, team);
    return ow_team_settings_find(leader->core->settings, name);
}

/* How many of `wanted` tasks the limit of one resource permits. A limit of 0 means no limit. */
static uint32_t count_within_limit(double limit, double used, double need, uint32_t wanted)
{
    if (limit <= 0 || need <= 0)
        return wanted;
    double left = (limit - used + AMOUNT_TOLERANCE) / need;
    if (left <= 0)
        return 0;
    return (uint32_t)MIN((double)wanted, left);
}

uint32_t ow_team_count_admitted(struct ow_leader *leader, const struct ow_job_spec *spec, uint32_t wanted)
{
    const struct ow_resources *used = ow_team_usage(leader, spec->team);
    const struct ow_resources *need = &spec->submission->need;
    const struct ow_team_settings *settings = settings_of(leader, spec->team);
    if (settings == NULL)
        return 0;
    wanted = count_within_limit(settings->cpus_max, used->cpus, need->cpus, wanted);
    return count_within_limit(settings->gpus_max, used->gpus, need->gpus, wanted);
}

/* Whether the amount is above the guarantee; a guarantee of 0 means none, which no amount exceeds. */
static bool exceeds(double guarantee, double amount)
{
    return guarantee > 0 && amount > guarantee + AMOUNT_TOLERANCE;
}

/* Whether the amounts include a resource for which the team has a guarantee. */
static bool has_guaranteed_resource(const struct ow_team_settings *settings,
                                    const struct ow_resources *amounts)
{
    if (settings->gpus > 0 && amounts->gpus > 0)
        return true;
    return settings->cpus > 0 && amounts->cpus > 0;
}

bool ow_team_guarantee_covers(const struct ow_leader *leader, int team, const struct ow_resources *amounts)
{
    const struct ow_team_settings *settings = settings_of(leader, team);
    if (settings == NULL || !has_guaranteed_resource(settings, amounts))
        return false;
    return !exceeds(settings->gpus, amounts->gpus) && !exceeds(settings->cpus, amounts->cpus);
}

bool ow_team_has_guarantee_for(const struct ow_leader *leader, int team, const struct ow_resources *need)
{
    const struct ow_team_settings *settings = settings_of(leader, team);
    return settings != NULL && has_guaranteed_resource(settings, need);
}

/* Whether all unfinished jobs of the team together fit within its guarantee. */
static bool is_demand_guaranteed(const struct ow_leader *leader, int team)
{
    struct ow_resources demand = {0};
    for (guint i = 0; i < leader->executions->len; i++) {
        const struct ow_execution *execution = g_ptr_array_index(leader->executions, i);
        if (execution->job->spec->team == team && !ow_job_is_over(execution->job))
            ow_resources_add(&demand, &execution->job->spec->submission->need,
                             execution->count - execution->done);
    }
    return ow_team_guarantee_covers(leader, team, &demand);
}

static bool uses_more_than_guaranteed(struct ow_leader *leader, int team)
{
    const struct ow_team_settings *settings = settings_of(leader, team);
    const struct ow_resources *used = ow_team_usage(leader, team);
    if (settings == NULL)
        return false;
    return exceeds(settings->gpus, used->gpus) || exceeds(settings->cpus, used->cpus);
}

void ow_quota_begin_cycle(struct ow_leader *leader)
{
    struct ow_quota *quota = leader->quota;
    int count = ow_interner_count(leader->core->interners.teams);
    quota->demand_is_guaranteed = g_renew(bool, quota->demand_is_guaranteed, count);
    quota->is_borrowing = g_renew(bool, quota->is_borrowing, count);
    for (int team = 0; team < count; team++) {
        quota->demand_is_guaranteed[team] = is_demand_guaranteed(leader, team);
        quota->is_borrowing[team] = uses_more_than_guaranteed(leader, team);
    }
}

bool ow_team_demand_is_guaranteed(const struct ow_leader *leader, int team)
{
    return leader->quota->demand_is_guaranteed[team];
}

bool ow_team_is_borrowing(const struct ow_leader *leader, int team)
{
    return leader->quota->is_borrowing[team];
}
