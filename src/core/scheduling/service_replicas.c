/* Services: replicas that run until their job is cancelled, apart from one another. */
#include "core/scheduling/service_replicas.h"
#include "core/leader_state.h"
#include "core/machines/machine.h"
#include "core/machines/machine_registry.h"
#include "core/run.h"
#include "core/scheduling/candidates.h"
#include "core/scheduling/placement.h"
#include "core/teams.h"

#include <math.h>

/* Seconds of a later start that it is worth to keep a replica off a machine, and out of a zone, where another
   one of its service is: one loss is to take few. */
static const double MACHINE_S = 60, ZONE_S = 4;
/* The same for each replica of another service on the machine, and for all of them at most. */
static const double CROWD_S = 0.2, CROWD_MOST_S = 2;
/* Replicas of one service that are moved at a time. */
enum { MOVES_MOST = 1 };
/* How long a move takes: a stop, its report, a launch. So long before its machine goes a replica is stopped
   at the latest. */
static const double MOVE_S = 2, LAST_MOVE_S = 4;
/* A service without a loss for so long is moved for the sake of losses to come, and looked at so often. */
static const double CALM_S = 60, PART_S = 5;

/* How many replicas of a service stand where: counted once, for a service may have thousands. */
struct neighbours {
    GHashTable *on_machine; /* machine -> count */
    GHashTable *in_zone;    /* zone index -> count */
};

static guint count_at(GHashTable *counts, const void *key)
{
    return GPOINTER_TO_UINT(g_hash_table_lookup(counts, key));
}

static void add_neighbour(struct neighbours *n, struct ow_machine *m)
{
    gpointer zone = GINT_TO_POINTER(m->zone);
    g_hash_table_insert(n->on_machine, m, GUINT_TO_POINTER(count_at(n->on_machine, m) + 1));
    g_hash_table_insert(n->in_zone, zone, GUINT_TO_POINTER(count_at(n->in_zone, zone) + 1));
}

static struct neighbours neighbours_of(const struct ow_run *run)
{
    struct neighbours n = {g_hash_table_new(NULL, NULL), g_hash_table_new(NULL, NULL)};
    for (guint i = 0; i < run->attempts->len; i++)
        add_neighbour(&n, ((const struct ow_attempt *)g_ptr_array_index(run->attempts, i))->machine);
    return n;
}

static void neighbours_clear(struct neighbours *n)
{
    g_hash_table_destroy(n->on_machine);
    g_hash_table_destroy(n->in_zone);
}

/* What the job's own rules admit in each zone, by zone index. */
static GArray *zones_admit(const struct ow_leader *leader, const struct ow_run *run)
{
    GArray *admitted = g_array_new(FALSE, FALSE, sizeof(uint32_t));
    for (int zone = 0; zone < ow_names_count(leader->controller->names.zones); zone++) {
        uint32_t count = ow_placement_zone_admits(run, zone);
        g_array_append_val(admitted, count);
    }
    return admitted;
}

/* One loss is to take few replicas of other services as well: of machines that are much alike the one with
   fewer of them is chosen. Never at the price of an image fetch. */
static void add_crowding_costs(GArray *candidates)
{
    for (guint i = 0; i < candidates->len; i++) {
        struct ow_candidate *candidate = &g_array_index(candidates, struct ow_candidate, i);
        const GPtrArray *attempts = candidate->machine->attempts;
        double cost_s = 0;
        for (guint k = 0; k < attempts->len && cost_s < CROWD_MOST_S; k++) {
            const struct ow_attempt *attempt = g_ptr_array_index(attempts, k);
            cost_s += ow_run_is_service(attempt->job->run) ? CROWD_S : 0;
        }
        candidate->cost += MIN(cost_s, CROWD_MOST_S);
    }
}

static struct ow_candidate *best_candidate(const struct neighbours *n, GArray *candidates,
                                           const GArray *admitted, int only)
{
    struct ow_candidate *best = NULL;
    double least = INFINITY;
    for (guint i = 0; i < candidates->len; i++) {
        struct ow_candidate *candidate = &g_array_index(candidates, struct ow_candidate, i);
        int zone = candidate->machine->zone;
        if (candidate->slots == 0 || (only != OW_NO_NAME && zone != only) ||
            g_array_index(admitted, uint32_t, zone) == 0)
            continue;
        double cost = candidate->cost + MACHINE_S * count_at(n->on_machine, candidate->machine) +
                      ZONE_S * count_at(n->in_zone, GINT_TO_POINTER(zone));
        if (cost < least) {
            least = cost;
            best = candidate;
        }
    }
    return best;
}

