#include "io/daemon.h"

#include "io/daemon_state.h"
#include "io/incoming.h"
#include "io/outgoing.h"
#include "io/rng.h"
#include "model/effect.h"
#include "model/event.h"
#include "model/peer.h"

#include <string.h>

/* Interval between sweeps of connections. */
static const double SWEEP_INTERVAL_S = 0.1;
/* Interval between log lines on the load. */
static const double LOAD_LOG_INTERVAL_S = 10;
/* An incoming connection that has been idle for longer is closed. */
static const double IDLE_TIMEOUT_S = 60;
enum {
    BODY_LIMIT_BYTES = 64 * 1024, /* of an incoming request */
    RESERVED_SOCKETS = 60,        /* for the key-value store, the cloud and other controllers */
    SOCKETS_MIN = 200,            /* lower bound, even if the settings specify fewer */
};
/* Each machine has a connection for its heartbeats, and these take precedence. Outgoing connections, which
   carry commands, get the remaining sockets, but at least this share. */
static const double CLIENT_SHARE_MIN = 0.05;

G_DEFINE_QUARK(ow_daemon_error, ow_daemon_error)

/* ---- other controllers ---- */

/* Queues a message from another controller as an event; `owner` is the daemon. */
static void handle_peer_message(void *owner, struct ow_peer_message *message)
{
    struct ow_daemon *daemon = owner;
    struct ow_event *event = ow_event_new(OW_EVENT_PEER, 0);
    event->peer = message;
    ow_shard_manager_push(daemon->manager, event);
}

/* Notifies the shard manager that a controller's endpoint refuses connections; `owner` is the daemon. */
static void handle_link_lost(void *owner, const char *endpoint)
{
    struct ow_daemon *daemon = owner;
    const GArray *peers = daemon->settings->peers;
    for (guint i = 0; i < peers->len; i++) {
        const struct ow_peer_settings *peer = &g_array_index(peers, struct ow_peer_settings, i);
        if (strcmp(peer->endpoint, endpoint) != 0)
            continue;
        struct ow_peer_message *message = ow_peer_message_new(OW_PEER_LINK_LOST);
        message->sender = g_strdup(peer->controller_name);
        handle_peer_message(daemon, message);
    }
}

/* Returns the endpoint of the controller with this name, or NULL if there is none. */
static const char *find_peer_endpoint(const struct ow_daemon *daemon, const char *name)
{
    const GArray *peers = daemon->settings->peers;
    for (guint i = 0; i < peers->len; i++) {
        const struct ow_peer_settings *peer = &g_array_index(peers, struct ow_peer_settings, i);
        if (strcmp(peer->controller_name, name) == 0)
            return peer->endpoint;
    }
    return NULL;
}

/* Sends a message to its addressee, or to all controllers if it has none. An unknown addressee is ignored. */
static void send_to_peers(struct ow_daemon *daemon, struct ow_peer_message *message)
{
    if (message->addressee == NULL) {
        ow_peer_links_send(daemon->peers, message, NULL);
        return;
    }
    const char *endpoint = find_peer_endpoint(daemon, message->addressee);
    if (endpoint != NULL)
        ow_peer_links_send(daemon->peers, message, endpoint);
}

/* ---- event loop callbacks ---- */

/* Handles a pause of the process. If a lease expired during the pause, unsent bytes may be based on it and
   are dropped. Runs before all other callbacks, because these would send the bytes. `owner` is the daemon. */
static void handle_wake(void *owner, double paused_s, double now)
{
    struct ow_daemon *daemon = owner;
    if (!ow_shard_manager_resume(daemon->manager, paused_s, now))
        return;
    ow_http_client_drop_unsent(daemon->client);
    ow_http_server_drop_unsent(daemon->server);
}

static void perform_effect(struct ow_daemon *daemon, const struct ow_effect *effect)
{
    switch (effect->kind) {
    case OW_EFFECT_JOB:
    case OW_EFFECT_TEAMS:
    case OW_EFFECT_REFUSE:
    case OW_EFFECT_WORKER_COMMANDS:
    case OW_EFFECT_REDIRECT:
        ow_incoming_answer(daemon, effect);
        break;
    case OW_EFFECT_DIRECT_COMMANDS:
    case OW_EFFECT_STORE:
    case OW_EFFECT_CLOUD:
        ow_outgoing_send(daemon, effect);
        break;
    case OW_EFFECT_PEER:
        send_to_peers(daemon, effect->peer);
        break;
    }
}

static void sweep_if_due(struct ow_daemon *daemon, double now)
{
    if (now < daemon->sweep_at)
        return;
    daemon->sweep_at = now + SWEEP_INTERVAL_S;
    ow_outgoing_limit_sockets(daemon);
    ow_http_client_sweep(daemon->client, now);
    ow_http_server_sweep(daemon->server, now);
    ow_peer_links_sweep(daemon->peers, now);
}

