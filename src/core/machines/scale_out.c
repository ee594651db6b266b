#include "core/machines/scale_out.h"

#include "core/jobs/execution.h"
#include "core/jobs/quota.h"
#include "core/leader/decision_pacing.h"
#include "core/leader/leader_state.h"
#include "core/machines/fleet.h"
#include "core/machines/headroom.h"
#include "core/machines/instance_offers.h"
#include "core/machines/machine.h"
#include "core/machines/machine_registry.h"
#include "core/machines/provisioning.h"
#include "core/machines/scale_in.h"
#include "core/machines/work_backlog.h"
#include "core/scheduling/deadline.h"
#include "core/scheduling/placement.h"
#include "core/scheduling/price_filter.h"
#include "core/scheduling/queue.h"
#include "model/cloud.h"
#include "model/resources.h"

#include <math.h>

/* Share of a job's slack that it may spend waiting for the machines that are up or planned. */
static const double WAIT_SLACK_SHARE = 0.75;
/* Limit of machines planned in one round. */
enum { PROVISION_BATCH_MAX = 50 };
/* Interval between rounds of scale-out and scale-in. */
static const double SCALING_INTERVAL_S = 1;
/* A new leader provisions after this delay if every running machine has seen its fencing token. */
static const double PROVISION_DELAY_S = 1;
/* The delay if some running machines have not seen it. */
static const double PROVISION_DELAY_UNFENCED_S = 4;

struct ow_scale_out {
    double next_at; /* when the next round is due */
};

struct ow_scale_out *ow_scale_out_new(void)
{
    return g_new0(struct ow_scale_out, 1);
}

void ow_scale_out_free(struct ow_scale_out *scale_out)
{
    g_free(scale_out);
}

/* The booting machines as struct ow_expected_machine; the caller owns the array. */
static GArray *list_booting_machines(const struct ow_leader *leader)
{
    GArray *expected_machines = g_array_new(FALSE, TRUE, sizeof(struct ow_expected_machine));
    for (guint i = 0; i < leader->machines->len; i++) {
        const struct ow_machine *machine = g_ptr_array_index(leader->machines, i);
        if (machine->liveness.last_message_at != 0 || machine->listed != OW_LISTED_BOOTING ||
            machine->is_terminating)
            continue;
        struct ow_expected_machine expected = {
            .machine = {.type = machine->type, .zone = machine->zone, .spot = machine->spot}};
        g_array_append_val(expected_machines, expected);
    }
    return expected_machines;
}

/* Reserves slots for tasks of the job on a machine of the plan. @return how many, at most `wanted` */
static uint32_t reserve_slots(const struct ow_leader *leader, const struct ow_job_spec *spec,
                              struct ow_expected_machine *expected, uint32_t wanted)
{
    if (!ow_placement_is_allowed(spec, &expected->machine))
        return 0;
    uint32_t slots = MIN(wanted, ow_placement_slots(leader, spec, &expected->machine));
    ow_resources_add(&expected->machine.load.used, &spec->submission->need, slots);
    return slots;
}

/* Whether a job still meets the SLO of its class after a wait of `wait_s` for the machines that are up or
   planned. */
static bool meets_slo_after(struct ow_leader *leader, const struct ow_execution *execution, double wait_s)
{
    if (wait_s == INFINITY)
        return false;
    double waited_s = leader->core->now - execution->accepted_at;
    return wait_s < WAIT_SLACK_SHARE * (ow_deadline_slack_s(leader, execution) - waited_s);
}

static void plan_for_execution(struct ow_leader *leader, const struct ow_execution *execution, GArray *plan,
                               struct ow_work_backlog *backlog, unsigned *limit)
{
    const struct ow_job_spec *spec = execution->job->spec;
    uint32_t wanted = ow_team_count_admitted(leader, spec, ow_execution_count_pending(execution));
    double wait_s = ow_work_backlog_add(backlog, leader, execution, plan);
    if (meets_slo_after(leader, execution, wait_s))
        return;
    enum ow_offer_filter filter = ow_price_filter_applies(leader, execution) ? OW_OFFERS_SPOT : OW_OFFERS_ALL;
    for (guint i = 0; i < plan->len && wanted > 0; i++)
        wanted -= reserve_slots(leader, spec, &g_array_index(plan, struct ow_expected_machine, i), wanted);
    struct ow_expected_machine expected;
    while (wanted > 0 && *limit > 0 &&
           ow_instance_offers_find_cheapest(leader, spec, wait_s, filter, &expected)) {
        uint32_t taken = reserve_slots(leader, spec, &expected, wanted);
        if (taken == 0)
            return;
        wanted -= taken;
        g_debug("machine planned for job: job=%s type=%s wait_s=%.0f", execution->job->id,
                ow_type_sets_name(leader->core->interners.types, expected.machine.type), wait_s);
        g_array_append_val(plan, expected);
        (*limit)--;
    }
}

/* Whether the cloud's list has been read and every running machine has seen this leader's fencing token. */
static bool is_fleet_fenced(const struct ow_leader *leader)
{
    for (guint i = 0; i < leader->machines->len; i++) {
        const struct ow_machine *machine = g_ptr_array_index(leader->machines, i);
        if (machine->listed == OW_LISTED_RUNNING && !machine->liveness.is_fenced)
            return false;
    }
    return ow_fleet_is_listed(leader);
}

static void provision_for_waiting_jobs(struct ow_leader *leader)
{
    double delay_s = is_fleet_fenced(leader) ? PROVISION_DELAY_S : PROVISION_DELAY_UNFENCED_S;
    /* A round needs the results of the previous one, and the first round is delayed until the machines that
       are up have had time to send heartbeats. */
    if (ow_provisioning_is_in_flight(leader) || leader->core->now - leader->ready_at < delay_s)
        return;
    ow_instance_offers_remove_expired(leader);
    g_autoptr(GArray) plan = list_booting_machines(leader);
    g_autoptr(GPtrArray) executions = ow_queue_sorted(leader);
    g_autoptr(ow_work_backlog) backlog = ow_work_backlog_new();
    unsigned limit = PROVISION_BATCH_MAX;
    for (guint i = 0; i < executions->len; i++)
        plan_for_execution(leader, g_ptr_array_index(executions, i), plan, backlog, &limit);
    ow_headroom_plan(leader, plan, &limit);
    ow_provisioning_request(leader, plan);
}

void ow_scale_out_tick(struct ow_leader *leader)
{
    double now = leader->core->now;
    ow_fleet_list(leader);
    if (ow_provisioning_take_answered(leader))
        leader->scale_out->next_at = now;
    if (now < leader->scale_out->next_at || !ow_decision_pacing_allows(leader))
        return;
    ow_decision_pacing_note(leader);
    leader->scale_out->next_at = now + SCALING_INTERVAL_S;
    provision_for_waiting_jobs(leader);
    ow_scale_in_tick(leader);
}