static void place_replica(struct ow_leader *leader, struct ow_run *run, uint64_t number, struct ow_machine *m)
{
    uint32_t task = ow_placement_next_pending(run);
    g_info("service %s: replica %u placed on %s", run->job->id, task, m->name);
    ow_placement_start_task(leader, run, task, number, m);
}

void ow_service_replicas_start(struct ow_leader *leader, struct ow_run *run)
{
    uint32_t wanted = ow_team_admits(leader, run->job->spec, ow_run_pending(run));
    if (wanted == 0)
        return;
    GArray *candidates = ow_candidates_find(leader, run);
    int only = run->job->spec->submission->one_zone ? ow_candidates_best_zone(run, candidates) : OW_NO_NAME;
    uint64_t number = ow_run_next_attempt(run);
    struct neighbours neighbours = neighbours_of(run);
    add_crowding_costs(candidates);
    for (; wanted > 0; wanted--) {
        GArray *admitted = zones_admit(leader, run);
        struct ow_candidate *candidate = best_candidate(&neighbours, candidates, admitted, only);
        g_array_free(admitted, TRUE);
        if (candidate == NULL)
            break;
        candidate->slots--;
        add_neighbour(&neighbours, candidate->machine);
        place_replica(leader, run, number, candidate->machine);
    }
    neighbours_clear(&neighbours);
    g_array_free(candidates, TRUE);
}

/* ---- moves ---- */

static bool is_serving(const struct ow_attempt *at)
{
    return at->state == OW_ATTEMPT_SEEN && at->phase == OW_PHASE_RUNNING && !at->stop;
}

static uint32_t not_serving(const struct ow_run *run)
{
    uint32_t serving = 0;
    for (guint i = 0; i < run->attempts->len; i++)
        serving += is_serving(g_ptr_array_index(run->attempts, i)) ? 1 : 0;
    return run->count - serving;
}

static bool stands_on(const struct ow_run *run, const struct ow_machine *m)
{
    for (guint i = 0; i < m->attempts->len; i++)
        if (((const struct ow_attempt *)g_ptr_array_index(m->attempts, i))->job == run->job)
            return true;
    return false;
}

/* A machine where a replica could start at once, away from the others of its service and, if so wanted, from
   a zone; NULL: none has room and its image. */
static struct ow_machine *find_place(struct ow_leader *leader, const struct ow_run *run, int not_in_zone)
{
    for (guint i = 0; i < leader->machines->len; i++) {
        struct ow_machine *m = g_ptr_array_index(leader->machines, i);
        const struct ow_image_copy *copy = ow_machine_image(m, run->job->spec->image);
        if (copy != NULL && copy->present && m->zone != not_in_zone &&
            ow_placement_is_permitted(leader, run, m) && ow_placement_slots(leader, run->job->spec, m) > 0 &&
            !stands_on(run, m))
            return m;
    }
    return NULL;
}

/* The room is kept for the rest of the tick: one place is not to be counted on by two replicas. */
static void move_to(struct ow_leader *leader, struct ow_attempt *at, struct ow_machine *place,
                    const char *why)
{
    ow_amounts_add(&place->held, &at->job->spec->submission->need, 1);
    ow_attempt_stop(leader, at, 0, why);
}

