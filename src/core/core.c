#include "core/core.h"

#include "core/classes.h"
#include "core/confirm.h"
#include "core/door.h"
#include "core/election.h"
#include "core/lead.h"
#include "core/node.h"
#include "core/records.h"
#include "core/replica.h"
#include "wire/cloud_json.h"

static const double HELLO_S = 1, TYPES_RETRY_S = 1.5, STATE_BAD_S = 2, STATE_RECENT_S = 12, PEER_WORD_S = 4,
                    BUSY_PAUSE_S = 0.05, PROBE_S = 2, WORKER_RECENT_S = 6;
enum { QUEUES = OW_COMMAND_SUBMIT + 1, SUBMITS_MOST = 400 };

struct ow_core {
    struct ow_node node;
    GQueue queues[QUEUES];
    bool types_busy;
    bool probing;
    double probed_at;
};

/* ---- life ---- */

struct ow_core *ow_core_new(const struct ow_settings *settings, const struct ow_rules *rules, uint64_t nonce)
{
    struct ow_core *core = g_new0(struct ow_core, 1);
    struct ow_node *node = &core->node;
    node->settings = settings;
    node->rules = rules;
    node->nonce = nonce;
    node->limits = ow_limits_of(settings);
    node->peer_formats = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    node->calls = ow_calls_new();
    node->names = (struct ow_name_tables){ow_names_new(), ow_names_new(), ow_names_new(), ow_names_new(),
                                          ow_names_new()};
    node->classes = g_array_new(FALSE, FALSE, sizeof(struct ow_class));
    node->jobs = ow_jobs_new(&node->names);
    node->replica = ow_replica_new(node);
    node->election = ow_election_new(node);
    node->confirm = ow_confirm_new(node);
    node->peers_ok = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    node->machine_hints = ow_peer_machines_new();
    node->effects = g_ptr_array_new_with_free_func(ow_effect_free);
    for (int i = 0; i < QUEUES; i++)
        g_queue_init(&core->queues[i]);
    return core;
}

void ow_core_free(struct ow_core *core)
{
    struct ow_node *node = &core->node;
    if (node->lead != NULL)
        ow_lead_free(node->lead);
    for (int i = 0; i < QUEUES; i++)
        g_queue_clear_full(&core->queues[i], ow_command_free);
    ow_calls_free(node->calls);
    ow_replica_free(node->replica);
    ow_election_free(node->election);
    ow_confirm_free(node->confirm);
    ow_jobs_free(node->jobs);
    ow_node_free_types(node);
    ow_names_free(node->names.classes);
    ow_names_free(node->names.teams);
    ow_names_free(node->names.images);
    ow_names_free(node->names.zones);
    ow_names_free(node->names.types);
    g_array_free(node->classes, TRUE);
    g_hash_table_destroy(node->peers_ok);
    g_hash_table_destroy(node->peer_formats);
    g_array_free(node->machine_hints, TRUE);
    g_ptr_array_free(node->effects, TRUE);
    g_free(core);
}

void ow_core_push(struct ow_core *core, struct ow_command *command)
{
    g_queue_push_tail(&core->queues[command->kind], command);
}

/* ---- commands ---- */

static void take_report(struct ow_node *node, const struct ow_command *c)
{
    node->worker_heard_at = node->now;
    /* A worker that has seen a higher token obeys another coordinator: we must not act for it. */
    ow_election_saw_token(node->election, c->report->token, NULL);
    if (node->lead != NULL) {
        ow_lead_report(node->lead, c->request, c->report);
        return;
    }
    struct ow_effect *e = ow_effect_new(OW_EFFECT_MISDIRECT, c->request);
    e->text = g_strdup(ow_election_leader(node->election));
    ow_node_emit(node, e);
}

static void take_store(struct ow_node *node, const struct ow_command *c)
{
    int status = c->store.status;
    node->state_silent = status == 0;
    if (status == 503)
        node->state_refused_at = node->now;
    if (status == 0 || status == 503) {
        if (node->state_bad_since == 0)
            node->state_bad_since = node->now;
    } else {
        node->state_ok_at = node->now;
        node->state_bad_since = 0;
    }
    ow_calls_answer(node->calls, c->request, c);
}

