#include "core/records/record_format.h"

#include "core/leader/leader_state.h"
#include "core/peers/peer_status.h"
#include "model/event.h"
#include "model/http_status.h"
#include "model/records.h"
#include "wire/records_json.h"

/* The least time from an answer to the next write or read of the stored format. */
static const double WRITE_INTERVAL_S = 1;
static const double READ_INTERVAL_S = 0.3;
/* `format.current` while the stored format has not been read. */
enum { FORMAT_UNKNOWN = 0 };

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

static void on_format_written(void *owner, void *data, const struct ow_event *answer)
{
    struct ow_leader *leader = owner;
    (void)data;
    leader->format.busy = false;
    leader->format.next_at = leader->core->now + WRITE_INTERVAL_S;
    if (answer->store.status == OW_HTTP_STATUS_OK) {
        g_info("record format raised: format=%d reason=\"every controller reads it\"",
               OW_FORMAT_SMALL_CHUNKS);
        leader->format.current = OW_FORMAT_SMALL_CHUNKS;
    } else if (answer->store.status == OW_HTTP_STATUS_CONFLICT) {
        /* An earlier write was carried out without an answer: the stored format is read again. */
        leader->format.current = FORMAT_UNKNOWN;
    }
}

static void write_format(struct ow_leader *leader)
{
    struct ow_store_request *transaction = ow_store_request_new(OW_STORE_TXN, NULL);
    ow_store_compare(transaction, OW_KEY_LEADER, leader->fencing_token);
    ow_store_compare(transaction, OW_KEY_FORMAT, 0);
    ow_store_put(transaction, OW_KEY_FORMAT, wire_format_record_encode(OW_FORMAT_SMALL_CHUNKS), 0);
    leader->format.busy = true;
    ow_core_call_store(leader->core, transaction, on_format_written, leader, NULL, NULL);
}

static void on_format_read(void *owner, void *data, const struct ow_event *answer)
{
    struct ow_leader *leader = owner;
    const struct ow_store_reply *reply = &answer->store;
    (void)data;
    leader->format.busy = false;
    leader->format.next_at = leader->core->now + READ_INTERVAL_S;
    if (reply->status == OW_HTTP_STATUS_NOT_FOUND)
        leader->format.current = OW_FORMAT_FIRST;
    else if (reply->status == OW_HTTP_STATUS_OK && reply->items->len == 1)
        leader->format.current =
            wire_format_record_decode(g_array_index(reply->items, struct ow_store_item, 0).value);
}

static void read_format(struct ow_leader *leader)
{
    struct ow_store_request *request = ow_store_request_new(OW_STORE_GET, OW_KEY_FORMAT);
    leader->format.busy = true;
    ow_core_call_store(leader->core, request, on_format_read, leader, NULL, NULL);
}

static bool may_raise_format(const struct ow_leader *leader)
{
    return leader->format.current < OW_FORMAT_SMALL_CHUNKS && leader->phase == OW_LEADER_READY &&
           all_peers_support(leader->core, OW_FORMAT_SMALL_CHUNKS);
}

void ow_record_format_tick(struct ow_leader *leader)
{
    if (leader->format.busy || leader->core->now < leader->format.next_at)
        return;
    if (leader->format.current == FORMAT_UNKNOWN)
        read_format(leader);
    else if (may_raise_format(leader))
        write_format(leader);
}
