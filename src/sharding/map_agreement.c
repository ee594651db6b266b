#include "sharding/map_agreement.h"

#include "model/effect.h"
#include "model/http_status.h"
#include "model/records.h"
#include "sharding/shard_map.h"
#include "wire/records_json.h"
#include "wire/sharding_json.h"

/* Key of the shard map in the key-value store. */
#define MAP_KEY "shards"
/* Holder of the unprefixed leader key of a divided fleet: keeps controllers without sharding settings from
   taking it. */
#define DIVIDED_NAME "(divided into shards)"

/* Interval at which the stored map is read again, to detect settings that differ from it. */
static const double COMPARE_INTERVAL_S = 10;
/* Pause after a failed request. */
static const double RETRY_INTERVAL_S = 0.5;

enum agreement_state {
    AGREEMENT_READING,  /* the stored map is not known yet */
    AGREEMENT_CREATING, /* no map is stored: ours is being written */
    AGREEMENT_REACHED,
    AGREEMENT_DIFFERS,
};

struct ow_map_agreement {
    enum agreement_state state;
    GHashTable *values; /* of our map: name -> value, owned */
    bool has_only_default_shard;
    bool is_request_pending;
    double next_request_at; /* seconds of the monotonic clock */
    uint64_t mod_revision;  /* of the stored map */
    char *difference;       /* owned, or NULL */
};

/* ---- creation and destruction ---- */

struct ow_map_agreement *ow_map_agreement_new(GHashTable *values, bool has_only_default_shard)
{
    struct ow_map_agreement *agreement = g_new0(struct ow_map_agreement, 1);
    agreement->values = values;
    agreement->has_only_default_shard = has_only_default_shard;
    return agreement;
}

void ow_map_agreement_free(struct ow_map_agreement *agreement)
{
    g_hash_table_destroy(agreement->values);
    g_free(agreement->difference);
    g_free(agreement);
}

bool ow_map_agreement_is_reached(const struct ow_map_agreement *agreement)
{
    return agreement->state == AGREEMENT_REACHED;
}

const char *ow_map_agreement_difference(const struct ow_map_agreement *agreement)
{
    return agreement->difference;
}

/* ---- requests ---- */

/* The transaction that stores our map, unless one is stored already. */
static struct ow_store_request *new_creation(const struct ow_map_agreement *agreement)
{
    struct ow_store_request *request = ow_store_request_new(OW_STORE_TXN, NULL);
    ow_store_request_compare(request, MAP_KEY, 0);
    ow_store_request_put(request, MAP_KEY, wire_shard_map_encode(agreement->values), 0);
    if (agreement->has_only_default_shard)
        return request;
    /* The fleet must not have been in use without shards: its records without a shard prefix would be
       ignored, and the machines in them would be managed by two leaders. */
    ow_store_request_compare(request, OW_KEY_TYPES, 0);
    ow_store_request_compare(request, OW_KEY_FORMAT, 0);
    ow_store_request_compare(request, OW_KEY_LEADER, 0);
    ow_store_request_put(request, OW_KEY_LEADER, wire_leader_record_encode(DIVIDED_NAME, ""), 0);
    return request;
}

void ow_map_agreement_tick(struct ow_map_agreement *agreement, double now, uint64_t tag, GPtrArray *out)
{
    if (agreement->is_request_pending || now < agreement->next_request_at)
        return;
    struct ow_effect *effect = ow_effect_new(OW_EFFECT_STORE, tag);
    effect->store = agreement->state == AGREEMENT_CREATING ? new_creation(agreement)
                                                           : ow_store_request_new(OW_STORE_GET, MAP_KEY);
    effect->store->tag = tag;
    agreement->is_request_pending = true;
    g_ptr_array_add(out, effect);
}

/* ---- replies ---- */

/* Takes ownership of `difference`; NULL: the settings agree. */
static void set_result(struct ow_map_agreement *agreement, char *difference)
{
    if (g_strcmp0(difference, agreement->difference) != 0)
        g_warning("settings differ from the stored shard map, not taking leadership: reason=\"%s\"",
                  difference);
    if (difference == NULL && agreement->state != AGREEMENT_REACHED)
        g_info("settings agree with the stored shard map: revision=%" G_GUINT64_FORMAT,
               agreement->mod_revision);
    g_free(agreement->difference);
    agreement->difference = difference;
    agreement->state = difference == NULL ? AGREEMENT_REACHED : AGREEMENT_DIFFERS;
}

static void compare(struct ow_map_agreement *agreement, const struct ow_store_item *item)
{
    g_autoptr(GHashTable) stored = wire_shard_map_from_json(item->value);
    agreement->mod_revision = item->mod_revision;
    set_result(agreement, stored != NULL ? ow_shard_map_find_difference(agreement->values, stored)
                                         : g_strdup("the stored shard map can't be read"));
}

static void receive_map(struct ow_map_agreement *agreement, const struct ow_store_reply *reply, double now)
{
    if (reply->status == OW_HTTP_STATUS_OK && reply->items != NULL && reply->items->len == 1) {
        compare(agreement, &g_array_index(reply->items, struct ow_store_item, 0));
        agreement->next_request_at = now + COMPARE_INTERVAL_S;
    } else if (reply->status == OW_HTTP_STATUS_NOT_FOUND) {
        agreement->state = AGREEMENT_CREATING;
        agreement->next_request_at = now;
    }
}

/* Our map was not stored, because another controller has stored one, or because the fleet is in use without
   shards. */
static void explain_conflict(struct ow_map_agreement *agreement, const struct ow_store_reply *reply)
{
    if (ow_store_reply_failed_on(reply, MAP_KEY))
        agreement->state = AGREEMENT_READING;
    else
        set_result(agreement,
                   g_strdup("the fleet is in use without shards, and can't be divided while its records "
                            "are there"));
}

static void receive_creation(struct ow_map_agreement *agreement, const struct ow_store_reply *reply,
                             double now)
{
    if (reply->status == OW_HTTP_STATUS_CONFLICT) {
        explain_conflict(agreement, reply);
        return;
    }
    /* Without a response the map may have been stored; reading it shows whether it was. */
    agreement->state = AGREEMENT_READING;
    if (reply->status == OW_HTTP_STATUS_OK)
        agreement->next_request_at = now;
}

void ow_map_agreement_receive(struct ow_map_agreement *agreement, const struct ow_store_reply *reply,
                              double now)
{
    agreement->is_request_pending = false;
    agreement->next_request_at = now + RETRY_INTERVAL_S;
    if (agreement->state == AGREEMENT_CREATING)
        receive_creation(agreement, reply, now);
    else
        receive_map(agreement, reply, now);
}
