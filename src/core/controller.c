/* What the parts of a controller ask of it: answers to users, requests to the outside, messages to its peers.
 */
#include "core/controller.h"

#include "core/leader.h"

struct ow_effect *ow_effect_new(enum ow_effect_kind kind, uint64_t request)
{
    struct ow_effect *effect = g_new0(struct ow_effect, 1);
    effect->kind = kind;
    effect->request = request;
    effect->done = effect->running = OW_UNCOUNTED;
    return effect;
}

void ow_controller_emit(struct ow_controller *controller, struct ow_effect *effect)
{
    g_ptr_array_add(controller->effects, effect);
}

void ow_controller_refuse(struct ow_controller *controller, uint64_t request, int status, const char *text,
                          int retry_after_s)
{
    struct ow_effect *effect = ow_effect_new(OW_EFFECT_REFUSE, request);
    effect->status = status;
    effect->text = g_strdup(text);
    effect->retry_after_s = retry_after_s;
    ow_controller_emit(controller, effect);
}

static void ignore_answer(void *owner, void *data, const struct ow_event *answer)
{
    (void)owner;
    (void)data;
    (void)answer;
}

void ow_controller_store(struct ow_controller *controller, struct ow_store_request *request,
                         ow_call_fn callback, void *owner, void *data, void (*free_data)(void *))
{
    request->tag = ow_pending_calls_add(controller->pending_calls,
                                        callback != NULL ? callback : ignore_answer, owner, data, free_data);
    struct ow_effect *effect = ow_effect_new(OW_EFFECT_STORE, request->tag);
    effect->store = request;
    ow_controller_emit(controller, effect);
}

void ow_controller_cloud(struct ow_controller *controller, struct ow_cloud_request *request,
                         ow_call_fn callback, void *owner, void *data, void (*free_data)(void *))
{
    request->tag = ow_pending_calls_add(controller->pending_calls, callback, owner, data, free_data);
    struct ow_effect *effect = ow_effect_new(OW_EFFECT_CLOUD, request->tag);
    effect->cloud = request;
    ow_controller_emit(controller, effect);
}

void ow_controller_send_to_peers(struct ow_controller *controller, struct ow_peer_message *message)
{
    struct ow_effect *effect = ow_effect_new(OW_EFFECT_PEER, 0);
    effect->peer = message;
    ow_controller_emit(controller, effect);
}

void ow_controller_announce_job_change(struct ow_controller *controller, uint64_t revision)
{
    if (controller->leader != NULL) {
        ow_leader_wake(controller->leader);
        return;
    }
    struct ow_peer_message *message = ow_peer_message_new(OW_PEER_JOB_CHANGED);
    message->number = revision;
    ow_controller_send_to_peers(controller, message);
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

void ow_controller_set_types(struct ow_controller *controller, const GArray *types)
{
    for (guint i = 0; i < types->len; i++) {
        const struct ow_machine_type *type = &g_array_index(types, struct ow_machine_type, i);
        int index = ow_names_add(controller->names.types, type->name);
        if (index >= OW_MAX_TYPES)
            continue;
        free_type(controller->types[index]);
        controller->types[index] = copy_type(type);
        controller->types_known = true;
    }
}

void ow_controller_free_types(struct ow_controller *controller)
{
    for (int i = 0; i < OW_MAX_TYPES; i++)
        free_type(controller->types[i]);
}
