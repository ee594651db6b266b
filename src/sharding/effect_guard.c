#include "sharding/effect_guard.h"
#include "model/cloud.h"
#include "model/effect.h"
#include "model/event.h"
#include "model/http_status.h"
#include "model/worker.h"

static bool remove_launches(GArray *commands)
{
    guint before = commands->len;
    for (guint i = commands->len; i > 0; i--)
        if (g_array_index(commands, struct ow_worker_command, i - 1).kind == OW_WORKER_LAUNCH)
            g_array_remove_index(commands, i - 1);
    return commands->len != before;
}

static bool guard_cloud(const struct ow_effect *effect, struct ow_event **refusal)
{
    if (effect->cloud->op == OW_CLOUD_TYPES || effect->cloud->op == OW_CLOUD_LIST)
        return false;
    /* The core takes a 503 for a request that was not carried out, and repeats it. */
    *refusal = ow_event_new(OW_EVENT_CLOUD, effect->cloud->tag);
    (*refusal)->cloud.status = OW_HTTP_STATUS_UNAVAILABLE;
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
        /* The worker turns to another controller, as it does when one is not entitled to act. */
        ow_effect_refuse_temporarily(effect, "this controller does not know whether it still leads");
        return true;
    case OW_EFFECT_DIRECT_COMMANDS:
        return guard_direct(effect, verdict, refusal);
    case OW_EFFECT_CLOUD:
        return guard_cloud(effect, refusal);
    default:
        /* Writes are conditioned on the leader's key, and answers to users on reads of the key-value store.
         */
        return false;
    }
}
