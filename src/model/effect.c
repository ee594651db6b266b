#include "model/effect.h"

#include "model/http_status.h"

/* Retry-After header of temporary refusals. */
enum { RETRY_AFTER_S = 1 };

struct ow_effect *ow_effect_new(enum ow_effect_kind kind, uint64_t request)
{
    struct ow_effect *effect = g_new0(struct ow_effect, 1);
    effect->kind = kind;
    effect->request = request;
    effect->done = effect->running = OW_TASK_COUNT_UNKNOWN;
    return effect;
}

void ow_effect_refuse(struct ow_effect *effect, int status, const char *error, int retry_after_s)
{
    effect->kind = OW_EFFECT_REFUSE;
    effect->status = status;
    g_free(effect->error);
    effect->error = g_strdup(error);
    effect->retry_after_s = retry_after_s;
}

void ow_effect_refuse_temporarily(struct ow_effect *effect, const char *error)
{
    ow_effect_refuse(effect, OW_HTTP_STATUS_UNAVAILABLE, error, RETRY_AFTER_S);
}

void ow_effect_free(void *effect)
{
    struct ow_effect *freed = effect;
    g_free(freed->reason);
    g_free(freed->error);
    g_clear_pointer(&freed->teams, g_array_unref);
    g_free(freed->redirect_to);
    g_clear_pointer(&freed->commands, g_array_unref);
    g_free(freed->addr);
    ow_store_request_free(freed->store);
    ow_cloud_request_free(freed->cloud);
    ow_peer_message_free(freed->peer);
    g_free(freed);
}
