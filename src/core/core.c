#include "core/core.h"

#include "core/api/cancel.h"
#include "core/api/cancellation_ack.h"
#include "core/api/feasibility.h"
#include "core/api/job_cache.h"
#include "core/api/poll.h"
#include "core/api/submit.h"
#include "core/api/team_usage.h"
#include "core/controller.h"
#include "core/election/election.h"
#include "core/health.h"
#include "core/machine_hints.h"
#include "core/leader.h"
#include "core/leader_state.h"
#include "core/machines/machine.h"
#include "core/peer_messages.h"
#include "core/scheduling/classes.h"
#include "core/type_discovery.h"

/* How long the core may rest when nothing comes in. */
static const double IDLE_S = 0.05;
/* Workers report every interval, give or take a quarter. */
static const double SETTLING_REPORTS = 1.25;
/* One queue for each kind of event, worked off in the order of the kinds. */
enum { QUEUES = OW_EVENT_SUBMIT + 1 };

struct ow_core {
    struct ow_controller controller;
    GQueue queues[QUEUES]; /* struct ow_event */
    struct ow_type_discovery type_discovery;
    struct ow_health_probe health_probe;
};

/* ---- life ---- */

struct ow_core *ow_core_new(const struct ow_settings *settings, const struct ow_rules *rules, uint64_t nonce)
{
    struct ow_core *core = g_new0(struct ow_core, 1);
    struct ow_controller *controller = &core->controller;
    controller->settings = settings;
    controller->rules = rules;
    controller->nonce = nonce;
    controller->may_lead = true;
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
    controller->machine_hints = ow_machine_hints_new();
    controller->effects = g_ptr_array_new_with_free_func(ow_effect_free);
    core->type_discovery.controller = controller;
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
    ow_machine_hints_free(controller->machine_hints);
    g_ptr_array_free(controller->effects, TRUE);
    g_free(core);
}

void ow_core_push(struct ow_core *core, struct ow_event *event)
{
    g_queue_push_tail(&core->queues[event->kind], event);
}

/* ---- events ---- */

static void handle_report(struct ow_controller *controller, const struct ow_event *event)
{
    controller->last_worker_report_at = controller->now;
    /* A worker that has seen a higher token obeys another leader: we must not act for it. */
    ow_election_observe_token(controller->election, event->report->token, NULL);
    if (controller->leader != NULL) {
        ow_leader_report(controller->leader, event->request, event->report);
        return;
    }
    struct ow_effect *effect = ow_effect_new(OW_EFFECT_MISDIRECT, event->request);
    effect->text = g_strdup(ow_election_leader_name(controller->election));
    ow_controller_emit(controller, effect);
}

static void handle_submission(struct ow_controller *controller, struct ow_event *event)
{
    if (event->submission != NULL)
        ow_submit_job(controller, event->request, g_steal_pointer(&event->submission));
    else
        ow_submit_malformed(controller, event->request, event->id, event->fault);
}

static void handle_event(struct ow_controller *controller, struct ow_event *event)
{
    switch (event->kind) {
    case OW_EVENT_REPORT:
        handle_report(controller, event);
        break;
    case OW_EVENT_DIRECT_REPLY:
    case OW_EVENT_CLOUD:
        ow_pending_calls_answer(controller->pending_calls, event->request, event);
        break;
    case OW_EVENT_STORE:
        ow_health_note_state_answer(controller, event->store.status);
        ow_pending_calls_answer(controller->pending_calls, event->request, event);
        break;
    case OW_EVENT_PEER:
        ow_peer_messages_handle(controller, event->peer);
        break;
    case OW_EVENT_CANCEL:
        ow_cancel_job(controller, event->request, event->id);
        break;
    case OW_EVENT_POLL:
        ow_poll_job(controller, event->request, event->id);
        break;
    case OW_EVENT_TEAMS:
        ow_team_usage_answer(controller, event->request);
        break;
    case OW_EVENT_SUBMIT:
        handle_submission(controller, event);
        break;
    }
}

