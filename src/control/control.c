#include "control/control.h"

#include "control/candidacy.h"
#include "control/control_state.h"
#include "control/shard_keys.h"
#include "control/shard_map.h"

#include <string.h>

/* A shorter pause of the process is an ordinary delay. */
static const double PAUSE_LEAST_S = 0.5;

/* ---- life ---- */

static void free_shard(void *item)
{
    ow_shard_free(item);
}

static void make_shards(struct ow_control *control, const struct ow_rules *rules, uint64_t nonce)
{
    const struct ow_control_settings *settings = control->control_settings;
    control->prefixes = g_ptr_array_new_with_free_func(g_free);
    control->shards = g_ptr_array_new_with_free_func(free_shard);
    for (guint i = 0; i < settings->shards->len; i++) {
        const struct ow_shard_settings *shard = g_ptr_array_index(settings->shards, i);
        g_ptr_array_add(control->prefixes, ow_shard_prefix(shard->name));
    }
    for (guint i = 0; i < settings->shards->len; i++)
        g_ptr_array_add(control->shards,
                        ow_shard_new(settings, i, control->settings, rules, nonce, control->prefixes, 0));
}

struct ow_control *ow_control_new(const struct ow_settings *settings, const struct ow_rules *rules,
                                  const struct ow_control_settings *control_settings, uint64_t nonce)
{
    struct ow_control *control = g_new0(struct ow_control, 1);
    control->settings = settings;
    g_queue_init(&control->events);
    if (control_settings == NULL || !control_settings->enabled) {
        control->core = ow_core_new(settings, rules, nonce);
        return control;
    }
    control->control_settings = control_settings;
    make_shards(control, rules, nonce);
    GHashTable *values = ow_shard_map_values(control_settings, settings, rules);
    control->membership = ow_membership_new(control_settings, settings->controller_name, settings->peers,
                                            nonce, ow_shard_map_digest(values));
    bool only_default = g_ptr_array_index(control->prefixes, 0) == NULL;
    ow_map_agreement_init(&control->agreement, values, only_default);
    control->router = ow_request_router_new(control_settings, control->shards);
    return control;
}

void ow_control_free(struct ow_control *control)
{
    g_queue_clear_full(&control->events, ow_event_free);
    if (control->core != NULL) {
        ow_core_free(control->core);
    } else {
        ow_request_router_free(control->router);
        ow_map_agreement_clear(&control->agreement);
        ow_membership_free(control->membership);
        g_ptr_array_free(control->shards, TRUE);
        g_ptr_array_free(control->prefixes, TRUE);
    }
    g_free(control);
}

/* ---- events ---- */

void ow_control_push(struct ow_control *control, struct ow_event *event)
{
    if (control->core != NULL)
        ow_core_push(control->core, event);
    else
        g_queue_push_tail(&control->events, event);
}

/* ---- runs ---- */

static unsigned led_count(const struct ow_control *control)
{
    unsigned count = 0;
    for (guint i = 0; i < control->shards->len; i++)
        count += ow_control_shard(control, i)->status.token != 0 ? 1 : 0;
    return count;
}

static GArray *led_shards(const struct ow_control *control)
{
    GArray *led = ow_peer_shards_new();
    for (guint i = 0; i < control->shards->len; i++) {
        const struct ow_shard *shard = ow_control_shard(control, i);
        bool serving = ow_handover_last(&shard->handover)->phase == OW_HANDOVER_SERVING;
        struct ow_peer_shard view = {(char *)shard->name, shard->status.token, serving,
                                     shard->status.machines};
        if (shard->status.token != 0)
            ow_peer_shards_add(led, &view);
    }
    return led;
}

static void tick_membership(struct ow_control *control, GPtrArray *out)
{
    GArray *led = led_shards(control);
    GPtrArray *messages = g_ptr_array_new();
    ow_membership_tick(control->membership, control->now, led, messages);
    ow_control_send_messages(messages, out);
    g_array_free(led, TRUE);
}

static void set_candidacy(const struct ow_control *control, const struct ow_shard *shard)
{
    const char *self = control->settings->controller_name;
    unsigned rank = ow_candidacy_rank(control->membership, self, led_count(control), shard->name);
    ow_core_set_candidacy(shard->core, ow_map_agreement_holds(&control->agreement),
                          rank * control->control_settings->candidacy_step_s);
}

