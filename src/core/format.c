/* Which format of records may be written. A controller of an earlier version, which may still take over,
 * would drop what it can't read. So the newest format is written only behind a mark in the state service, and
 * the mark only once every controller has been heard to speak it: one that does never comes back as an
 * earlier version. */
#include "core/lead_state.h"
#include "wire/records_json.h"

static const double LOOK_S = 1;

static bool all_speak(const struct ow_node *node, unsigned format)
{
    for (guint i = 0; i < node->settings->peers->len; i++) {
        const struct ow_peer_settings *peer =
            &g_array_index(node->settings->peers, struct ow_peer_settings, i);
        if (GPOINTER_TO_UINT(g_hash_table_lookup(node->peer_formats, peer->node)) < format)
            return false;
    }
    return true;
}

static void on_marked(void *owner, void *data, const struct ow_command *answer)
{
    struct ow_lead *lead = owner;
    (void)data;
    lead->format_busy = false;
    lead->format_at = lead->node->now + LOOK_S;
    if (answer->store.status == 200) {
        g_info("every controller reads records of format %d: it is written from now on", OW_FORMAT_FINE);
        lead->format = OW_FORMAT_FINE;
    } else if (answer->store.status == 409) {
        lead->format = 0; /* carried out before, without an answer: read it */
    }
}

static void mark(struct ow_lead *lead)
{
    struct ow_store_request *txn = ow_store_request_new(OW_STORE_TXN, NULL);
    ow_store_expect(txn, OW_KEY_COORDINATOR, lead->token);
    ow_store_expect(txn, OW_KEY_FORMAT, 0);
    ow_store_write(txn, OW_KEY_FORMAT, wire_format_record(OW_FORMAT_FINE), 0);
    lead->format_busy = true;
    ow_node_store(lead->node, txn, on_marked, lead, NULL, NULL);
}

static void on_read(void *owner, void *data, const struct ow_command *answer)
{
    struct ow_lead *lead = owner;
    const struct ow_store_reply *reply = &answer->store;
    (void)data;
    lead->format_busy = false;
    lead->format_at = lead->node->now + 0.3;
    if (reply->status == 404)
        lead->format = OW_FORMAT_FIRST;
    else if (reply->status == 200 && reply->items->len == 1)
        lead->format = wire_format_record_parse(g_array_index(reply->items, struct ow_store_item, 0).value);
}

void ow_format_tick(struct ow_lead *lead)
{
    if (lead->format_busy || lead->node->now < lead->format_at)
        return;
    if (lead->format == 0) {
        lead->format_busy = true;
        ow_node_store(lead->node, ow_store_request_new(OW_STORE_GET, OW_KEY_FORMAT), on_read, lead, NULL,
                      NULL);
    } else if (lead->format < OW_FORMAT_FINE && lead->phase == OW_LEAD_READY &&
               all_speak(lead->node, OW_FORMAT_FINE)) {
        mark(lead);
    }
}
