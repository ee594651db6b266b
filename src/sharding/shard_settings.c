#include "sharding/shard_settings.h"

/* A limit of 0 means none: where a shard has no part of one it gets as good as nothing instead. */
static const double NOTHING = 1e-6;

/* A shard's part of a limit. */
static double limit_part(double limit, double share)
{
    return limit > 0 ? MAX(limit * share, NOTHING) : 0;
}

static GArray *divide_teams(const struct ow_sharding_settings *sharding,
                            const struct ow_shard_settings *shard, const GArray *teams)
{
    GArray *parts = g_array_new(FALSE, FALSE, sizeof(struct ow_team_settings));
    for (guint i = 0; i < teams->len; i++) {
        struct ow_team_settings part = g_array_index(teams, struct ow_team_settings, i);
        double share = ow_sharding_settings_share(sharding, part.name, shard);
        part.cpus *= share;
        part.gpus *= share;
        part.cpus_max = limit_part(part.cpus_max, share);
        part.gpus_max = limit_part(part.gpus_max, share);
        g_array_append_val(parts, part);
    }
    return parts;
}

struct ow_settings *ow_shard_settings_new(const struct ow_sharding_settings *sharding, guint shard,
                                          const struct ow_settings *platform)
{
    const struct ow_shard_settings *own = g_ptr_array_index(sharding->shards, shard);
    double part = 1.0 / sharding->shards->len;
    struct ow_settings *settings = g_new(struct ow_settings, 1);
    *settings = *platform;
    settings->zones = own->zones;
    settings->teams = divide_teams(sharding, own, platform->teams);
    /* Budgets go with the shard, whoever leads it: those of a controller that has ended are its successor's.
     */
    settings->store_rps *= part;
    settings->store_write_rps *= part;
    settings->next_write_rps *= part;
    settings->cloud_rps *= part;
    settings->core_share *= part;
    return settings;
}

void ow_shard_settings_free(struct ow_settings *settings)
{
    if (settings == NULL)
        return;
    /* Everything else is the platform's or the control settings'. */
    g_array_free(settings->teams, TRUE);
    g_free(settings);
}
