#include "core/health.h"

#include "core/core_state.h"
#include "core/jobs/job_cache.h"
#include "model/event.h"
#include "model/records.h"

/* How long without a good answer until the key-value store is probed. */
static const double PROBE_S = 2;
/* A good answer counts as recent for so long. */
static const double STORE_ANSWER_RECENT_S = 12;
/* After failing for so long the key-value store counts as lost. */
static const double STORE_LOST_AFTER_S = 2;
/* A message of a peer counts as recent for so long. */
static const double PEER_MESSAGE_S = 4;

void ow_health_note_store_reply(struct ow_core *core, int status)
{
    bool failed = status == 0 || status == 503;
    core->store_silent = status == 0;
    if (status == 503)
        core->store_refused_at = core->now;
    if (!failed) {
        core->store_ok_at = core->now;
        core->store_failing_since = 0;
        return;
    }
    if (core->store_failing_since == 0)
        core->store_failing_since = core->now;
}

static void on_probe(void *owner, void *data, const struct ow_event *answer)
{
    struct ow_health_probe *probe = owner;
    (void)data;
    (void)answer; /* that there is one has been noted by then */
    probe->busy = false;
}

void ow_health_probe_store(struct ow_core *core, struct ow_health_probe *probe)
{
    if (probe->busy || core->now < MAX(core->store_ok_at, probe->at) + PROBE_S)
        return;
    probe->busy = true;
    probe->at = core->now;
    struct ow_store_request *request = ow_store_request_new(OW_STORE_GET, OW_KEY_LEADER);
    ow_core_call_store(core, request, on_probe, probe, NULL, NULL);
}

bool ow_health_store_is_ok(const struct ow_core *core)
{
    /* An open watch says nothing: it gives no answer in an outage nor in quiet times. */
    return core->store_ok_at > 0 && core->store_failing_since == 0 &&
           core->now - core->store_ok_at < STORE_ANSWER_RECENT_S;
}

static bool peer_heard_recently(const struct ow_core *core)
{
    return core->last_peer_message_at > 0 && core->now - core->last_peer_message_at < PEER_MESSAGE_S;
}

/* Whether the key-value store answers some other controller. */
static bool peer_store_ok(const struct ow_core *core)
{
    GHashTableIter iter;
    void *at;
    g_hash_table_iter_init(&iter, core->peers_ok);
    while (g_hash_table_iter_next(&iter, NULL, &at))
        if (core->now - *(double *)at < PEER_MESSAGE_S)
            return true;
    return false;
}

bool ow_health_is_ready(const struct ow_core *core)
{
    bool starting = !ow_job_cache_loaded(core->job_cache) || !core->types_known;
    bool store_lost =
        core->store_failing_since > 0 && core->now - core->store_failing_since > STORE_LOST_AFTER_S;
    if (!starting && !store_lost)
        return true;
    /* In an outage the key-value store refuses. One that answers nothing at all is out of our reach, and if
       no other controller is in reach either, it is we who are cut off. */
    bool has_peers = core->settings->peers->len > 0;
    if (store_lost && core->store_silent && has_peers && !peer_heard_recently(core))
        return false;
    /* In an outage of the key-value store every controller is as good as the next, also one that has just
       started: left out by the load balancer it would be missed for seconds after the outage. If it fails for
       this one alone, users are better off elsewhere. */
    return !peer_store_ok(core);
}
