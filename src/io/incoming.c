/* Requests of users and workers: each becomes an event for the core, or is answered at once when it can't be
 * read; and the core's answers to them. */
#include "io/daemon_state.h"

#include "model/effect.h"
#include "model/event.h"
#include "model/submission.h"
#include "model/worker.h"
#include "wire/sharding_json.h"
#include "wire/user_json.h"
#include "wire/words.h"
#include "wire/worker_json.h"

#include <string.h>

/* ---- requests ---- */

/* Takes over `body`. */
static void answer(struct ow_daemon *daemon, uint64_t id, int status, const char *headers, char *body)
{
    ow_http_server_answer(daemon->server, id, status, headers, body, strlen(body));
    g_free(body);
}

static void answer_error(struct ow_daemon *daemon, uint64_t id, int status, const char *text)
{
    answer(daemon, id, status, NULL, wire_error_encode(text));
}

static void take_submission(struct ow_daemon *daemon, const struct ow_http_request *request)
{
    const char *fault = NULL;
    char id[OW_ID_MAX + 1];
    struct ow_submission *submission = wire_submission_decode(request->body, request->body_size, id, &fault);
    if (submission == NULL && *id == '\0') {
        answer_error(daemon, request->id, OW_HTTP_STATUS_BAD_REQUEST, fault);
        return;
    }
    /* With the id of a job that was accepted it is a repeat, whatever else it says. */
    struct ow_event *event = ow_event_new(OW_EVENT_SUBMIT, request->id);
    event->submission = submission;
    event->fault = fault;
    g_strlcpy(event->id, id, sizeof event->id);
    ow_shard_manager_push(daemon->manager, event);
}

static void take_heartbeat(struct ow_daemon *daemon, const struct ow_http_request *request)
{
    struct ow_heartbeat *heartbeat = wire_heartbeat_decode(request->body, request->body_size);
    if (heartbeat == NULL) {
        answer_error(daemon, request->id, OW_HTTP_STATUS_BAD_REQUEST, "not a report");
        return;
    }
    struct ow_event *event = ow_event_new(OW_EVENT_HEARTBEAT, request->id);
    event->heartbeat = heartbeat;
    ow_shard_manager_push(daemon->manager, event);
}

static void take_job_request(struct ow_daemon *daemon, const struct ow_http_request *request,
                             const char *rest)
{
    const char *slash = strchr(rest, '/');
    char *id = slash != NULL ? g_strndup(rest, (gsize)(slash - rest)) : g_strdup(rest);
    bool cancel = slash != NULL && strcmp(slash + 1, W_PATH_CANCEL) == 0;
    if ((slash != NULL && !cancel) || strlen(id) > OW_ID_MAX) {
        answer_error(daemon, request->id, OW_HTTP_STATUS_NOT_FOUND, "no such path");
    } else if (strcmp(request->method, cancel ? "POST" : "GET") != 0) {
        answer_error(daemon, request->id, OW_HTTP_STATUS_METHOD_NOT_ALLOWED, "method not allowed");
    } else if (!wire_job_id_valid(id)) {
        answer_error(daemon, request->id, cancel ? OW_HTTP_STATUS_BAD_REQUEST : OW_HTTP_STATUS_NOT_FOUND,
                     "not the id of a job");
    } else {
        struct ow_event *event = ow_event_new(cancel ? OW_EVENT_CANCEL : OW_EVENT_POLL, request->id);
        g_strlcpy(event->id, id, sizeof event->id);
        ow_shard_manager_push(daemon->manager, event);
    }
    g_free(id);
}

static bool method_is(struct ow_daemon *daemon, const struct ow_http_request *request, const char *method)
{
    if (strcmp(request->method, method) == 0)
        return true;
    answer_error(daemon, request->id, OW_HTTP_STATUS_METHOD_NOT_ALLOWED, "method not allowed");
    return false;
}

