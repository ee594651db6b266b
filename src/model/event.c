#include "model/event.h"

struct ow_event *ow_event_new(enum ow_event_kind kind, uint64_t request)
{
    struct ow_event *event = g_new0(struct ow_event, 1);
    event->kind = kind;
    event->request = request;
    return event;
}

void ow_event_free(void *item)
{
    struct ow_event *event = item;
    ow_heartbeat_free(event->heartbeat);
    ow_submission_free(event->submission);
    ow_store_reply_clear(&event->store);
    ow_cloud_reply_clear(&event->cloud);
    ow_peer_message_free(event->peer);
    g_free(event);
}
