#include "sharding/shard_platform.h"

/* A limit of 0 means no limit, so a shard without a share of a limit gets this minimum, in CPUs or GPUs. */
static const double LIMIT_MIN = 1e-6;

static double divide_limit(double limit, double share)
{
    return limit > 0 ? MAX(limit * share, LIMIT_MIN) : 0;
}

static GArray *divide_quotas(const struct ow_sharding_settings *sharding,
                             const struct ow_shard_settings *shard, const GArray *teams)
{
    GArray *parts = g_array_new(FALSE, FALSE, sizeof(struct ow_team_settings));
    for (guint i = 0; i < teams->len; i++) {
        struct ow_team_settings part = g_array_index(teams, struct ow_team_settings, i);
        double share = ow_sharding_settings_get_share(sharding, part.name, shard);
        part.cpus *= share;
        part.gpus *= share;
        part.cpus_max = divide_limit(part.cpus_max, share);
        part.gpus_max = divide_limit(part.gpus_max, share);
        g_array_append_val(parts, part);
    }
    return parts;
}

/* Request budgets belong to the shard, not to the controller: a new leader inherits those of the previous
   one. */
static void divide_budgets(struct ow_settings *settings, double part)
{
    settings->store_rps *= part;
    settings->store_write_rps *= part;
    settings->next_write_rps *= part;
    settings->cloud_rps *= part;
    settings->core_share *= part;
}

struct ow_settings *ow_shard_platform_new(const struct ow_sharding_settings *sharding, guint index,
                                          const struct ow_settings *platform)
{
    const struct ow_shard_settings *shard = g_ptr_array_index(sharding->shards, index);
    struct ow_settings *settings = g_new(struct ow_settings, 1);
    *settings = *platform;
    settings->zones = shard->zones;
    settings->teams = divide_quotas(sharding, shard, platform->teams);
    divide_budgets(settings, 1.0 / sharding->shards->len);
    return settings;
}

void ow_shard_platform_free(struct ow_settings *settings)
{
    if (settings == NULL)
        return;
    /* All other fields are borrowed from the platform's or the sharding settings. */
    g_array_free(settings->teams, TRUE);
    g_free(settings);
}
