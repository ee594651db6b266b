#include "io/outgoing.h"

#include "io/daemon_state.h"
#include "model/cloud.h"
#include "model/event.h"
#include "model/http_status.h"
#include "wire/cloud_json.h"
#include "wire/store_json.h"
#include "wire/words.h"
#include "wire/worker_json.h"

/* Response timeouts. */
static const double STORE_TIMEOUT_S = 1.5;
static const double CLOUD_TIMEOUT_S = 8;
static const double WORKER_TIMEOUT_S = 3;
/* The timeout of a watch also includes its requested duration, an allowance for clock drift and a margin. */
static const double WATCH_DRIFT = 1.01;
static const double WATCH_MARGIN_S = 2;

/* ---- pending requests ---- */

enum destination { DESTINATION_STORE, DESTINATION_CLOUD, DESTINATION_WORKER };

/* The operation of requests to workers, which have only one. */
enum { NO_OPERATION = 0 };

/* A request that waits for its reply. */
struct pending_request {
    enum destination destination;
    int operation;     /* enum ow_store_op, the operation of a struct ow_cloud_request, or NO_OPERATION */
    uint64_t core_tag; /* identifies the request in the core */
};

struct ow_pending_requests {
    GHashTable *by_tag; /* uint64_t -> struct pending_request, both owned */
    uint64_t last_tag;  /* of the last request passed to the HTTP client */
};

struct ow_pending_requests *ow_pending_requests_new(void)
{
    struct ow_pending_requests *pending = g_new0(struct ow_pending_requests, 1);
    pending->by_tag = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
    return pending;
}

void ow_pending_requests_free(struct ow_pending_requests *pending)
{
    g_hash_table_destroy(pending->by_tag);
    g_free(pending);
}

/* Adds a copy of the request. Returns the tag to pass to the HTTP client. */
static uint64_t add_pending(struct ow_pending_requests *pending, const struct pending_request *request)
{
    uint64_t tag = ++pending->last_tag;
    g_hash_table_insert(pending->by_tag, g_memdup2(&tag, sizeof tag), g_memdup2(request, sizeof *request));
    return tag;
}

/* ---- replies ---- */

/* A reply as it was received. */
struct received_reply {
    const struct pending_request *pending;
    int status;
    const char *body;
    size_t size;
};

static struct ow_event *cloud_event(const struct received_reply *reply, GError **error)
{
    struct ow_event *event = ow_event_new(OW_EVENT_CLOUD, reply->pending->core_tag);
    wire_cloud_reply_decode((enum ow_cloud_op)reply->pending->operation, reply->status, reply->body,
                            reply->size, &event->cloud, error);
    return event;
}

static struct ow_event *store_event(const struct received_reply *reply, GError **error)
{
    struct ow_event *event = ow_event_new(OW_EVENT_STORE, reply->pending->core_tag);
    wire_store_reply_decode((enum ow_store_op)reply->pending->operation, reply->status, reply->body,
                            reply->size, &event->store, error);
    return event;
}

static struct ow_event *worker_event(const struct received_reply *reply, GError **error)
{
    struct ow_event *event = ow_event_new(OW_EVENT_DIRECT_REPLY, reply->pending->core_tag);
    event->status = reply->status;
    /* A worker that rejects the commands also sends its status. */
    if (reply->status == OW_HTTP_STATUS_OK || reply->status == OW_HTTP_STATUS_CONFLICT)
        event->heartbeat = wire_heartbeat_decode(reply->body, reply->size, error);
    return event;
}

/* What a destination sends: the interface, and how its replies become events. */
static const struct {
    enum ow_message_interface interface;
    struct ow_event *(*event)(const struct received_reply *reply, GError **error);
} reply_kinds[] = {
    [DESTINATION_STORE] = {OW_INTERFACE_STORE, store_event},
    [DESTINATION_CLOUD] = {OW_INTERFACE_CLOUD, cloud_event},
    [DESTINATION_WORKER] = {OW_INTERFACE_WORKER, worker_event},
};

static const char *endpoint_of(const struct ow_daemon *daemon, enum destination destination)
{
    switch (destination) {
    case DESTINATION_STORE:
        return daemon->settings->store_endpoint;
    case DESTINATION_CLOUD:
        return daemon->settings->cloud_endpoint;
    case DESTINATION_WORKER:
        break;
    }
    return NULL;
}

