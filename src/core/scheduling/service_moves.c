#include "core/scheduling/service_moves.h"

#include "core/leader_state.h"
#include "core/machines/machine.h"
#include "core/machines/machine_registry.h"
#include "core/run.h"
#include "core/scheduling/placement.h"
#include "core/scheduling/replica_spread.h"

/* Replicas of one service that are moved at a time. */
enum { MOVES_MOST = 1 };
/* How long a move takes: a stop, its report, a launch. So long before its machine goes a replica is stopped
   at the latest. */
static const double MOVE_S = 2, LAST_MOVE_S = 4;
/* A service without a loss for so long is moved for the sake of losses to come, and looked at so often. */
static const double CALM_S = 60, SEPARATE_S = 5;

static bool is_serving(const struct ow_attempt *attempt)
{
    return attempt->state == OW_ATTEMPT_SEEN && attempt->phase == OW_PHASE_RUNNING && !attempt->stop;
}

static uint32_t not_serving(const struct ow_run *run)
{
    uint32_t serving = 0;
    for (guint i = 0; i < run->attempts->len; i++)
        serving += is_serving(g_ptr_array_index(run->attempts, i)) ? 1 : 0;
    return run->count - serving;
}

static bool stands_on(const struct ow_run *run, const struct ow_machine *machine)
{
    for (guint i = 0; i < machine->attempts->len; i++)
        if (((const struct ow_attempt *)g_ptr_array_index(machine->attempts, i))->job == run->job)
            return true;
    return false;
}

/* A machine where a replica could start at once, away from the others of its service and, if so wanted, from
   a zone; NULL: none has room and its image. */
static struct ow_machine *find_place(struct ow_leader *leader, const struct ow_run *run, int not_in_zone)
{
    for (guint i = 0; i < leader->machines->len; i++) {
        struct ow_machine *machine = g_ptr_array_index(leader->machines, i);
        const struct ow_image_copy *copy = ow_machine_image(machine, run->job->spec->image);
        if (copy != NULL && copy->present && machine->zone != not_in_zone &&
            ow_placement_is_permitted(leader, run, machine) &&
            ow_placement_slots(leader, run->job->spec, machine) > 0 && !stands_on(run, machine))
            return machine;
    }
    return NULL;
}

/* The room is kept for the rest of the tick: one place is not to be counted on by two replicas. */
static void move_to(struct ow_leader *leader, struct ow_attempt *attempt, struct ow_machine *place,
                    const char *why)
{
    ow_amounts_add(&place->held, &attempt->job->spec->submission->need, 1);
    ow_attempt_stop(leader, attempt, 0, why);
}

static bool is_movable(const struct ow_attempt *attempt)
{
    return ow_run_is_service(attempt->job->run) && !attempt->stop && !ow_job_over(attempt->job);
}

/* A machine whose reports no longer arrive although it answers commands: its lease is not renewed, so its
   worker is about to end all tasks. One that answers nothing is none of these, for no stop would reach it. */
static bool loses_its_lease(const struct ow_leader *leader, const struct ow_machine *machine)
{
    return machine->fenced && machine->unanswered_since == 0 && ow_machine_heard_recently(leader, machine) &&
           ow_machine_stopped_reporting(leader, machine);
}

/* When tasks on the machine will be gone: the cloud takes it back, or its lease runs out. 0: not as far as is
   known. */
static double leaves_at(const struct ow_leader *leader, const struct ow_machine *machine)
{
    if (machine->reclaimed_at > 0)
        return machine->reclaimed_at;
    if (!loses_its_lease(leader, machine))
        return 0;
    /* This leader may never have had a report of it: then there is no time that could be counted on. */
    double since = machine->last_report_at;
    return since > 0 ? since + leader->controller->settings->lease_s : leader->controller->now;
}

/* The service's replicas on machines that are about to go. */
static uint32_t leaving(const struct ow_leader *leader, const struct ow_run *run)
{
    uint32_t count = 0;
    for (guint i = 0; i < run->attempts->len; i++) {
        const struct ow_attempt *attempt = g_ptr_array_index(run->attempts, i);
        count += !attempt->stop && leaves_at(leader, attempt->machine) > 0 ? 1 : 0;
    }
    return count;
}

/* Whether the service can do without one more replica for a moment: one at a time is missed, unless the
   machines that are about to go leave no time for that. */
static bool may_miss_one_more(const struct ow_leader *leader, const struct ow_run *run, double left_s)
{
    return not_serving(run) < MOVES_MOST || leaving(leader, run) * MOVE_S > left_s - LAST_MOVE_S;
}

