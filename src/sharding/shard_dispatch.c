#include "model/effect.h"
#include "model/event.h"
#include "model/peer.h"
#include "sharding/shard_manager_state.h"
#include "sharding/shard_map.h"

static void add_peer_message(GPtrArray *out, struct ow_peer_message *message)
{
    struct ow_effect *effect = ow_effect_new(OW_EFFECT_PEER, 0);
    effect->peer = message;
    g_ptr_array_add(out, effect);
}

void ow_shard_manager_send_messages(GPtrArray *messages, GPtrArray *out)
{
    for (guint i = 0; i < messages->len; i++)
        add_peer_message(out, g_ptr_array_index(messages, i));
    g_ptr_array_free(messages, TRUE);
}

static void refuse_heartbeat(uint64_t request, GPtrArray *out)
{
    struct ow_effect *effect = ow_effect_new(OW_EFFECT_REFUSE, request);
    ow_effect_refuse_temporarily(effect, "no shard has machines of this zone");
    g_ptr_array_add(out, effect);
}

static void dispatch_heartbeat(struct ow_shard_manager *manager, struct ow_event *event, GPtrArray *out)
{
    int index =
        ow_shard_map_machine(manager->sharding_settings, event->heartbeat->zone, event->heartbeat->type);
    if (index >= 0) {
        ow_shard_push(ow_managed_shard(manager, (guint)index), event);
        return;
    }
    refuse_heartbeat(event->request, out);
    ow_event_free(event);
}

/* An answer to a request of a shard, or of ours. */
static void dispatch_answer(struct ow_shard_manager *manager, struct ow_event *event)
{
    uint64_t index = event->request >> OW_SHARD_TAG_BITS;
    if (index < manager->shards->len) {
        event->request &= ((uint64_t)1 << OW_SHARD_TAG_BITS) - 1;
        ow_shard_push(ow_managed_shard(manager, (guint)index), event);
        return;
    }
    if (index == OW_OWN_INDEX)
        ow_map_agreement_answered(&manager->agreement, &event->store, manager->now);
    ow_event_free(event);
}

static struct ow_shard *shard_of_message(const struct ow_shard_manager *manager,
                                         const struct ow_peer_message *message)
{
    for (guint i = 0; i < manager->shards->len; i++) {
        struct ow_shard *shard = ow_managed_shard(manager, i);
        const char *name = shard->prefix != NULL ? shard->name : NULL;
        if (g_strcmp0(name, message->shard) == 0)
            return shard;
    }
    return NULL;
}

static void dispatch_peer(struct ow_shard_manager *manager, struct ow_event *event, GPtrArray *out)
{
    const struct ow_peer_message *message = event->peer;
    struct ow_shard *shard = shard_of_message(manager, message);
    if (message->kind == OW_PEER_HEARTBEAT || message->kind == OW_PEER_PROBE) {
        GPtrArray *messages = g_ptr_array_new();
        ow_membership_receive(manager->membership, manager->now, message, messages);
        ow_shard_manager_send_messages(messages, out);
        /* A lost link is no evidence: in a divided fleet nobody is replaced before its lease has ended. */
    } else if (message->kind != OW_PEER_LINK_LOST && shard != NULL) {
        ow_shard_push(shard, event);
        return;
    }
    ow_event_free(event);
}

void ow_shard_manager_dispatch(struct ow_shard_manager *manager, struct ow_event *event, GPtrArray *out)
{
    switch (event->kind) {
    case OW_EVENT_HEARTBEAT:
        dispatch_heartbeat(manager, event, out);
        break;
    case OW_EVENT_DIRECT_REPLY:
    case OW_EVENT_STORE:
    case OW_EVENT_CLOUD:
        dispatch_answer(manager, event);
        break;
    case OW_EVENT_PEER:
        dispatch_peer(manager, event, out);
        break;
    case OW_EVENT_CANCEL:
    case OW_EVENT_POLL:
    case OW_EVENT_TEAMS:
    case OW_EVENT_SUBMIT:
        ow_request_router_push(manager->router, event, manager->now);
        break;
    }
}
