/* Renting for work that waits. */
#include "core/machines/scale_out.h"
#include "core/jobs/attempt.h"
#include "core/jobs/execution.h"
#include "core/jobs/quota.h"
#include "core/leader/leader_state.h"
#include "core/machines/fleet.h"
#include "core/machines/headroom.h"
#include "core/machines/instance_offers.h"
#include "core/machines/machine.h"
#include "core/machines/machine_registry.h"
#include "core/machines/scale_in.h"
#include "core/scheduling/classes.h"
#include "core/scheduling/deadline.h"
#include "core/scheduling/placement.h"
#include "core/scheduling/price_filter.h"
#include "core/scheduling/queue.h"
#include "model/cloud.h"
#include "model/event.h"
#include "model/resources.h"

#include <math.h>

/* The share of a class's slack that may be spent on waiting for machines that are there. */
static const double PATIENCE = 0.75;
enum { PROVISION_BATCH_MAX = 50 };
/* How long a new leader waits before it rents: once every running machine has reported to it, and before. */
static const double SETTLED_S = 1, UNSETTLED_S = 4;

struct provision_call {
    int type, zone;
    bool spot;
    unsigned count;
};

struct ow_scale_out {
    double next_at; /* when it is considered next */
    unsigned count; /* of provision requests, which gives names to the machines */
    unsigned calls; /* under way */
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
    const char *type = ow_interner_text(leader->core->interners.types, call->type);
    const char *zone = ow_interner_text(leader->core->interners.zones, call->zone);
    leader->scale_out->calls--;
    leader->scale_out->next_at = leader->core->now; /* plan again with what this one has shown */
    if (answer->cloud.status != 200 || answer->cloud.provisioned == NULL ||
        answer->cloud.provisioned[0] == NULL) {
        ow_instance_offers_refuse(leader, call->type, call->zone, call->spot);
        g_info("cloud refused to provision machines: type=%s zone=%s kind=%s status=%d machines=%u", type,
               zone, call->spot ? "spot" : "ordinary", answer->cloud.status, call->count);
        return;
    }
    if (g_strv_length(answer->cloud.provisioned) < call->count)
        ow_instance_offers_refuse(leader, call->type, call->zone, call->spot); /* these were the last */
    for (char **name = answer->cloud.provisioned; *name != NULL; name++) {
        struct ow_machine *machine = ow_machines_find_or_add(leader, *name);
        ow_machine_describe(leader, machine, NULL, type, zone, call->spot);
        if (machine->listed == OW_LISTED_NOT)
            machine->listed = OW_LISTED_BOOTING;
        g_info("machine provisioned: machine=%s type=%s zone=%s kind=%s", *name, type, zone,
               call->spot ? "spot" : "ordinary");
    }
}

static GArray *coming_up(const struct ow_leader *leader)
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

static uint32_t take_room(const struct ow_leader *leader, const struct ow_job_spec *spec,
                          struct ow_expected_machine *expected, uint32_t wanted)
{
    if (!ow_placement_is_allowed(spec, &expected->machine))
        return 0;
    uint32_t slots = MIN(wanted, ow_placement_slots(leader, spec, &expected->machine));
    ow_resources_add(&expected->machine.used, &spec->submission->need, slots);
    return slots;
}

/* What the machines that are up have for jobs with such demands: computed once a round of planning. */
struct supply {
    uint64_t types;
    int zone;
    bool spot, gpu;
    double there;
};

/* Work that waits, and what is there to do it, in the scarcer of GPUs and CPUs. */
struct backlog {
    double gpu_s, cpu_s;
    GArray *supplies; /* struct supply */
};

