#include "sharding/shard_dispatch.h"

#include "model/effect.h"
#include "model/peer.h"
#include "sharding/shard_map.h"
#include "sharding/shard_tag.h"

static struct ow_shard *shard_at(const struct ow_dispatch_targets *targets, guint index)
{
    return g_ptr_array_index(targets->shards, index);
}

/* ---- heartbeats of workers ---- */

static void refuse_heartbeat(uint64_t request, GPtrArray *out)
{
    struct ow_effect *effect = ow_effect_new(OW_EFFECT_REFUSE, request);
    ow_effect_refuse_temporarily(effect, "no shard has machines of this zone");
    g_ptr_array_add(out, effect);
}

static void dispatch_heartbeat(const struct ow_dispatch_targets *targets, struct ow_event *event,
                               GPtrArray *out)
{
    const struct ow_heartbeat *heartbeat = event->heartbeat;
    int index = ow_shard_map_find_shard(targets->sharding, heartbeat->zone, heartbeat->type);
    if (index >= 0) {
        ow_shard_push(shard_at(targets, (guint)index), event);
        return;
    }
    refuse_heartbeat(event->request, out);
    ow_event_free(event);
}

/* ---- replies ---- */

/* A reply to a request of a shard, or of the shard manager. */
static void dispatch_reply(const struct ow_dispatch_targets *targets, struct ow_event *event, double now)
{
    uint64_t index = ow_shard_tag_index(event->request);
    if (index < targets->shards->len) {
        event->request = ow_shard_tag_strip(event->request);
        ow_shard_push(shard_at(targets, (guint)index), event);
        return;
    }
    if (index == OW_SHARD_TAG_MANAGER)
        ow_map_agreement_receive(targets->agreement, &event->store, now);
    ow_event_free(event);
}

/* ---- messages between controllers ---- */

void ow_shard_dispatch_messages(GPtrArray *messages, GPtrArray *out)
{
    for (guint i = 0; i < messages->len; i++) {
        struct ow_effect *effect = ow_effect_new(OW_EFFECT_PEER, 0);
        effect->peer = g_ptr_array_index(messages, i);
        g_ptr_array_add(out, effect);
    }
    g_ptr_array_free(messages, TRUE);
}

/* The shard to which a message is addressed, or NULL. Messages of the default shard have no shard name. */
static struct ow_shard *find_shard_of_message(const struct ow_dispatch_targets *targets,
                                              const struct ow_peer_message *message)
{
    for (guint i = 0; i < targets->shards->len; i++) {
        struct ow_shard *shard = shard_at(targets, i);
        const char *name = shard->key_prefix != NULL ? shard->name : NULL;
        if (g_strcmp0(name, message->shard) == 0)
            return shard;
    }
    return NULL;
}

static void dispatch_to_membership(const struct ow_dispatch_targets *targets,
                                   const struct ow_peer_message *message, double now, GPtrArray *out)
{
    GPtrArray *replies = g_ptr_array_new();
    ow_membership_receive(targets->membership, now, message, replies);
    ow_shard_dispatch_messages(replies, out);
}

static void dispatch_peer_message(const struct ow_dispatch_targets *targets, struct ow_event *event,
                                  double now, GPtrArray *out)
{
    const struct ow_peer_message *message = event->peer;
    struct ow_shard *shard = NULL;
    switch (message->kind) {
    case OW_PEER_HEARTBEAT:
    case OW_PEER_PROBE:
        dispatch_to_membership(targets, message, now, out);
        break;
    case OW_PEER_LINK_LOST:
        /* Ignored: in a divided fleet no leader is replaced before its lease has expired, and a lost link
           does not prove that it has. */
        break;
    default:
        shard = find_shard_of_message(targets, message);
        break;
    }
    if (shard != NULL)
        ow_shard_push(shard, event);
    else
        ow_event_free(event);
}

void ow_shard_dispatch_event(const struct ow_dispatch_targets *targets, struct ow_event *event, double now,
                             GPtrArray *out)
{
    switch (event->kind) {
    case OW_EVENT_HEARTBEAT:
        dispatch_heartbeat(targets, event, out);
        break;
    case OW_EVENT_DIRECT_REPLY:
    case OW_EVENT_STORE:
    case OW_EVENT_CLOUD:
        dispatch_reply(targets, event, now);
        break;
    case OW_EVENT_PEER:
        dispatch_peer_message(targets, event, now, out);
        break;
    case OW_EVENT_CANCEL:
    case OW_EVENT_POLL:
    case OW_EVENT_TEAMS:
    case OW_EVENT_SUBMIT:
        ow_request_router_push(targets->router, event, now);
        break;
    }
}
