#include "io/service.h"

#include "core/core.h"
#include "io/http_client.h"
#include "io/http_server.h"
#include "io/peer_link.h"
#include "io/rng.h"
#include "wire/cloud_json.h"
#include "wire/state_json.h"
#include "wire/user_json.h"
#include "wire/worker_json.h"
#include "wire/words.h"

#include <string.h>

static const double STATE_TIMEOUT_S = 1.5, CLOUD_TIMEOUT_S = 8, DIRECT_TIMEOUT_S = 3, SWEEP_S = 0.1,
                    IDLE_S = 60;
enum { BODY_LIMIT = 64 * 1024, SPARE_SOCKETS = 60, SOCKETS_LEAST = 200 };
/* Each machine reports on a connection of its own, and those come first. Ours, for commands, get what is
   left, and at least this share. */
static const double OWN_LEAST = 0.05;

/* What a request to the outside was, until its answer comes. */
struct asked {
    enum { ASKED_STATE, ASKED_CLOUD, ASKED_WORKER } whom;
    int op;
    uint64_t tag; /* the core's */
};

struct ow_service {
    struct ow_loop *loop;
    const struct ow_settings *settings;
    struct ow_core *core;
    struct ow_http_server *server;
    struct ow_http_client *client;
    struct ow_peer_links *peers;
    GHashTable *asked; /* our tag -> struct asked */
    uint64_t last_tag;
    unsigned sockets; /* without those spared for the state service, the cloud and other controllers */
    unsigned own_least;
    double sweep_at;
};

/* ---- requests from users and workers ---- */

static void answer_text(struct ow_service *s, uint64_t id, int status, const char *headers, char *body)
{
    ow_http_server_answer(s->server, id, status, headers, body, strlen(body));
    g_free(body);
}

static void answer_error(struct ow_service *s, uint64_t id, int status, const char *text)
{
    answer_text(s, id, status, NULL, wire_error(text));
}

static struct ow_event *command_new(enum ow_event_kind kind, uint64_t request)
{
    struct ow_event *c = g_new0(struct ow_event, 1);
    c->kind = kind;
    c->request = request;
    return c;
}

static void take_submission(struct ow_service *s, const struct ow_http_request *r)
{
    const char *fault = NULL;
    char id[OW_ID_MAX + 1];
    struct ow_submission *submission = wire_submission_parse(r->body, r->body_size, id, &fault);
    if (submission == NULL && *id == '\0') {
        answer_error(s, r->id, 400, fault);
        return;
    }
    /* With the id of a job that was accepted it is a repeat, whatever else it says. */
    struct ow_event *c = command_new(OW_EVENT_SUBMIT, r->id);
    c->submission = submission;
    c->fault = fault;
    g_strlcpy(c->id, id, sizeof c->id);
    ow_core_push(s->core, c);
}

static void take_report(struct ow_service *s, const struct ow_http_request *r)
{
    struct ow_report *report = wire_report_parse(r->body, r->body_size);
    if (report == NULL) {
        answer_error(s, r->id, 400, "not a report");
        return;
    }
    struct ow_event *c = command_new(OW_EVENT_REPORT, r->id);
    c->report = report;
    ow_core_push(s->core, c);
}

static void take_job_request(struct ow_service *s, const struct ow_http_request *r, const char *rest)
{
    const char *slash = strchr(rest, '/');
    char *id = slash != NULL ? g_strndup(rest, (gsize)(slash - rest)) : g_strdup(rest);
    bool cancel = slash != NULL && strcmp(slash + 1, W_PATH_CANCEL) == 0;
    if ((slash != NULL && !cancel) || strlen(id) > OW_ID_MAX) {
        answer_error(s, r->id, 404, "no such path");
    } else if (strcmp(r->method, cancel ? "POST" : "GET") != 0) {
        answer_error(s, r->id, 405, "method not allowed");
    } else if (!wire_job_id_valid(id)) {
        answer_error(s, r->id, cancel ? 400 : 404, "not the id of a job");
    } else {
        struct ow_event *c = command_new(cancel ? OW_EVENT_CANCEL : OW_EVENT_POLL, r->id);
        g_strlcpy(c->id, id, sizeof c->id);
        ow_core_push(s->core, c);
    }
    g_free(id);
}

static bool method_is(struct ow_service *s, const struct ow_http_request *r, const char *method)
{
    if (strcmp(r->method, method) == 0)
        return true;
    answer_error(s, r->id, 405, "method not allowed");
    return false;
}

