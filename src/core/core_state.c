#include "core/core_state.h"

#include "model/cloud.h"
#include "model/effect.h"
#include "model/event.h"
#include "model/peer.h"

void ow_core_emit(struct ow_core *core, struct ow_effect *effect)
{
    g_ptr_array_add(core->effects, effect);
}

void ow_core_reject_request(struct ow_core *core, uint64_t request, int status, const char *text,
                            int retry_after_s)
{
    struct ow_effect *effect = ow_effect_new(OW_EFFECT_REFUSE, request);
    ow_effect_refuse(effect, status, text, retry_after_s);
    ow_core_emit(core, effect);
}

static void ignore_answer(void *owner, void *data, const struct ow_event *answer)
{
    (void)owner;
    (void)data;
    (void)answer;
}

void ow_core_call_store(struct ow_core *core, struct ow_store_request *request, ow_call_fn callback,
                        void *owner, void *data, void (*free_data)(void *))
{
    request->tag = ow_pending_calls_add(core->pending_calls, callback != NULL ? callback : ignore_answer,
                                        owner, data, free_data);
    struct ow_effect *effect = ow_effect_new(OW_EFFECT_STORE, request->tag);
    effect->store = request;
    ow_core_emit(core, effect);
}

void ow_core_call_cloud(struct ow_core *core, struct ow_cloud_request *request, ow_call_fn callback,
                        void *owner, void *data, void (*free_data)(void *))
{
    request->tag = ow_pending_calls_add(core->pending_calls, callback, owner, data, free_data);
    struct ow_effect *effect = ow_effect_new(OW_EFFECT_CLOUD, request->tag);
    effect->cloud = request;
    ow_core_emit(core, effect);
}

void ow_core_send_to_peers(struct ow_core *core, struct ow_peer_message *message)
{
    struct ow_effect *effect = ow_effect_new(OW_EFFECT_PEER, 0);
    effect->peer = message;
    ow_core_emit(core, effect);
}
