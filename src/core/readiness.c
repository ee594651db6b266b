#include "core/readiness.h"

#include "core/core_state.h"
#include "core/jobs/job_cache.h"
#include "core/machine_types.h"
#include "core/peers/peer_status.h"
#include "core/store_health.h"

/* Whether this controller is cut off: neither the key-value store nor any peer responds. In an outage the
   store still answers with an error status, so no response at all means that it can't be reached; if no peer
   can be reached either, the fault is on this side. */
static bool is_cut_off(const struct ow_core *core)
{
    bool has_peers = core->settings->peers->len > 0;
    return ow_store_health_is_silent(core->store_health) && has_peers &&
           !ow_peer_status_has_recent_message(core->peer_status, core->now);
}

bool ow_readiness_is_ready(const struct ow_core *core)
{
    bool is_starting =
        !ow_job_cache_is_loaded(core->job_cache) || !ow_machine_types_are_known(core->machine_types);
    bool is_store_lost = ow_store_health_is_lost(core->store_health);
    if (!is_starting && !is_store_lost)
        return true;
    if (is_store_lost && is_cut_off(core))
        return false;
    /* During an outage of the key-value store no controller serves users better than another, not even better
       than one that has just started: if the load balancer removed this one, it would be missing for seconds
       after the outage. Only if the store answers a peer are users better served there. */
    return !ow_peer_status_any_store_answers(core->peer_status, core->now);
}
