#include "model/effect.h"

#include "model/http_status.h"

/* How long who was refused for now should wait before trying again. */
enum { RETRY_AFTER_S = 1 };

struct ow_effect *ow_effect_new(enum ow_effect_kind kind, uint64_t request)
{
    struct ow_effect *effect = g_new0(struct ow_effect, 1);
    effect->kind = kind;
    effect->request = request;
    effect->done = effect->running = OW_UNCOUNTED;
    return effect;
}

void ow_effect_refuse(struct ow_effect *effect, int status, const char *text, int retry_after_s)
{
    effect->kind = OW_EFFECT_REFUSE;
    effect->status = status;
    g_free(effect->text);
    effect->text = g_strdup(text);
    effect->retry_after_s = retry_after_s;
}

void ow_effect_refuse_temporarily(struct ow_effect *effect, const char *text)
{
    ow_effect_refuse(effect, OW_HTTP_STATUS_UNAVAILABLE, text, RETRY_AFTER_S);
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