/* What operators ask of a fleet that is divided into shards. */
static void answer_operators(struct ow_daemon *daemon, const struct ow_http_request *request, bool shards)
{
    if (!ow_shard_manager_is_enabled(daemon->manager)) {
        answer_error(daemon, request->id, OW_HTTP_STATUS_NOT_FOUND, "the fleet is not divided into shards");
        return;
    }
    char *body = shards ? wire_shards(daemon->manager) : wire_controllers(daemon->manager);
    answer(daemon, request->id, OW_HTTP_STATUS_OK, NULL, body);
}

void ow_incoming_handle(void *owner, const struct ow_http_request *request)
{
    struct ow_daemon *daemon = owner;
    char *path = g_strndup(request->target, strcspn(request->target, "?"));
    if (strcmp(path, W_PATH_HEARTBEAT) == 0) {
        if (method_is(daemon, request, "POST"))
            take_heartbeat(daemon, request);
    } else if (strcmp(path, W_PATH_JOBS) == 0) {
        if (method_is(daemon, request, "POST"))
            take_submission(daemon, request);
    } else if (g_str_has_prefix(path, W_PATH_JOBS "/")) {
        take_job_request(daemon, request, path + strlen(W_PATH_JOBS "/"));
    } else if (strcmp(path, W_PATH_HEALTH) == 0) {
        if (method_is(daemon, request, "GET"))
            answer(daemon, request->id,
                   ow_shard_manager_is_ready(daemon->manager) ? OW_HTTP_STATUS_OK
                                                              : OW_HTTP_STATUS_UNAVAILABLE,
                   NULL, g_strdup("{}"));
    } else if (strcmp(path, W_PATH_TEAMS) == 0) {
        if (method_is(daemon, request, "GET"))
            ow_shard_manager_push(daemon->manager, ow_event_new(OW_EVENT_TEAMS, request->id));
    } else if (strcmp(path, W_PATH_CONTROLLERS) == 0 || strcmp(path, W_PATH_SHARDS) == 0) {
        if (method_is(daemon, request, "GET"))
            answer_operators(daemon, request, strcmp(path, W_PATH_SHARDS) == 0);
    } else {
        answer_error(daemon, request->id, OW_HTTP_STATUS_NOT_FOUND, "no such path");
    }
    g_free(path);
}

/* ---- answers ---- */

static void answer_job(struct ow_daemon *daemon, const struct ow_effect *effect)
{
    struct wire_job_view view = {effect->id, effect->state, effect->done, effect->running, effect->text};
    answer(daemon, effect->request, effect->status, NULL, wire_job_view_encode(&view));
}

static void answer_refusal(struct ow_daemon *daemon, const struct ow_effect *effect)
{
    char *headers =
        effect->retry_after_s > 0 ? g_strdup_printf("Retry-After: %d\r\n", effect->retry_after_s) : NULL;
    answer(daemon, effect->request, effect->status, headers, wire_error_encode(effect->text));
    g_free(headers);
}

void ow_incoming_answer(struct ow_daemon *daemon, const struct ow_effect *effect)
{
    switch (effect->kind) {
    case OW_EFFECT_JOB:
        answer_job(daemon, effect);
        break;
    case OW_EFFECT_TEAMS:
        answer(daemon, effect->request, effect->status, NULL, wire_teams_encode(effect->teams));
        break;
    case OW_EFFECT_REFUSE:
        answer_refusal(daemon, effect);
        break;
    case OW_EFFECT_WORKER_COMMANDS:
        answer(daemon, effect->request, OW_HTTP_STATUS_OK, NULL,
               wire_worker_commands_encode(effect->fencing_token, effect->commands));
        break;
    case OW_EFFECT_MISDIRECT:
        answer(daemon, effect->request, OW_HTTP_STATUS_MISDIRECTED, NULL, wire_redirect_encode(effect->text));
        break;
    default:
        break;
    }
}
