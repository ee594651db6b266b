#include "io/daemon.h"

#include "io/daemon_state.h"
#include "io/rng.h"
#include "model/effect.h"
#include "model/event.h"
#include "model/peer.h"

#include <string.h>

/* How often idle connections are looked at, and how long one may be idle. */
static const double SWEEP_S = 0.1, IDLE_S = 60;
enum {
    BODY_LIMIT_BYTES = 64 * 1024,
    RESERVED_SOCKETS = 60, /* for the key-value store, the cloud and other controllers */
    SOCKETS_LEAST = 200,
};
/* Each machine reports on a connection of its own, and those come first. Ours, for commands, get what is
   left, and at least this share. */
static const double CLIENT_SHARE_LEAST = 0.05;

G_DEFINE_QUARK(ow - daemon - error - quark, ow_daemon_error)

/* ---- links to other controllers ---- */

static void take_peer(void *owner, struct ow_peer_message *message)
{
    struct ow_daemon *daemon = owner;
    struct ow_event *event = ow_event_new(OW_EVENT_PEER, 0);
    event->peer = message;
    ow_shard_manager_push(daemon->manager, event);
}

static void handle_peer_link_lost(void *owner, const char *endpoint)
{
    struct ow_daemon *daemon = owner;
    for (guint i = 0; i < daemon->settings->peers->len; i++) {
        const struct ow_peer_settings *peer =
            &g_array_index(daemon->settings->peers, struct ow_peer_settings, i);
        if (strcmp(peer->endpoint, endpoint) != 0)
            continue;
        struct ow_peer_message *message = ow_peer_message_new(OW_PEER_LINK_LOST);
        message->sender = g_strdup(peer->node);
        take_peer(daemon, message);
    }
}

/* The endpoint of the controller of this name, or NULL. */
static const char *peer_endpoint(const struct ow_daemon *daemon, const char *name)
{
    for (guint i = 0; i < daemon->settings->peers->len; i++) {
        const struct ow_peer_settings *peer =
            &g_array_index(daemon->settings->peers, struct ow_peer_settings, i);
        if (strcmp(peer->node, name) == 0)
            return peer->endpoint;
    }
    return NULL;
}

static void send_to_peers(struct ow_daemon *daemon, struct ow_peer_message *message)
{
    const char *endpoint = message->addressee != NULL ? peer_endpoint(daemon, message->addressee) : NULL;
    if (message->addressee == NULL || endpoint != NULL)
        ow_peer_links_send(daemon->peers, message, endpoint);
}

/* ---- the loop ---- */

/* The process goes on after a pause: what waits to be sent may be out of date, and is dropped unless our
   leases are still ours. It comes before anything else, for the loop would send it at once. */
static void handle_wake(void *owner, double paused_s, double now)
{
    struct ow_daemon *daemon = owner;
    if (!ow_shard_manager_resume(daemon->manager, paused_s, now))
        return;
    ow_http_client_drop_unsent(daemon->client);
    ow_http_server_drop_unsent(daemon->server);
}

static void carry_out(struct ow_daemon *daemon, const struct ow_effect *effect)
{
    switch (effect->kind) {
    case OW_EFFECT_JOB:
    case OW_EFFECT_TEAMS:
    case OW_EFFECT_REFUSE:
    case OW_EFFECT_WORKER_COMMANDS:
    case OW_EFFECT_MISDIRECT:
        ow_incoming_answer(daemon, effect);
        break;
    case OW_EFFECT_DIRECT:
    case OW_EFFECT_STORE:
    case OW_EFFECT_CLOUD:
        ow_outgoing_send(daemon, effect);
        break;
    case OW_EFFECT_PEER:
        send_to_peers(daemon, effect->peer);
        break;
    }
}

struct ow_daemon *ow_daemon_new(struct ow_loop *loop, const struct ow_settings *settings,
                                const struct ow_tuning *tuning, const struct ow_sharding_settings *sharding,
                                GError **error)
{
    struct ow_daemon *daemon = g_new0(struct ow_daemon, 1);
    daemon->sockets = MAX(settings->sockets, SOCKETS_LEAST) - RESERVED_SOCKETS;
    daemon->client_sockets_least = (unsigned)(CLIENT_SHARE_LEAST * daemon->sockets);
    struct ow_http_server_options options = {
        .endpoint = settings->front,
        .body_limit = BODY_LIMIT_BYTES,
        .max_connections = daemon->sockets - daemon->client_sockets_least,
        .idle_s = IDLE_S,
    };
    daemon->loop = loop;
    daemon->settings = settings;
    daemon->pending_requests = ow_outgoing_pending_new();
    daemon->server = ow_http_server_new(loop, &options, ow_incoming_handle, daemon);
    daemon->peers = ow_peer_links_new(loop, settings->peer_listen, take_peer, handle_peer_link_lost, daemon);
    daemon->client = ow_http_client_new(loop, daemon->client_sockets_least, ow_outgoing_take_reply, daemon);
    daemon->manager = ow_shard_manager_new(settings, tuning, sharding, ow_rng_nonce());
    ow_loop_on_wake(loop, handle_wake, daemon);
    if (daemon->server == NULL || daemon->peers == NULL) {
        g_set_error(error, OW_DAEMON_ERROR, OW_DAEMON_ERROR_LISTEN, "cannot listen on %s",
                    daemon->server == NULL ? settings->front : settings->peer_listen);
        ow_daemon_free(daemon);
        return NULL;
    }
    for (guint i = 0; i < settings->peers->len; i++)
        ow_peer_links_add(daemon->peers, g_array_index(settings->peers, struct ow_peer_settings, i).endpoint);
    return daemon;
}

void ow_daemon_free(struct ow_daemon *daemon)
{
    ow_http_server_free(daemon->server);
    ow_peer_links_free(daemon->peers);
    ow_http_client_free(daemon->client);
    ow_shard_manager_free(daemon->manager);
    g_hash_table_destroy(daemon->pending_requests);
    g_free(daemon);
}

double ow_daemon_round(void *owner, double now)
{
    struct ow_daemon *daemon = owner;
    if (now >= daemon->sweep_at) {
        daemon->sweep_at = now + SWEEP_S;
        ow_outgoing_bound_sockets(daemon);
        ow_http_client_sweep(daemon->client, now);
        ow_http_server_sweep(daemon->server, now);
        ow_peer_links_sweep(daemon->peers, now);
    }
    /* Under load the answer to the renewal of the leader's lease must not wait behind thousands of
     * heartbeats.
     */
    if (ow_loop_is_saturated(daemon->loop))
        ow_http_client_read_from(daemon->client, daemon->settings->store_endpoint);
    GPtrArray *effects =
        ow_shard_manager_step(daemon->manager, now, (double)g_get_real_time() / G_USEC_PER_SEC);
    for (guint i = 0; i < effects->len; i++)
        carry_out(daemon, g_ptr_array_index(effects, i));
    g_ptr_array_free(effects, TRUE);
    return ow_shard_manager_idle_seconds(daemon->manager);
}
