/* Moving replicas of services. */
#include "core/scheduling/service_moves.h"

#include "core/jobs/attempt.h"
#include "core/jobs/attempt_end.h"
#include "core/jobs/execution.h"
#include "core/leader/leader_state.h"
#include "core/machines/machine.h"
#include "core/machines/machine_registry.h"
#include "core/scheduling/placement.h"
#include "core/scheduling/replica_spread.h"
#include "model/cloud.h"
#include "model/resources.h"
#include "model/worker.h"

/* Replicas of one service that are moved at a time. */
enum { MOVES_MOST = 1 };
/* How long a move takes: a stop, its report, a launch. */
static const double MOVE_S = 2;
/* A replica is stopped at the latest so long before its machine goes. */
static const double LAST_MOVE_S = 4;
/* Replicas are separated only in a service that has lost none for so long, ... */
static const double CALM_S = 60;
/* ... and that is considered so often. */
static const double SEPARATE_S = 5;

/* A machine that has lost its lease is taken to report again within the time of so many reports. */
static const double RETURN_HEARTBEATS = 2;

static bool is_serving(const struct ow_attempt *attempt)
{
    return attempt->state == OW_ATTEMPT_SEEN && attempt->phase == OW_PHASE_RUNNING && !attempt->stop;
}

/* How many of the service's replicas are missed now. */
static uint32_t not_serving(const struct ow_execution *execution)
{
    uint32_t serving = 0;
    for (guint i = 0; i < execution->attempts->len; i++) {
        if (is_serving(g_ptr_array_index(execution->attempts, i)))
            serving++;
    }
    return execution->count - serving;
}

static bool has_attempt_on(const struct ow_execution *execution, const struct ow_machine *machine)
{
    for (guint i = 0; i < machine->attempts->len; i++) {
        const struct ow_attempt *attempt = g_ptr_array_index(machine->attempts, i);
        if (attempt->job == execution->job)
            return true;
    }
    return false;
}

/* Whether the machine has the image, and not only a fetch of it under way. */
static bool has_image(const struct ow_machine *machine, int image)
{
    const struct ow_image_copy *copy = ow_machine_image(machine, image);
    return copy != NULL && copy->present;
}

/* Whether a replica of the service could start on the machine at once, apart from the others. */
static bool is_place_for(struct ow_leader *leader, const struct ow_execution *execution,
                         const struct ow_machine *machine)
{
    const struct ow_job_spec *spec = execution->job->spec;
    return has_image(machine, spec->image) && ow_placement_is_permitted(leader, execution, machine) &&
           ow_placement_slots(leader, spec, machine) > 0 && !has_attempt_on(execution, machine);
}

/* A machine where a replica could start at once, apart from the others of its service and outside a zone
   (OW_NO_NAME: in any); NULL: none has capacity and the image. */
static struct ow_machine *find_place(struct ow_leader *leader, const struct ow_execution *execution,
                                     int not_in_zone)
{
    for (guint i = 0; i < leader->machines->len; i++) {
        struct ow_machine *machine = g_ptr_array_index(leader->machines, i);
        if (machine->zone != not_in_zone && is_place_for(leader, execution, machine))
            return machine;
    }
    return NULL;
}

/* The capacity is held for the rest of the tick: two replicas must not count on the same place. */
static void move_to(struct ow_leader *leader, struct ow_attempt *attempt, struct ow_machine *place,
                    const char *why)
{
    ow_resources_add(&place->held, &attempt->job->spec->submission->need, 1);
    ow_attempt_stop(leader, attempt, 0, why);
}

static bool is_movable(const struct ow_attempt *attempt)
{
    return ow_execution_is_service(attempt->job->execution) && !attempt->stop && !ow_job_over(attempt->job);
}

/* A machine whose reports no longer arrive although it answers commands: its lease is not renewed, so its
   worker is about to end all tasks. One that answers nothing is none of these, for no stop would reach it. */
static bool loses_its_lease(const struct ow_leader *leader, const struct ow_machine *machine)
{
    return machine->fenced && machine->unanswered_since == 0 && ow_machine_heard_recently(leader, machine) &&
           ow_machine_is_silent(leader, machine);
}

/* When tasks on the machine will be gone: the cloud takes it back, or its lease runs out. 0: not as far as is
   known. */
static double leaves_at(const struct ow_leader *leader, const struct ow_machine *machine)
{
    if (machine->reclaim_at > 0)
        return machine->reclaim_at;
    if (!loses_its_lease(leader, machine))
        return 0;
    /* This leader may never have had a heartbeat of it: then there is no time that could be counted on. */
    double since = machine->last_heartbeat_at;
    return since > 0 ? since + leader->core->settings->lease_s : leader->core->now;
}

/* The service's replicas on machines that are about to go. */
static uint32_t leaving(const struct ow_leader *leader, const struct ow_execution *execution)
{
    uint32_t count = 0;
    for (guint i = 0; i < execution->attempts->len; i++) {
        const struct ow_attempt *attempt = g_ptr_array_index(execution->attempts, i);
        if (!attempt->stop && leaves_at(leader, attempt->machine) > 0)
            count++;
    }
    return count;
}

/* Whether the service can do without one more replica for a moment: one at a time is missed, unless the
   machines that are about to go leave no time for that. */
static bool may_miss_one_more(const struct ow_leader *leader, const struct ow_execution *execution,
                              double left_s)
{
    return not_serving(execution) < MOVES_MOST || leaving(leader, execution) * MOVE_S > left_s - LAST_MOVE_S;
}

/* Whether a replica is stopped at the last moment although it has to wait for its image elsewhere. One whose
   machine is taken back is, for the proof that it is gone would take far longer. A machine that only lost its
   lease may soon report again, with the image: a long fetch would be the longer outage. */
