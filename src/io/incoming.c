#include "io/incoming.h"

#include "io/daemon_state.h"
#include "model/event.h"
#include "model/http_status.h"
#include "model/submission.h"
#include "model/worker.h"
#include "sharding/operator_report.h"
#include "wire/json_reader.h"
#include "wire/submission_json.h"
#include "wire/user_json.h"
#include "wire/words.h"
#include "wire/worker_json.h"

#include <string.h>

/* ---- answering ---- */

/* Answers with a JSON body, and takes ownership of it. */
static void answer(struct ow_daemon *daemon, ow_request_id id, int status, char *body)
{
    ow_http_server_answer(daemon->server, id, status, NULL, body, strlen(body));
    g_free(body);
}

static void answer_error(struct ow_daemon *daemon, const struct ow_http_request *request,
                         enum ow_http_status status, const char *text)
{
    answer(daemon, request->id, (int)status, wire_error_encode(text));
}

/* ---- malformed requests ---- */

static void note_malformed(struct ow_daemon *daemon, const struct ow_http_request *request,
                           enum ow_message_interface interface, const char *reason)
{
    g_autofree char *endpoint = ow_http_server_peer(daemon->server, request->id);
    const struct ow_malformed_message message = {
        .interface = interface,
        .endpoint = endpoint,
        .bytes = request->body_size,
        .reason = reason,
    };
    ow_malformed_log_note(daemon->malformed_log, &message, ow_loop_now(daemon->loop));
}

/* The user's own error does not tell where a text stops being JSON. */
static void note_malformed_submission(struct ow_daemon *daemon, const struct ow_http_request *request,
                                      const GError *user_error)
{
    g_autoptr(GError) error = NULL;
    json_decref(wire_json_read_object(request->body, request->body_size, &wire_submission_fields, &error));
    note_malformed(daemon, request, OW_INTERFACE_USER, error != NULL ? error->message : user_error->message);
}

/* ---- routes ---- */

static void handle_heartbeat(struct ow_daemon *daemon, const struct ow_http_request *request, const char *job)
{
    (void)job;
    g_autoptr(GError) error = NULL;
    struct ow_heartbeat *heartbeat = wire_heartbeat_decode(request->body, request->body_size, &error);
    if (heartbeat == NULL) {
        note_malformed(daemon, request, OW_INTERFACE_WORKER, error->message);
        answer_error(daemon, request, OW_HTTP_STATUS_BAD_REQUEST, "not a report");
        return;
    }
    struct ow_event *event = ow_event_new(OW_EVENT_HEARTBEAT, request->id);
    event->heartbeat = heartbeat;
    ow_shard_manager_push(daemon->manager, event);
}

static void handle_submission(struct ow_daemon *daemon, const struct ow_http_request *request,
                              const char *job)
{
    (void)job;
    g_autoptr(GError) error = NULL;
    char id[OW_ID_MAX + 1];
    struct ow_submission *submission = wire_submission_decode(request->body, request->body_size, id, &error);
    if (submission == NULL)
        note_malformed_submission(daemon, request, error);
    if (submission == NULL && *id == '\0') {
        answer_error(daemon, request, OW_HTTP_STATUS_BAD_REQUEST, error->message);
        return;
    }
    /* A malformed submission with the id of an accepted job counts as a retry: the core decides. */
    struct ow_event *event = ow_event_new(OW_EVENT_SUBMIT, request->id);
    event->submission = submission;
    event->submission_error = g_steal_pointer(&error);
    g_strlcpy(event->id, id, sizeof event->id);
    ow_shard_manager_push(daemon->manager, event);
}

/* Pushes an event about one job. An invalid job id is answered with `invalid_status`. */
static void push_job_event(struct ow_daemon *daemon, const struct ow_http_request *request, const char *job,
                           enum ow_event_kind kind, enum ow_http_status invalid_status)
{
    if (!wire_job_id_is_valid(job)) {
        answer_error(daemon, request, invalid_status, "not the id of a job");
        return;
    }
    struct ow_event *event = ow_event_new(kind, request->id);
    g_strlcpy(event->id, job, sizeof event->id);
    ow_shard_manager_push(daemon->manager, event);
}

static void handle_poll(struct ow_daemon *daemon, const struct ow_http_request *request, const char *job)
{
    push_job_event(daemon, request, job, OW_EVENT_POLL, OW_HTTP_STATUS_NOT_FOUND);
}

static void handle_cancellation(struct ow_daemon *daemon, const struct ow_http_request *request,
                                const char *job)
{
    push_job_event(daemon, request, job, OW_EVENT_CANCEL, OW_HTTP_STATUS_BAD_REQUEST);
}

static void handle_teams_query(struct ow_daemon *daemon, const struct ow_http_request *request,
                               const char *job)
{
    (void)job;
    ow_shard_manager_push(daemon->manager, ow_event_new(OW_EVENT_TEAMS, request->id));
}

/* Health check of the load balancer: whether to route users to this controller. */
static void answer_health(struct ow_daemon *daemon, const struct ow_http_request *request, const char *job)
{
    (void)job;
    bool is_ready = ow_shard_manager_is_ready(daemon->manager);
    answer(daemon, request->id, is_ready ? OW_HTTP_STATUS_OK : OW_HTTP_STATUS_UNAVAILABLE, g_strdup("{}"));
}