static void handle(void *owner, const struct ow_http_request *r)
{
    struct ow_service *s = owner;
    char *path = g_strndup(r->target, strcspn(r->target, "?"));
    if (strcmp(path, W_PATH_REPORT) == 0) {
        if (method_is(s, r, "POST"))
            take_report(s, r);
    } else if (strcmp(path, W_PATH_JOBS) == 0) {
        if (method_is(s, r, "POST"))
            take_submission(s, r);
    } else if (g_str_has_prefix(path, W_PATH_JOBS "/")) {
        take_job_request(s, r, path + strlen(W_PATH_JOBS "/"));
    } else if (strcmp(path, W_PATH_HEALTH) == 0) {
        if (method_is(s, r, "GET"))
            answer_text(s, r->id, ow_core_healthy(s->core) ? 200 : 503, NULL, g_strdup("{}"));
    } else if (strcmp(path, W_PATH_TEAMS) == 0) {
        if (method_is(s, r, "GET"))
            ow_core_push(s->core, command_new(OW_EVENT_TEAMS, r->id));
    } else {
        answer_error(s, r->id, 404, "no such path");
    }
    g_free(path);
}

static void take_peer(void *owner, struct ow_peer_message *message)
{
    struct ow_service *s = owner;
    struct ow_event *c = command_new(OW_EVENT_PEER, 0);
    c->peer = message;
    ow_core_push(s->core, c);
}

static void take_lost(void *owner, const char *endpoint)
{
    struct ow_service *s = owner;
    for (guint i = 0; i < s->settings->peers->len; i++) {
        const struct ow_peer_settings *peer = &g_array_index(s->settings->peers, struct ow_peer_settings, i);
        if (strcmp(peer->endpoint, endpoint) != 0)
            continue;
        struct ow_peer_message *message = ow_peer_message_new(OW_PEER_LINK_LOST);
        message->sender = g_strdup(peer->node);
        take_peer(s, message);
    }
}

/* ---- answers from outside ---- */

static struct ow_event *cloud_answer(const struct asked *a, int status, const char *body, size_t size)
{
    struct ow_event *c = command_new(OW_EVENT_CLOUD, a->tag);
    c->cloud.status = status;
    if (status == 200 && a->op == OW_CLOUD_TYPES)
        c->cloud.types = wire_types_parse(body, size);
    else if (status == 200 && a->op == OW_CLOUD_LIST)
        c->cloud.listed = wire_list_parse(body, size, &c->cloud.more);
    else if (status == 200 && a->op == OW_CLOUD_RENT)
        c->cloud.rented = wire_rented_parse(body, size);
    return c;
}

static void take_answer(void *owner, uint64_t tag, int status, const char *body, size_t size)
{
    struct ow_service *s = owner;
    const struct asked *a = g_hash_table_lookup(s->asked, &tag);
    struct ow_event *c;
    if (a->whom == ASKED_STATE) {
        c = command_new(OW_EVENT_STORE, a->tag);
        wire_store_reply((enum ow_store_op)a->op, status, body, size, &c->store);
    } else if (a->whom == ASKED_CLOUD) {
        c = cloud_answer(a, status, body, size);
    } else {
        c = command_new(OW_EVENT_DIRECT_REPLY, a->tag);
        c->status = status;
        if (status == 200 || status == 409)
            c->report = wire_report_parse(body, size);
    }
    ow_core_push(s->core, c);
    g_hash_table_remove(s->asked, &tag);
}

/* ---- effects ---- */

static uint64_t remember(struct ow_service *s, int whom, int op, uint64_t tag)
{
    uint64_t *key = g_new(uint64_t, 1);
    struct asked *a = g_new0(struct asked, 1);
    *key = ++s->last_tag;
    a->whom = whom;
    a->op = op;
    a->tag = tag;
    g_hash_table_insert(s->asked, key, a);
    return *key;
}

static void send_store(struct ow_service *s, const struct ow_effect *e)
{
    struct wire_http http = wire_store_request(e->store);
    double timeout = STATE_TIMEOUT_S + (e->store->op == OW_STORE_WATCH ? e->store->seconds * 1.01 + 2 : 0);
    uint64_t tag = remember(s, ASKED_STATE, e->store->op, e->store->tag);
    ow_http_client_send(s->client, s->settings->state, http.method, http.path, http.body, timeout, tag);
    wire_http_clear(&http);
}

static void send_cloud(struct ow_service *s, const struct ow_effect *e)
{
    const struct ow_cloud_request *r = e->cloud;
    uint64_t tag = remember(s, ASKED_CLOUD, r->op, r->tag);
    const char *method = "GET";
    char *path = NULL, *body = NULL;
    if (r->op == OW_CLOUD_TYPES) {
        path = g_strdup(W_PATH_TYPES);
    } else if (r->op == OW_CLOUD_LIST) {
        path = wire_list_path(r->after);
    } else if (r->op == OW_CLOUD_RENT) {
        struct ow_rental rental = {r->name, r->type, r->zone, r->spot, r->count};
        method = "POST";
        path = g_strdup(W_PATH_MACHINES);
        body = wire_rental(&rental);
    } else {
        method = "POST";
        path = g_strdup(W_PATH_DELETE);
        body = wire_delete(r->machines);
    }
    ow_http_client_send(s->client, s->settings->cloud, method, path, body, CLOUD_TIMEOUT_S, tag);
    g_free(path);
    g_free(body);
}