/* With its image elsewhere a replica is moved as soon as its service can do without it. Where no machine with
   the image has room, it serves as long as it may: then it is stopped all the same, for it starts elsewhere
   only once it is proven gone, and that takes far longer when its machine has been taken. */
static void move_off_leaving(struct ow_leader *leader, struct ow_machine *machine)
{
    double left = leaves_at(leader, machine) - leader->controller->now;
    for (guint i = machine->attempts->len; i > 0; i--) {
        if (i > machine->attempts->len)
            continue;
        struct ow_attempt *attempt = g_ptr_array_index(machine->attempts, i - 1);
        if (!is_movable(attempt))
            continue;
        struct ow_machine *place = find_place(leader, attempt->job->run, OW_NO_NAME);
        if (place != NULL && may_miss_one_more(leader, attempt->job->run, left))
            move_to(leader, attempt, place, "its machine is about to go; it moves");
        else if (left < LAST_MOVE_S)
            ow_attempt_stop(leader, attempt, 0, "its machine is about to go, and no other one has its image");
    }
}

static bool has_only_replicas(const struct ow_machine *machine)
{
    for (guint i = 0; i < machine->attempts->len; i++)
        if (!ow_run_is_service(
                ((const struct ow_attempt *)g_ptr_array_index(machine->attempts, i))->job->run))
            return false;
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
        struct ow_machine *place = is_movable(attempt) && not_serving(attempt->job->run) < MOVES_MOST
                                       ? find_place(leader, attempt->job->run, OW_NO_NAME)
                                       : NULL;
        if (place != NULL)
            move_to(leader, attempt, place, "its machine is faulty; it moves");
    }
}

/* A replica whose loss would come together with another one's: on one machine with it, or in the only zone
   that the service has left; that zone is returned, too. NULL: there is none. */
static struct ow_attempt *crowded(const struct ow_run *run, int *not_in_zone)
{
    const struct ow_spec *spec = run->job->spec;
    struct ow_replica_spread spread = ow_replica_spread_of(run);
    struct ow_attempt *found = NULL;
    *not_in_zone = OW_NO_NAME;
    for (guint i = 0; i < run->attempts->len && found == NULL; i++) {
        struct ow_attempt *attempt = g_ptr_array_index(run->attempts, i);
        found = ow_replica_spread_on_machine(&spread, attempt->machine) > 1 ? attempt : NULL;
    }
    bool one_zone = run->attempts->len > 1 && ow_replica_spread_zones(&spread) == 1;
    if (found == NULL && one_zone && !spec->submission->one_zone && spec->zone == OW_NO_NAME) {
        found = g_ptr_array_index(run->attempts, 0);
        *not_in_zone = found->machine->zone;
    }
    ow_replica_spread_clear(&spread);
    return found;
}

static bool has_been_calm(const struct ow_leader *leader, const struct ow_run *run)
{
    for (guint i = 0; i < run->attempts->len; i++) {
        const struct ow_attempt *attempt = g_ptr_array_index(run->attempts, i);
        if (leader->controller->now - attempt->placed_at < CALM_S)
            return false;
    }
    return leader->controller->now - leader->ready_at >= CALM_S && not_serving(run) == 0;
}

/* Where room was short its replicas may have come together: one at a time they are separated again. */
static void separate(struct ow_leader *leader, struct ow_run *run)
{
    int not_in_zone;
    if (!ow_run_is_service(run) || ow_job_over(run->job) || leader->controller->now < run->separate_at)
        return;
    run->separate_at = leader->controller->now + SEPARATE_S;
    if (!has_been_calm(leader, run))
        return;
    struct ow_attempt *attempt = crowded(run, &not_in_zone);
    struct ow_machine *place = attempt != NULL ? find_place(leader, run, not_in_zone) : NULL;
    if (place != NULL)
        move_to(leader, attempt, place, "it stands together with others of its service; it moves");
}

void ow_service_moves_tick(struct ow_leader *leader)
{
    for (guint i = 0; i < leader->machines->len; i++) {
        struct ow_machine *machine = g_ptr_array_index(leader->machines, i);
        if (leaves_at(leader, machine) > 0)
            move_off_leaving(leader, machine);
        else if (leader->controller->now < machine->quarantine_until)
            move_off_faulty(leader, machine);
    }
    for (guint i = 0; i < leader->runs->len; i++)
        separate(leader, g_ptr_array_index(leader->runs, i));
}