/* Answers operators with the report that `describe` returns, or an error if the fleet is not divided into
   shards. */
static void answer_operators(struct ow_daemon *daemon, const struct ow_http_request *request,
                             char *(*describe)(const struct ow_shard_manager *manager))
{
    if (ow_shard_manager_is_sharded(daemon->manager))
        answer(daemon, request->id, OW_HTTP_STATUS_OK, describe(daemon->manager));
    else
        answer_error(daemon, request, OW_HTTP_STATUS_NOT_FOUND, "the fleet is not divided into shards");
}

static void answer_controllers(struct ow_daemon *daemon, const struct ow_http_request *request,
                               const char *job)
{
    (void)job;
    answer_operators(daemon, request, ow_operator_report_controllers);
}

static void answer_shards(struct ow_daemon *daemon, const struct ow_http_request *request, const char *job)
{
    (void)job;
    answer_operators(daemon, request, ow_operator_report_shards);
}

/* A route; each path supports one method. JOB matches one path segment of up to OW_ID_MAX bytes. */
struct route {
    const char *method;
    const char *path;
    /* Handles a request; `job` is the segment that matched JOB, or empty. */
    void (*handle)(struct ow_daemon *daemon, const struct ow_http_request *request, const char *job);
};

#define JOB "*"

static const struct route routes[] = {
    {"POST", W_PATH_HEARTBEAT, handle_heartbeat},
    {"POST", W_PATH_JOBS, handle_submission},
    {"GET", W_PATH_JOBS "/" JOB, handle_poll},
    {"POST", W_PATH_JOBS "/" JOB "/" W_PATH_CANCEL, handle_cancellation},
    {"GET", W_PATH_TEAMS, handle_teams_query},
    {"GET", W_PATH_HEALTH, answer_health},
    {"GET", W_PATH_CONTROLLERS, answer_controllers},
    {"GET", W_PATH_SHARDS, answer_shards},
};

/* Whether the path matches the route; if so, sets `job` (OW_ID_MAX + 1 bytes). */
static bool path_matches(const struct route *route, const char *path, char *job)
{
    size_t prefix_size = strcspn(route->path, JOB);
    const char *suffix = route->path + prefix_size;
    if (strncmp(path, route->path, prefix_size) != 0)
        return false;
    path += prefix_size;
    size_t job_size = 0;
    if (*suffix != '\0') {
        suffix += strlen(JOB);
        job_size = strcspn(path, "/");
    }
    if (job_size > OW_ID_MAX || strcmp(path + job_size, suffix) != 0)
        return false;
    memcpy(job, path, job_size);
    job[job_size] = '\0';
    return true;
}

void ow_incoming_handle(void *owner, const struct ow_http_request *request)
{
    struct ow_daemon *daemon = owner;
    g_autofree char *path = g_strndup(request->target, strcspn(request->target, "?"));
    for (size_t i = 0; i < G_N_ELEMENTS(routes); i++) {
        char job[OW_ID_MAX + 1];
        if (!path_matches(&routes[i], path, job))
            continue;
        if (strcmp(request->method, routes[i].method) == 0)
            routes[i].handle(daemon, request, job);
        else
            answer_error(daemon, request, OW_HTTP_STATUS_METHOD_NOT_ALLOWED, "method not allowed");
        return;
    }
    answer_error(daemon, request, OW_HTTP_STATUS_NOT_FOUND, "no such path");
}

/* ---- answers of the core ---- */

static void answer_job(struct ow_daemon *daemon, const struct ow_effect *effect)
{
    const struct wire_job_view view = {
        .id = effect->id,
        .state = effect->state,
        .done = effect->done,
        .running = effect->running,
        .reason = effect->reason,
    };
    answer(daemon, effect->request, effect->status, wire_job_view_encode(&view));
}

static void answer_refusal(struct ow_daemon *daemon, const struct ow_effect *effect)
{
    g_autofree char *body = wire_error_encode(effect->error);
    g_autofree char *headers = NULL;
    if (effect->retry_after_s > 0)
        headers = g_strdup_printf("Retry-After: %d\r\n", effect->retry_after_s);
    ow_http_server_answer(daemon->server, effect->request, effect->status, headers, body, strlen(body));
}

void ow_incoming_answer(struct ow_daemon *daemon, const struct ow_effect *effect)
{
    switch (effect->kind) {
    case OW_EFFECT_JOB:
        answer_job(daemon, effect);
        break;
    case OW_EFFECT_TEAMS:
        answer(daemon, effect->request, effect->status, wire_teams_encode(effect->teams));
        break;
    case OW_EFFECT_REFUSE:
        answer_refusal(daemon, effect);
        break;
    case OW_EFFECT_WORKER_COMMANDS:
        answer(daemon, effect->request, OW_HTTP_STATUS_OK,
               wire_worker_commands_encode(effect->fencing_token, effect->commands));
        break;
    case OW_EFFECT_REDIRECT:
        answer(daemon, effect->request, OW_HTTP_STATUS_MISDIRECTED,
               wire_redirect_encode(effect->redirect_to));
        break;
    default:
        break;
    }
}