/* What a machine has for such work, in the same measure. */
static double room_for(const struct ow_leader *leader, const struct ow_job_spec *spec,
                       const struct ow_machine *machine)
{
    const struct ow_machine_type *type = ow_machine_type_of(leader, machine);
    if (type == NULL || !ow_placement_is_allowed(spec, machine))
        return 0;
    if (spec->submission->need.gpus <= 0)
        return MAX(0, type->size.cpus - type->size.gpus * leader->cycle.gpu_cpus);
    double cpus = type->size.cpus;
    for (guint i = 0; machine->attempts != NULL && i < machine->attempts->len; i++) {
        const struct ow_attempt *attempt = g_ptr_array_index(machine->attempts, i);
        if (attempt->job->spec->submission->need.gpus <= 0)
            cpus -= attempt->job->spec->submission->need.cpus;
    }
    if (leader->cycle.gpu_cpus <= 0)
        return type->size.gpus;
    return MIN(type->size.gpus, MAX(0, cpus) / leader->cycle.gpu_cpus);
}

static double supply_for(const struct ow_leader *leader, const struct ow_job_spec *spec, GArray *supplies)
{
    struct supply supply = {spec->types, spec->zone, spec->submission->spot, spec->submission->need.gpus > 0,
                            0};
    for (guint i = 0; i < supplies->len; i++) {
        const struct supply *known = &g_array_index(supplies, struct supply, i);
        if (known->types == supply.types && known->zone == supply.zone && known->spot == supply.spot &&
            known->gpu == supply.gpu)
            return known->there;
    }
    for (guint i = 0; i < leader->machines->len; i++) {
        const struct ow_machine *machine = g_ptr_array_index(leader->machines, i);
        if (ow_machine_is_usable(leader, machine))
            supply.there += room_for(leader, spec, machine);
    }
    g_array_append_val(supplies, supply);
    return supply.there;
}

static double capacity(const struct ow_leader *leader, const struct ow_job_spec *spec, const GArray *plan,
                       GArray *supplies)
{
    double sum = supply_for(leader, spec, supplies);
    for (guint i = 0; i < plan->len; i++)
        sum += room_for(leader, spec, &g_array_index(plan, struct ow_expected_machine, i).machine);
    return sum;
}

/* Whether the machines that are there or coming get to the job in time for the aims of its class. */
static bool in_time(struct ow_leader *leader, const struct ow_execution *execution, const GArray *plan,
                    struct backlog *ahead, double *waits_out)
{
    const struct ow_job_spec *spec = execution->job->spec;
    const struct ow_resources *need = &spec->submission->need;
    bool gpu = need->gpus > 0;
    double run_time_s = ow_class_run_time_s(leader->core, spec);
    double *work = gpu ? &ahead->gpu_s : &ahead->cpu_s;
    *work += ow_execution_count_pending(execution) * (gpu ? need->gpus : need->cpus) * run_time_s;
    double there = capacity(leader, spec, plan, ahead->supplies);
    *waits_out = INFINITY;
    /* A service's replicas free no place for one another, and none of them may wait. */
    if (there <= 0 || ow_execution_is_service(execution))
        return false;
    /* Until the first of the places there is free, and then the work ahead. */
    double waits = (*work + run_time_s * (gpu ? need->gpus : need->cpus)) / there;
    *waits_out = waits;
    double slack = ow_deadline_slack_s(leader, execution) - (leader->core->now - execution->accepted_at);
    return waits < PATIENCE * slack;
}

static void plan_for(struct ow_leader *leader, const struct ow_execution *execution, GArray *plan,
                     struct backlog *ahead, unsigned *most)
{
    const struct ow_job_spec *spec = execution->job->spec;
    uint32_t wanted = ow_team_count_admitted(leader, spec, ow_execution_count_pending(execution));
    double waits;
    if (in_time(leader, execution, plan, ahead, &waits))
        return;
    bool cheap = ow_price_filter_applies(leader, execution);
    for (guint i = 0; i < plan->len && wanted > 0; i++)
        wanted -= take_room(leader, spec, &g_array_index(plan, struct ow_expected_machine, i), wanted);
    struct ow_expected_machine expected;
    while (wanted > 0 && *most > 0 && ow_instance_offers_best(leader, spec, waits, false, cheap, &expected)) {
        uint32_t taken = take_room(leader, spec, &expected, wanted);
        if (taken == 0)
            return;
        wanted -= taken;
        g_debug("machine planned for job: job=%s type=%s wait_s=%.0f", execution->job->id,
                ow_interner_text(leader->core->interners.types, expected.machine.type), waits);
        g_array_append_val(plan, expected);
        (*most)--;
    }
}

