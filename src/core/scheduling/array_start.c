#include "core/scheduling/array_start.h"

#include "core/jobs/execution.h"
#include "core/jobs/quota.h"
#include "core/leader/leader_state.h"
#include "core/machines/machine.h"
#include "core/machines/machine_images.h"
#include "core/machines/machine_registry.h"
#include "core/scheduling/bind.h"
#include "core/scheduling/candidates.h"
#include "core/scheduling/classes.h"
#include "core/scheduling/deadline.h"
#include "core/scheduling/image_demand.h"
#include "core/scheduling/placement.h"
#include "core/scheduling/quota_reclaim.h"
#include "model/cloud.h"

/* The share of the slack for which tasks may wait for a machine with their image if a fetch takes longer
   than a run. */
static const double IMAGE_WAIT_SHARE = 0.9;
/* A fetch of at most this long is never worth waiting for. */
static const double SHORT_FETCH_S = 10;
/* One wait counts as clearly longer than another if it takes at least this many times as long. */
static const double LONGER_WAIT_FACTOR = 2;
/* Result of longest_wait_for_local_images_s() if no other work of the class waits for an image of the
   machine. */
static const double NO_WAITING_WORK_S = -1;

/* State of starting an array's tasks in one scheduling cycle. */
struct array_start {
    struct ow_execution *execution;
    uint64_t attempt; /* attempt number of the tasks started */
    uint32_t wanted;  /* tasks to start */
    uint32_t placed;  /* tasks started so far */
    int only_zone;    /* OW_NO_NAME: any */
    double work_s;    /* work that waits for the image: pending tasks times run time */
    double slots;     /* slots on machines that have the image or fetch it */
};

/* The longest that other work of the class would wait for one of the images that the machine has already;
   NO_WAITING_WORK_S if there is no such work. */
static double longest_wait_for_local_images_s(struct ow_leader *leader, const struct ow_job_spec *spec,
                                              const struct ow_machine *machine)
{
    double longest_s = NO_WAITING_WORK_S;
    for (guint i = 0; i < machine->load.images->len; i++) {
        const struct ow_image_copy *copy = &g_array_index(machine->load.images, struct ow_image_copy, i);
        const struct ow_image_demand *demand = ow_image_demand_of(leader, copy->image);
        if (!copy->present || copy->image == spec->image)
            continue;
        if (demand->spec == NULL || demand->spec->class_index != spec->class_index || demand->slots <= 0)
            continue;
        longest_s = MAX(longest_s, demand->work_s / demand->slots);
    }
    return longest_s;
}

/* Whether to leave out a machine without the image: the machines that have it will complete the waiting
   work within `wait_s`, sooner than this one could fetch the image, and the SLOs of the class allow the
   wait. */
static bool should_wait_for_image(struct ow_leader *leader, const struct array_start *start,
                                  const struct ow_machine *machine)
{
    if (start->slots <= 0)
        return false;
    const struct ow_execution *execution = start->execution;
    const struct ow_job_spec *spec = execution->job->spec;
    double wait_s = start->work_s / start->slots;
    double fetch_s = ow_machine_image_fetch_s(leader, machine, spec);
    bool starves = execution->is_starving && start->placed == 0;
    /* Capacity for which other work is stopped must be taken; otherwise that work would be placed there
       again, and be stopped again. */
    if (fetch_s <= SHORT_FETCH_S || starves || ow_quota_may_reclaim(leader, execution))
        return false;
    /* Even if the job is late, a fetch that takes twice as long as the remaining work is useless. */
    if (LONGER_WAIT_FACTOR * wait_s < fetch_s)
        return true;
    double waited_s = leader->core->now - execution->accepted_at + wait_s;
    double slack_s = ow_deadline_slack_s(leader, execution);
    if (wait_s < fetch_s && waited_s < slack_s)
        return true;
    /* A fetch that takes longer than a run of the task is made only if the SLOs require it, ... */
    if (fetch_s <= ow_class_run_time_s(leader->core, spec))
        return false;
    if (waited_s < IMAGE_WAIT_SHARE * slack_s)
        return true;
    /* ... and not if it takes the machine from work that waits as long for an image that is on it. */
    double others_wait_s = longest_wait_for_local_images_s(leader, spec, machine);
    return others_wait_s >= 0 && wait_s < LONGER_WAIT_FACTOR * MAX(fetch_s, others_wait_s);
}

static void start_on(struct ow_leader *leader, struct array_start *start,
                     const struct ow_candidate *candidate)
{
    struct ow_execution *execution = start->execution;
    uint32_t slots = MIN(candidate->slots, ow_placement_zone_admits(execution, candidate->machine->zone));
    for (; slots > 0 && start->placed < start->wanted; slots--) {
        uint32_t task = ow_bind_next_pending_task(execution);
        ow_bind_task(leader, execution, task, start->attempt, candidate->machine);
        start->placed++;
    }
}

static void start_if_worthwhile(struct ow_leader *leader, struct array_start *start,
                                const struct ow_candidate *candidate)
{
    const struct ow_machine *machine = candidate->machine;
    const struct ow_job_spec *spec = start->execution->job->spec;
    if (start->only_zone != OW_NO_NAME && machine->zone != start->only_zone)
        return;
    if (ow_machine_image_find(machine, spec->image) == NULL) {
        if (should_wait_for_image(leader, start, machine))
            return;
        const struct ow_machine_type *type = ow_machine_type_of(leader, machine);
        start->slots += ow_placement_slots_on_empty(type, &spec->submission->need);
    }
    start_on(leader, start, candidate);
}

void ow_array_start(struct ow_leader *leader, struct ow_execution *execution)
{
    const struct ow_job_spec *spec = execution->job->spec;
    uint32_t wanted = ow_team_count_admitted(leader, spec, ow_execution_count_pending(execution));
    if (wanted == 0)
        return;
    g_autoptr(GArray) candidates = ow_candidates_find(leader, execution);
    const struct ow_image_demand *demand = ow_image_demand_of(leader, spec->image);
    struct array_start start = {
        .execution = execution,
        .attempt = ow_execution_next_attempt(execution),
        .wanted = wanted,
        .only_zone = spec->submission->one_zone ? ow_candidates_best_zone(execution, candidates) : OW_NO_NAME,
        .work_s = demand->work_s,
        .slots = demand->slots,
    };
    for (guint i = 0; i < candidates->len && start.placed < wanted; i++)
        start_if_worthwhile(leader, &start, &g_array_index(candidates, struct ow_candidate, i));
    if (start.placed > 0)
        g_info("tasks placed: job=%s tasks=%u", execution->job->id, start.placed);
}