static void run_shard(struct ow_control *control, struct ow_shard *shard, double time_of_day, GPtrArray *out)
{
    GPtrArray *effects = g_ptr_array_new();
    set_candidacy(control, shard);
    ow_shard_run(shard, control->now, time_of_day, effects);
    for (guint i = 0; i < effects->len; i++) {
        struct ow_effect *effect = g_ptr_array_index(effects, i);
        if (ow_request_router_pass(control->router, shard, effect, control->now, out))
            g_ptr_array_add(out, effect);
    }
    g_ptr_array_free(effects, TRUE);
}

static void update_handover(const struct ow_control *control, struct ow_shard *shard)
{
    const struct ow_core_status *status = &shard->status;
    struct ow_handover_view view = {
        .self = control->settings->controller_name,
        .leader_name = status->leader_name,
        .leader = ow_membership_find(control->membership, status->leader_name),
        .token = status->token,
        .key_missing = status->key_missing,
        .records_read = status->records_read,
        .settled = status->settled,
        .machines = status->machines,
        .fenced = status->fenced,
    };
    ow_handover_update(&shard->handover, shard->name, &view, control->now);
}

GPtrArray *ow_control_run(struct ow_control *control, double now, double time_of_day)
{
    if (control->core != NULL)
        return ow_core_run(control->core, now, time_of_day);
    GPtrArray *out = g_ptr_array_new_with_free_func(ow_effect_free);
    control->now = now;
    struct ow_event *event;
    while ((event = g_queue_pop_head(&control->events)) != NULL)
        ow_control_dispatch(control, event, out);
    tick_membership(control, out);
    ow_map_agreement_tick(&control->agreement, now, OW_OWN_INDEX << OW_SHARD_TAG_BITS, out);
    for (guint i = 0; i < control->shards->len; i++) {
        run_shard(control, ow_control_shard(control, i), time_of_day, out);
        update_handover(control, ow_control_shard(control, i));
    }
    ow_request_router_sweep(control->router, now);
    return out;
}

double ow_control_idle_seconds(const struct ow_control *control)
{
    return ow_core_idle_seconds(control->core != NULL ? control->core : ow_control_shard(control, 0)->core);
}

bool ow_control_healthy(const struct ow_control *control)
{
    if (control->core != NULL)
        return ow_core_healthy(control->core);
    for (guint i = 0; i < control->shards->len; i++)
        if (!ow_core_healthy(ow_control_shard(control, i)->core))
            return false;
    return true;
}

uint64_t ow_control_token(const struct ow_control *control)
{
    uint64_t highest = control->core != NULL ? ow_core_token(control->core) : 0;
    for (guint i = 0; control->core == NULL && i < control->shards->len; i++)
        highest = MAX(highest, ow_control_shard(control, i)->status.token);
    return highest;
}

bool ow_control_resumed(struct ow_control *control, double paused_s, double now)
{
    if (control->core != NULL || paused_s < PAUSE_LEAST_S)
        return false;
    bool doubtful = false;
    for (guint i = 0; i < control->shards->len; i++) {
        struct ow_shard *shard = ow_control_shard(control, i);
        ow_shard_resumed(shard, now);
        bool leads = shard->status.token != 0;
        doubtful |= leads && ow_lease_guard_check(&shard->guard, now) != OW_LEASE_HELD;
    }
    if (doubtful)
        g_info("the process stood still for %.2f s: nothing leaves before its leases are proven", paused_s);
    return doubtful;
}

/* ---- what operators ask ---- */

bool ow_control_is_enabled(const struct ow_control *control)
{
    return control->core == NULL;
}

double ow_control_now(const struct ow_control *control)
{
    return control->now;
}

const GPtrArray *ow_control_members(const struct ow_control *control)
{
    return ow_membership_members(control->membership);
}

const GPtrArray *ow_control_shards(const struct ow_control *control)
{
    return control->shards;
}

const char *ow_control_difference(const struct ow_control *control)
{
    return control->agreement.difference;
}

unsigned ow_control_dropped(const struct ow_control *control)
{
    return ow_membership_dropped(control->membership);
}

const char *ow_control_successor(const struct ow_control *control, const struct ow_shard *shard)
{
    const char *self = control->settings->controller_name;
    const char *other = ow_candidacy_successor(control->membership, self, led_count(control), shard->name);
    return other != NULL ? other : self;
}
