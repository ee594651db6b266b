#include "core/core.h"

#include "core/api/cancel.h"
#include "core/api/cancellation_ack.h"
#include "core/api/feasibility.h"
#include "core/api/poll.h"
#include "core/api/submit.h"
#include "core/api/team_usage.h"
#include "core/core_state.h"
#include "core/election/election.h"
#include "core/jobs/job_cache.h"
#include "core/leader/heartbeat_answer.h"
#include "core/leader/leader.h"
#include "core/leader/leader_status.h"
#include "core/machine_types.h"
#include "core/peers/hello.h"
#include "core/peers/machine_hints.h"
#include "core/peers/peer_messages.h"
#include "core/peers/peer_status.h"
#include "core/readiness.h"
#include "core/scheduling/classes.h"
#include "core/status_log.h"
#include "core/store_health.h"
#include "core/type_discovery.h"
#include "model/effect.h"
#include "model/event.h"
#include "model/submission.h"

/* Maximum time between two steps when no event arrives. */
static const double STEP_INTERVAL_MAX_S = 0.05;

/* ---- callbacks of the election ---- */

static void start_leading(struct ow_core *core, uint64_t fencing_token)
{
    core->leader = ow_leader_new(core, fencing_token);
}

static void stop_leading(struct ow_core *core)
{
    ow_leader_free(core->leader);
    core->leader = NULL;
}

static const struct ow_election_callbacks election_callbacks = {
    .start_leading = start_leading,
    .stop_leading = stop_leading,
};

/* ---- creation and destruction ---- */

static struct ow_interners new_interners(void)
{
    return (struct ow_interners){
        .classes = ow_interner_new(),
        .teams = ow_interner_new(),
        .images = ow_interner_new(),
        .zones = ow_interner_new(),
        .types = ow_type_sets_new(),
    };
}

static void free_interners(struct ow_interners *interners)
{
    ow_interner_free(interners->classes);
    ow_interner_free(interners->teams);
    ow_interner_free(interners->images);
    ow_interner_free(interners->zones);
    ow_type_sets_free(interners->types);
}

struct ow_core *ow_core_new(const struct ow_settings *settings, const struct ow_tuning *tuning,
                            uint64_t nonce)
{
    struct ow_core *core = g_new0(struct ow_core, 1);
    core->settings = settings;
    core->tuning = tuning;
    core->nonce = nonce;
    core->store_limits = ow_store_limits_from_settings(settings);
    core->pending_calls = ow_pending_calls_new();
    core->interners = new_interners();
    core->classes = ow_classes_new();
    core->jobs = ow_jobs_new(&core->interners);
    core->job_cache = ow_job_cache_new(core);
    core->election = ow_election_new(core, &election_callbacks);
    core->cancellation_ack = ow_cancellation_ack_new(core);
    core->store_health = ow_store_health_new(core);
    core->peer_status = ow_peer_status_new();
    core->machine_hints = ow_machine_hints_new();
    core->effects = g_ptr_array_new_with_free_func(ow_effect_free);
    core->type_discovery = ow_type_discovery_new(core);
    core->machine_types = ow_machine_types_new(core->interners.types);
    core->hello = ow_hello_new(core);
    for (int i = 0; i < OW_EVENT_QUEUES; i++)
        g_queue_init(&core->queues[i]);
    return core;
}

void ow_core_free(struct ow_core *core)
{
    if (core->leader != NULL)
        ow_leader_free(core->leader);
    for (int i = 0; i < OW_EVENT_QUEUES; i++)
        g_queue_clear_full(&core->queues[i], ow_event_free);
    ow_pending_calls_free(core->pending_calls);
    ow_job_cache_free(core->job_cache);
    ow_election_free(core->election);
    ow_cancellation_ack_free(core->cancellation_ack);
    ow_jobs_free(core->jobs);
    ow_machine_types_free(core->machine_types);
    ow_hello_free(core->hello);
    g_array_free(core->classes, TRUE);
    free_interners(&core->interners);
    ow_store_health_free(core->store_health);
    ow_peer_status_free(core->peer_status);
    ow_type_discovery_free(core->type_discovery);
    ow_machine_hints_free(core->machine_hints);
    g_ptr_array_free(core->effects, TRUE);
    g_free(core);
}

void ow_core_push(struct ow_core *core, struct ow_event *event)
{
    g_queue_push_tail(&core->queues[event->kind], event);
}

/* ---- events ---- */

