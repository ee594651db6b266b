#include "core/leader/leader.h"
#include "core/election/election.h"
#include "core/jobs/attempt.h"
#include "core/jobs/attempt_end.h"
#include "core/jobs/execution.h"
#include "core/jobs/execution_table.h"
#include "core/leader/leader_state.h"
#include "core/machines/fleet.h"
#include "core/machines/instance_offers.h"
#include "core/machines/machine.h"
#include "core/machines/machine_health.h"
#include "core/machines/machine_registry.h"
#include "core/machines/reconciliation.h"
#include "core/machines/scale_out.h"
#include "core/machines/worker_commands.h"
#include "core/peers/leader_broadcast.h"
#include "core/peers/peer_status.h"
#include "core/records/failover.h"
#include "core/records/record_format.h"
#include "core/records/record_values.h"
#include "core/records/record_writer.h"
#include "core/records/recorder.h"
#include "core/scheduling/image_demand.h"
#include "core/scheduling/reason.h"
#include "core/scheduling/schedule.h"
#include "core/scheduling/shortlist.h"
#include "model/cloud.h"
#include "model/effect.h"
#include "model/event.h"
#include "model/records.h"
#include "model/worker.h"
#include "wire/records_json.h"

#include <string.h>

static const double CYCLE_GAP_S = 0.1, CYCLE_INTERVAL_MAX_S = 1, HEALTH_CHECK_INTERVAL_S = 0.5, TYPES_S = 60,
                    TYPES_RETRY_S = 2;
/* So many reports missed by all machines, and a recent message of a peer that it receives theirs. */
static const double LOST_HEARTBEATS = 2.5, LOST_MESSAGE_S = 3;
/* Up to so many machines passes follow each other as soon as CYCLE_GAP_S allows. */
static const double CYCLE_GAP_MACHINES = 1500;
/* After so long without an answer a worker reports to another controller. */
static const double HEARTBEAT_TIMEOUT_S = 4;
/* One machine alone may be at fault itself. */
enum { LOST_LEAST = 2 };
/* The share of the permitted cloud requests that the leader uses. */
static const double CLOUD_SHARE = 0.8;

struct ow_leader *ow_leader_new(struct ow_core *core, uint64_t fencing_token)
{
    struct ow_leader *leader = g_new0(struct ow_leader, 1);
    leader->core = core;
    leader->fencing_token = fencing_token;
    leader->machines_by_name = g_hash_table_new(g_str_hash, g_str_equal);
    leader->machines = g_ptr_array_new_with_free_func(ow_machine_free);
    leader->direct_due = g_ptr_array_new();
    leader->executions = g_ptr_array_new();
    leader->cycle.image_demand = ow_image_demand_new_table();
    leader->cycle.shortlists = ow_shortlists_new();
    leader->cycle.allowances = ow_reason_new_allowances();
    leader->record_values = g_ptr_array_new_with_free_func(ow_record_value_free);
    leader->scale_out.refusals = ow_instance_offers_new_refusals();
    leader->terminations.queued = g_ptr_array_new_with_free_func(g_free);
    leader->terminations.names = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    leader->recorder = ow_recorder_new(leader);
    ow_rate_limiter_init(&leader->cloud.limiter, CLOUD_SHARE * core->settings->cloud_rps,
                         core->settings->cloud_rps, core->now);
    return leader;
}

void ow_leader_free(struct ow_leader *leader)
{
    ow_pending_calls_forget(leader->core->pending_calls, leader);
    ow_failover_free(leader);
    while (leader->executions->len > 0)
        ow_execution_drop(leader, g_ptr_array_index(leader->executions, 0));
    g_ptr_array_free(leader->executions, TRUE);
    g_hash_table_destroy(leader->machines_by_name);
    g_ptr_array_free(leader->machines, TRUE);
    g_ptr_array_free(leader->direct_due, TRUE);
    g_array_free(leader->scale_out.refusals, TRUE);
    g_ptr_array_free(leader->terminations.queued, TRUE);
    g_hash_table_destroy(leader->terminations.names);
    ow_recorder_free(leader->recorder);
    g_ptr_array_free(leader->record_values, TRUE);
    g_array_free(leader->cycle.image_demand, TRUE);
    g_array_free(leader->cycle.shortlists, TRUE);
    g_array_free(leader->cycle.allowances, TRUE);
    g_free(leader->teams.used);
    g_free(leader->teams.demand_guaranteed);
    g_free(leader->teams.is_borrowing);
    g_free(leader->cloud.list_after);
    g_free(leader->failover.after);
    g_free(leader);
}

