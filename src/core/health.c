#include "core/health.h"

#include "core/api/job_cache.h"
#include "core/controller.h"
#include "core/records/records.h"

/* How long without a good answer until the state service is probed. */
static const double PROBE_S = 2;
/* A good answer counts as recent for so long. */
static const double STATE_RECENT_S = 12;
/* After failing for so long the state service counts as lost. */
static const double STATE_BAD_S = 2;
/* A message of a peer counts as recent for so long. */
static const double PEER_MESSAGE_S = 4;

void ow_health_note_state_answer(struct ow_controller *controller, int status)
{
    bool failed = status == 0 || status == 503;
    controller->state_silent = status == 0;
    if (status == 503)
        controller->state_refused_at = controller->now;
    if (!failed) {
        controller->state_ok_at = controller->now;
        controller->state_bad_since = 0;
        return;
    }
    if (controller->state_bad_since == 0)
        controller->state_bad_since = controller->now;
}

static void on_probe(void *owner, void *data, const struct ow_event *answer)
{
    struct ow_health_probe *probe = owner;
    (void)data;
    (void)answer; /* that there is one has been noted by then */
    probe->busy = false;
}

void ow_health_probe_state(struct ow_controller *controller, struct ow_health_probe *probe)
{
    if (probe->busy || controller->now < MAX(controller->state_ok_at, probe->at) + PROBE_S)
        return;
    probe->busy = true;
    probe->at = controller->now;
    struct ow_store_request *request = ow_store_request_new(OW_STORE_GET, OW_KEY_LEADER);
    ow_controller_store(controller, request, on_probe, probe, NULL, NULL);
}

bool ow_health_state_is_ok(const struct ow_controller *controller)
{
    /* An open watch says nothing: it gives no answer in an outage nor in quiet times. */
    return controller->state_ok_at > 0 && controller->state_bad_since == 0 &&
           controller->now - controller->state_ok_at < STATE_RECENT_S;
}

static bool peer_heard_recently(const struct ow_controller *controller)
{
    return controller->last_peer_message_at > 0 &&
           controller->now - controller->last_peer_message_at < PEER_MESSAGE_S;
}

/* Whether the state service answers some other controller. */
static bool peer_state_ok(const struct ow_controller *controller)
{
    GHashTableIter iter;
    void *at;
    g_hash_table_iter_init(&iter, controller->peers_ok);
    while (g_hash_table_iter_next(&iter, NULL, &at))
        if (controller->now - *(double *)at < PEER_MESSAGE_S)
            return true;
    return false;
}

bool ow_health_is_good(const struct ow_controller *controller)
{
    bool starting = !ow_job_cache_loaded(controller->job_cache) || !controller->types_known;
    bool state_lost =
        controller->state_bad_since > 0 && controller->now - controller->state_bad_since > STATE_BAD_S;
    if (!starting && !state_lost)
        return true;
    /* In an outage the state service refuses. One that answers nothing at all is out of our reach, and if no
       other controller is in reach either, it is we who are cut off. */
    bool has_peers = controller->settings->peers->len > 0;
    if (state_lost && controller->state_silent && has_peers && !peer_heard_recently(controller))
        return false;
    /* In an outage of the state service every controller is as good as the next, also one that has just
       started: left out by the load balancer it would be missed for seconds after the outage. If it fails for
       this one alone, users are better off elsewhere. */
    return !peer_state_ok(controller);
}
