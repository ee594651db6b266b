#include "sharding/shard_manager.h"

#include "model/effect.h"
#include "model/peer.h"
#include "sharding/candidacy.h"
#include "sharding/map_agreement.h"
#include "sharding/membership.h"
#include "sharding/request_router.h"
#include "sharding/shard_dispatch.h"
#include "sharding/shard_keys.h"
#include "sharding/shard_map.h"
#include "sharding/shard_tag.h"

/* Minimum duration of a pause of the process that is handled; shorter ones are normal scheduling delays. */
static const double PAUSE_MIN_S = 0.5;

struct ow_shard_manager {
    const struct ow_settings *settings;
    struct ow_core *core; /* the only core; NULL: the fleet is divided, and the fields below are set */
    const struct ow_sharding_settings *sharding;
    GPtrArray *key_prefixes; /* char *, of the shards */
    GPtrArray *shards;       /* struct ow_shard, owned */
    struct ow_membership *membership;
    struct ow_map_agreement *agreement;
    struct ow_request_router *router;
    GQueue events; /* struct ow_event, owned */
    double now;    /* of the last step: seconds of the monotonic clock */
};

static struct ow_shard *shard_at(const struct ow_shard_manager *manager, guint index)
{
    return g_ptr_array_index(manager->shards, index);
}

/* ---- creation and destruction ---- */

static void free_shard(void *item)
{
    ow_shard_free(item);
}

static void add_shards(struct ow_shard_manager *manager, const struct ow_tuning *tuning, uint64_t nonce)
{
    const GPtrArray *settings = manager->sharding->shards;
    manager->key_prefixes = g_ptr_array_new_with_free_func(g_free);
    manager->shards = g_ptr_array_new_with_free_func(free_shard);
    for (guint i = 0; i < settings->len; i++) {
        const struct ow_shard_settings *shard = g_ptr_array_index(settings, i);
        g_ptr_array_add(manager->key_prefixes, ow_shard_keys_prefix_new(shard->name));
    }
    for (guint i = 0; i < settings->len; i++)
        g_ptr_array_add(manager->shards, ow_shard_new(manager->sharding, i, manager->settings, tuning, nonce,
                                                      manager->key_prefixes));
}

/* Creates the shards and the other components of a divided fleet. */
static void divide(struct ow_shard_manager *manager, const struct ow_tuning *tuning, uint64_t nonce)
{
    const struct ow_settings *settings = manager->settings;
    add_shards(manager, tuning, nonce);
    GHashTable *values = ow_shard_map_collect_values(manager->sharding, settings, tuning);
    manager->membership = ow_membership_new(manager->sharding, settings->controller_name, settings->peers,
                                            nonce, ow_shard_map_compute_digest(values));
    bool has_only_default_shard = g_ptr_array_index(manager->key_prefixes, 0) == NULL;
    manager->agreement = ow_map_agreement_new(values, has_only_default_shard);
    manager->router = ow_request_router_new(manager->sharding, manager->shards);
}

struct ow_shard_manager *ow_shard_manager_new(const struct ow_settings *settings,
                                              const struct ow_tuning *tuning,
                                              const struct ow_sharding_settings *sharding, uint64_t nonce)
{
    struct ow_shard_manager *manager = g_new0(struct ow_shard_manager, 1);
    manager->settings = settings;
    g_queue_init(&manager->events);
    if (sharding != NULL && sharding->is_enabled) {
        manager->sharding = sharding;
        divide(manager, tuning, nonce);
    } else {
        manager->core = ow_core_new(settings, tuning, nonce);
    }
    return manager;
}

void ow_shard_manager_free(struct ow_shard_manager *manager)
{
    g_queue_clear_full(&manager->events, ow_event_free);
    if (manager->core != NULL) {
        ow_core_free(manager->core);
    } else {
        ow_request_router_free(manager->router);
        ow_map_agreement_free(manager->agreement);
        ow_membership_free(manager->membership);
        g_ptr_array_free(manager->shards, TRUE);
        g_ptr_array_free(manager->key_prefixes, TRUE);
    }
    g_free(manager);
}

/* ---- steps ---- */

void ow_shard_manager_push(struct ow_shard_manager *manager, struct ow_event *event)
{
    if (manager->core != NULL)
        ow_core_push(manager->core, event);
    else
        g_queue_push_tail(&manager->events, event);
}

static void dispatch_events(struct ow_shard_manager *manager, GPtrArray *out)
{
    const struct ow_dispatch_targets targets = {
        .sharding = manager->sharding,
        .shards = manager->shards,
        .membership = manager->membership,
        .agreement = manager->agreement,
        .router = manager->router,
    };
    struct ow_event *event = NULL;
    while ((event = g_queue_pop_head(&manager->events)) != NULL)
        ow_shard_dispatch_event(&targets, event, manager->now, out);
}

static void tick_membership(struct ow_shard_manager *manager, GPtrArray *out)
{
    g_autoptr(GArray) led_shards = ow_shards_describe_led(manager->shards);
    GPtrArray *messages = g_ptr_array_new();
    ow_membership_tick(manager->membership, manager->now, led_shards, messages);
    ow_shard_dispatch_messages(messages, out);
}

