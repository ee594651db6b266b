#include "sharding/shard.h"

#include "model/cloud.h"
#include "model/effect.h"
#include "model/event.h"
#include "sharding/effect_guard.h"
#include "sharding/shard_keys.h"
#include "sharding/shard_map.h"
#include "sharding/shard_settings.h"

struct ow_shard *ow_shard_new(const struct ow_sharding_settings *sharding, unsigned index,
                              const struct ow_settings *platform, const struct ow_tuning *tuning,
                              uint64_t nonce, const GPtrArray *prefixes, double now)
{
    struct ow_shard *shard = g_new0(struct ow_shard, 1);
    shard->index = index;
    shard->sharding = sharding;
    shard->prefixes = prefixes;
    shard->name = ((const struct ow_shard_settings *)g_ptr_array_index(sharding->shards, index))->name;
    shard->prefix = ow_shard_prefix(shard->name);
    shard->settings = ow_shard_settings_new(sharding, index, platform);
    shard->core = ow_core_new(shard->settings, tuning, nonce);
    ow_lease_guard_init(&shard->guard, tuning->leader_lease_s);
    ow_handover_init(&shard->handover, now);
    return shard;
}

void ow_shard_free(struct ow_shard *shard)
{
    ow_core_free(shard->core);
    ow_shard_settings_free(shard->settings);
    ow_handover_clear(&shard->handover);
    g_free(shard->prefix);
    g_free(shard);
}

/* ---- what comes in ---- */

static bool is_own_machine(const struct ow_shard *shard, const char *zone, const char *type)
{
    return ow_shard_map_machine(shard->sharding, zone, type) == (int)shard->index;
}

/* Machines of other shards are none of this one's business. */
static void keep_own_machines(const struct ow_shard *shard, GArray *listed)
{
    for (guint i = listed->len; i > 0; i--) {
        const struct ow_listed_machine *machine = &g_array_index(listed, struct ow_listed_machine, i - 1);
        if (!is_own_machine(shard, machine->zone, machine->type))
            g_array_remove_index(listed, i - 1);
    }
}

/* Leaves a type the zones in which its machines belong to this shard. */
static void keep_own_zones(const struct ow_shard *shard, struct ow_machine_type *type)
{
    GPtrArray *zones = g_ptr_array_new();
    for (char **zone = shard->settings->zones; *zone != NULL; zone++) {
        bool offered = type->zones == NULL || g_strv_contains((const char *const *)type->zones, *zone);
        if (offered && is_own_machine(shard, *zone, type->name))
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
        ow_lease_guard_answered(&shard->guard, event->request, event->store.status);
        ow_shard_keys_strip(&event->store, shard->prefix);
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

/* ---- what goes out ---- */

/* The tag under which the outside answers. */
static uint64_t outer_tag(const struct ow_shard *shard, uint64_t tag)
{
    return tag | (uint64_t)shard->index << OW_SHARD_TAG_BITS;
}

static void translate_store(struct ow_shard *shard, struct ow_effect *effect, double now)
{
    struct ow_store_request *request = effect->store;
    if (request->op == OW_STORE_GRANT_LEASE || request->op == OW_STORE_KEEP_ALIVE)
        ow_lease_guard_requested(&shard->guard, request->tag, now);
    ow_shard_keys_guard_new_job(request, shard->prefixes, shard->prefix);
    ow_shard_keys_qualify(request, shard->prefix);
    request->tag = outer_tag(shard, request->tag);
    effect->request = request->tag;
}

static void translate(struct ow_shard *shard, struct ow_effect *effect, double now)
{
    switch (effect->kind) {
    case OW_EFFECT_STORE:
        translate_store(shard, effect, now);
        break;
    case OW_EFFECT_CLOUD:
        effect->cloud->tag = outer_tag(shard, effect->cloud->tag);
        effect->request = effect->cloud->tag;
        break;
    case OW_EFFECT_DIRECT_COMMANDS:
        effect->request = outer_tag(shard, effect->request);
        break;
    case OW_EFFECT_PEER:
        if (shard->prefix != NULL)
            effect->peer->shard = g_strdup(shard->name);
        break;
    default:
        break;
    }
}

void ow_shard_step(struct ow_shard *shard, double now, double time_of_day, GPtrArray *out)
{
    GPtrArray *effects = ow_core_step(shard->core, now, time_of_day);
    enum ow_lease_verdict verdict = ow_lease_guard_check(&shard->guard, now);
    for (guint i = 0; i < effects->len; i++) {
        struct ow_effect *effect = g_ptr_array_index(effects, i);
        struct ow_event *refusal = NULL;
        if (verdict != OW_LEASE_HELD && ow_effect_guard(effect, verdict, &refusal))
            shard->withheld++;
        if (refusal != NULL) {
            ow_core_push(shard->core, refusal);
            ow_effect_free(effect);
            continue;
        }
        translate(shard, effect, now);
        g_ptr_array_add(out, effect);
    }
    g_ptr_array_set_free_func(effects, NULL);
    g_ptr_array_free(effects, TRUE);
    ow_core_status(shard->core, &shard->status);
}

void ow_shard_resumed(struct ow_shard *shard, double now)
{
    ow_lease_guard_resumed(&shard->guard, now);
}
