/* What the parts of a controller ask of it: answers to users, requests to the outside, messages to its peers.
 */
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

static struct ow_machine_type *copy_type(const struct ow_machine_type *type)
{
    struct ow_machine_type *copy = g_new(struct ow_machine_type, 1);
    *copy = *type;
    copy->name = g_strdup(type->name);
    copy->zones = g_strdupv(type->zones);
    return copy;
}

static void free_type(struct ow_machine_type *type)
{
    if (type != NULL)
        ow_machine_type_clear(type);
    g_free(type);
}

void ow_core_set_machine_types(struct ow_core *core, const GArray *types)
{
    for (guint i = 0; i < types->len; i++) {
        const struct ow_machine_type *type = &g_array_index(types, struct ow_machine_type, i);
        int index = ow_interner_intern(core->interners.types, type->name);
        if (index >= OW_MAX_TYPES)
            continue;
        free_type(core->types[index]);
        core->types[index] = copy_type(type);
        core->types_known = true;
    }
}

void ow_core_free_machine_types(struct ow_core *core)
{
    for (int i = 0; i < OW_MAX_TYPES; i++)
        free_type(core->types[i]);
}
