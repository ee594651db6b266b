#include "sharding/effect_guard.h"

#include "model/cloud.h"
#include "model/http_status.h"
#include "model/worker.h"

/* Removes launches of tasks, and returns whether there were any. */
static bool remove_launches(GArray *commands)
{
    guint before = commands->len;
    for (guint i = commands->len; i > 0; i--)
        if (g_array_index(commands, struct ow_worker_command, i - 1).kind == OW_WORKER_LAUNCH)
            g_array_remove_index(commands, i - 1);
    return commands->len != before;
}

static bool guard_heartbeat_answer(struct ow_effect *effect, enum ow_lease_state lease)
{
    if (lease == OW_LEASE_EXPIRED)
        return remove_launches(effect->commands);
    /* The worker tries another controller, as the protocol requires after a 503. */
    ow_effect_refuse_temporarily(effect, "this controller does not know whether it still leads");
    return true;
}

static bool guard_direct(struct ow_effect *effect, enum ow_lease_state lease, struct ow_event **reply)
{
    if (lease == OW_LEASE_EXPIRED)
        return remove_launches(effect->commands);
    *reply = ow_event_new(OW_EVENT_DIRECT_REPLY, effect->request);
    (*reply)->status = OW_STATUS_UNSENT;
    return true;
}

static bool guard_cloud(const struct ow_effect *effect, struct ow_event **reply)
{
    if (effect->cloud->op == OW_CLOUD_TYPES || effect->cloud->op == OW_CLOUD_LIST)
        return false;
    /* The core treats a request with status 503 as not executed, and sends it again. */
    *reply = ow_event_new(OW_EVENT_CLOUD, effect->cloud->tag);
    (*reply)->cloud.status = OW_HTTP_STATUS_UNAVAILABLE;
    return true;
}

bool ow_effect_guard_apply(struct ow_effect *effect, enum ow_lease_state lease, struct ow_event **reply)
{
    *reply = NULL;
    switch (effect->kind) {
    case OW_EFFECT_WORKER_COMMANDS:
        return guard_heartbeat_answer(effect, lease);
    case OW_EFFECT_DIRECT_COMMANDS:
        return guard_direct(effect, lease, reply);
    case OW_EFFECT_CLOUD:
        return guard_cloud(effect, reply);
    default:
        return false;
    }
}
