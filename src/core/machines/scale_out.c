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
#include "core/machines/scale_in.h"
#include "core/machines/work_backlog.h"
#include "core/scheduling/deadline.h"
#include "core/scheduling/placement.h"
#include "core/scheduling/price_filter.h"
#include "core/scheduling/queue.h"
#include "model/cloud.h"
#include "model/event.h"
#include "model/http_status.h"
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

/* A provision call in flight. */
struct provision_call {
    int type;
    int zone;
    bool spot;
    unsigned count;
};

struct ow_scale_out {
    double next_at;           /* when the next round is due */
    unsigned request_count;   /* provision requests so far: part of their names */
    unsigned calls_in_flight; /* to provision machines */
};

struct ow_scale_out *ow_scale_out_new(void)
{
    return g_new0(struct ow_scale_out, 1);
}

void ow_scale_out_free(struct ow_scale_out *scale_out)
{
    g_free(scale_out);
}

static void on_provisioned(void *owner, void *data, const struct ow_event *answer)
{
    struct ow_leader *leader = owner;
    const struct provision_call *call = data;
    const char *type = ow_type_sets_name(leader->core->interners.types, call->type);
    const char *zone = ow_interner_text(leader->core->interners.zones, call->zone);
    leader->scale_out->calls_in_flight--;
    leader->scale_out->next_at = leader->core->now; /* plan again with the result of this call */
    if (answer->cloud.status != OW_HTTP_STATUS_OK || answer->cloud.provisioned == NULL ||
        answer->cloud.provisioned[0] == NULL) {
        ow_instance_offers_add_refusal(leader, call->type, call->zone, call->spot);
        g_info("cloud refused to provision machines: type=%s zone=%s kind=%s status=%d machines=%u", type,
               zone, call->spot ? "spot" : "ordinary", answer->cloud.status, call->count);
        return;
    }
    if (g_strv_length(answer->cloud.provisioned) < call->count)
        /* Fewer than requested: the cloud has no more of this kind. */
        ow_instance_offers_add_refusal(leader, call->type, call->zone, call->spot);
    for (char **name = answer->cloud.provisioned; *name != NULL; name++) {
        struct ow_machine *machine = ow_machines_find_or_add(leader, *name);
        ow_machine_describe(leader, machine, NULL, type, zone, call->spot);
        if (machine->listed == OW_LISTED_ABSENT)
            machine->listed = OW_LISTED_BOOTING;
        g_info("machine provisioned: machine=%s type=%s zone=%s kind=%s", *name, type, zone,
               call->spot ? "spot" : "ordinary");
    }
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

static void send_provision_call(struct ow_leader *leader, const struct ow_expected_machine *expected,
                                unsigned count)
{
    struct ow_cloud_request *request = g_new0(struct ow_cloud_request, 1);
    struct provision_call *call = g_new0(struct provision_call, 1);
    *call = (struct provision_call){.type = expected->machine.type,
                                    .zone = expected->machine.zone,
                                    .spot = expected->machine.spot,
                                    .count = count};
    request->op = OW_CLOUD_PROVISION;
    /* The fencing token is unique to this leader, so no other process uses the name for another request. */
    request->name = g_strdup_printf("r-%" G_GUINT64_FORMAT "-%u", leader->fencing_token,
                                    ++leader->scale_out->request_count);
    request->type = g_strdup(ow_type_sets_name(leader->core->interners.types, call->type));
    request->zone = g_strdup(ow_interner_text(leader->core->interners.zones, call->zone));
    request->spot = call->spot;
    request->count = count;
    leader->scale_out->calls_in_flight++;
    ow_core_call_cloud(leader->core, request, on_provisioned, leader, call, g_free);
}

static bool is_same_kind(const struct ow_expected_machine *a, const struct ow_expected_machine *b)
{
    return a->to_provision && b->to_provision && a->machine.type == b->machine.type &&
           a->machine.zone == b->machine.zone && a->machine.spot == b->machine.spot;
}

/* Marks the planned machine at `first` and all later ones of its kind as requested. @return their number */
static unsigned mark_kind_requested(GArray *plan, guint first)
{
    unsigned count = 0;
    const struct ow_expected_machine kind = g_array_index(plan, struct ow_expected_machine, first);
    for (guint i = first; i < plan->len; i++) {
        struct ow_expected_machine *expected = &g_array_index(plan, struct ow_expected_machine, i);
        if (!is_same_kind(&kind, expected))
            continue;
        expected->to_provision = false;
        count++;
    }
    return count;
}

/* Sends one call for each kind, in the order of the plan, within the cloud's rate limit; the remaining
   machines are planned again in a later round. */
static void provision_planned(struct ow_leader *leader, GArray *plan)
{
    for (guint i = 0; i < plan->len; i++) {
        const struct ow_expected_machine *expected = &g_array_index(plan, struct ow_expected_machine, i);
        if (!expected->to_provision)
            continue;
        if (!ow_rate_limiter_take(&leader->cloud_limiter, 1, leader->core->now))
            return;
        send_provision_call(leader, expected, mark_kind_requested(plan, i));
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
    if (leader->scale_out->calls_in_flight > 0 || leader->core->now - leader->ready_at < delay_s)
        return;
    ow_instance_offers_remove_expired(leader);
    g_autoptr(GArray) plan = list_booting_machines(leader);
    g_autoptr(GPtrArray) executions = ow_queue_sorted(leader);
    g_autoptr(ow_work_backlog) backlog = ow_work_backlog_new();
    unsigned limit = PROVISION_BATCH_MAX;
    for (guint i = 0; i < executions->len; i++)
        plan_for_execution(leader, g_ptr_array_index(executions, i), plan, backlog, &limit);
    ow_headroom_plan(leader, plan, &limit);
    provision_planned(leader, plan);
}

void ow_scale_out_tick(struct ow_leader *leader)
{
    double now = leader->core->now;
    ow_fleet_list(leader);
    if (now < leader->scale_out->next_at || !ow_decision_pacing_allows(leader))
        return;
    ow_decision_pacing_note(leader);
    leader->scale_out->next_at = now + SCALING_INTERVAL_S;
    provision_for_waiting_jobs(leader);
    ow_scale_in_tick(leader);
}