/* A worker has one report under way at a time, and one that gets no answer turns to the next controller after
   4 s. So a heartbeat that comes sooner after the last one shows that our answer to that one arrived: the
   machine receives our answers, whatever has become of the commands sent to its own address. */
static void note_answers_arrive(struct ow_machine *machine, double now)
{
    if (machine->last_heartbeat_at > 0 && now - machine->last_heartbeat_at < HEARTBEAT_TIMEOUT_S)
        machine->unanswered_since = 0;
}

static uint64_t incarnation_of(const struct ow_leader *leader, const struct ow_heartbeat *heartbeat)
{
    const struct ow_machine *machine = ow_machines_find(leader, heartbeat->machine);
    return machine != NULL ? machine->incarnation : 0;
}

void ow_leader_receive_heartbeat(struct ow_leader *leader, uint64_t request,
                                 const struct ow_heartbeat *heartbeat)
{
    uint64_t incarnation_before = incarnation_of(leader, heartbeat);
    struct ow_effect *effect = ow_effect_new(OW_EFFECT_WORKER_COMMANDS, request);
    GArray *clears = g_array_new(FALSE, FALSE, sizeof(struct ow_worker_command));
    struct ow_machine *machine = ow_reconcile_heartbeat(leader, heartbeat, clears);
    bool is_newest =
        machine != NULL && heartbeat->incarnation == machine->incarnation && heartbeat->seq == machine->seq;
    if (is_newest) {
        if (machine->fenced && heartbeat->incarnation == incarnation_before)
            note_answers_arrive(machine, leader->core->now);
        machine->last_heartbeat_at = leader->core->now;
    }
    /* Until the job table has been read, an answer could keep tasks alive whose cancellation has been
       acknowledged to a user. One without our fencing token renews nothing, and the worker stays. */
    effect->fencing_token = leader->phase == OW_LEADER_REFRESH ? 0 : leader->fencing_token;
    bool current = is_newest && machine->fenced && heartbeat->fencing_token == leader->fencing_token &&
                   leader->phase == OW_LEADER_READY;
    /* Commands go only to the incarnation that they are meant for, and not in answer to a late copy. */
    if (current)
        effect->commands = ow_worker_commands_for(leader, machine, NULL);
    else if (leader->phase != OW_LEADER_REFRESH)
        effect->commands = ow_reconcile_cancelled(leader, heartbeat);
    else
        effect->commands = g_array_new(FALSE, FALSE, sizeof(struct ow_worker_command));
    if (current)
        g_array_append_vals(effect->commands, clears->data, clears->len);
    g_array_free(clears, TRUE);
    ow_core_emit(leader->core, effect);
}

static void count_for_users(struct ow_leader *leader)
{
    for (guint i = 0; i < leader->executions->len; i++) {
        const struct ow_execution *execution = g_ptr_array_index(leader->executions, i);
        execution->job->done = (int)execution->done;
        execution->job->running = (int)execution->running;
    }
}

static void on_types(void *owner, void *data, const struct ow_event *answer)
{
    struct ow_leader *leader = owner;
    (void)data;
    leader->cloud.types_busy = false;
    if (answer->cloud.status != 200 || answer->cloud.types == NULL || answer->cloud.types->len == 0) {
        leader->cloud.types_at = leader->core->now + TYPES_RETRY_S;
        return;
    }
    bool first = leader->cloud.types_at == 0;
    leader->cloud.types_at = leader->core->now + TYPES_S;
    ow_core_set_machine_types(leader->core, answer->cloud.types);
    if (!first)
        return;
    /* For controllers that start while the cloud is down. */
    struct ow_store_request *txn = ow_store_request_new(OW_STORE_TXN, NULL);
    char *record = wire_machine_types_encode(answer->cloud.types);
    if (strlen(record) > leader->core->store_limits.value_bytes)
        g_warning(
            "the machine types don't fit a value: who starts while the cloud is down can't accept jobs");
    ow_store_compare(txn, OW_KEY_LEADER, leader->fencing_token);
    if (strlen(record) <= leader->core->store_limits.value_bytes)
        ow_store_put(txn, OW_KEY_TYPES, g_steal_pointer(&record), 0);
    g_free(record);
    ow_core_call_store(leader->core, txn, NULL, leader, NULL, NULL);
}

