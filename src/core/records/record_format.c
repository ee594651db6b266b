#include "core/records/record_format.h"

#include "core/leader/leader_state.h"
#include "core/peers/peer_status.h"
#include "model/event.h"
#include "model/http_status.h"
#include "model/records.h"
#include "wire/records_json.h"

/* Minimum time from a reply to the next write or read of the stored format. */
static const double WRITE_INTERVAL_S = 1;
static const double READ_INTERVAL_S = 0.3;
/* `current` while the stored format has not been read. */
enum { FORMAT_UNKNOWN = 0 };

struct ow_record_format {
    unsigned current;  /* enum ow_format, or FORMAT_UNKNOWN */
    bool is_in_flight; /* a read or write of the stored format */
    double next_at;    /* no read or write before this time */
};

struct ow_record_format *ow_record_format_new(void)
{
    return g_new0(struct ow_record_format, 1);
}

void ow_record_format_free(struct ow_record_format *format)
{
    g_free(format);
}

bool ow_record_format_is_known(const struct ow_record_format *format)
{
    return format->current != FORMAT_UNKNOWN;
}

bool ow_record_format_has_small_chunks(const struct ow_record_format *format)
{
    return format->current >= OW_FORMAT_SMALL_CHUNKS;
}

static bool all_peers_support(const struct ow_core *core, unsigned format)
{
    for (guint i = 0; i < core->settings->peers->len; i++) {
        const struct ow_peer_settings *peer =
            &g_array_index(core->settings->peers, struct ow_peer_settings, i);
        if (ow_peer_status_format(core->peer_status, peer->controller_name) < format)
            return false;
    }
    return true;
}

static void on_format_written(void *owner, void *data, const struct ow_event *answer)
{
    struct ow_leader *leader = owner;
    struct ow_record_format *format = leader->record_format;
    (void)data;
    format->is_in_flight = false;
    format->next_at = leader->core->now + WRITE_INTERVAL_S;
    if (answer->store.status == OW_HTTP_STATUS_OK) {
        g_info("record format raised: format=%d reason=\"all controllers support the format\"",
               OW_FORMAT_SMALL_CHUNKS);
        format->current = OW_FORMAT_SMALL_CHUNKS;
    } else if (answer->store.status == OW_HTTP_STATUS_CONFLICT) {
        /* An earlier write was committed, but its reply was lost: the stored format is read again. */
        format->current = FORMAT_UNKNOWN;
    }
}

static void write_format(struct ow_leader *leader)
{
    struct ow_store_request *transaction = ow_store_request_new(OW_STORE_TXN, NULL);
    ow_store_request_compare(transaction, OW_KEY_LEADER, leader->fencing_token);
    ow_store_request_compare(transaction, OW_KEY_FORMAT, 0);
    ow_store_request_put(transaction, OW_KEY_FORMAT, wire_format_record_encode(OW_FORMAT_SMALL_CHUNKS), 0);
    leader->record_format->is_in_flight = true;
    ow_core_call_store(leader->core, transaction, on_format_written, leader, NULL, NULL);
}

static void on_format_read(void *owner, void *data, const struct ow_event *answer)
{
    struct ow_leader *leader = owner;
    struct ow_record_format *format = leader->record_format;
    const struct ow_store_reply *reply = &answer->store;
    (void)data;
    format->is_in_flight = false;
    format->next_at = leader->core->now + READ_INTERVAL_S;
    if (reply->status == OW_HTTP_STATUS_NOT_FOUND)
        format->current = OW_FORMAT_FIRST;
    else if (reply->status == OW_HTTP_STATUS_OK && reply->items->len == 1)
        format->current =
            wire_format_record_decode(g_array_index(reply->items, struct ow_store_item, 0).value);
}

static void read_format(struct ow_leader *leader)
{
    struct ow_store_request *request = ow_store_request_new(OW_STORE_GET, OW_KEY_FORMAT);
    leader->record_format->is_in_flight = true;
    ow_core_call_store(leader->core, request, on_format_read, leader, NULL, NULL);
}

static bool may_raise_format(const struct ow_leader *leader)
{
    return !ow_record_format_has_small_chunks(leader->record_format) && leader->phase == OW_LEADER_READY &&
           all_peers_support(leader->core, OW_FORMAT_SMALL_CHUNKS);
}

void ow_record_format_tick(struct ow_leader *leader)
{
    const struct ow_record_format *format = leader->record_format;
    if (format->is_in_flight || leader->core->now < format->next_at)
        return;
    if (!ow_record_format_is_known(format))
        read_format(leader);
    else if (may_raise_format(leader))
        write_format(leader);
}
