#include "core/health.h"

#include "core/api/job_cache.h"
#include "core/core_state.h"
#include "core/records/records.h"

/* How long without a good answer until the state service is probed. */
static const double PROBE_S = 2;
/* A good answer counts as recent for so long. */
static const double STATE_RECENT_S = 12;
/* After failing for so long the state service counts as lost. */
static const double STATE_BAD_S = 2;
/* A message of a peer counts as recent for so long. */
static const double PEER_MESSAGE_S = 4;

void ow_health_note_state_answer(struct ow_core *core, int status)
{
    bool failed = status == 0 || status == 503;
    core->state_silent = status == 0;
    if (status == 503)
        core->state_refused_at = core->now;
    if (!failed) {
        core->state_ok_at = core->now;
        core->state_bad_since = 0;
        return;
    }
    if (core->state_bad_since == 0)
        core->state_bad_since = core->now;
}

static void on_probe(void *owner, void *data, const struct ow_event *answer)
{
    struct ow_health_probe *probe = owner;
    (void)data;
    (void)answer; /* that there is one has been noted by then */
    probe->busy = false;
}

void ow_health_probe_state(struct ow_core *core, struct ow_health_probe *probe)
{
    if (probe->busy || core->now < MAX(core->state_ok_at, probe->at) + PROBE_S)
        return;
    probe->busy = true;
    probe->at = core->now;
    struct ow_store_request *request = ow_store_request_new(OW_STORE_GET, OW_KEY_LEADER);
    ow_core_call_store(core, request, on_probe, probe, NULL, NULL);
}

bool ow_health_state_is_ok(const struct ow_core *core)
{
    /* An open watch says nothing: it gives no answer in an outage nor in quiet times. */
    return core->state_ok_at > 0 && core->state_bad_since == 0 &&
           core->now - core->state_ok_at < STATE_RECENT_S;
}

static bool peer_heard_recently(const struct ow_core *core)
{
    return core->last_peer_message_at > 0 && core->now - core->last_peer_message_at < PEER_MESSAGE_S;
}

/* Whether the state service answers some other controller. */
static bool peer_state_ok(const struct ow_core *core)
{
    GHashTableIter iter;
    void *at;
    g_hash_table_iter_init(&iter, core->peers_ok);
    while (g_hash_table_iter_next(&iter, NULL, &at))
        if (core->now - *(double *)at < PEER_MESSAGE_S)
            return true;
    return false;
}

bool ow_health_is_good(const struct ow_core *core)
{
    bool starting = !ow_job_cache_loaded(core->job_cache) || !core->types_known;
    bool state_lost = core->state_bad_since > 0 && core->now - core->state_bad_since > STATE_BAD_S;
    if (!starting && !state_lost)
        return true;
    /* In an outage the state service refuses. One that answers nothing at all is out of our reach, and if no
       other controller is in reach either, it is we who are cut off. */
    bool has_peers = core->settings->peers->len > 0;
    if (state_lost && core->state_silent && has_peers && !peer_heard_recently(core))
        return false;
    /* In an outage of the state service every controller is as good as the next, also one that has just
       started: left out by the load balancer it would be missed for seconds after the outage. If it fails for
       this one alone, users are better off elsewhere. */
    return !peer_state_ok(core);
}
