/* Which format of records may be written. A controller of an earlier version, which may still take over,
 * would drop what it can't read. So the newest format is written only behind a format gate in the state
 * service, and the gate only once every controller has been heard to speak it: one that does never comes back
 * as an earlier version. */
#include "core/records/record_format.h"
#include "core/leader/leader_state.h"
#include "core/peers/peer_status.h"
#include "model/event.h"
#include "model/records.h"
#include "wire/records_json.h"

static const double LOOK_S = 1;

static bool all_peers_support(const struct ow_core *core, unsigned format)
{
    for (guint i = 0; i < core->settings->peers->len; i++) {
        const struct ow_peer_settings *peer =
            &g_array_index(core->settings->peers, struct ow_peer_settings, i);
        if (ow_peer_status_format(core->peer_status, peer->node) < format)
            return false;
    }
    return true;
}

static void on_gate_written(void *owner, void *data, const struct ow_event *answer)
{
    struct ow_leader *leader = owner;
    (void)data;
    leader->format.busy = false;
    leader->format.next_at = leader->core->now + LOOK_S;
    if (answer->store.status == 200) {
        g_info("every controller reads records of format %d: it is written from now on", OW_FORMAT_FINE);
        leader->format.current = OW_FORMAT_FINE;
    } else if (answer->store.status == 409) {
        leader->format.current = 0; /* carried out before, without an answer: read it */
    }
}

static void write_format_gate(struct ow_leader *leader)
{
    struct ow_store_request *txn = ow_store_request_new(OW_STORE_TXN, NULL);
    ow_store_compare(txn, OW_KEY_LEADER, leader->fencing_token);
    ow_store_compare(txn, OW_KEY_FORMAT, 0);
    ow_store_put(txn, OW_KEY_FORMAT, wire_format_record_encode(OW_FORMAT_FINE), 0);
    leader->format.busy = true;
    ow_core_call_store(leader->core, txn, on_gate_written, leader, NULL, NULL);
}

static void on_read(void *owner, void *data, const struct ow_event *answer)
{
    struct ow_leader *leader = owner;
    const struct ow_store_reply *reply = &answer->store;
    (void)data;
    leader->format.busy = false;
    leader->format.next_at = leader->core->now + 0.3;
    if (reply->status == 404)
        leader->format.current = OW_FORMAT_FIRST;
    else if (reply->status == 200 && reply->items->len == 1)
        leader->format.current =
            wire_format_record_decode(g_array_index(reply->items, struct ow_store_item, 0).value);
}

void ow_record_format_tick(struct ow_leader *leader)
{
    if (leader->format.busy || leader->core->now < leader->format.next_at)
        return;
    if (leader->format.current == 0) {
        leader->format.busy = true;
        ow_core_call_store(leader->core, ow_store_request_new(OW_STORE_GET, OW_KEY_FORMAT), on_read, leader,
                           NULL, NULL);
    } else if (leader->format.current < OW_FORMAT_FINE && leader->phase == OW_LEADER_READY &&
               all_peers_support(leader->core, OW_FORMAT_FINE)) {
        write_format_gate(leader);
    }
}
