#include "io/service.h"

#include "io/rng.h"
#include "io/service_state.h"

#include <string.h>

/* How often idle connections are looked at, and how long one may be idle. */
static const double SWEEP_S = 0.1, IDLE_S = 60;
enum {
    BODY_LIMIT_BYTES = 64 * 1024,
    RESERVED_SOCKETS = 60, /* for the state service, the cloud and other controllers */
    SOCKETS_LEAST = 200,
};
/* Each machine reports on a connection of its own, and those come first. Ours, for commands, get what is
   left, and at least this share. */
static const double CLIENT_SHARE_LEAST = 0.05;

/* ---- links to other controllers ---- */

static void take_peer(void *owner, struct ow_peer_message *message)
{
    struct ow_service *service = owner;
    struct ow_event *event = ow_event_new(OW_EVENT_PEER, 0);
    event->peer = message;
    ow_control_push(service->control, event);
}

static void take_lost(void *owner, const char *endpoint)
{
    struct ow_service *service = owner;
    for (guint i = 0; i < service->settings->peers->len; i++) {
        const struct ow_peer_settings *peer =
            &g_array_index(service->settings->peers, struct ow_peer_settings, i);
        if (strcmp(peer->endpoint, endpoint) != 0)
            continue;
        struct ow_peer_message *message = ow_peer_message_new(OW_PEER_LINK_LOST);
        message->sender = g_strdup(peer->node);
        take_peer(service, message);
    }
}

/* The endpoint of the controller of this name, or NULL. */
static const char *peer_endpoint(const struct ow_service *service, const char *name)
{
    for (guint i = 0; i < service->settings->peers->len; i++) {
        const struct ow_peer_settings *peer =
            &g_array_index(service->settings->peers, struct ow_peer_settings, i);
        if (strcmp(peer->node, name) == 0)
            return peer->endpoint;
    }
    return NULL;
}

static void send_to_peers(struct ow_service *service, struct ow_peer_message *message)
{
    const char *endpoint = message->addressee != NULL ? peer_endpoint(service, message->addressee) : NULL;
    if (message->addressee == NULL || endpoint != NULL)
        ow_peer_links_send(service->peers, message, endpoint);
}

/* ---- the loop ---- */

/* The process goes on after a pause: what waits to be sent may be out of date, and is dropped unless our
   leases are still ours. It comes before anything else, for the loop would send it at once. */
static void woke(void *owner, double paused_s, double now)
{
    struct ow_service *service = owner;
    if (!ow_control_resumed(service->control, paused_s, now))
        return;
    ow_http_client_drop_unsent(service->client);
    ow_http_server_drop_unsent(service->server);
}

static void carry_out(struct ow_service *service, const struct ow_effect *effect)
{
    switch (effect->kind) {
    case OW_EFFECT_JOB:
    case OW_EFFECT_TEAMS:
    case OW_EFFECT_REFUSE:
    case OW_EFFECT_WORKER_COMMANDS:
    case OW_EFFECT_MISDIRECT:
        ow_incoming_answer(service, effect);
        break;
    case OW_EFFECT_DIRECT:
    case OW_EFFECT_STORE:
    case OW_EFFECT_CLOUD:
        ow_outgoing_send(service, effect);
        break;
    case OW_EFFECT_PEER:
        send_to_peers(service, effect->peer);
        break;
    }
}

struct ow_service *ow_service_new(struct ow_loop *loop, const struct ow_settings *settings,
                                  const struct ow_rules *rules, const struct ow_control_settings *control,
                                  char **fault)
{
    struct ow_service *service = g_new0(struct ow_service, 1);
    service->sockets = MAX(settings->sockets, SOCKETS_LEAST) - RESERVED_SOCKETS;
    service->client_sockets_least = (unsigned)(CLIENT_SHARE_LEAST * service->sockets);
    struct ow_http_server_options options = {
        .endpoint = settings->front,
        .body_limit = BODY_LIMIT_BYTES,
        .max_connections = service->sockets - service->client_sockets_least,
        .idle_s = IDLE_S,
    };
    service->loop = loop;
    service->settings = settings;
    service->pending_requests = ow_outgoing_pending_new();
    service->server = ow_http_server_new(loop, &options, ow_incoming_handle, service);
    service->peers = ow_peer_links_new(loop, settings->peer_listen, take_peer, take_lost, service);
    service->client =
        ow_http_client_new(loop, service->client_sockets_least, ow_outgoing_take_reply, service);
    service->control = ow_control_new(settings, rules, control, ow_rng_nonce());
    ow_loop_on_wake(loop, woke, service);
    if (service->server == NULL || service->peers == NULL) {
        *fault = g_strdup_printf("cannot listen on %s",
                                 service->server == NULL ? settings->front : settings->peer_listen);
        ow_service_free(service);
        return NULL;
    }
    for (guint i = 0; i < settings->peers->len; i++)
        ow_peer_links_add(service->peers,
                          g_array_index(settings->peers, struct ow_peer_settings, i).endpoint);
    return service;
}

void ow_service_free(struct ow_service *service)
{
    ow_http_server_free(service->server);
    ow_peer_links_free(service->peers);
    ow_http_client_free(service->client);
    ow_control_free(service->control);
    g_hash_table_destroy(service->pending_requests);
    g_free(service);
}

double ow_service_round(void *owner, double now)
{
    struct ow_service *service = owner;
    if (now >= service->sweep_at) {
        service->sweep_at = now + SWEEP_S;
        ow_outgoing_bound_sockets(service);
        ow_http_client_sweep(service->client, now);
        ow_http_server_sweep(service->server, now);
        ow_peer_links_sweep(service->peers, now);
    }
    /* Under load the answer to the renewal of the leader's lease must not wait behind thousands of reports.
     */
    if (ow_loop_is_saturated(service->loop))
        ow_http_client_read_from(service->client, service->settings->state);
    GPtrArray *effects = ow_control_run(service->control, now, (double)g_get_real_time() / G_USEC_PER_SEC);
    for (guint i = 0; i < effects->len; i++)
        carry_out(service, g_ptr_array_index(effects, i));
    g_ptr_array_free(effects, TRUE);
    return ow_control_idle_seconds(service->control);
}