static void take_summary(struct ow_node *node, const struct ow_peer_message *message)
{
    if (node->lead != NULL)
        return;
    for (guint i = 0; i < message->jobs->len; i++) {
        const struct ow_peer_job *seen = &g_array_index(message->jobs, struct ow_peer_job, i);
        struct ow_job *job = ow_jobs_find(node->jobs, seen->id);
        if (job == NULL || ow_job_over(job))
            continue;
        job->done = seen->done;
        job->running = seen->running;
        ow_job_set_reason(job, seen->reason != NULL && *seen->reason != '\0' ? seen->reason : NULL);
    }
}

static void take_peer(struct ow_node *node, struct ow_command *c)
{
    struct ow_peer_message *message = c->peer;
    if (message->kind != OW_PEER_LOST)
        node->peer_heard_at = node->now;
    switch (message->kind) {
    case OW_PEER_HELLO:
        if (message->node != NULL)
            g_hash_table_replace(node->peer_formats, g_strdup(message->node),
                                 GUINT_TO_POINTER(message->version));
        if (message->number > 0)
            ow_election_saw_token(node->election, message->number, message->leads ? message->node : NULL);
        if (message->hears_workers)
            node->peer_hears_at = node->now;
        if (message->state_ok && message->node != NULL) {
            double *at = g_new(double, 1);
            *at = node->now;
            g_hash_table_replace(node->peers_ok, g_strdup(message->node), at);
        }
        break;
    case OW_PEER_SUMMARY:
        take_summary(node, message);
        break;
    case OW_PEER_NUDGE:
        ow_replica_hint(node->replica, message->number);
        break;
    case OW_PEER_CANCELLATION:
        ow_confirm_told(node->confirm, message);
        break;
    case OW_PEER_TAKEN:
        ow_confirm_taken(node->confirm, message);
        break;
    case OW_PEER_LOST:
        ow_election_lost(node->election, message->node);
        break;
    case OW_PEER_MACHINES:
        g_array_free(node->machine_hints, TRUE);
        node->machine_hints = g_steal_pointer(&message->machines);
        break;
    }
}

static void take(struct ow_node *node, struct ow_command *c)
{
    switch (c->kind) {
    case OW_COMMAND_REPORT:
        take_report(node, c);
        break;
    case OW_COMMAND_DIRECT_REPLY:
    case OW_COMMAND_CLOUD:
        ow_calls_answer(node->calls, c->request, c);
        break;
    case OW_COMMAND_STORE:
        take_store(node, c);
        break;
    case OW_COMMAND_PEER:
        take_peer(node, c);
        break;
    case OW_COMMAND_WITHDRAW:
        ow_door_withdraw(node, c->request, c->id);
        break;
    case OW_COMMAND_POLL:
        ow_door_poll(node, c->request, c->id);
        break;
    case OW_COMMAND_TEAMS:
        ow_door_teams(node, c->request);
        break;
    case OW_COMMAND_SUBMIT:
        if (c->submission != NULL)
            ow_door_submit(node, c->request, g_steal_pointer(&c->submission));
        else
            ow_door_malformed(node, c->request, c->id, c->fault);
        break;
    }
}

/* ---- what is due ---- */

static void say_hello(struct ow_node *node)
{
    if (node->now < node->hello_at)
        return;
    node->hello_at = node->now + HELLO_S;
    struct ow_peer_message *message = ow_peer_message_new(OW_PEER_HELLO);
    message->node = g_strdup(node->settings->node);
    message->number = ow_election_token(node->election);
    message->leads = message->number > 0;
    /* An open watch says nothing: it hangs in an outage as it does in peace. */
    message->state_ok =
        node->state_ok_at > 0 && node->state_bad_since == 0 && node->now - node->state_ok_at < STATE_RECENT_S;
    message->hears_workers = node->worker_heard_at > 0 && node->now - node->worker_heard_at < WORKER_RECENT_S;
    ow_node_tell_peers(node, message);
}

static void on_types(void *owner, void *data, const struct ow_command *answer)
{
    struct ow_core *core = owner;
    (void)data;
    core->types_busy = false;
    if (answer->cloud.status == 200 && answer->cloud.types != NULL)
        ow_node_set_types(&core->node, answer->cloud.types);
}