static bool is_movable(const struct ow_attempt *at)
{
    return ow_run_is_service(at->job->run) && !at->stop && !ow_job_over(at->job);
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
        const struct ow_attempt *at = g_ptr_array_index(run->attempts, i);
        count += !at->stop && leaves_at(leader, at->machine) > 0 ? 1 : 0;
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
static void move_off_leaving(struct ow_leader *leader, struct ow_machine *m)
{
    double left = leaves_at(leader, m) - leader->controller->now;
    for (guint i = m->attempts->len; i > 0; i--) {
        if (i > m->attempts->len)
            continue;
        struct ow_attempt *at = g_ptr_array_index(m->attempts, i - 1);
        if (!is_movable(at))
            continue;
        struct ow_machine *place = find_place(leader, at->job->run, OW_NO_NAME);
        if (place != NULL && may_miss_one_more(leader, at->job->run, left))
            move_to(leader, at, place, "its machine is about to go; it moves");
        else if (left < LAST_MOVE_S)
            ow_attempt_stop(leader, at, 0, "its machine is about to go, and no other one has its image");
    }
}

static bool has_only_replicas(const struct ow_machine *m)
{
    for (guint i = 0; i < m->attempts->len; i++)
        if (!ow_run_is_service(((const struct ow_attempt *)g_ptr_array_index(m->attempts, i))->job->run))
            return false;
    return true;
}

/* A machine that fails tasks is returned once it is empty, which replicas that happen to run on it would put
   off for ever. They serve, so they move only where they are hardly missed. */
static void move_off_faulty(struct ow_leader *leader, struct ow_machine *m)
{
    if (!has_only_replicas(m) || !ow_machine_heard_recently(leader, m))
        return;
    for (guint i = m->attempts->len; i > 0; i--) {
        if (i > m->attempts->len)
            continue;
        struct ow_attempt *at = g_ptr_array_index(m->attempts, i - 1);
        struct ow_machine *place = is_movable(at) && not_serving(at->job->run) < MOVES_MOST
                                       ? find_place(leader, at->job->run, OW_NO_NAME)
                                       : NULL;
        if (place != NULL)
            move_to(leader, at, place, "its machine is faulty; it moves");
    }
}

/* A replica whose loss would come together with another one's: on one machine with it, or in the only zone
   that the service has left; that zone is told, too. NULL: there is none. */
static struct ow_attempt *crowded(const struct ow_run *run, int *not_in_zone)
{
    const struct ow_spec *spec = run->job->spec;
    struct neighbours n = neighbours_of(run);
    struct ow_attempt *found = NULL;
    *not_in_zone = OW_NO_NAME;
    for (guint i = 0; i < run->attempts->len && found == NULL; i++) {
        struct ow_attempt *at = g_ptr_array_index(run->attempts, i);
        found = count_at(n.on_machine, at->machine) > 1 ? at : NULL;
    }
    bool one_zone = run->attempts->len > 1 && g_hash_table_size(n.in_zone) == 1;
    if (found == NULL && one_zone && !spec->submission->one_zone && spec->zone == OW_NO_NAME) {
        found = g_ptr_array_index(run->attempts, 0);
        *not_in_zone = found->machine->zone;
    }
    neighbours_clear(&n);
    return found;
}

static bool has_been_calm(const struct ow_leader *leader, const struct ow_run *run)
{
    for (guint i = 0; i < run->attempts->len; i++) {
        const struct ow_attempt *at = g_ptr_array_index(run->attempts, i);
        if (leader->controller->now - at->placed_at < CALM_S)
            return false;
    }
    return leader->controller->now - leader->ready_at >= CALM_S && not_serving(run) == 0;
}

/* Where room was short its replicas may have come together: one at a time they part again. */
static void part(struct ow_leader *leader, struct ow_run *run)
{
    int not_in_zone;
    if (!ow_run_is_service(run) || ow_job_over(run->job) || leader->controller->now < run->part_at)
        return;
    run->part_at = leader->controller->now + PART_S;
    if (!has_been_calm(leader, run))
        return;
    struct ow_attempt *at = crowded(run, &not_in_zone);
    struct ow_machine *place = at != NULL ? find_place(leader, run, not_in_zone) : NULL;
    if (place != NULL)
        move_to(leader, at, place, "it stands together with others of its service; it moves");
}

void ow_service_replicas_relocate(struct ow_leader *leader)
{
    for (guint i = 0; i < leader->machines->len; i++) {
        struct ow_machine *m = g_ptr_array_index(leader->machines, i);
        if (leaves_at(leader, m) > 0)
            move_off_leaving(leader, m);
        else if (leader->controller->now < m->quarantine_until)
            move_off_faulty(leader, m);
    }
    for (guint i = 0; i < leader->runs->len; i++)
        part(leader, g_ptr_array_index(leader->runs, i));
}