static void rent(struct ow_leader *leader, const struct ow_expected_machine *expected, unsigned count)
{
    struct ow_cloud_request *request = g_new0(struct ow_cloud_request, 1);
    struct provision_call *call = g_new0(struct provision_call, 1);
    *call = (struct provision_call){expected->machine.type, expected->machine.zone, expected->machine.spot,
                                    count};
    request->op = OW_CLOUD_PROVISION;
    /* The fencing token is ours alone, so no other process ever uses the same name for another request. */
    request->name =
        g_strdup_printf("r-%" G_GUINT64_FORMAT "-%u", leader->fencing_token, ++leader->scale_out->count);
    request->type = g_strdup(ow_interner_text(leader->core->interners.types, call->type));
    request->zone = g_strdup(ow_interner_text(leader->core->interners.zones, call->zone));
    request->spot = call->spot;
    request->count = count;
    leader->scale_out->calls++;
    ow_core_call_cloud(leader->core, request, on_provisioned, leader, call, g_free);
}

static bool same_kind(const struct ow_expected_machine *a, const struct ow_expected_machine *b)
{
    return a->to_provision && b->to_provision && a->machine.type == b->machine.type &&
           a->machine.zone == b->machine.zone && a->machine.spot == b->machine.spot;
}

static void provision_planned(struct ow_leader *leader, GArray *plan)
{
    for (guint i = 0; i < plan->len; i++) {
        struct ow_expected_machine *expected = &g_array_index(plan, struct ow_expected_machine, i);
        unsigned count = 0;
        if (!expected->to_provision)
            continue;
        for (guint k = i; k < plan->len; k++)
            count += same_kind(expected, &g_array_index(plan, struct ow_expected_machine, k)) ? 1 : 0;
        if (!ow_rate_limiter_take(&leader->cloud_limiter, 1, leader->core->now))
            return;
        rent(leader, expected, count);
        for (guint k = plan->len; k > i; k--)
            if (k - 1 != i && same_kind(expected, &g_array_index(plan, struct ow_expected_machine, k - 1)))
                g_array_index(plan, struct ow_expected_machine, k - 1).to_provision = false;
    }
}

static bool all_sent_heartbeats(const struct ow_leader *leader)
{
    for (guint i = 0; i < leader->machines->len; i++) {
        const struct ow_machine *machine = g_ptr_array_index(leader->machines, i);
        if (machine->listed == OW_LISTED_RUNNING && !machine->liveness.is_fenced)
            return false;
    }
    return ow_fleet_is_listed(leader);
}

static void provision_for_waiting(struct ow_leader *leader)
{
    double settling_s = all_sent_heartbeats(leader) ? SETTLED_S : UNSETTLED_S;
    /* One round at a time: a second plan must see what the first has brought. And none before the machines
       that are there had time to report. */
    if (leader->scale_out->calls > 0 || leader->core->now - leader->ready_at < settling_s)
        return;
    ow_instance_offers_forget_old(leader);
    GArray *plan = coming_up(leader);
    GPtrArray *executions = ow_queue_sorted(leader);
    struct backlog ahead = {.supplies = g_array_new(FALSE, FALSE, sizeof(struct supply))};
    unsigned most = PROVISION_BATCH_MAX;
    for (guint i = 0; i < executions->len; i++)
        plan_for(leader, g_ptr_array_index(executions, i), plan, &ahead, &most);
    g_ptr_array_free(executions, TRUE);
    g_array_free(ahead.supplies, TRUE);
    ow_headroom_plan(leader, plan, &most);
    provision_planned(leader, plan);
    g_array_free(plan, TRUE);
}

void ow_scale_out_tick(struct ow_leader *leader)
{
    double now = leader->core->now;
    ow_fleet_list(leader);
    if (now < leader->scale_out->next_at)
        return;
    leader->scale_out->next_at = now + 1;
    provision_for_waiting(leader);
    ow_scale_in_tick(leader);
}