static void log_load_if_due(struct ow_daemon *daemon, double now)
{
    if (now < daemon->load_log_at)
        return;
    daemon->load_log_at = now + LOAD_LOG_INTERVAL_S;
    struct ow_loop_load load = ow_loop_take_load(daemon->loop);
    struct ow_http_server_metrics server = ow_http_server_take_metrics(daemon->server);
    g_info("event loop load: rounds=%u saturated_rounds=%u longest_round_s=%.2f connections=%u "
           "connections_max=%u refused_connections=%u closed_for_room=%u buffered_bytes=%zu",
           load.rounds, load.saturated_rounds, load.longest_round_s, server.open,
           daemon->sockets_max - daemon->client_sockets_min, server.refused, server.closed_for_room,
           server.buffered_bytes);
    ow_malformed_log_flush(daemon->malformed_log);
}

double ow_daemon_round(void *owner, double now)
{
    struct ow_daemon *daemon = owner;
    sweep_if_due(daemon, now);
    log_load_if_due(daemon, now);
    /* Under load, a lease renewal and its reply must not queue behind thousands of heartbeats. */
    if (ow_loop_is_saturated(daemon->loop))
        ow_http_client_advance(daemon->client, daemon->settings->store_endpoint);
    ow_shard_manager_set_overload(daemon->manager, ow_loop_overload_round_s(daemon->loop));
    double time_of_day = (double)g_get_real_time() / G_USEC_PER_SEC;
    g_autoptr(GPtrArray) effects = ow_shard_manager_step(daemon->manager, now, time_of_day);
    for (guint i = 0; i < effects->len; i++)
        perform_effect(daemon, g_ptr_array_index(effects, i));
    return ow_shard_manager_idle_seconds(daemon->manager);
}

/* ---- creation and destruction ---- */

/* Divides the configured sockets between incoming and outgoing connections. */
static void divide_sockets(struct ow_daemon *daemon)
{
    daemon->sockets_max = MAX(daemon->settings->sockets, SOCKETS_MIN) - RESERVED_SOCKETS;
    daemon->client_sockets_min = (unsigned)(CLIENT_SHARE_MIN * daemon->sockets_max);
}

static struct ow_http_server *new_http_server(struct ow_daemon *daemon)
{
    const struct ow_http_server_options options = {
        .endpoint = daemon->settings->http_listen,
        .body_limit_bytes = BODY_LIMIT_BYTES,
        .max_connections = daemon->sockets_max - daemon->client_sockets_min,
        .idle_s = IDLE_TIMEOUT_S,
    };
    return ow_http_server_new(daemon->loop, &options, ow_incoming_handle, daemon);
}

static struct ow_peer_links *new_peer_links(struct ow_daemon *daemon)
{
    const struct ow_peer_handlers handlers = {
        .message_received = handle_peer_message,
        .link_lost = handle_link_lost,
        .owner = daemon,
    };
    return ow_peer_links_new(daemon->loop, daemon->settings->peer_listen, &handlers);
}

static void connect_to_peers(struct ow_daemon *daemon)
{
    const GArray *peers = daemon->settings->peers;
    for (guint i = 0; i < peers->len; i++)
        ow_peer_links_add(daemon->peers, g_array_index(peers, struct ow_peer_settings, i).endpoint);
}

/* Sets the error for the first endpoint that could not be listened on. */
static void set_listen_error(const struct ow_daemon *daemon, GError **error)
{
    g_set_error(error, OW_DAEMON_ERROR, OW_DAEMON_ERROR_LISTEN, "cannot listen on %s",
                daemon->server == NULL ? daemon->settings->http_listen : daemon->settings->peer_listen);
}

struct ow_daemon *ow_daemon_new(struct ow_loop *loop, const struct ow_settings *settings,
                                const struct ow_tuning *tuning, const struct ow_sharding_settings *sharding,
                                GError **error)
{
    g_autoptr(ow_daemon) daemon = g_new0(struct ow_daemon, 1);
    daemon->loop = loop;
    daemon->settings = settings;
    divide_sockets(daemon);
    daemon->pending_requests = ow_pending_requests_new();
    daemon->malformed_log = ow_malformed_log_new(ow_loop_now(loop));
    daemon->manager = ow_shard_manager_new(settings, tuning, sharding, ow_rng_nonce());
    daemon->client = ow_http_client_new(loop, daemon->client_sockets_min, ow_outgoing_handle_reply, daemon);
    daemon->server = new_http_server(daemon);
    daemon->peers = new_peer_links(daemon);
    ow_loop_set_wake_callback(loop, handle_wake, daemon);
    if (daemon->server == NULL || daemon->peers == NULL) {
        set_listen_error(daemon, error);
        return NULL;
    }
    connect_to_peers(daemon);
    return g_steal_pointer(&daemon);
}

void ow_daemon_free(struct ow_daemon *daemon)
{
    ow_loop_set_wake_callback(daemon->loop, NULL, NULL);
    ow_http_server_free(daemon->server);
    ow_peer_links_free(daemon->peers);
    ow_http_client_free(daemon->client);
    ow_shard_manager_free(daemon->manager);
    ow_pending_requests_free(daemon->pending_requests);
    ow_malformed_log_free(daemon->malformed_log);
    g_free(daemon);
}
