#include "model/event.h"

struct ow_event *ow_event_new(enum ow_event_kind kind, uint64_t request)
{
    struct ow_event *event = g_new0(struct ow_event, 1);
    event->kind = kind;
    event->request = request;
    return event;
}

void ow_event_free(void *event)
{
    struct ow_event *freed = event;
    ow_heartbeat_free(freed->heartbeat);
    ow_submission_free(freed->submission);
    g_clear_error(&freed->submission_error);
    ow_store_reply_clear(&freed->store);
    ow_cloud_reply_clear(&freed->cloud);
    ow_peer_message_free(freed->peer);
    g_free(freed);
}
