/* Effects of controllers as text, with bodies encoded as on the wire. */
#include "effect_line.h"

#include "model/cloud.h"
#include "model/effect.h"
#include "model/peer.h"
#include "wire/cloud_json.h"
#include "wire/peer_xdr.h"
#include "wire/store_json.h"
#include "wire/user_json.h"
#include "wire/worker_json.h"

/* Appends a body, which may be NULL, and frees it. */
static void append_body(GString *line, char *body)
{
    if (body != NULL)
        g_string_append_printf(line, " %s", body);
    g_free(body);
}

static void append_answer(GString *line, const struct ow_effect *effect, const char *kind, char *body)
{
    g_string_append_printf(line, "%s %" G_GUINT64_FORMAT " %d", kind, effect->request, effect->status);
    append_body(line, body);
}

static char *job_body(const struct ow_effect *effect)
{
    struct wire_job_view view = {effect->id, effect->state, effect->done, effect->running, effect->reason};
    return wire_job_view_encode(&view);
}

static void append_refusal(GString *line, const struct ow_effect *effect)
{
    append_answer(line, effect, "refusal", wire_error_encode(effect->error));
    if (effect->retry_after_s > 0)
        g_string_append_printf(line, " retry-after %d", effect->retry_after_s);
}

static void append_direct(GString *line, const struct ow_effect *effect)
{
    g_string_append_printf(line, "direct %s", effect->addr);
    append_body(line,
                wire_direct_commands_encode(effect->fencing_token, effect->incarnation, effect->commands));
}

static void append_store_request(GString *line, const struct ow_store_request *request)
{
    g_auto(wire_http_request) http = wire_store_request_encode(request);
    g_string_append_printf(line, "state %s %s", http.method, http.path);
    append_body(line, g_strdup(http.body));
}

static void append_cloud_request(GString *line, const struct ow_cloud_request *request)
{
    g_auto(wire_http_request) http = wire_cloud_request_encode(request);
    g_string_append_printf(line, "cloud %s %s", http.method, http.path);
    append_body(line, g_strdup(http.body));
}

static void append_peer_message(GString *line, struct ow_peer_message *message)
{
    GString *frame = g_string_new(NULL);
    bool encoded = wire_peer_encode(message, frame);
    g_string_append_printf(line, "peer %s %s ", message->addressee != NULL ? message->addressee : "all",
                           encoded ? "sent" : "too-large");
    for (gsize i = 0; i < frame->len; i++)
        g_string_append_printf(line, "%02x", (guint)(guchar)frame->str[i]);
    g_string_free(frame, TRUE);
}

void effect_line_append(GString *line, const struct ow_effect *effect)
{
    switch (effect->kind) {
    case OW_EFFECT_JOB:
        append_answer(line, effect, "job", job_body(effect));
        break;
    case OW_EFFECT_TEAMS:
        append_answer(line, effect, "teams", wire_teams_encode(effect->teams));
        break;
    case OW_EFFECT_REFUSE:
        append_refusal(line, effect);
        break;
    case OW_EFFECT_WORKER_COMMANDS:
        append_answer(line, effect, "commands",
                      wire_worker_commands_encode(effect->fencing_token, effect->commands));
        break;
    case OW_EFFECT_REDIRECT:
        append_answer(line, effect, "misdirected", wire_redirect_encode(effect->redirect_to));
        break;
    case OW_EFFECT_DIRECT_COMMANDS:
        append_direct(line, effect);
        break;
    case OW_EFFECT_STORE:
        append_store_request(line, effect->store);
        break;
    case OW_EFFECT_CLOUD:
        append_cloud_request(line, effect->cloud);
        break;
    case OW_EFFECT_PEER:
        append_peer_message(line, effect->peer);
        break;
    }
}
