#include "sharding/shard.h"

#include "model/cloud.h"
#include "model/effect.h"
#include "model/peer.h"
#include "sharding/effect_guard.h"
#include "sharding/shard_keys.h"
#include "sharding/shard_map.h"
#include "sharding/shard_platform.h"
#include "sharding/shard_tag.h"

/* ---- creation and destruction ---- */

struct ow_shard *ow_shard_new(const struct ow_sharding_settings *sharding, unsigned index,
                              const struct ow_settings *platform, const struct ow_tuning *tuning,
                              uint64_t nonce, const GPtrArray *key_prefixes)
{
    const struct ow_shard_settings *own = g_ptr_array_index(sharding->shards, index);
    struct ow_shard *shard = g_new0(struct ow_shard, 1);
    shard->index = index;
    shard->name = own->name;
    shard->key_prefix = ow_shard_keys_prefix_new(own->name);
    shard->key_prefixes = key_prefixes;
    shard->sharding = sharding;
    shard->settings = ow_shard_platform_new(sharding, index, platform);
    shard->core = ow_core_new(shard->settings, tuning, nonce);
    ow_lease_guard_init(&shard->guard, tuning->leader_lease_s);
    ow_failover_log_init(&shard->failovers);
    return shard;
}

void ow_shard_free(struct ow_shard *shard)
{
    ow_core_free(shard->core);
    ow_shard_platform_free(shard->settings);
    ow_failover_log_clear(&shard->failovers);
    g_free(shard->key_prefix);
    g_free(shard);
}

bool ow_shard_is_led_here(const struct ow_shard *shard)
{
    return shard->status.fencing_token != 0;
}

void ow_shard_note_pause(struct ow_shard *shard, double resumed_at)
{
    ow_lease_guard_note_pause(&shard->guard, resumed_at);
}

/* ---- events ---- */

static bool is_own_machine(const struct ow_shard *shard, const char *zone, const char *type)
{
    return ow_shard_map_find_shard(shard->sharding, zone, type) == (int)shard->index;
}

/* Removes the machines of other shards from a list: the core would treat them as its own. */
static void keep_own_machines(const struct ow_shard *shard, GArray *listed)
{
    for (guint i = listed->len; i > 0; i--) {
        const struct ow_listed_machine *machine = &g_array_index(listed, struct ow_listed_machine, i - 1);
        if (!is_own_machine(shard, machine->zone, machine->type))
            g_array_remove_index(listed, i - 1);
    }
}

/* Removes the zones in which machines of this type belong to other shards. */
static void keep_own_zones(const struct ow_shard *shard, struct ow_machine_type *type)
{
    GPtrArray *zones = g_ptr_array_new();
    for (char **zone = shard->settings->zones; *zone != NULL; zone++) {
        bool is_offered = type->zones == NULL || g_strv_contains((const char *const *)type->zones, *zone);
        if (is_offered && is_own_machine(shard, *zone, type->name))
            g_ptr_array_add(zones, g_strdup(*zone));
    }
    g_ptr_array_add(zones, NULL);
    g_strfreev(type->zones);
    type->zones = (char **)g_ptr_array_free(zones, FALSE);
}

static void keep_own_types(const struct ow_shard *shard, GArray *types)
{
    for (guint i = types->len; i > 0; i--) {
        struct ow_machine_type *type = &g_array_index(types, struct ow_machine_type, i - 1);
        keep_own_zones(shard, type);
        if (type->zones[0] == NULL)
            g_array_remove_index(types, i - 1);
    }
}

void ow_shard_push(struct ow_shard *shard, struct ow_event *event)
{
    switch (event->kind) {
    case OW_EVENT_STORE:
        ow_lease_guard_note_reply(&shard->guard, event->request, event->store.status);
        ow_shard_keys_strip(&event->store, shard->key_prefix);
        break;
    case OW_EVENT_CLOUD:
        if (event->cloud.listed != NULL)
            keep_own_machines(shard, event->cloud.listed);
        if (event->cloud.types != NULL)
            keep_own_types(shard, event->cloud.types);
        break;
    default:
        break;
    }
    ow_core_push(shard->core, event);
}

/* ---- effects ---- */

static void translate_store(struct ow_shard *shard, struct ow_effect *effect, double now)
{
    struct ow_store_request *request = effect->store;
    if (request->op == OW_STORE_GRANT_LEASE || request->op == OW_STORE_KEEP_ALIVE)
        ow_lease_guard_note_request(&shard->guard, request->tag, now);
    ow_shard_keys_guard_new_job(request, shard->key_prefixes, shard->key_prefix);
    ow_shard_keys_qualify(request, shard->key_prefix);
    request->tag = ow_shard_tag_make(shard->index, request->tag);
    effect->request = request->tag;
}

static void translate(struct ow_shard *shard, struct ow_effect *effect, double now)
{
    switch (effect->kind) {
    case OW_EFFECT_STORE:
        translate_store(shard, effect, now);
        break;
    case OW_EFFECT_CLOUD:
        effect->cloud->tag = ow_shard_tag_make(shard->index, effect->cloud->tag);
        effect->request = effect->cloud->tag;
        break;
    case OW_EFFECT_DIRECT_COMMANDS:
        effect->request = ow_shard_tag_make(shard->index, effect->request);
        break;
    case OW_EFFECT_PEER:
        if (shard->key_prefix != NULL)
            effect->peer->shard = g_strdup(shard->name);
        break;
    default:
        break;
    }
}

/* Whether the effect may be sent. If not, it is freed, and the core receives a reply to it in its next step.
 */
static bool apply_guard(struct ow_shard *shard, struct ow_effect *effect, enum ow_lease_state lease)
{
    struct ow_event *reply = NULL;
    if (lease != OW_LEASE_HELD && ow_effect_guard_apply(effect, lease, &reply))
        shard->withheld++;
    if (reply == NULL)
        return true;
    ow_core_push(shard->core, reply);
    ow_effect_free(effect);
    return false;
}

void ow_shard_step(struct ow_shard *shard, double now, double time_of_day, GPtrArray *out)
{
    GPtrArray *effects = ow_core_step(shard->core, now, time_of_day);
    enum ow_lease_state lease = ow_lease_guard_state(&shard->guard, now);
    for (guint i = 0; i < effects->len; i++) {
        struct ow_effect *effect = g_ptr_array_index(effects, i);
        if (!apply_guard(shard, effect, lease))
            continue;
        translate(shard, effect, now);
        g_ptr_array_add(out, effect);
    }
    /* All effects have been moved to `out` or freed. */
    g_ptr_array_set_free_func(effects, NULL);
    g_ptr_array_free(effects, TRUE);
    ow_core_status(shard->core, &shard->status);
}

unsigned ow_shards_count_led(const GPtrArray *shards)
{
    unsigned count = 0;
    for (guint i = 0; i < shards->len; i++)
        count += ow_shard_is_led_here(g_ptr_array_index(shards, i)) ? 1 : 0;
    return count;
}

GArray *ow_shards_describe_led(const GPtrArray *shards)
{
    GArray *led_shards = ow_peer_shards_new();
    for (guint i = 0; i < shards->len; i++) {
        const struct ow_shard *shard = g_ptr_array_index(shards, i);
        const struct ow_peer_shard description = {
            .name = (char *)shard->name,
            .fencing_token = shard->status.fencing_token,
            .serving = ow_failover_log_last(&shard->failovers)->phase == OW_FAILOVER_SERVING,
            .machines = shard->status.machines,
        };
        if (ow_shard_is_led_here(shard))
            ow_peer_shards_add(led_shards, &description);
    }
    return led_shards;
}
