#include "sharding/effect_guard.h"
#include "model/cloud.h"
#include "model/effect.h"
#include "model/event.h"
#include "model/worker.h"

enum { STATUS_UNAVAILABLE = 503, RETRY_S = 1 };

static bool remove_launches(GArray *commands)
{
    guint before = commands->len;
    for (guint i = commands->len; i > 0; i--)
        if (g_array_index(commands, struct ow_worker_command, i - 1).kind == OW_WORKER_LAUNCH)
            g_array_remove_index(commands, i - 1);
    return commands->len != before;
}

/* The worker turns to another controller, as it does when one is not entitled to act. */
static void refuse_worker(struct ow_effect *effect)
{
    effect->kind = OW_EFFECT_REFUSE;
    effect->status = STATUS_UNAVAILABLE;
    g_free(effect->text);
    effect->text = g_strdup("this controller does not know whether it still leads");
    effect->retry_after_s = RETRY_S;
}

static bool guard_cloud(const struct ow_effect *effect, struct ow_event **refusal)
{
    if (effect->cloud->op == OW_CLOUD_TYPES || effect->cloud->op == OW_CLOUD_LIST)
        return false;
    /* The core takes a 503 for a request that was not carried out, and repeats it. */
    *refusal = ow_event_new(OW_EVENT_CLOUD, effect->cloud->tag);
    (*refusal)->cloud.status = STATUS_UNAVAILABLE;
    return true;
}

static bool guard_direct(struct ow_effect *effect, enum ow_lease_verdict verdict, struct ow_event **refusal)
{
    if (verdict == OW_LEASE_KEEP_ALIVE)
        return remove_launches(effect->commands);
    *refusal = ow_event_new(OW_EVENT_DIRECT_REPLY, effect->request);
    (*refusal)->status = OW_STATUS_UNSENT;
    return true;
}

bool ow_effect_guard(struct ow_effect *effect, enum ow_lease_verdict verdict, struct ow_event **refusal)
{
    *refusal = NULL;
    switch (effect->kind) {
    case OW_EFFECT_WORKER_COMMANDS:
        if (verdict == OW_LEASE_KEEP_ALIVE)
            return remove_launches(effect->commands);
        refuse_worker(effect);
        return true;
    case OW_EFFECT_DIRECT:
        return guard_direct(effect, verdict, refusal);
    case OW_EFFECT_CLOUD:
        return guard_cloud(effect, refusal);
    default:
        /* Writes are conditioned on the leader's key, and answers to users on reads of the key-value store.
         */
        return false;
    }
}
