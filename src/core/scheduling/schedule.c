/* The scheduling pass: who comes first, and what becomes of jobs that are over. */
#include "core/scheduling/schedule.h"
#include "core/leader_state.h"
#include "core/machines/machine.h"
#include "core/machines/machine_registry.h"
#include "core/records/recorder.h"
#include "core/run.h"
#include "core/scheduling/classes.h"
#include "core/scheduling/placement.h"
#include "core/scheduling/preempt.h"
#include "core/scheduling/reason.h"
#include "core/scheduling/reservation.h"
#include "core/scheduling/service_replicas.h"
#include "core/scheduling/shortlist.h"

/* How far the size of an array counts against its age. */
static const double SIZE_WEIGHT = 5;
/* Nobody starves: the size of an array puts it off no longer than this; a job of which nothing has started
   for so long, or that is not through after so long, is promoted to the front of the line. Nothing is stopped
   for that, nor what it then starts for others. Room held firmly for a gang idles until the gang has all of
   it, so gangs have more patience. */
static const double PUT_OFF_MOST_S = 60, PROMOTION_S = 120, PROMOTION_GANG_S = 150, AGED_S = 220;
/* By then a job is to have begun, its image fetched: a large image brings its job forward, but not at once.
 */
static const double BEGIN_S = 220, PROMOTION_LEAST_S = 40;

static void settle(struct ow_leader *leader, struct ow_job *job)
{
    struct ow_run *run = ow_run_find_or_add(leader, job);
    if (job->state == OW_JOB_DONE) {
        /* Its last record was carried out although the answer was lost. What may still be on a machine counts
           until it is gone. */
        ow_run_stop(leader, run, 0, "its job is done");
        if (run->attempts->len > 0)
            return;
        ow_run_drop(leader, run);
        ow_jobs_close(leader->controller->jobs, job);
        return;
    }
    if (job->state == OW_JOB_CANCELLED)
        ow_run_stop(leader, run, 0, "its job is cancelled");
    if (run->attempts->len == 0 && (job->state == OW_JOB_CANCELLED || run->done == run->count))
        ow_recorder_finish(leader, run);
}

void ow_schedule_jobs(struct ow_leader *leader)
{
    const GPtrArray *open = ow_jobs_open(leader->controller->jobs);
    leader->pass.gpu_cpus = 0;
    leader->pass.gpu_rank = OW_RANK_LOW;
    for (guint i = open->len; i > 0; i--) {
        struct ow_job *job = g_ptr_array_index(open, i - 1);
        const struct ow_amounts *need = &job->spec->submission->need;
        if (need->gpus > 0) {
            leader->pass.gpu_cpus = MAX(leader->pass.gpu_cpus, need->cpus / need->gpus);
            leader->pass.gpu_rank = MIN(leader->pass.gpu_rank, (int)job->spec->submission->rank);
        }
        settle(leader, job);
    }
}

/* What is kept for GPU work beyond what it needs now. */
static const double GPU_MARGIN = 1.2;

/* The share of tasks that are taken to fetch their image first. */
static const double FETCH_SHARE = 0.5;

/* Seconds that the slowest machine which fits the job takes to fetch its image. */
static double fetch_s(const struct ow_leader *leader, const struct ow_spec *spec)
{
    double slowest = 0;
    for (int i = 0; i < OW_MAX_TYPES; i++) {
        const struct ow_machine_type *t = leader->controller->types[i];
        if (t != NULL && t->fetch_gb_per_s > 0 && (spec->types & (UINT64_C(1) << i)) != 0 &&
            ow_placement_slots_on_empty(t, &spec->submission->need) > 0)
            slowest = MAX(slowest, spec->submission->image_gb / t->fetch_gb_per_s);
    }
    return slowest;
}

/* GPUs that get through the work of GPU jobs in the time that their classes leave to wait. */
static double gpus_wanted(struct ow_leader *leader)
{
    double wanted = 0;
    for (guint i = 0; i < leader->runs->len; i++) {
        const struct ow_run *run = g_ptr_array_index(leader->runs, i);
        const struct ow_spec *spec = run->job->spec;
        double gpus = (run->count - run->done) * spec->submission->need.gpus;
        double slack = MAX(ow_class_slack_s(leader->controller, spec->class_index), 1);
        if (gpus > 0 && !ow_job_over(run->job))
            wanted +=
                gpus *
                MIN(1,
                    (ow_class_run_s(leader->controller, spec) + FETCH_SHARE * fetch_s(leader, spec)) / slack);
    }
    return GPU_MARGIN * wanted;
}