static void set_candidacy(const struct ow_shard_manager *manager, const struct ow_shard *shard)
{
    const char *self = manager->settings->controller_name;
    unsigned rank = ow_candidacy_compute_rank(manager->membership, self, ow_shards_count_led(manager->shards),
                                              shard->name);
    ow_core_set_candidacy(shard->core, ow_map_agreement_is_reached(manager->agreement),
                          rank * manager->sharding->candidacy_step_s);
}

static void step_shard(struct ow_shard_manager *manager, struct ow_shard *shard, double time_of_day,
                       GPtrArray *out)
{
    g_autoptr(GPtrArray) effects = g_ptr_array_new();
    set_candidacy(manager, shard);
    ow_shard_step(shard, manager->now, time_of_day, effects);
    for (guint i = 0; i < effects->len; i++) {
        struct ow_effect *effect = g_ptr_array_index(effects, i);
        if (ow_request_router_forward(manager->router, shard, effect, manager->now, out))
            g_ptr_array_add(out, effect);
    }
}

static void update_failover_log(const struct ow_shard_manager *manager, struct ow_shard *shard)
{
    const struct ow_core_status *status = &shard->status;
    const struct ow_failover_observation observation = {
        .self = manager->settings->controller_name,
        .leader_name = status->leader_name,
        .leader = ow_membership_find(manager->membership, status->leader_name),
        .fencing_token = status->fencing_token,
        .is_key_missing = status->key_missing,
        .are_records_read = status->records_read,
        .is_settled = status->settled,
        .machines = status->machines,
        .fenced = status->fenced,
    };
    ow_failover_log_update(&shard->failovers, shard->name, &observation, manager->now);
}

void ow_shard_manager_set_overload(struct ow_shard_manager *manager, double last_step_s)
{
    if (manager->core != NULL)
        ow_core_set_overload(manager->core, last_step_s);
    else
        for (guint i = 0; i < manager->shards->len; i++)
            ow_core_set_overload(shard_at(manager, i)->core, last_step_s);
}

GPtrArray *ow_shard_manager_step(struct ow_shard_manager *manager, double now, double time_of_day)
{
    if (manager->core != NULL)
        return ow_core_step(manager->core, now, time_of_day);
    GPtrArray *out = g_ptr_array_new_with_free_func(ow_effect_free);
    manager->now = now;
    dispatch_events(manager, out);
    tick_membership(manager, out);
    ow_map_agreement_tick(manager->agreement, now, ow_shard_tag_make(OW_SHARD_TAG_MANAGER, 0), out);
    for (guint i = 0; i < manager->shards->len; i++) {
        step_shard(manager, shard_at(manager, i), time_of_day, out);
        update_failover_log(manager, shard_at(manager, i));
    }
    ow_request_router_sweep(manager->router, now);
    return out;
}

double ow_shard_manager_idle_seconds(const struct ow_shard_manager *manager)
{
    /* All cores have the same value. */
    return ow_core_idle_seconds(manager->core != NULL ? manager->core : shard_at(manager, 0)->core);
}

bool ow_shard_manager_is_ready(const struct ow_shard_manager *manager)
{
    if (manager->core != NULL)
        return ow_core_is_ready(manager->core);
    for (guint i = 0; i < manager->shards->len; i++)
        if (!ow_core_is_ready(shard_at(manager, i)->core))
            return false;
    return true;
}

uint64_t ow_shard_manager_fencing_token(const struct ow_shard_manager *manager)
{
    if (manager->core != NULL)
        return ow_core_fencing_token(manager->core);
    uint64_t highest = 0;
    for (guint i = 0; i < manager->shards->len; i++)
        highest = MAX(highest, shard_at(manager, i)->status.fencing_token);
    return highest;
}

unsigned ow_shard_manager_invariant_violations(const struct ow_shard_manager *manager)
{
    if (manager->core != NULL)
        return ow_core_invariant_violations(manager->core);
    unsigned violations = 0;
    for (guint i = 0; i < manager->shards->len; i++)
        violations += ow_core_invariant_violations(shard_at(manager, i)->core);
    return violations;
}

bool ow_shard_manager_resume(struct ow_shard_manager *manager, double paused_s, double now)
{
    if (manager->core != NULL || paused_s < PAUSE_MIN_S)
        return false;
    bool is_lease_in_doubt = false;
    for (guint i = 0; i < manager->shards->len; i++) {
        struct ow_shard *shard = shard_at(manager, i);
        ow_shard_note_pause(shard, now);
        if (ow_shard_is_led_here(shard) && ow_lease_guard_state(&shard->guard, now) != OW_LEASE_HELD)
            is_lease_in_doubt = true;
    }
    if (is_lease_in_doubt)
        g_info("resumed after a pause, outgoing messages withheld until leases are confirmed: pause_s=%.2f",
               paused_s);
    return is_lease_in_doubt;
}

/* ---- queries for operators ---- */

bool ow_shard_manager_is_sharded(const struct ow_shard_manager *manager)
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
    return ow_map_agreement_difference(manager->agreement);
}

unsigned ow_shard_manager_dropped_count(const struct ow_shard_manager *manager)
{
    return ow_membership_dropped_count(manager->membership);
}

const char *ow_shard_manager_successor(const struct ow_shard_manager *manager, const struct ow_shard *shard)
{
    const char *self = manager->settings->controller_name;
    const char *other = ow_candidacy_find_successor(manager->membership, self,
                                                    ow_shards_count_led(manager->shards), shard->name);
    return other != NULL ? other : self;
}
