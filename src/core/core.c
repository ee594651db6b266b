#include "core/core.h"

#include "core/api/cancel.h"
#include "core/api/cancellation_ack.h"
#include "core/api/job_cache.h"
#include "core/api/poll.h"
#include "core/api/submit.h"
#include "core/api/team_usage.h"
#include "core/controller.h"
#include "core/election/election.h"
#include "core/leader.h"
#include "core/records/records.h"
#include "core/scheduling/classes.h"
#include "wire/cloud_json.h"

static const double HELLO_S = 1, TYPES_RETRY_S = 1.5, STATE_BAD_S = 2, STATE_RECENT_S = 12,
                    PEER_MESSAGE_S = 4, BUSY_PAUSE_S = 0.05, PROBE_S = 2, WORKER_RECENT_S = 6;
enum { QUEUES = OW_EVENT_SUBMIT + 1, SUBMITS_MOST = 400 };

struct ow_core {
    struct ow_controller controller;
    GQueue queues[QUEUES];
    bool types_busy;
    bool probing;
    double probed_at;
};

/* ---- life ---- */

struct ow_core *ow_core_new(const struct ow_settings *settings, const struct ow_rules *rules, uint64_t nonce)
{
    struct ow_core *core = g_new0(struct ow_core, 1);
    struct ow_controller *controller = &core->controller;
    controller->settings = settings;
    controller->rules = rules;
    controller->nonce = nonce;
    controller->limits = ow_limits_of(settings);
    controller->peer_formats = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    controller->pending_calls = ow_pending_calls_new();
    controller->names = (struct ow_name_tables){ow_names_new(), ow_names_new(), ow_names_new(),
                                                ow_names_new(), ow_names_new()};
    controller->classes = g_array_new(FALSE, FALSE, sizeof(struct ow_class));
    controller->jobs = ow_jobs_new(&controller->names);
    controller->job_cache = ow_job_cache_new(controller);
    controller->election = ow_election_new(controller);
    controller->cancellation_ack = ow_cancellation_ack_new(controller);
    controller->peers_ok = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    controller->machine_hints = ow_peer_machines_new();
    controller->effects = g_ptr_array_new_with_free_func(ow_effect_free);
    for (int i = 0; i < QUEUES; i++)
        g_queue_init(&core->queues[i]);
    return core;
}

void ow_core_free(struct ow_core *core)
{
    struct ow_controller *controller = &core->controller;
    if (controller->leader != NULL)
        ow_leader_free(controller->leader);
    for (int i = 0; i < QUEUES; i++)
        g_queue_clear_full(&core->queues[i], ow_event_free);
    ow_pending_calls_free(controller->pending_calls);
    ow_job_cache_free(controller->job_cache);
    ow_election_free(controller->election);
    ow_cancellation_ack_free(controller->cancellation_ack);
    ow_jobs_free(controller->jobs);
    ow_controller_free_types(controller);
    ow_names_free(controller->names.classes);
    ow_names_free(controller->names.teams);
    ow_names_free(controller->names.images);
    ow_names_free(controller->names.zones);
    ow_names_free(controller->names.types);
    g_array_free(controller->classes, TRUE);
    g_hash_table_destroy(controller->peers_ok);
    g_hash_table_destroy(controller->peer_formats);
    g_array_free(controller->machine_hints, TRUE);
    g_ptr_array_free(controller->effects, TRUE);
    g_free(core);
}

void ow_core_push(struct ow_core *core, struct ow_event *event)
{
    g_queue_push_tail(&core->queues[event->kind], event);
}

/* ---- events ---- */

static void handle_report(struct ow_controller *controller, const struct ow_event *c)
{
    controller->last_worker_report_at = controller->now;
    /* A worker that has seen a higher token obeys another leader: we must not act for it. */
    ow_election_observe_token(controller->election, c->report->token, NULL);
    if (controller->leader != NULL) {
        ow_leader_report(controller->leader, c->request, c->report);
        return;
    }
    struct ow_effect *e = ow_effect_new(OW_EFFECT_MISDIRECT, c->request);
    e->text = g_strdup(ow_election_leader_name(controller->election));
    ow_controller_emit(controller, e);
}

static void handle_store(struct ow_controller *controller, const struct ow_event *c)
{
    int status = c->store.status;
    controller->state_silent = status == 0;
    if (status == 503)
        controller->state_refused_at = controller->now;
    if (status == 0 || status == 503) {
        if (controller->state_bad_since == 0)
            controller->state_bad_since = controller->now;
    } else {
        controller->state_ok_at = controller->now;
        controller->state_bad_since = 0;
    }
    ow_pending_calls_answer(controller->pending_calls, c->request, c);
}