static void on_stored_types(void *owner, void *data, const struct ow_command *answer)
{
    struct ow_core *core = owner;
    (void)data;
    if (answer->store.status != 200 || core->node.types_known)
        return;
    GArray *types = wire_types_from(g_array_index(answer->store.items, struct ow_store_item, 0).value);
    if (types == NULL)
        return;
    ow_node_set_types(&core->node, types);
    g_array_free(types, TRUE);
}

/* Until the machine types are known nothing can be accepted. The cloud may be down: a coordinator has kept
   what it saw. */
static void ask_types(struct ow_core *core)
{
    struct ow_node *node = &core->node;
    if (node->types_known || node->lead != NULL || core->types_busy ||
        node->now < node->types_asked_at + TYPES_RETRY_S)
        return;
    struct ow_cloud_request *request = g_new0(struct ow_cloud_request, 1);
    request->op = OW_CLOUD_TYPES;
    node->types_asked_at = node->now;
    core->types_busy = true;
    ow_node_cloud(node, request, on_types, core, NULL, NULL);
    ow_node_store(node, ow_store_request_new(OW_STORE_GET, OW_KEY_TYPES), on_stored_types, core, NULL, NULL);
}

static void on_probe(void *owner, void *data, const struct ow_command *answer)
{
    struct ow_core *core = owner;
    (void)data;
    (void)answer; /* that there is one has been noted by then */
    core->probing = false;
}

/* A controller without requests of its own has open watches alone, and those hang when it is cut off. */
static void probe_state(struct ow_core *core)
{
    struct ow_node *node = &core->node;
    if (core->probing || node->now < MAX(node->state_ok_at, core->probed_at) + PROBE_S)
        return;
    core->probing = true;
    core->probed_at = node->now;
    ow_node_store(node, ow_store_request_new(OW_STORE_GET, OW_KEY_COORDINATOR), on_probe, core, NULL, NULL);
}

GPtrArray *ow_core_run(struct ow_core *core, double now, double time_of_day)
{
    struct ow_node *node = &core->node;
    node->now = now;
    node->time_of_day = time_of_day;
    for (int i = 0; i < QUEUES; i++) {
        struct ow_command *c;
        while ((c = g_queue_pop_head(&core->queues[i])) != NULL) {
            take(node, c);
            ow_command_free(c);
        }
    }
    ow_election_tick(node->election);
    if (node->lead != NULL)
        ow_lead_tick(node->lead);
    ow_replica_tick(node->replica);
    ow_confirm_tick(node->confirm);
    ask_types(core);
    probe_state(core);
    say_hello(node);
    GPtrArray *effects = node->effects;
    node->effects = g_ptr_array_new_with_free_func(ow_effect_free);
    return effects;
}

double ow_core_pause(const struct ow_core *core)
{
    (void)core;
    return BUSY_PAUSE_S;
}

static bool peer_heard(const struct ow_node *node)
{
    return node->peer_heard_at > 0 && node->now - node->peer_heard_at < PEER_WORD_S;
}

static bool peer_state_ok(const struct ow_node *node)
{
    GHashTableIter iter;
    void *at;
    g_hash_table_iter_init(&iter, node->peers_ok);
    while (g_hash_table_iter_next(&iter, NULL, &at))
        if (node->now - *(double *)at < PEER_WORD_S)
            return true;
    return false;
}

bool ow_core_healthy(const struct ow_core *core)
{
    const struct ow_node *node = &core->node;
    /* In an outage of the state service every controller is as good as the next, also one that has just
       started: left out by the load balancer it would be missed for seconds after the outage. If it fails for
       this one alone, users are better off elsewhere. */
    bool starting = !ow_replica_loaded(node->replica) || !node->types_known;
    bool blind = node->state_bad_since > 0 && node->now - node->state_bad_since > STATE_BAD_S;
    /* In an outage the state service refuses. One that answers nothing at all is out of our reach, and if no
       other controller is in reach either, it is we who are cut off. */
    bool cut_off = blind && node->state_silent && node->settings->peers->len > 0 && !peer_heard(node);
    return !cut_off && (!(starting || blind) || !peer_state_ok(node));
}

uint64_t ow_core_token(const struct ow_core *core)
{
    return ow_election_token(core->node.election);
}
