#include "sharding/shard_manager.h"

#include "model/effect.h"
#include "model/event.h"
#include "model/peer.h"
#include "sharding/candidacy.h"
#include "sharding/shard_keys.h"
#include "sharding/shard_manager_state.h"
#include "sharding/shard_map.h"

#include <string.h>

/* A shorter pause of the process is an ordinary delay. */
static const double PAUSE_LEAST_S = 0.5;

/* ---- life ---- */

static void free_shard(void *item)
{
    ow_shard_free(item);
}

static void make_shards(struct ow_shard_manager *manager, const struct ow_tuning *tuning, uint64_t nonce)
{
    const struct ow_sharding_settings *settings = manager->sharding_settings;
    manager->prefixes = g_ptr_array_new_with_free_func(g_free);
    manager->shards = g_ptr_array_new_with_free_func(free_shard);
    for (guint i = 0; i < settings->shards->len; i++) {
        const struct ow_shard_settings *shard = g_ptr_array_index(settings->shards, i);
        g_ptr_array_add(manager->prefixes, ow_shard_prefix(shard->name));
    }
    for (guint i = 0; i < settings->shards->len; i++)
        g_ptr_array_add(manager->shards,
                        ow_shard_new(settings, i, manager->settings, tuning, nonce, manager->prefixes, 0));
}

struct ow_shard_manager *ow_shard_manager_new(const struct ow_settings *settings,
                                              const struct ow_tuning *tuning,
                                              const struct ow_sharding_settings *sharding_settings,
                                              uint64_t nonce)
{
    struct ow_shard_manager *manager = g_new0(struct ow_shard_manager, 1);
    manager->settings = settings;
    g_queue_init(&manager->events);
    if (sharding_settings == NULL || !sharding_settings->enabled) {
        manager->core = ow_core_new(settings, tuning, nonce);
        return manager;
    }
    manager->sharding_settings = sharding_settings;
    make_shards(manager, tuning, nonce);
    GHashTable *values = ow_shard_map_values(sharding_settings, settings, tuning);
    manager->membership = ow_membership_new(sharding_settings, settings->controller_name, settings->peers,
                                            nonce, ow_shard_map_digest(values));
    bool only_default = g_ptr_array_index(manager->prefixes, 0) == NULL;
    ow_map_agreement_init(&manager->agreement, values, only_default);
    manager->router = ow_request_router_new(sharding_settings, manager->shards);
    return manager;
}

void ow_shard_manager_free(struct ow_shard_manager *manager)
{
    g_queue_clear_full(&manager->events, ow_event_free);
    if (manager->core != NULL) {
        ow_core_free(manager->core);
    } else {
        ow_request_router_free(manager->router);
        ow_map_agreement_clear(&manager->agreement);
        ow_membership_free(manager->membership);
        g_ptr_array_free(manager->shards, TRUE);
        g_ptr_array_free(manager->prefixes, TRUE);
    }
    g_free(manager);
}

/* ---- events ---- */

void ow_shard_manager_push(struct ow_shard_manager *manager, struct ow_event *event)
{
    if (manager->core != NULL)
        ow_core_push(manager->core, event);
    else
        g_queue_push_tail(&manager->events, event);
}

/* ---- runs ---- */

static unsigned led_count(const struct ow_shard_manager *manager)
{
    unsigned count = 0;
    for (guint i = 0; i < manager->shards->len; i++)
        count += ow_managed_shard(manager, i)->status.fencing_token != 0 ? 1 : 0;
    return count;
}

static GArray *led_shards(const struct ow_shard_manager *manager)
{
    GArray *led = ow_peer_shards_new();
    for (guint i = 0; i < manager->shards->len; i++) {
        const struct ow_shard *shard = ow_managed_shard(manager, i);
        bool serving = ow_handover_last(&shard->handover)->phase == OW_HANDOVER_SERVING;
        struct ow_peer_shard view = {(char *)shard->name, shard->status.fencing_token, serving,
                                     shard->status.machines};
        if (shard->status.fencing_token != 0)
            ow_peer_shards_add(led, &view);
    }
    return led;
}

static void tick_membership(struct ow_shard_manager *manager, GPtrArray *out)
{
    GArray *led = led_shards(manager);
    GPtrArray *messages = g_ptr_array_new();
    ow_membership_tick(manager->membership, manager->now, led, messages);
    ow_shard_manager_send_messages(messages, out);
    g_array_free(led, TRUE);
}

static void set_candidacy(const struct ow_shard_manager *manager, const struct ow_shard *shard)
{
    const char *self = manager->settings->controller_name;
    unsigned rank = ow_candidacy_rank(manager->membership, self, led_count(manager), shard->name);
    ow_core_set_candidacy(shard->core, ow_map_agreement_holds(&manager->agreement),
                          rank * manager->sharding_settings->candidacy_step_s);
}