static void note_malformed(struct ow_daemon *daemon, const struct received_reply *reply, const char *reason)
{
    enum destination destination = reply->pending->destination;
    const struct ow_malformed_message message = {
        .interface = reply_kinds[destination].interface,
        .endpoint = endpoint_of(daemon, destination),
        .bytes = reply->size,
        .reason = reason,
    };
    ow_malformed_log_note(daemon->malformed_log, &message, ow_loop_now(daemon->loop));
}

void ow_outgoing_handle_reply(void *owner, uint64_t tag, int status, const char *body, size_t size)
{
    struct ow_daemon *daemon = owner;
    GHashTable *by_tag = daemon->pending_requests->by_tag;
    g_autoptr(GError) error = NULL;
    const struct received_reply reply = {
        .pending = g_hash_table_lookup(by_tag, &tag),
        .status = status,
        .body = body,
        .size = size,
    };
    struct ow_event *event = reply_kinds[reply.pending->destination].event(&reply, &error);
    if (error != NULL)
        note_malformed(daemon, &reply, error->message);
    ow_shard_manager_push(daemon->manager, event);
    g_hash_table_remove(by_tag, &tag);
}

/* ---- requests ---- */

static double store_timeout_s(const struct ow_store_request *request)
{
    if (request->op != OW_STORE_WATCH)
        return STORE_TIMEOUT_S;
    return STORE_TIMEOUT_S + (request->duration_s * WATCH_DRIFT + WATCH_MARGIN_S);
}

static void send_store(struct ow_daemon *daemon, const struct ow_store_request *request)
{
    const struct pending_request pending = {
        .destination = DESTINATION_STORE,
        .operation = (int)request->op,
        .core_tag = request->tag,
    };
    uint64_t tag = add_pending(daemon->pending_requests, &pending);
    g_auto(wire_http_request) http = wire_store_request_encode(request);
    ow_http_client_send(daemon->client, daemon->settings->store_endpoint, http.method, http.path, http.body,
                        store_timeout_s(request), tag);
}

static void send_cloud(struct ow_daemon *daemon, const struct ow_cloud_request *request)
{
    const struct pending_request pending = {
        .destination = DESTINATION_CLOUD,
        .operation = (int)request->op,
        .core_tag = request->tag,
    };
    uint64_t tag = add_pending(daemon->pending_requests, &pending);
    g_auto(wire_http_request) http = wire_cloud_request_encode(request);
    ow_http_client_send(daemon->client, daemon->settings->cloud_endpoint, http.method, http.path, http.body,
                        CLOUD_TIMEOUT_S, tag);
}

/* Reports that there is no free socket: the commands are then sent with the reply to the machine's next
   heartbeat. */
static void report_unsent(struct ow_daemon *daemon, const struct ow_effect *effect)
{
    struct ow_event *event = ow_event_new(OW_EVENT_DIRECT_REPLY, effect->request);
    event->status = OW_STATUS_UNSENT;
    ow_shard_manager_push(daemon->manager, event);
}

static void send_direct_commands(struct ow_daemon *daemon, const struct ow_effect *effect)
{
    const char *endpoint = effect->addr;
    ow_outgoing_limit_sockets(daemon);
    if (!ow_http_client_has_room(daemon->client, endpoint)) {
        report_unsent(daemon, effect);
        return;
    }
    const struct pending_request pending = {
        .destination = DESTINATION_WORKER,
        .operation = NO_OPERATION,
        .core_tag = effect->request,
    };
    uint64_t tag = add_pending(daemon->pending_requests, &pending);
    g_autofree char *body =
        wire_direct_commands_encode(effect->fencing_token, effect->incarnation, effect->commands);
    ow_http_client_send(daemon->client, endpoint, "POST", W_PATH_COMMANDS, body, WORKER_TIMEOUT_S, tag);
}

void ow_outgoing_send(struct ow_daemon *daemon, const struct ow_effect *effect)
{
    switch (effect->kind) {
    case OW_EFFECT_DIRECT_COMMANDS:
        send_direct_commands(daemon, effect);
        break;
    case OW_EFFECT_STORE:
        send_store(daemon, effect->store);
        break;
    case OW_EFFECT_CLOUD:
        send_cloud(daemon, effect->cloud);
        break;
    default:
        break;
    }
}

void ow_outgoing_limit_sockets(struct ow_daemon *daemon)
{
    unsigned incoming = ow_http_server_count_connections(daemon->server);
    unsigned unused = daemon->sockets_max - MIN(daemon->sockets_max, incoming);
    ow_http_client_set_connections_max(daemon->client, MAX(daemon->client_sockets_min, unused));
}