/* How well a machine serves GPU work: 2, it does so now; 1, it is free of other work; 0, it is not. */
static int gpu_fitness(const struct ow_machine *m)
{
    int fitness = 1;
    for (guint i = 0; i < m->attempts->len; i++) {
        if (((const struct ow_attempt *)g_ptr_array_index(m->attempts, i))->job->spec->submission->need.gpus >
            0)
            return 2;
        fitness = 0;
    }
    return fitness;
}

/* Other work may fill GPU machines, but for those that GPU work needs: it would else wait or be driven to
   dear ones. */
static void keep_gpus(struct ow_leader *leader)
{
    double wanted = gpus_wanted(leader);
    for (int fitness = 2; fitness >= 0; fitness--) {
        for (guint i = 0; i < leader->machines->len; i++) {
            struct ow_machine *m = g_ptr_array_index(leader->machines, i);
            const struct ow_machine_type *type = ow_machine_spec(leader, m);
            if (type == NULL || type->size.gpus <= 0 || gpu_fitness(m) != fitness)
                continue;
            m->gpus_kept = wanted > 0;
            wanted -= type->size.gpus;
        }
    }
}

struct entry {
    struct ow_run *run;
    int rank;
    bool borrowing;    /* beyond its team's guarantee */
    unsigned missed;   /* aims for its start */
    double queue_time; /* earlier goes first */
};

/* Whether the team stays within its guarantee with the job's waiting tasks. */
static bool guaranteed(struct ow_leader *leader, const struct ow_run *run)
{
    const struct ow_spec *spec = run->job->spec;
    struct ow_amounts then = *ow_team_used(leader, spec->team);
    ow_amounts_add(&then, &spec->submission->need, ow_run_pending(run));
    return ow_team_covers(leader, spec->team, &spec->submission->need) &&
           ow_team_guarantees(leader, spec->team, &then);
}

static gint by_line(gconstpointer a, gconstpointer b)
{
    const struct entry *x = a, *y = b;
    if (x->rank != y->rank)
        return x->rank < y->rank ? -1 : 1;
    if (x->borrowing != y->borrowing)
        return x->borrowing ? 1 : -1;
    /* Who can still be in time goes before who can't any more. That is bounded: nobody starves. */
    if (x->missed != y->missed)
        return x->missed < y->missed ? -1 : 1;
    if (x->queue_time != y->queue_time)
        return x->queue_time < y->queue_time ? -1 : 1;
    return x->run->job->accepted_revision < y->run->job->accepted_revision
               ? -1
               : x->run->job->accepted_revision > y->run->job->accepted_revision;
}

/* An array's queue time is its arrival, put off by the time that its waiting work needs of the whole fleet: a
   short one passes a long one by, and everybody's turn comes. A gang keeps its place. */
static double turn_of(struct ow_leader *leader, const struct ow_run *run, double fleet_cpus,
                      double fleet_gpus)
{
    const struct ow_spec *spec = run->job->spec;
    const struct ow_amounts *need = &spec->submission->need;
    if (spec->submission->gang)
        return run->accepted_at;
    double share = need->gpus > 0 ? need->gpus / MAX(fleet_gpus, 1) : need->cpus / MAX(fleet_cpus, 1);
    double put_off = SIZE_WEIGHT * ow_run_pending(run) * ow_class_run_s(leader->controller, spec) * share;
    return run->accepted_at + MIN(put_off, PUT_OFF_MOST_S);
}

static void fleet_size(const struct ow_leader *leader, double *cpus, double *gpus)
{
    *cpus = *gpus = 0;
    for (guint i = 0; i < leader->machines->len; i++) {
        const struct ow_machine *m = g_ptr_array_index(leader->machines, i);
        const struct ow_machine_type *type = ow_machine_spec(leader, m);
        if (!ow_machine_is_usable(leader, m))
            continue;
        *cpus += type->size.cpus;
        *gpus += type->size.gpus;
    }
}