static void handle_summary(struct ow_controller *controller, const struct ow_peer_message *message)
{
    if (controller->leader != NULL)
        return;
    for (guint i = 0; i < message->jobs->len; i++) {
        const struct ow_peer_job *seen = &g_array_index(message->jobs, struct ow_peer_job, i);
        struct ow_job *job = ow_jobs_find(controller->jobs, seen->id);
        if (job == NULL || ow_job_over(job))
            continue;
        job->done = seen->done;
        job->running = seen->running;
        ow_job_set_reason(job, seen->reason != NULL && *seen->reason != '\0' ? seen->reason : NULL);
    }
}

static void handle_peer(struct ow_controller *controller, struct ow_event *c)
{
    struct ow_peer_message *message = c->peer;
    if (message->kind != OW_PEER_LINK_LOST)
        controller->last_peer_message_at = controller->now;
    switch (message->kind) {
    case OW_PEER_HELLO:
        if (message->sender != NULL)
            g_hash_table_replace(controller->peer_formats, g_strdup(message->sender),
                                 GUINT_TO_POINTER(message->version));
        if (message->number > 0)
            ow_election_observe_token(controller->election, message->number,
                                      message->leads ? message->sender : NULL);
        if (message->receives_reports)
            controller->peer_receives_reports_at = controller->now;
        if (message->state_ok && message->sender != NULL) {
            double *at = g_new(double, 1);
            *at = controller->now;
            g_hash_table_replace(controller->peers_ok, g_strdup(message->sender), at);
        }
        break;
    case OW_PEER_SUMMARY:
        handle_summary(controller, message);
        break;
    case OW_PEER_JOB_CHANGED:
        ow_job_cache_hint(controller->job_cache, message->number);
        break;
    case OW_PEER_CANCELLATION:
        ow_cancellation_ack_requested(controller->cancellation_ack, message);
        break;
    case OW_PEER_CANCELLATION_ACK:
        ow_cancellation_ack_received(controller->cancellation_ack, message);
        break;
    case OW_PEER_LINK_LOST:
        ow_election_peer_ended(controller->election, message->sender);
        break;
    case OW_PEER_MACHINES:
        g_array_free(controller->machine_hints, TRUE);
        controller->machine_hints = g_steal_pointer(&message->machines);
        break;
    }
}

static void handle_event(struct ow_controller *controller, struct ow_event *c)
{
    switch (c->kind) {
    case OW_EVENT_REPORT:
        handle_report(controller, c);
        break;
    case OW_EVENT_DIRECT_REPLY:
    case OW_EVENT_CLOUD:
        ow_pending_calls_answer(controller->pending_calls, c->request, c);
        break;
    case OW_EVENT_STORE:
        handle_store(controller, c);
        break;
    case OW_EVENT_PEER:
        handle_peer(controller, c);
        break;
    case OW_EVENT_CANCEL:
        ow_cancel_job(controller, c->request, c->id);
        break;
    case OW_EVENT_POLL:
        ow_poll_job(controller, c->request, c->id);
        break;
    case OW_EVENT_TEAMS:
        ow_team_usage_answer(controller, c->request);
        break;
    case OW_EVENT_SUBMIT:
        if (c->submission != NULL)
            ow_submit_job(controller, c->request, g_steal_pointer(&c->submission));
        else
            ow_submit_malformed(controller, c->request, c->id, c->fault);
        break;
    }
}

/* ---- what is due ---- */

static void send_hello(struct ow_controller *controller)
{
    if (controller->now < controller->hello_at)
        return;
    controller->hello_at = controller->now + HELLO_S;
    struct ow_peer_message *message = ow_peer_message_new(OW_PEER_HELLO);
    message->sender = g_strdup(controller->settings->controller_name);
    message->number = ow_election_token(controller->election);
    message->leads = message->number > 0;
    /* An open watch says nothing: it hangs in an outage as it does in peace. */
    message->state_ok = controller->state_ok_at > 0 && controller->state_bad_since == 0 &&
                        controller->now - controller->state_ok_at < STATE_RECENT_S;
    message->receives_reports = controller->last_worker_report_at > 0 &&
                                controller->now - controller->last_worker_report_at < WORKER_RECENT_S;
    ow_controller_send_to_peers(controller, message);
}

