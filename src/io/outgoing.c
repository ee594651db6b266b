/* Requests to the key-value store, the cloud and workers, and what becomes of their responses. */
#include "io/daemon_state.h"

#include "model/cloud.h"
#include "model/effect.h"
#include "model/event.h"
#include "wire/cloud_json.h"
#include "wire/store_json.h"
#include "wire/words.h"
#include "wire/worker_json.h"

/* How long each may take to respond. */
static const double STORE_TIMEOUT_S = 1.5, CLOUD_TIMEOUT_S = 8, DIRECT_TIMEOUT_S = 3;
/* A watch may stay open for as long as it was asked to, by the key-value store's clock, and then some. */
static const double WATCH_DRIFT = 1.01, WATCH_MARGIN_S = 2;

enum target { TARGET_STORE, TARGET_CLOUD, TARGET_WORKER };
enum { NO_OPERATION = 0 };

/* A request that waits for its response. */
struct pending_request {
    enum target target;
    int operation;     /* enum ow_store_op, or that of struct ow_cloud_request, by the target */
    uint64_t core_tag; /* the core's name for it */
};

GHashTable *ow_outgoing_pending_new(void)
{
    return g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
}

/* The tag under which the HTTP client is to send the request. */
static uint64_t add_pending(struct ow_daemon *daemon, enum target target, int operation, uint64_t core_tag)
{
    uint64_t *key = g_new(uint64_t, 1);
    struct pending_request *pending = g_new0(struct pending_request, 1);
    *key = ++daemon->last_tag;
    pending->target = target;
    pending->operation = operation;
    pending->core_tag = core_tag;
    g_hash_table_insert(daemon->pending_requests, key, pending);
    return *key;
}

/* ---- responses ---- */

static struct ow_event *cloud_event(const struct pending_request *pending, int status, const char *body,
                                    size_t size)
{
    struct ow_event *event = ow_event_new(OW_EVENT_CLOUD, pending->core_tag);
    event->cloud.status = status;
    if (status != OW_HTTP_STATUS_OK)
        return event;
    if (pending->operation == OW_CLOUD_TYPES)
        event->cloud.types = wire_machine_types_decode(body, size);
    else if (pending->operation == OW_CLOUD_LIST)
        event->cloud.listed = wire_machine_list_decode(body, size, &event->cloud.more);
    else if (pending->operation == OW_CLOUD_PROVISION)
        event->cloud.provisioned = wire_provision_reply_decode(body, size);
    return event;
}

static struct ow_event *store_event(const struct pending_request *pending, int status, const char *body,
                                    size_t size)
{
    struct ow_event *event = ow_event_new(OW_EVENT_STORE, pending->core_tag);
    wire_store_reply_decode((enum ow_store_op)pending->operation, status, body, size, &event->store);
    return event;
}

static struct ow_event *worker_event(const struct pending_request *pending, int status, const char *body,
                                     size_t size)
{
    struct ow_event *event = ow_event_new(OW_EVENT_DIRECT_REPLY, pending->core_tag);
    event->status = status;
    if (status == OW_HTTP_STATUS_OK || status == OW_HTTP_STATUS_CONFLICT)
        event->heartbeat = wire_heartbeat_decode(body, size);
    return event;
}

static struct ow_event *reply_event(const struct pending_request *pending, int status, const char *body,
                                    size_t size)
{
    switch (pending->target) {
    case TARGET_STORE:
        return store_event(pending, status, body, size);
    case TARGET_CLOUD:
        return cloud_event(pending, status, body, size);
    case TARGET_WORKER:
        break;
    }
    return worker_event(pending, status, body, size);
}

void ow_outgoing_take_reply(void *owner, uint64_t tag, int status, const char *body, size_t size)
{
    struct ow_daemon *daemon = owner;
    const struct pending_request *pending = g_hash_table_lookup(daemon->pending_requests, &tag);
    ow_shard_manager_push(daemon->manager, reply_event(pending, status, body, size));
    g_hash_table_remove(daemon->pending_requests, &tag);
}

/* ---- requests ---- */

static void send_store(struct ow_daemon *daemon, const struct ow_effect *effect)
{
    struct wire_http_request http = wire_store_request_encode(effect->store);
    double timeout = STORE_TIMEOUT_S;
    if (effect->store->op == OW_STORE_WATCH)
        timeout += effect->store->duration_s * WATCH_DRIFT + WATCH_MARGIN_S;
    uint64_t tag = add_pending(daemon, TARGET_STORE, (int)effect->store->op, effect->store->tag);
    ow_http_client_send(daemon->client, daemon->settings->store_endpoint, http.method, http.path, http.body,
                        timeout, tag);
    wire_http_request_clear(&http);
}

static void send_cloud(struct ow_daemon *daemon, const struct ow_effect *effect)
{
    const struct ow_cloud_request *request = effect->cloud;
    uint64_t tag = add_pending(daemon, TARGET_CLOUD, (int)request->op, request->tag);
    const char *method = "GET";
    char *path = NULL, *body = NULL;
    if (request->op == OW_CLOUD_TYPES) {
        path = g_strdup(W_PATH_TYPES);
    } else if (request->op == OW_CLOUD_LIST) {
        path = wire_machine_list_path(request->after);
    } else if (request->op == OW_CLOUD_PROVISION) {
        struct wire_provision_request provision_request = {request->name, request->type, request->zone,
                                                           request->spot, request->count};
        method = "POST";
        path = g_strdup(W_PATH_MACHINES);
        body = wire_provision_request_encode(&provision_request);
    } else {
        method = "POST";
        path = g_strdup(W_PATH_TERMINATE);
        body = wire_terminate_request_encode(request->machines);
    }
    ow_http_client_send(daemon->client, daemon->settings->cloud_endpoint, method, path, body, CLOUD_TIMEOUT_S,
                        tag);
    g_free(path);
    g_free(body);
}

/* Without a socket to spare the command goes with the answer to the machine's next heartbeat. */
static void give_up_direct(struct ow_daemon *daemon, const struct ow_effect *effect)
{
    struct ow_event *event = ow_event_new(OW_EVENT_DIRECT_REPLY, effect->request);
    event->status = OW_STATUS_UNSENT;
    ow_shard_manager_push(daemon->manager, event);
}

void ow_outgoing_bound_sockets(struct ow_daemon *daemon)
{
    unsigned taken = ow_http_server_count(daemon->server);
    ow_http_client_bound(daemon->client,
                         MAX(daemon->client_sockets_least, daemon->sockets - MIN(daemon->sockets, taken)));
}

static void send_direct(struct ow_daemon *daemon, const struct ow_effect *effect)
{
    ow_outgoing_bound_sockets(daemon);
    if (!ow_http_client_has_room(daemon->client, effect->text)) {
        give_up_direct(daemon, effect);
        return;
    }
    char *body = wire_direct_commands_encode(effect->fencing_token, effect->incarnation, effect->commands);
    uint64_t tag = add_pending(daemon, TARGET_WORKER, NO_OPERATION, effect->request);
    ow_http_client_send(daemon->client, effect->text, "POST", W_PATH_COMMANDS, body, DIRECT_TIMEOUT_S, tag);
    g_free(body);
}

void ow_outgoing_send(struct ow_daemon *daemon, const struct ow_effect *effect)
{
    switch (effect->kind) {
    case OW_EFFECT_DIRECT:
        send_direct(daemon, effect);
        break;
    case OW_EFFECT_STORE:
        send_store(daemon, effect);
        break;
    case OW_EFFECT_CLOUD:
        send_cloud(daemon, effect);
        break;
    default:
        break;
    }
}