static void judge_age(const struct ow_leader *leader, struct ow_run *run)
{
    bool service = ow_run_is_service(run);
    double age = leader->controller->now - (service ? run->missing_since : run->accepted_at);
    double most = run->job->spec->submission->gang ? PROMOTION_GANG_S : PROMOTION_S;
    double patience = CLAMP(BEGIN_S - fetch_s(leader, run->job->spec), PROMOTION_LEAST_S, most);
    /* A service is never through: its age would put it before everybody for ever. What counts is how long a
       replica has been missed. */
    if (service) {
        run->starves = age > patience;
        run->aged = false;
        return;
    }
    run->starves = run->attempts->len == 0 && run->done == 0 && age > patience;
    run->aged = age > AGED_S;
}

static bool promoted(const struct ow_run *run)
{
    return run->starves || run->aged;
}

static int rank_in_line(const struct ow_run *run)
{
    return promoted(run) ? OW_RANK_CRITICAL : (int)run->job->spec->submission->rank;
}

static unsigned missed_aims(struct ow_leader *leader, const struct ow_run *run)
{
    double age = leader->controller->now - run->accepted_at;
    /* A service's age says nothing of how long its replica has been missed. */
    if (ow_run_is_service(run))
        return 0;
    /* Of those that starve, who can still begin in time goes first: where all wait too long, nobody would. */
    if (run->starves)
        return age < BEGIN_S ? 0 : 1;
    return ow_class_missed(leader->controller, run->job->spec->class_index, age);
}

static GArray *line(struct ow_leader *leader)
{
    GArray *entries = g_array_new(FALSE, FALSE, sizeof(struct entry));
    double cpus, gpus;
    fleet_size(leader, &cpus, &gpus);
    for (guint i = 0; i < leader->runs->len; i++) {
        struct ow_run *run = g_ptr_array_index(leader->runs, i);
        if (ow_run_pending(run) == 0) {
            run->missing_since = 0;
            continue;
        }
        if (run->missing_since == 0)
            run->missing_since = leader->controller->now;
        if (run->ready_at > leader->controller->now)
            continue;
        judge_age(leader, run);
        struct entry e = {run, rank_in_line(run), !guaranteed(leader, run), missed_aims(leader, run),
                          turn_of(leader, run, cpus, gpus)};
        g_array_append_val(entries, e);
    }
    g_array_sort(entries, by_line);
    return entries;
}

/* The first place and every other one after it are for those that starve. With all of them before the rest
   nobody would be in time under much load. */
static GPtrArray *take_turns(const GArray *entries)
{
    GPtrArray *runs = g_ptr_array_new();
    guint next[2] = {0, 0};
    for (guint turn = 0; runs->len < entries->len; turn++) {
        guint *at = &next[turn % 2];
        while (*at < entries->len &&
               promoted(g_array_index(entries, struct entry, *at).run) != (turn % 2 == 0))
            ++*at;
        if (*at < entries->len)
            g_ptr_array_add(runs, g_array_index(entries, struct entry, (*at)++).run);
    }
    return runs;
}

/* The zone where stopping lower work makes most room for an array that must stay together. */
static int best_zone_with_stops(struct ow_leader *leader, const struct ow_run *run, const GPtrArray *machines)
{
    const struct ow_spec *spec = run->job->spec;
    GArray *candidates = g_array_new(FALSE, FALSE, sizeof(struct ow_candidate));
    for (guint i = 0; i < machines->len; i++) {
        struct ow_machine *m = g_ptr_array_index(machines, i);
        if (!ow_placement_is_permitted(leader, run, m))
            continue;
        struct ow_candidate candidate = {.machine = m, .slots = ow_preempt_slots(leader, spec, m)};
        g_array_append_val(candidates, candidate);
    }
    int zone = ow_placement_best_zone(run, candidates);
    g_array_free(candidates, TRUE);
    return zone;
}

/* What the zone still admits of the job, the places that were made there in this pass among them. */
static uint32_t zone_still_admits(const struct ow_run *run, const GArray *made, int zone)
{
    uint32_t admitted = ow_placement_zone_admits(run, zone);
    for (guint i = 0; i < made->len && admitted > 0; i++)
        admitted -= g_array_index(made, int, i) == zone ? 1 : 0;
    return admitted;
}

/* Room on machines where lower work is stopped for an array or a service that fits nowhere else. It is booked
   for the rest of the pass; in the next ones the job's rank keeps it. */
