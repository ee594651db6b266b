#include "sharding/map_agreement.h"

#include "model/effect.h"
#include "model/http_status.h"
#include "model/records.h"
#include "sharding/shard_map.h"
#include "wire/records_json.h"
#include "wire/sharding_json.h"

#include <string.h>

/* The key of the map. */
#define MAP_KEY "shards"
/* Who holds the leader's key of a fleet that is divided: a controller without shards then never takes it. */
#define DIVIDED_NAME "(divided into shards)"

/* How often the stored map is compared again, and after a failed request. */
static const double COMPARE_S = 10, RETRY_S = 0.5;

void ow_map_agreement_init(struct ow_map_agreement *agreement, GHashTable *values, bool only_default)
{
    *agreement = (struct ow_map_agreement){.values = values, .only_default = only_default};
}

void ow_map_agreement_clear(struct ow_map_agreement *agreement)
{
    g_hash_table_destroy(agreement->values);
    g_free(agreement->difference);
}

bool ow_map_agreement_holds(const struct ow_map_agreement *agreement)
{
    return agreement->state == OW_AGREEMENT_AGREED;
}

/* Takes over `difference`; NULL: the settings agree. */
static void conclude(struct ow_map_agreement *agreement, char *difference)
{
    if (g_strcmp0(difference, agreement->difference) != 0)
        g_warning("this controller leads no shard, for its settings differ: %s", difference);
    if (difference == NULL && agreement->state != OW_AGREEMENT_AGREED)
        g_info("the settings agree with the stored shard map of version %" G_GUINT64_FORMAT,
               agreement->version);
    g_free(agreement->difference);
    agreement->difference = difference;
    agreement->state = difference == NULL ? OW_AGREEMENT_AGREED : OW_AGREEMENT_DIFFERS;
}

static struct ow_store_request *creation(const struct ow_map_agreement *agreement)
{
    struct ow_store_request *request = ow_store_request_new(OW_STORE_TXN, NULL);
    ow_store_compare(request, MAP_KEY, 0);
    ow_store_put(request, MAP_KEY, wire_shard_map(agreement->values), 0);
    if (agreement->only_default)
        return request;
    /* Records without shards would be lost from sight, and their machines would get two owners. */
    ow_store_compare(request, OW_KEY_TYPES, 0);
    ow_store_compare(request, OW_KEY_FORMAT, 0);
    ow_store_compare(request, OW_KEY_LEADER, 0);
    ow_store_put(request, OW_KEY_LEADER, wire_leader_record_encode(DIVIDED_NAME, ""), 0);
    return request;
}

void ow_map_agreement_tick(struct ow_map_agreement *agreement, double now, uint64_t tag, GPtrArray *out)
{
    if (agreement->busy || now < agreement->next_at)
        return;
    struct ow_effect *effect = ow_effect_new(OW_EFFECT_STORE, tag);
    effect->store = agreement->state == OW_AGREEMENT_CREATING ? creation(agreement)
                                                              : ow_store_request_new(OW_STORE_GET, MAP_KEY);
    effect->store->tag = tag;
    agreement->busy = true;
    g_ptr_array_add(out, effect);
}

static void compare(struct ow_map_agreement *agreement, const struct ow_store_reply *reply)
{
    const struct ow_store_item *item = &g_array_index(reply->items, struct ow_store_item, 0);
    GHashTable *stored = wire_shard_map_parse(item->value);
    agreement->version = item->mod_revision;
    if (stored == NULL) {
        conclude(agreement, g_strdup("the stored shard map can't be read"));
        return;
    }
    conclude(agreement, ow_shard_map_difference(agreement->values, stored));
    g_hash_table_destroy(stored);
}

/* Our map was not stored: another controller's was, or the fleet has been in use without shards. */
static void explain_conflict(struct ow_map_agreement *agreement, const struct ow_store_reply *reply)
{
    bool map_exists = ow_store_reply_failed_on(reply, MAP_KEY);
    if (!map_exists)
        conclude(agreement,
                 g_strdup("the fleet is in use without shards, and can't be divided while its records "
                          "are there"));
    else
        agreement->state = OW_AGREEMENT_READING;
}

void ow_map_agreement_answered(struct ow_map_agreement *agreement, const struct ow_store_reply *reply,
                               double now)
{
    bool created = agreement->state == OW_AGREEMENT_CREATING;
    agreement->busy = false;
    agreement->next_at = now + RETRY_S;
    if (created && reply->status == OW_HTTP_STATUS_CONFLICT) {
        explain_conflict(agreement, reply);
    } else if (created) {
        /* Also without a response: it is read whether it was stored. */
        agreement->state = OW_AGREEMENT_READING;
        agreement->next_at = reply->status == OW_HTTP_STATUS_OK ? now : now + RETRY_S;
    } else if (reply->status == OW_HTTP_STATUS_OK && reply->items != NULL && reply->items->len == 1) {
        compare(agreement, reply);
        agreement->next_at = now + COMPARE_S;
    } else if (reply->status == OW_HTTP_STATUS_NOT_FOUND) {
        agreement->state = OW_AGREEMENT_CREATING;
        agreement->next_at = now;
    }
}
