/* What the core is told: requests to answer, and replies to its own requests. An event is owned by the queue
 * that holds it. */
#ifndef OW_MODEL_EVENT_H
#define OW_MODEL_EVENT_H

#include "model/cloud.h"
#include "model/peer.h"
#include "model/store.h"
#include "model/worker.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

enum ow_event_kind {
    /* In the order in which a crowded queue is worked off: reports, decisions, submissions. */
    OW_EVENT_HEARTBEAT,
    OW_EVENT_DIRECT_REPLY,
    OW_EVENT_STORE,
    OW_EVENT_CLOUD,
    OW_EVENT_PEER,
    OW_EVENT_CANCEL,
    OW_EVENT_POLL,
    OW_EVENT_TEAMS,
    OW_EVENT_SUBMIT,
};

/* Of a direct command that was not sent at all. */
enum { OW_STATUS_UNSENT = -1 };

struct ow_event {
    enum ow_event_kind kind;
    uint64_t request; /* whom to answer, or the tag that is answered */
    int status;
    char id[OW_ID_MAX + 1];
    struct ow_heartbeat *heartbeat;
    struct ow_submission *submission; /* NULL: malformed, `id` and `fault` tell the rest */
    const char *fault;
    struct ow_store_reply store;
    struct ow_cloud_reply cloud;
    struct ow_peer_message *peer;
};

/* An event of this kind; `request` names whom to answer, or the request that is answered. */
struct ow_event *ow_event_new(enum ow_event_kind kind, uint64_t request);
void ow_event_free(void *item);

#endif
