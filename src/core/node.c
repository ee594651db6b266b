/* What the parts of a controller ask of it: answers to users, requests to the outside, words to its peers. */
#include "core/node.h"

#include "core/lead.h"

struct ow_effect *ow_effect_new(enum ow_effect_kind kind, uint64_t request)
{
    struct ow_effect *e = g_new0(struct ow_effect, 1);
    e->kind = kind;
    e->request = request;
    e->done = e->running = OW_UNCOUNTED;
    return e;
}

void ow_node_emit(struct ow_node *node, struct ow_effect *effect)
{
    g_ptr_array_add(node->effects, effect);
}

void ow_node_refuse(struct ow_node *node, uint64_t request, int status, const char *text, int retry_after_s)
{
    struct ow_effect *e = ow_effect_new(OW_EFFECT_REFUSE, request);
    e->status = status;
    e->text = g_strdup(text);
    e->retry_after_s = retry_after_s;
    ow_node_emit(node, e);
}

static void ignore_answer(void *owner, void *data, const struct ow_command *answer)
{
    (void)owner;
    (void)data;
    (void)answer;
}

void ow_node_store(struct ow_node *node, struct ow_store_request *request, ow_call_fn fn, void *owner,
                   void *data, void (*free_data)(void *))
{
    request->tag = ow_calls_add(node->calls, fn != NULL ? fn : ignore_answer, owner, data, free_data);
    struct ow_effect *e = ow_effect_new(OW_EFFECT_STORE, request->tag);
    e->store = request;
    ow_node_emit(node, e);
}

void ow_node_cloud(struct ow_node *node, struct ow_cloud_request *request, ow_call_fn fn, void *owner,
                   void *data, void (*free_data)(void *))
{
    request->tag = ow_calls_add(node->calls, fn, owner, data, free_data);
    struct ow_effect *e = ow_effect_new(OW_EFFECT_CLOUD, request->tag);
    e->cloud = request;
    ow_node_emit(node, e);
}

void ow_node_tell_peers(struct ow_node *node, struct ow_peer_message *message)
{
    struct ow_effect *e = ow_effect_new(OW_EFFECT_PEER, 0);
    e->peer = message;
    ow_node_emit(node, e);
}

void ow_node_nudge(struct ow_node *node, uint64_t revision)
{
    if (node->lead != NULL) {
        ow_lead_wake(node->lead);
        return;
    }
    struct ow_peer_message *message = ow_peer_message_new(OW_PEER_NUDGE);
    message->number = revision;
    ow_node_tell_peers(node, message);
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

void ow_node_set_types(struct ow_node *node, const GArray *types)
{
    for (guint i = 0; i < types->len; i++) {
        const struct ow_machine_type *type = &g_array_index(types, struct ow_machine_type, i);
        int index = ow_names_add(node->names.types, type->name);
        if (index >= OW_MAX_TYPES)
            continue;
        free_type(node->types[index]);
        node->types[index] = copy_type(type);
        node->types_known = true;
    }
}

void ow_node_free_types(struct ow_node *node)
{
    for (int i = 0; i < OW_MAX_TYPES; i++)
        free_type(node->types[i]);
}