static bool is_worth_a_fetch(const struct ow_leader *leader, const struct ow_attempt *attempt)
{
    const struct ow_machine *machine = attempt->machine;
    const struct ow_machine_type *type = ow_machine_type_of(leader, machine);
    if (machine->reclaim_at > 0)
        return true;
    if (type == NULL || type->fetch_gb_per_s <= 0)
        return false;
    double fetch_s = attempt->job->spec->submission->image_gb / type->fetch_gb_per_s;
    return fetch_s < RETURN_HEARTBEATS * leader->core->settings->heartbeat_interval_s;
}

/* With its image elsewhere a replica is moved as soon as its service can do without it. Where no machine with
   the image has capacity, it serves as long as it may. */
static void move_off_leaving(struct ow_leader *leader, struct ow_machine *machine)
{
    double left = leaves_at(leader, machine) - leader->core->now;
    for (guint i = machine->attempts->len; i > 0; i--) {
        if (i > machine->attempts->len)
            continue;
        struct ow_attempt *attempt = g_ptr_array_index(machine->attempts, i - 1);
        if (!is_movable(attempt))
            continue;
        struct ow_machine *place = find_place(leader, attempt->job->execution, OW_NO_NAME);
        if (place != NULL && may_miss_one_more(leader, attempt->job->execution, left))
            move_to(leader, attempt, place, "its machine is about to go; it moves");
        else if (left < LAST_MOVE_S && is_worth_a_fetch(leader, attempt))
            ow_attempt_stop(leader, attempt, 0, "its machine is about to go, and no other one has its image");
    }
}

static bool has_only_replicas(const struct ow_machine *machine)
{
    for (guint i = 0; i < machine->attempts->len; i++) {
        const struct ow_attempt *attempt = g_ptr_array_index(machine->attempts, i);
        if (!ow_execution_is_service(attempt->job->execution))
            return false;
    }
    return true;
}

/* A machine that fails tasks is returned once it is empty, which replicas that happen to run on it would put
   off for ever. They serve, so they move only where they are hardly missed. */
static void move_off_faulty(struct ow_leader *leader, struct ow_machine *machine)
{
    if (!has_only_replicas(machine) || !ow_machine_heard_recently(leader, machine))
        return;
    for (guint i = machine->attempts->len; i > 0; i--) {
        if (i > machine->attempts->len)
            continue;
        struct ow_attempt *attempt = g_ptr_array_index(machine->attempts, i - 1);
        if (!is_movable(attempt) || not_serving(attempt->job->execution) >= MOVES_MOST)
            continue;
        struct ow_machine *place = find_place(leader, attempt->job->execution, OW_NO_NAME);
        if (place != NULL)
            move_to(leader, attempt, place, "its machine is faulty; it moves");
    }
}

/* A replica whose loss would come together with another one's: on one machine with it, or in the only zone
   that the service has left; that zone is returned, too. NULL: there is none. */
static struct ow_attempt *crowded(const struct ow_execution *execution, int *not_in_zone)
{
    const struct ow_job_spec *spec = execution->job->spec;
    struct ow_replica_spread spread = ow_replica_spread_of(execution);
    struct ow_attempt *found = NULL;
    *not_in_zone = OW_NO_NAME;
    for (guint i = 0; i < execution->attempts->len && found == NULL; i++) {
        struct ow_attempt *attempt = g_ptr_array_index(execution->attempts, i);
        if (ow_replica_spread_on_machine(&spread, attempt->machine) > 1)
            found = attempt;
    }
    bool one_zone = execution->attempts->len > 1 && ow_replica_spread_zones(&spread) == 1;
    if (found == NULL && one_zone && !spec->submission->one_zone && spec->zone == OW_NO_NAME) {
        found = g_ptr_array_index(execution->attempts, 0);
        *not_in_zone = found->machine->zone;
    }
    ow_replica_spread_clear(&spread);
    return found;
}

static bool has_been_calm(const struct ow_leader *leader, const struct ow_execution *execution)
{
    for (guint i = 0; i < execution->attempts->len; i++) {
        const struct ow_attempt *attempt = g_ptr_array_index(execution->attempts, i);
        if (leader->core->now - attempt->placed_at < CALM_S)
            return false;
    }
    return leader->core->now - leader->ready_at >= CALM_S && not_serving(execution) == 0;
}

/* Where capacity was short, replicas may have been placed together: one at a time they are separated again.
 */
static void separate(struct ow_leader *leader, struct ow_execution *execution)
{
    int not_in_zone;
    if (!ow_execution_is_service(execution) || ow_job_over(execution->job) ||
        leader->core->now < execution->separate_at)
        return;
    execution->separate_at = leader->core->now + SEPARATE_S;
    if (!has_been_calm(leader, execution))
        return;
    struct ow_attempt *attempt = crowded(execution, &not_in_zone);
    if (attempt == NULL)
        return;
    struct ow_machine *place = find_place(leader, execution, not_in_zone);
    if (place != NULL)
        move_to(leader, attempt, place, "it stands together with others of its service; it moves");
}

void ow_service_moves_tick(struct ow_leader *leader)
{
    for (guint i = 0; i < leader->machines->len; i++) {
        struct ow_machine *machine = g_ptr_array_index(leader->machines, i);
        if (leaves_at(leader, machine) > 0)
            move_off_leaving(leader, machine);
        else if (leader->core->now < machine->quarantine_until)
            move_off_faulty(leader, machine);
    }
    for (guint i = 0; i < leader->executions->len; i++)
        separate(leader, g_ptr_array_index(leader->executions, i));
}