/* Without a socket to spare the command goes with the answer to the machine's next report. */
static void give_up_direct(struct ow_service *s, const struct ow_effect *e)
{
    struct ow_event *c = command_new(OW_EVENT_DIRECT_REPLY, e->request);
    c->status = OW_STATUS_UNSENT;
    ow_core_push(s->core, c);
}

static void bound_own(struct ow_service *s)
{
    unsigned taken = ow_http_server_count(s->server);
    ow_http_client_bound(s->client, MAX(s->own_least, s->sockets - MIN(s->sockets, taken)));
}

static void send_direct(struct ow_service *s, const struct ow_effect *e)
{
    bound_own(s);
    if (!ow_http_client_has_room(s->client, e->text)) {
        give_up_direct(s, e);
        return;
    }
    char *body = wire_direct_commands(e->token, e->session, e->commands);
    uint64_t tag = remember(s, ASKED_WORKER, 0, e->request);
    ow_http_client_send(s->client, e->text, "POST", W_PATH_COMMANDS, body, DIRECT_TIMEOUT_S, tag);
    g_free(body);
}

static void answer_job(struct ow_service *s, const struct ow_effect *e)
{
    struct ow_job_view view = {e->id, e->state, e->done, e->running, e->text};
    answer_text(s, e->request, e->status, NULL, wire_job_view(&view));
}

static void answer_refusal(struct ow_service *s, const struct ow_effect *e)
{
    char *headers = e->retry_after_s > 0 ? g_strdup_printf("Retry-After: %d\r\n", e->retry_after_s) : NULL;
    answer_text(s, e->request, e->status, headers, wire_error(e->text));
    g_free(headers);
}

static void carry_out(struct ow_service *s, const struct ow_effect *e)
{
    switch (e->kind) {
    case OW_EFFECT_JOB:
        answer_job(s, e);
        break;
    case OW_EFFECT_TEAMS:
        answer_text(s, e->request, e->status, NULL, wire_teams(e->teams));
        break;
    case OW_EFFECT_REFUSE:
        answer_refusal(s, e);
        break;
    case OW_EFFECT_WORKER_COMMANDS:
        answer_text(s, e->request, 200, NULL, wire_worker_commands(e->token, e->commands));
        break;
    case OW_EFFECT_MISDIRECT:
        answer_text(s, e->request, 421, NULL, wire_misdirected(e->text));
        break;
    case OW_EFFECT_DIRECT:
        send_direct(s, e);
        break;
    case OW_EFFECT_STORE:
        send_store(s, e);
        break;
    case OW_EFFECT_CLOUD:
        send_cloud(s, e);
        break;
    case OW_EFFECT_PEER:
        ow_peer_links_send(s->peers, e->peer);
        break;
    }
}

/* ---- life ---- */

struct ow_service *ow_service_new(struct ow_loop *loop, const struct ow_settings *settings,
                                  const struct ow_rules *rules, char **fault)
{
    struct ow_service *s = g_new0(struct ow_service, 1);
    s->sockets = MAX(settings->sockets, SOCKETS_LEAST) - SPARE_SOCKETS;
    s->own_least = (unsigned)(OWN_LEAST * s->sockets);
    struct ow_http_server_options options = {
        .endpoint = settings->front,
        .body_limit = BODY_LIMIT,
        .max_connections = s->sockets - s->own_least,
        .idle_s = IDLE_S,
    };
    s->loop = loop;
    s->settings = settings;
    s->asked = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
    s->server = ow_http_server_new(loop, &options, handle, s);
    s->peers = ow_peer_links_new(loop, settings->peer_listen, take_peer, take_lost, s);
    s->client = ow_http_client_new(loop, s->own_least, take_answer, s);
    s->core = ow_core_new(settings, rules, ow_rng_nonce());
    if (s->server == NULL || s->peers == NULL) {
        *fault = g_strdup_printf("cannot listen on %s",
                                 s->server == NULL ? settings->front : settings->peer_listen);
        ow_service_free(s);
        return NULL;
    }
    for (guint i = 0; i < settings->peers->len; i++)
        ow_peer_links_add(s->peers, g_array_index(settings->peers, struct ow_peer_settings, i).endpoint);
    return s;
}

void ow_service_free(struct ow_service *s)
{
    ow_http_server_free(s->server);
    ow_peer_links_free(s->peers);
    ow_http_client_free(s->client);
    ow_core_free(s->core);
    g_hash_table_destroy(s->asked);
    g_free(s);
}

double ow_service_round(void *service, double now)
{
    struct ow_service *s = service;
    if (now >= s->sweep_at) {
        s->sweep_at = now + SWEEP_S;
        bound_own(s);
        ow_http_client_sweep(s->client, now);
        ow_http_server_sweep(s->server, now);
        ow_peer_links_sweep(s->peers, now);
    }
    GPtrArray *effects = ow_core_run(s->core, now, (double)g_get_real_time() / G_USEC_PER_SEC);
    for (guint i = 0; i < effects->len; i++)
        carry_out(s, g_ptr_array_index(effects, i));
    g_ptr_array_free(effects, TRUE);
    return ow_core_idle_seconds(s->core);
}