static void array_makes_room(struct ow_leader *leader, struct ow_run *run)
{
    const struct ow_spec *spec = run->job->spec;
    uint32_t wanted = ow_team_admits(leader, spec, ow_run_pending(run));
    bool service = ow_run_is_service(run);
    if ((spec->submission->rank == OW_RANK_LOW && !ow_run_claims(leader, run)) ||
        (!service && (spec->submission->one_zone || spec->submission->spread)))
        return;
    const GPtrArray *machines = ow_shortlist_with_preemption(leader, spec->class_index);
    int only = spec->submission->one_zone ? best_zone_with_stops(leader, run, machines) : OW_NO_NAME;
    GArray *made = g_array_new(FALSE, FALSE, sizeof(int)); /* zones of the places made */
    for (guint i = 0; i < machines->len && wanted > 0; i++) {
        struct ow_machine *m = g_ptr_array_index(machines, i);
        if (!ow_placement_is_permitted(leader, run, m) || (only != OW_NO_NAME && m->zone != only))
            continue;
        /* Replicas stand apart: a machine of its own for each, if need be. */
        uint32_t slots = MIN(service ? MIN(zone_still_admits(run, made, m->zone), 1) : wanted,
                             ow_preempt_slots(leader, spec, m));
        if (slots == 0 || !ow_preempt_make_room(leader, run, m, slots))
            continue;
        ow_amounts_add(&m->held, &spec->submission->need, slots);
        if (service)
            g_array_append_val(made, m->zone);
        wanted -= slots;
    }
    g_array_free(made, TRUE);
}

GPtrArray *ow_schedule_queue(struct ow_leader *leader)
{
    GArray *entries = line(leader);
    GPtrArray *runs = take_turns(entries);
    g_array_free(entries, TRUE);
    return runs;
}

/* Who may claim a guarantee and who has to give back, for the whole pass. */
static void judge_teams(struct ow_leader *leader)
{
    int count = ow_names_count(leader->controller->names.teams);
    leader->teams.entitled = g_renew(bool, leader->teams.entitled, count);
    leader->teams.borrows = g_renew(bool, leader->teams.borrows, count);
    for (int team = 0; team < count; team++) {
        leader->teams.entitled[team] = ow_team_entitled(leader, team);
        leader->teams.borrows[team] = ow_team_borrows(leader, team);
    }
}

static void clear_held(struct ow_leader *leader)
{
    for (guint i = 0; i < leader->machines->len; i++) {
        struct ow_machine *m = g_ptr_array_index(leader->machines, i);
        m->held = m->held_for_gangs = (struct ow_amounts){0};
    }
}

/* Gangs take nothing from those of a rank before their own in the line. */
static void harden_held(struct ow_leader *leader)
{
    for (guint i = 0; i < leader->machines->len; i++) {
        struct ow_machine *m = g_ptr_array_index(leader->machines, i);
        ow_amounts_add(&m->held, &m->held_for_gangs, 1);
        m->held_for_gangs = (struct ow_amounts){0};
    }
}

void ow_schedule_pass(struct ow_leader *leader)
{
    judge_teams(leader);
    keep_gpus(leader);
    ow_placement_weigh_images(leader);
    clear_held(leader);
    ow_shortlists_begin(leader);
    g_array_set_size(leader->pass.allowances, 0);
    GPtrArray *runs = ow_schedule_queue(leader);
    const struct ow_run *last = NULL;
    for (guint i = 0; i < runs->len; i++) {
        struct ow_run *run = g_ptr_array_index(runs, i);
        if (!promoted(run)) {
            if (last != NULL && rank_in_line(run) != rank_in_line(last))
                harden_held(leader);
            last = run;
        }
        if (run->job->spec->submission->gang) {
            ow_reservation_try(leader, run);
            ow_reservation_apply_holds(run);
        } else {
            if (ow_run_is_service(run))
                ow_service_replicas_start(leader, run);
            else
                ow_placement_start_array(leader, run);
            if (ow_run_pending(run) > 0)
                array_makes_room(leader, run);
        }
        ow_reason_waits(leader, run);
    }
    g_ptr_array_free(runs, TRUE);
    /* Those that are paused have no place in the line, but their teams ask why they wait. */
    for (guint i = 0; i < leader->runs->len; i++) {
        struct ow_run *run = g_ptr_array_index(leader->runs, i);
        if (run->ready_at > leader->controller->now)
            ow_reason_waits(leader, run);
    }
}