static void handle_queue(struct ow_controller *controller, GQueue *queue)
{
    struct ow_event *event;
    while ((event = g_queue_pop_head(queue)) != NULL) {
        handle_event(controller, event);
        ow_event_free(event);
    }
}

/* ---- runs of the core ---- */

static void tick(struct ow_core *core)
{
    struct ow_controller *controller = &core->controller;
    ow_election_tick(controller->election);
    if (controller->leader != NULL)
        ow_leader_tick(controller->leader);
    ow_job_cache_tick(controller->job_cache);
    ow_cancellation_ack_tick(controller->cancellation_ack);
    ow_type_discovery_tick(&core->type_discovery);
    ow_health_probe_state(controller, &core->health_probe);
    ow_peer_messages_send_hello(controller);
}

GPtrArray *ow_core_run(struct ow_core *core, double now, double time_of_day)
{
    struct ow_controller *controller = &core->controller;
    controller->now = now;
    controller->time_of_day = time_of_day;
    for (int i = 0; i < QUEUES; i++)
        handle_queue(controller, &core->queues[i]);
    tick(core);
    GPtrArray *effects = controller->effects;
    controller->effects = g_ptr_array_new_with_free_func(ow_effect_free);
    return effects;
}

/* ---- what the process asks ---- */

double ow_core_idle_seconds(const struct ow_core *core)
{
    (void)core;
    return IDLE_S;
}

bool ow_core_healthy(const struct ow_core *core)
{
    return ow_health_is_good(&core->controller);
}

uint64_t ow_core_token(const struct ow_core *core)
{
    return ow_election_token(core->controller.election);
}

static void count_fenced(const struct ow_leader *leader, struct ow_core_status *status)
{
    for (guint i = 0; i < leader->machines->len; i++) {
        const struct ow_machine *machine = g_ptr_array_index(leader->machines, i);
        if (machine->session == 0)
            continue;
        status->machines++;
        status->fenced += machine->fenced ? 1 : 0;
    }
}

void ow_core_status(const struct ow_core *core, struct ow_core_status *status)
{
    const struct ow_controller *controller = &core->controller;
    const struct ow_leader *leader = controller->leader;
    *status = (struct ow_core_status){
        .leader_name = ow_election_leader_name(controller->election),
        .token = ow_election_token(controller->election),
        .key_missing = ow_election_key_is_missing(controller->election),
    };
    if (leader == NULL)
        return;
    status->records_read = leader->phase == OW_LEADER_READY;
    status->settled = status->records_read &&
                      controller->now - leader->ready_at >= SETTLING_REPORTS * controller->settings->report_s;
    count_fenced(leader, status);
}

void ow_core_set_candidacy(struct ow_core *core, bool may_lead, double delay_s)
{
    core->controller.may_lead = may_lead;
    core->controller.election_delay_s = delay_s;
}

bool ow_core_knows_job(const struct ow_core *core, const char *id)
{
    return ow_jobs_find(core->controller.jobs, id) != NULL;
}

const char *ow_core_infeasible_reason(const struct ow_core *core, const struct ow_submission *submission)
{
    return core->controller.types_known ? ow_infeasible_reason(&core->controller, submission) : NULL;
}

double ow_core_waiting_cpus(const struct ow_core *core)
{
    const GPtrArray *open_jobs = ow_jobs_open(core->controller.jobs);
    double cpus = 0;
    for (guint i = 0; i < open_jobs->len; i++) {
        const struct ow_job *job = g_ptr_array_index(open_jobs, i);
        if (ow_job_over(job) || job->spec == NULL)
            continue;
        const struct ow_submission *submission = job->spec->submission;
        int waiting = (int)submission->tasks - MAX(job->done, 0) - MAX(job->running, 0);
        cpus += submission->need.cpus * MAX(waiting, 0);
    }
    return cpus;
}
