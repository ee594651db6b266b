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

/* Counts of the machines that a job with these demands allows; computed once a cycle. */
struct machine_counts {
    struct ow_type_set *types; /* a reference: the job may end within the cycle */
    int zone;
    bool spot;
    uint32_t allowed;
    uint32_t booting;
    uint32_t usable;
};

static void clear_counts(void *item)
{
    struct machine_counts *counts = item;
    ow_type_set_unref(counts->types);
}

GArray *ow_reason_new_machine_counts(void)
{
    GArray *machine_counts = g_array_new(FALSE, FALSE, sizeof(struct machine_counts));
    g_array_set_clear_func(machine_counts, clear_counts);
    return machine_counts;
}

void ow_reason_begin_cycle(struct ow_leader *leader)
{
    g_array_set_size(leader->cycle.machine_counts, 0);
}

static bool applies_to(const struct machine_counts *counts, const struct ow_job_spec *spec)
{
    return counts->zone == spec->zone && counts->spot == spec->submission->spot &&
           ow_type_set_equal(counts->types, spec->types);
}

/* The counts for such jobs, with a reference to their types. */
static struct machine_counts count_machines(const struct ow_leader *leader, const struct ow_job_spec *spec)
{
    struct machine_counts counts = {
        .types = ow_type_set_ref(spec->types), .zone = spec->zone, .spot = spec->submission->spot};
    for (guint i = 0; i < leader->machines->len; i++) {
        const struct ow_machine *machine = g_ptr_array_index(leader->machines, i);
        if (!ow_placement_is_allowed(spec, machine))
            continue;
        counts.allowed++;
        if (machine->liveness.last_message_at == 0 && machine->listed == OW_LISTED_BOOTING)
            counts.booting++;
        if (ow_machine_is_usable(leader, machine))
            counts.usable++;
    }
    return counts;
}

/* The machine counts for such jobs, from the cycle's cache if they have been computed. */
static struct machine_counts find_machine_counts(struct ow_leader *leader, const struct ow_job_spec *spec)
{
    for (guint i = 0; i < leader->cycle.machine_counts->len; i++) {
        const struct machine_counts *counts =
            &g_array_index(leader->cycle.machine_counts, struct machine_counts, i);
        if (applies_to(counts, spec))
            return *counts;
    }
    struct machine_counts counts = count_machines(leader, spec);
    g_array_append_val(leader->cycle.machine_counts, counts);
    return counts;
}

/* Holds are counted up to the size of the gang, because a member may hold several machines. The caller
   frees the reason. */
static char *gang_reason(const struct ow_execution *execution)
{
    uint32_t held = 0;
    if (execution->reservation != NULL)
        held = MIN(execution->reservation->holds->len, execution->count);
    return g_strdup_printf("short of room for all %u tasks at once; holds room for %u and keeps its place",
                           execution->count, held);
}

/* The reason if no machine can take tasks; NULL if some can. The caller frees it. */
static char *machines_reason(const struct machine_counts *counts)
{
    if (counts->allowed == 0)
        return g_strdup("no machine that it allows is rented yet; as many are rented as the cloud gives");
    if (counts->usable == 0 && counts->booting > 0)
        return g_strdup_printf("%u of the %u machines that it allows are booting, and none is up yet",
                               counts->booting, counts->allowed);
    if (counts->usable == 0)
        return g_strdup_printf("none of the %u machines that it allows can take tasks now", counts->allowed);
    return NULL;
}

/* The reason of an array or a service when machines can take tasks but have too little capacity left. The
   caller frees it. */
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

/* The reason of an execution with pending tasks. The caller frees it. */
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
    struct machine_counts counts = find_machine_counts(leader, spec);
    char *reason = machines_reason(&counts);
    if (reason != NULL)
        return reason;
    if (is_gang)
        return gang_reason(execution);
    return capacity_reason(leader, execution, pending, counts.usable);
}

void ow_reason_update(struct ow_leader *leader, struct ow_execution *execution)
{
    uint32_t pending = ow_execution_count_pending(execution);
    g_autofree char *reason = pending > 0 ? waiting_reason(leader, execution, pending) : NULL;
    ow_job_set_reason(execution->job, reason);
}