static void step_shard(struct ow_shard_manager *manager, struct ow_shard *shard, double time_of_day,
                       GPtrArray *out)
{
    GPtrArray *effects = g_ptr_array_new();
    set_candidacy(manager, shard);
    ow_shard_step(shard, manager->now, time_of_day, effects);
    for (guint i = 0; i < effects->len; i++) {
        struct ow_effect *effect = g_ptr_array_index(effects, i);
        if (ow_request_router_forward(manager->router, shard, effect, manager->now, out))
            g_ptr_array_add(out, effect);
    }
    g_ptr_array_free(effects, TRUE);
}

static void update_handover(const struct ow_shard_manager *manager, struct ow_shard *shard)
{
    const struct ow_core_status *status = &shard->status;
    struct ow_handover_view view = {
        .self = manager->settings->controller_name,
        .leader_name = status->leader_name,
        .leader = ow_membership_find(manager->membership, status->leader_name),
        .fencing_token = status->fencing_token,
        .key_missing = status->key_missing,
        .records_read = status->records_read,
        .settled = status->settled,
        .machines = status->machines,
        .fenced = status->fenced,
    };
    ow_handover_update(&shard->handover, shard->name, &view, manager->now);
}

GPtrArray *ow_shard_manager_step(struct ow_shard_manager *manager, double now, double time_of_day)
{
    if (manager->core != NULL)
        return ow_core_step(manager->core, now, time_of_day);
    GPtrArray *out = g_ptr_array_new_with_free_func(ow_effect_free);
    manager->now = now;
    struct ow_event *event;
    while ((event = g_queue_pop_head(&manager->events)) != NULL)
        ow_shard_manager_dispatch(manager, event, out);
    tick_membership(manager, out);
    ow_map_agreement_tick(&manager->agreement, now, OW_OWN_INDEX << OW_SHARD_TAG_BITS, out);
    for (guint i = 0; i < manager->shards->len; i++) {
        step_shard(manager, ow_managed_shard(manager, i), time_of_day, out);
        update_handover(manager, ow_managed_shard(manager, i));
    }
    ow_request_router_sweep(manager->router, now);
    return out;
}

double ow_shard_manager_idle_seconds(const struct ow_shard_manager *manager)
{
    return ow_core_idle_seconds(manager->core != NULL ? manager->core : ow_managed_shard(manager, 0)->core);
}

bool ow_shard_manager_is_ready(const struct ow_shard_manager *manager)
{
    if (manager->core != NULL)
        return ow_core_is_ready(manager->core);
    for (guint i = 0; i < manager->shards->len; i++)
        if (!ow_core_is_ready(ow_managed_shard(manager, i)->core))
            return false;
    return true;
}

uint64_t ow_shard_manager_fencing_token(const struct ow_shard_manager *manager)
{
    uint64_t highest = manager->core != NULL ? ow_core_fencing_token(manager->core) : 0;
    for (guint i = 0; manager->core == NULL && i < manager->shards->len; i++)
        highest = MAX(highest, ow_managed_shard(manager, i)->status.fencing_token);
    return highest;
}

bool ow_shard_manager_resume(struct ow_shard_manager *manager, double paused_s, double now)
{
    if (manager->core != NULL || paused_s < PAUSE_LEAST_S)
        return false;
    bool doubtful = false;
    for (guint i = 0; i < manager->shards->len; i++) {
        struct ow_shard *shard = ow_managed_shard(manager, i);
        ow_shard_resumed(shard, now);
        bool leads = shard->status.fencing_token != 0;
        doubtful |= leads && ow_lease_guard_check(&shard->guard, now) != OW_LEASE_HELD;
    }
    if (doubtful)
        g_info("the process stood still for %.2f s: nothing leaves before its leases are proven", paused_s);
    return doubtful;
}

/* ---- what operators ask ---- */

bool ow_shard_manager_is_enabled(const struct ow_shard_manager *manager)
{
    return manager->core == NULL;
}

double ow_shard_manager_now(const struct ow_shard_manager *manager)
{
    return manager->now;
}

const GPtrArray *ow_shard_manager_members(const struct ow_shard_manager *manager)
{
    return ow_membership_members(manager->membership);
}

const GPtrArray *ow_shard_manager_shards(const struct ow_shard_manager *manager)
{
    return manager->shards;
}

const char *ow_shard_manager_difference(const struct ow_shard_manager *manager)
{
    return manager->agreement.difference;
}

unsigned ow_shard_manager_dropped(const struct ow_shard_manager *manager)
{
    return ow_membership_dropped_count(manager->membership);
}

const char *ow_shard_manager_successor(const struct ow_shard_manager *manager, const struct ow_shard *shard)
{
    const char *self = manager->settings->controller_name;
    const char *other = ow_candidacy_successor(manager->membership, self, led_count(manager), shard->name);
    return other != NULL ? other : self;
}