static void ask_types(struct ow_leader *leader)
{
    if (leader->cloud.types_busy || leader->core->now < leader->cloud.types_at ||
        !ow_rate_limiter_take(&leader->cloud.limiter, 1, leader->core->now))
        return;
    struct ow_cloud_request *request = g_new0(struct ow_cloud_request, 1);
    request->op = OW_CLOUD_TYPES;
    leader->cloud.types_busy = true;
    ow_core_call_cloud(leader->core, request, on_types, leader, NULL, NULL);
}

/* Whether every worker has fallen silent at once while they report to other controllers: it is this
   controller that is cut off from them, even if it reaches the key-value store. Where they report to none,
   they are gone. */
static bool workers_lost(const struct ow_leader *leader)
{
    double now = leader->core->now;
    double last_message_at = leader->ready_at;
    unsigned expected = 0;
    for (guint i = 0; i < leader->machines->len; i++) {
        const struct ow_machine *machine = g_ptr_array_index(leader->machines, i);
        last_message_at = MAX(last_message_at, machine->last_message_at);
        expected += machine->listed == OW_LISTED_RUNNING && !machine->terminating ? 1 : 0;
    }
    /* Workers of a leader that stands still wait for its answer before they turn to its successor. */
    double heartbeat_interval_s = leader->core->settings->heartbeat_interval_s;
    double patience_s =
        MAX(LOST_HEARTBEATS * heartbeat_interval_s, HEARTBEAT_TIMEOUT_S + heartbeat_interval_s);
    return expected >= LOST_LEAST &&
           ow_peer_status_receives_heartbeats(leader->core->peer_status, now, LOST_MESSAGE_S) &&
           now - last_message_at > patience_s;
}

/* Whether an attempt of a cancelled job is where it can only end: running, on a machine that accepts commands
   of this leader alone. Whatever has yet to begin might do so after the cancellation was acknowledged, for as
   long as its stop is on the way. */
static bool can_only_end(const struct ow_attempt *attempt)
{
    return attempt->stop && attempt->state == OW_ATTEMPT_SEEN && attempt->machine->fenced &&
           (attempt->phase == OW_PHASE_RUNNING || attempt->phase == OW_PHASE_CHECKPOINTING);
}

bool ow_leader_cancel(struct ow_leader *leader, struct ow_job *job)
{
    /* Before it is ready a leader does not know what there is to end. */
    if (leader->phase != OW_LEADER_READY)
        return false;
    ow_leader_request_cycle(leader);
    if (job->execution == NULL)
        return true;
    ow_execution_stop(leader, job->execution, 0, "its job is cancelled");
    for (guint i = 0; i < job->execution->attempts->len; i++)
        if (!can_only_end(g_ptr_array_index(job->execution->attempts, i)))
            return false;
    return true;
}

static bool cycle_is_due(const struct ow_leader *leader)
{
    double now = leader->core->now;
    /* A pass looks at every machine: in a large fleet passes are as much rarer as there are more machines. */
    double gap_s = CYCLE_GAP_S * MAX(1, (double)leader->machines->len / CYCLE_GAP_MACHINES);
    return (leader->cycle.due && now >= leader->cycle.last_at + gap_s) ||
           now >= leader->cycle.last_at + CYCLE_INTERVAL_MAX_S;
}

static void run_cycle(struct ow_leader *leader)
{
    leader->cycle.due = false;
    leader->cycle.last_at = leader->core->now;
    ow_schedule_jobs(leader);
    ow_schedule_cycle(leader);
    count_for_users(leader);
}

void ow_leader_tick(struct ow_leader *leader)
{
    double now = leader->core->now;
    ow_record_format_tick(leader);
    ow_failover_tick(leader);
    ask_types(leader);
    if (leader->phase != OW_LEADER_READY)
        return;
    if (cycle_is_due(leader))
        run_cycle(leader);
    if (now >= leader->periodic.health_check_at) {
        leader->periodic.health_check_at = now + HEALTH_CHECK_INTERVAL_S;
        if (workers_lost(leader)) {
            ow_election_yield(leader->core->election, "no worker is heard any more");
            return;
        }
        ow_machine_health_tick(leader);
    }
    ow_scale_out_tick(leader);
    ow_fleet_send_terminations(leader);
    ow_record_writer_tick(leader);
    ow_worker_commands_send(leader);
    ow_leader_broadcast_tick(leader);
}
