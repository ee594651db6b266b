#include "model/effect.h"

struct ow_effect *ow_effect_new(enum ow_effect_kind kind, uint64_t request)
{
    struct ow_effect *effect = g_new0(struct ow_effect, 1);
    effect->kind = kind;
    effect->request = request;
    effect->done = effect->running = OW_UNCOUNTED;
    return effect;
}

void ow_effect_free(void *item)
{
    struct ow_effect *effect = item;
    g_free(effect->text);
    if (effect->commands != NULL)
        g_array_free(effect->commands, TRUE);
    if (effect->teams != NULL)
        g_array_free(effect->teams, TRUE);
    ow_store_request_free(effect->store);
    ow_cloud_request_free(effect->cloud);
    ow_peer_message_free(effect->peer);
    g_free(effect);
}