static void on_types(void *owner, void *data, const struct ow_event *answer)
{
    struct ow_core *core = owner;
    (void)data;
    core->types_busy = false;
    if (answer->cloud.status == 200 && answer->cloud.types != NULL)
        ow_controller_set_types(&core->controller, answer->cloud.types);
}

static void on_stored_types(void *owner, void *data, const struct ow_event *answer)
{
    struct ow_core *core = owner;
    (void)data;
    if (answer->store.status != 200 || core->controller.types_known)
        return;
    GArray *types = wire_types_from(g_array_index(answer->store.items, struct ow_store_item, 0).value);
    if (types == NULL)
        return;
    ow_controller_set_types(&core->controller, types);
    g_array_free(types, TRUE);
}

/* Until the machine types are known nothing can be accepted. The cloud may be down: a leader has kept
   what it saw. */
static void ask_types(struct ow_core *core)
{
    struct ow_controller *controller = &core->controller;
    if (controller->types_known || controller->leader != NULL || core->types_busy ||
        controller->now < controller->types_asked_at + TYPES_RETRY_S)
        return;
    struct ow_cloud_request *request = g_new0(struct ow_cloud_request, 1);
    request->op = OW_CLOUD_TYPES;
    controller->types_asked_at = controller->now;
    core->types_busy = true;
    ow_controller_cloud(controller, request, on_types, core, NULL, NULL);
    ow_controller_store(controller, ow_store_request_new(OW_STORE_GET, OW_KEY_TYPES), on_stored_types, core,
                        NULL, NULL);
}

static void on_probe(void *owner, void *data, const struct ow_event *answer)
{
    struct ow_core *core = owner;
    (void)data;
    (void)answer; /* that there is one has been noted by then */
    core->probing = false;
}

/* A controller without requests of its own has open watches alone, and those hang when it is cut off. */
static void probe_state(struct ow_core *core)
{
    struct ow_controller *controller = &core->controller;
    if (core->probing || controller->now < MAX(controller->state_ok_at, core->probed_at) + PROBE_S)
        return;
    core->probing = true;
    core->probed_at = controller->now;
    ow_controller_store(controller, ow_store_request_new(OW_STORE_GET, OW_KEY_LEADER), on_probe, core, NULL,
                        NULL);
}

GPtrArray *ow_core_run(struct ow_core *core, double now, double time_of_day)
{
    struct ow_controller *controller = &core->controller;
    controller->now = now;
    controller->time_of_day = time_of_day;
    for (int i = 0; i < QUEUES; i++) {
        struct ow_event *c;
        while ((c = g_queue_pop_head(&core->queues[i])) != NULL) {
            handle_event(controller, c);
            ow_event_free(c);
        }
    }
    ow_election_tick(controller->election);
    if (controller->leader != NULL)
        ow_leader_tick(controller->leader);
    ow_job_cache_tick(controller->job_cache);
    ow_cancellation_ack_tick(controller->cancellation_ack);
    ask_types(core);
    probe_state(core);
    send_hello(controller);
    GPtrArray *effects = controller->effects;
    controller->effects = g_ptr_array_new_with_free_func(ow_effect_free);
    return effects;
}

double ow_core_idle_seconds(const struct ow_core *core)
{
    (void)core;
    return BUSY_PAUSE_S;
}

static bool peer_heard_recently(const struct ow_controller *controller)
{
    return controller->last_peer_message_at > 0 &&
           controller->now - controller->last_peer_message_at < PEER_MESSAGE_S;
}

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

bool ow_core_healthy(const struct ow_core *core)
{
    const struct ow_controller *controller = &core->controller;
    /* In an outage of the state service every controller is as good as the next, also one that has just
       started: left out by the load balancer it would be missed for seconds after the outage. If it fails for
       this one alone, users are better off elsewhere. */
    bool starting = !ow_job_cache_loaded(controller->job_cache) || !controller->types_known;
    bool blind =
        controller->state_bad_since > 0 && controller->now - controller->state_bad_since > STATE_BAD_S;
    /* In an outage the state service refuses. One that answers nothing at all is out of our reach, and if no
       other controller is in reach either, it is we who are cut off. */
    bool cut_off = blind && controller->state_silent && controller->settings->peers->len > 0 &&
                   !peer_heard_recently(controller);
    return !cut_off && (!(starting || blind) || !peer_state_ok(controller));
}

uint64_t ow_core_token(const struct ow_core *core)
{
    return ow_election_token(core->controller.election);
}
