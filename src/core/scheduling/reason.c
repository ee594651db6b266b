#include "core/scheduling/reason.h"

#include "core/jobs/execution.h"
#include "core/jobs/quota.h"
#include "core/leader/leader_state.h"
#include "core/machines/machine.h"
#include "core/machines/machine_registry.h"
#include "core/scheduling/placement.h"
#include "core/scheduling/price_filter.h"
#include "core/scheduling/reservation.h"
#include "model/cloud.h"
#include "model/submission.h"

/* How many machines jobs with such demands allow, as counted once a cycle. */
struct allowance {
    uint64_t types;
    int zone;
    bool spot;
    uint32_t allowed;
    uint32_t booting;
    uint32_t usable;
};

GArray *ow_reason_new_machine_counts(void)
{
    return g_array_new(FALSE, FALSE, sizeof(struct allowance));
}

void ow_reason_begin_cycle(struct ow_leader *leader)
{
    g_array_set_size(leader->cycle.machine_counts, 0);
}

static bool is_for(const struct allowance *allowance, const struct ow_job_spec *spec)
{
    return allowance->types == spec->types && allowance->zone == spec->zone &&
           allowance->spot == spec->submission->spot;
}

static struct allowance count_machines(const struct ow_leader *leader, const struct ow_job_spec *spec)
{
    struct allowance count = {.types = spec->types, .zone = spec->zone, .spot = spec->submission->spot};
    for (guint i = 0; i < leader->machines->len; i++) {
        const struct ow_machine *machine = g_ptr_array_index(leader->machines, i);
        if (!ow_placement_is_allowed(spec, machine))
            continue;
        count.allowed++;
        if (machine->liveness.last_message_at == 0 && machine->listed == OW_LISTED_BOOTING)
            count.booting++;
        if (ow_machine_is_usable(leader, machine))
            count.usable++;
    }
    return count;
}

/* How many machines such jobs allow, from the cycle's cache if it has been counted. */
static struct allowance find_allowance(struct ow_leader *leader, const struct ow_job_spec *spec)
{
    for (guint i = 0; i < leader->cycle.machine_counts->len; i++) {
        const struct allowance *allowance = &g_array_index(leader->cycle.machine_counts, struct allowance, i);
        if (is_for(allowance, spec))
            return *allowance;
    }
    struct allowance count = count_machines(leader, spec);
    g_array_append_val(leader->cycle.machine_counts, count);
    return count;
}

/* A gang's holds are counted up to its size: members may hold several machines. */
static char *gang_reason(const struct ow_execution *execution)
{
    uint32_t held = 0;
    if (execution->reservation != NULL)
        held = MIN(execution->reservation->holds->len, execution->count);
    return g_strdup_printf("short of room for all %u tasks at once; holds room for %u and keeps its place",
                           execution->count, held);
}

/* The reason that lies in the machines; NULL: some can take tasks now. The caller frees it. */
static char *machines_reason(const struct allowance *allowance)
{
    if (allowance->allowed == 0)
        return g_strdup("no machine that it allows is rented yet; as many are rented as the cloud gives");
    if (allowance->usable == 0 && allowance->booting > 0)
        return g_strdup_printf("%u of the %u machines that it allows are booting, and none is up yet",
                               allowance->booting, allowance->allowed);
    if (allowance->usable == 0)
        return g_strdup_printf("none of the %u machines that it allows can take tasks now",
                               allowance->allowed);
    return NULL;
}

/* The reason of an array or a service for which no machine has capacity left. The caller frees it. */
static char *capacity_reason(const struct ow_leader *leader, const struct ow_execution *execution,
                             uint32_t pending, uint32_t usable)
{
    if (ow_execution_is_service(execution))
        return g_strdup_printf("%u of %u replicas wait for room on %u machines", pending, execution->count,
                               usable);
    if (ow_price_filter_applies(leader, execution))
        return g_strdup_printf("%u tasks wait for room on cheap machines; before long they go on any",
                               pending);
    return g_strdup_printf("%u tasks wait for room on %u machines, behind earlier or more urgent work",
                           pending, usable);
}

/* The reason of an execution with waiting tasks; the caller frees it. */
static char *waiting_reason(struct ow_leader *leader, const struct ow_execution *execution, uint32_t pending)
{
    const struct ow_job_spec *spec = execution->job->spec;
    bool is_gang = ow_submission_is_gang(spec->submission);
    uint32_t wanted = is_gang ? execution->count : 1;
    if (execution->ready_at > leader->core->now)
        return g_strdup("paused after failures; it is tried again soon");
    if (is_gang && execution->attempts->len > 0)
        return g_strdup("waits until every task of its last attempt is proven gone");
    if (ow_team_count_admitted(leader, spec, wanted) < wanted)
        return g_strdup_printf("team %s is at its limit", spec->submission->team);
    struct allowance allowance = find_allowance(leader, spec);
    char *reason = machines_reason(&allowance);
    if (reason != NULL)
        return reason;
    if (is_gang)
        return gang_reason(execution);
    return capacity_reason(leader, execution, pending, allowance.usable);
}

void ow_reason_update(struct ow_leader *leader, struct ow_execution *execution)
{
    uint32_t pending = ow_execution_count_pending(execution);
    g_autofree char *reason = pending > 0 ? waiting_reason(leader, execution, pending) : NULL;
    ow_job_set_reason(execution->job, reason);
}
