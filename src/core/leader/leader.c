#include "core/leader/leader.h"

#include "core/election/election.h"
#include "core/jobs/execution_table.h"
#include "core/jobs/quota.h"
#include "core/leader/cutoff_detection.h"
#include "core/leader/cycle_timer.h"
#include "core/leader/decision_pacing.h"
#include "core/leader/leader_state.h"
#include "core/leader/machine_type_polling.h"
#include "core/machines/command_queue.h"
#include "core/machines/direct_commands.h"
#include "core/machines/fleet.h"
#include "core/machines/instance_offers.h"
#include "core/machines/machine_health.h"
#include "core/machines/machine_registry.h"
#include "core/machines/provisioning.h"
#include "core/machines/scale_out.h"
#include "core/machines/spot_risk.h"
#include "core/peers/leader_broadcast.h"
#include "core/records/failover.h"
#include "core/records/record_format.h"
#include "core/records/record_values.h"
#include "core/records/record_writer.h"
#include "core/records/recorder.h"
#include "core/scheduling/image_demand.h"
#include "core/scheduling/reason.h"
#include "core/scheduling/shortlist.h"

/* How often the health of machines, and of the leader itself, is checked. */
static const double HEALTH_CHECK_INTERVAL_S = 0.5;
/* The share of the permitted cloud requests that the leader uses. */
static const double CLOUD_REQUEST_SHARE = 0.8;

struct ow_leader *ow_leader_new(struct ow_core *core, uint64_t fencing_token)
{
    struct ow_leader *leader = g_new0(struct ow_leader, 1);
    leader->core = core;
    leader->fencing_token = fencing_token;
    leader->machines_by_name = g_hash_table_new(g_str_hash, g_str_equal);
    leader->machines = g_ptr_array_new_with_free_func(ow_machine_free);
    leader->command_queue = ow_command_queue_new();
    leader->executions = g_ptr_array_new();
    leader->cycle.image_demand = ow_image_demand_new_table();
    leader->cycle.shortlists = ow_shortlists_new();
    leader->cycle.machine_counts = ow_reason_new_machine_counts();
    leader->record_values = g_ptr_array_new_with_free_func(ow_record_value_free);
    leader->fleet = ow_fleet_new();
    leader->scale_out = ow_scale_out_new();
    leader->provisioning = ow_provisioning_new();
    leader->offer_refusals = ow_instance_offers_new_refusals();
    leader->spot_risk = ow_spot_risk_new();
    leader->failover = ow_failover_new();
    leader->record_format = ow_record_format_new();
    leader->recorder = ow_recorder_new(leader);
    leader->machine_type_polling = ow_machine_type_polling_new();
    leader->broadcast = ow_leader_broadcast_new();
    leader->quota = ow_quota_new();
    ow_rate_limiter_init(&leader->cloud_limiter, CLOUD_REQUEST_SHARE * core->settings->cloud_rps,
                         core->settings->cloud_rps, core->now);
    return leader;
}

void ow_leader_free(struct ow_leader *leader)
{
    ow_pending_calls_forget(leader->core->pending_calls, leader);
    while (leader->executions->len > 0)
        ow_execution_drop(leader, g_ptr_array_index(leader->executions, 0));
    g_ptr_array_free(leader->executions, TRUE);
    g_hash_table_destroy(leader->machines_by_name);
    g_ptr_array_free(leader->machines, TRUE);
    ow_command_queue_free(leader->command_queue);
    ow_fleet_free(leader->fleet);
    ow_scale_out_free(leader->scale_out);
    ow_provisioning_free(leader->provisioning);
    g_array_free(leader->offer_refusals, TRUE);
    ow_spot_risk_free(leader->spot_risk);
    ow_failover_free(leader->failover);
    ow_record_format_free(leader->record_format);
    ow_recorder_free(leader->recorder);
    g_ptr_array_free(leader->record_values, TRUE);
    g_array_free(leader->cycle.image_demand, TRUE);
    g_array_free(leader->cycle.shortlists, TRUE);
    g_array_free(leader->cycle.machine_counts, TRUE);
    ow_machine_type_polling_free(leader->machine_type_polling);
    ow_leader_broadcast_free(leader->broadcast);
    ow_quota_free(leader->quota);
    g_free(leader);
}

/* Checks the health of the leader and its machines when that is due. Returns false if the leader has stepped
   down, and has been freed, because it is cut off. */
static bool check_health(struct ow_leader *leader)
{
    double now = leader->core->now;
    if (now < leader->health_check_at)
        return true;
    leader->health_check_at = now + HEALTH_CHECK_INTERVAL_S;
    if (ow_cutoff_detection_is_cut_off(leader)) {
        ow_election_yield(leader->core->election, "no worker reaches this leader");
        return false;
    }
    ow_machine_health_tick(leader);
    return true;
}

void ow_leader_tick(struct ow_leader *leader)
{
    ow_record_format_tick(leader);
    ow_failover_tick(leader);
    ow_machine_type_polling_tick(leader);
    if (leader->phase != OW_LEADER_READY)
        return;
    ow_decision_pacing_tick(leader);
    ow_cycle_timer_tick(leader);
    if (!check_health(leader))
        return;
    ow_scale_out_tick(leader);
    ow_fleet_send_terminations(leader);
    ow_record_writer_tick(leader);
    ow_direct_commands_send(leader);
    ow_leader_broadcast_tick(leader);
}