static void handle_heartbeat(struct ow_core *core, const struct ow_event *event)
{
    ow_hello_note_worker_heartbeat(core->hello);
    /* A worker that has seen a higher fencing token obeys another leader: if this controller leads, its term
       ends here. */
    ow_election_observe_fencing_token(core->election, event->heartbeat->fencing_token, NULL);
    if (core->leader != NULL) {
        ow_heartbeat_answer(core->leader, event->request, event->heartbeat);
        return;
    }
    struct ow_effect *effect = ow_effect_new(OW_EFFECT_REDIRECT, event->request);
    effect->redirect_to = g_strdup(ow_election_leader_name(core->election));
    ow_core_emit(core, effect);
}

static void handle_submission(struct ow_core *core, struct ow_event *event)
{
    if (event->submission != NULL)
        ow_submit_job(core, event->request, g_steal_pointer(&event->submission));
    else
        ow_submit_malformed(core, event->request, event->id, event->submission_error->message);
}

static void handle_event(struct ow_core *core, struct ow_event *event)
{
    switch (event->kind) {
    case OW_EVENT_HEARTBEAT:
        handle_heartbeat(core, event);
        break;
    case OW_EVENT_DIRECT_REPLY:
    case OW_EVENT_CLOUD:
        ow_pending_calls_answer(core->pending_calls, event->request, event);
        break;
    case OW_EVENT_STORE:
        ow_store_health_note_reply(core->store_health, &event->store);
        ow_pending_calls_answer(core->pending_calls, event->request, event);
        break;
    case OW_EVENT_PEER:
        ow_peer_messages_handle(core, event->peer);
        break;
    case OW_EVENT_CANCEL:
        ow_cancel_job(core, event->request, event->id);
        break;
    case OW_EVENT_POLL:
        ow_poll_job(core, event->request, event->id);
        break;
    case OW_EVENT_TEAMS:
        ow_team_usage_answer(core, event->request);
        break;
    case OW_EVENT_SUBMIT:
        handle_submission(core, event);
        break;
    }
}

static void handle_queue(struct ow_core *core, GQueue *queue)
{
    struct ow_event *event;
    while ((event = g_queue_pop_head(queue)) != NULL) {
        handle_event(core, event);
        ow_event_free(event);
    }
}

/* ---- steps ---- */

static void tick(struct ow_core *core)
{
    ow_election_tick(core->election);
    if (core->leader != NULL)
        ow_leader_tick(core->leader);
    ow_job_cache_tick(core->job_cache);
    ow_cancellation_ack_tick(core->cancellation_ack);
    ow_type_discovery_tick(core->type_discovery);
    ow_store_health_probe(core->store_health);
    ow_hello_tick(core->hello);
    ow_status_log_tick(core);
}

void ow_core_set_overload(struct ow_core *core, double last_step_s)
{
    core->overload_step_s = last_step_s;
}

GPtrArray *ow_core_step(struct ow_core *core, double now, double time_of_day)
{
    core->now = now;
    core->time_of_day = time_of_day;
    for (int i = 0; i < OW_EVENT_QUEUES; i++)
        handle_queue(core, &core->queues[i]);
    tick(core);
    GPtrArray *effects = core->effects;
    core->effects = g_ptr_array_new_with_free_func(ow_effect_free);
    return effects;
}

/* ---- queries of the shard manager ---- */

double ow_core_idle_seconds(const struct ow_core *core)
{
    (void)core;
    return STEP_INTERVAL_MAX_S;
}

bool ow_core_is_ready(const struct ow_core *core)
{
    return ow_readiness_is_ready(core);
}

uint64_t ow_core_fencing_token(const struct ow_core *core)
{
    return ow_election_fencing_token(core->election);
}

unsigned ow_core_invariant_violations(const struct ow_core *core)
{
    return core->invariant_violations;
}

void ow_core_status(const struct ow_core *core, struct ow_core_status *status)
{
    *status = (struct ow_core_status){
        .leader_name = ow_election_leader_name(core->election),
        .fencing_token = ow_election_fencing_token(core->election),
        .key_missing = ow_election_key_is_missing(core->election),
    };
    if (core->leader == NULL)
        return;
    struct ow_leader_status leader_status = ow_leader_status_of(core->leader);
    status->records_read = leader_status.is_ready;
    status->settled = leader_status.has_settled;
    status->machines = leader_status.machines;
    status->fenced = leader_status.fenced_machines;
}

void ow_core_set_candidacy(struct ow_core *core, bool may_lead, double delay_s)
{
    ow_election_set_candidacy(core->election, may_lead, delay_s);
}

bool ow_core_knows_job(const struct ow_core *core, const char *id)
{
    return ow_jobs_find(core->jobs, id) != NULL;
}

const char *ow_core_infeasible_reason(const struct ow_core *core, const struct ow_submission *submission)
{
    return ow_machine_types_are_known(core->machine_types) ? ow_infeasible_reason(core, submission) : NULL;
}

double ow_core_waiting_cpus(const struct ow_core *core)
{
    return ow_jobs_waiting_cpus(core->jobs);
}
