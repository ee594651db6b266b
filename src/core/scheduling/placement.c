/* Where a task may run, where it runs best, and placing it there. */
#include "core/scheduling/placement.h"
#include "core/leader_state.h"
#include "core/machines/machine.h"
#include "core/machines/machine_registry.h"
#include "core/records/recorder.h"
#include "core/run.h"
#include "core/scheduling/classes.h"
#include "core/scheduling/reservation.h"
#include "core/scheduling/shortlist.h"

#include <math.h>

/* Seconds that a job without need of it is worth waiting rather than taking a machine with GPUs. */
static const double GPU_WASTE_S = 20;
/* The same for a machine that a more urgent gang is likely to want whole. */
static const double SOUGHT_S = 15;
/* The share of a class's slack that tasks may wait for a machine with their image, if a fetch is dear. */
static const double IMAGE_PATIENCE = 0.9;
/* Estimates are rough: only a machine so much slower than expected counts as slow. */
static const double SLOW = 1.7;
/* Work without aims goes on dear machines only after it has waited so long for cheap ones. */
static const double DEAR_WAIT_S = 120;
/* A fetch so short is never worth waiting for. */
static const double SHORT_FETCH_S = 10;

bool ow_placement_is_allowed(const struct ow_leader *leader, const struct ow_spec *spec,
                             const struct ow_machine *m)
{
    (void)leader;
    if (m->type < 0 || m->type >= OW_MAX_TYPES || (spec->types & (UINT64_C(1) << m->type)) == 0)
        return false;
    if (spec->zone != OW_NO_NAME && spec->zone != m->zone)
        return false;
    return spec->submission->spot || !m->spot;
}

static double fit(double free, double need)
{
    return need <= 0 ? OW_MAX_TASKS : floor((free + 1e-6) / need);
}

uint32_t ow_placement_slots_on_empty(const struct ow_machine_type *type, const struct ow_amounts *need)
{
    return (uint32_t)MIN(MIN(fit(type->size.cpus, need->cpus), fit(type->size.gpus, need->gpus)),
                         fit(type->size.memory_gb, need->memory_gb));
}

uint32_t ow_placement_slots_beside(const struct ow_leader *leader, const struct ow_spec *spec,
                                   const struct ow_machine *m, const struct ow_amounts *used)
{
    const struct ow_machine_type *type = ow_machine_spec(leader, m);
    const struct ow_amounts *need = &spec->submission->need;
    if (type == NULL)
        return 0;
    struct ow_amounts taken = *used;
    ow_amounts_add(&taken, &m->unknown_tasks_use, 1);
    ow_amounts_add(&taken, &m->held, 1);
    if (!spec->submission->gang)
        ow_amounts_add(&taken, &m->held_for_gangs, 1);
    double gpus = type->size.gpus - taken.gpus;
    double cpus = type->size.cpus - taken.cpus;
    double memory = type->size.memory_gb - taken.memory_gb;
    bool urgent = (int)spec->submission->rank < leader->pass.gpu_rank;
    if (need->gpus <= 0 && gpus > 0 && (m->gpus_kept || (urgent && !m->spot)))
        /* Room that the machine's free GPUs need to be of use to other work, or are too dear to be without.
         */
        cpus -= gpus * leader->pass.gpu_cpus;
    double slots = MIN(MIN(fit(cpus, need->cpus), fit(gpus, need->gpus)), fit(memory, need->memory_gb));
    return slots <= 0 ? 0 : (uint32_t)slots;
}

uint32_t ow_placement_slots(const struct ow_leader *leader, const struct ow_spec *spec,
                            const struct ow_machine *m)
{
    return ow_placement_slots_beside(leader, spec, m, &m->used);
}

/* Whether a more urgent class of gangs needs the better part of such a machine for a single task: what is
   put there is likely to be stopped for it. */
static bool sought_by_gangs(const struct ow_leader *leader, const struct ow_spec *spec,
                            const struct ow_machine *m, const struct ow_machine_type *type)
{
    for (guint i = 0; i < leader->controller->classes->len; i++) {
        const struct ow_class *c = &g_array_index(leader->controller->classes, struct ow_class, i);
        if (c->seen && c->gang && c->rank < spec->submission->rank && (c->spot || !m->spot) &&
            (c->types & (UINT64_C(1) << m->type)) != 0 && c->need.cpus > type->size.cpus / 2 &&
            c->need.cpus <= type->size.cpus && c->need.memory_gb <= type->size.memory_gb &&
            c->need.gpus <= type->size.gpus)
            return true;
    }
    return false;
}

double ow_placement_cost(const struct ow_leader *leader, const struct ow_run *run, const struct ow_machine *m)
{
    const struct ow_spec *spec = run->job->spec;
    const struct ow_machine_type *type = ow_machine_spec(leader, m);
    double cost = ow_machine_fetch_seconds(leader, m, spec);
    cost += spec->submission->estimate_s * MAX(0, m->slowness - SLOW);
    /* Less urgent work gets only what GPUs leave over, which is nobody else's loss. */
    if (type->size.gpus > 0 && spec->submission->need.gpus <= 0 &&
        (int)spec->submission->rank < leader->pass.gpu_rank)
        cost += GPU_WASTE_S;
    if (sought_by_gangs(leader, spec, m, type))
        cost += SOUGHT_S;
    /* Rent, then the tightest fit. */
    cost += m->spot ? type->spot_price : type->price;
    double left = type->size.cpus - m->used.cpus - spec->submission->need.cpus;
    return cost + left / type->size.cpus;
}

static gint by_cost(gconstpointer a, gconstpointer b)
{
    const struct ow_candidate *x = a, *y = b;
    /* Unconflicted candidates are preferred, whatever they cost. */
    if (x->conflicted != y->conflicted)
        return x->conflicted ? 1 : -1;
    return x->cost < y->cost ? -1 : x->cost > y->cost;
}

bool ow_placement_is_permitted(const struct ow_leader *leader, const struct ow_run *run,
                               const struct ow_machine *m)
{
    return ow_machine_is_usable(leader, m) && ow_placement_is_allowed(leader, run->job->spec, m) &&
           (leader->controller->now > run->bad_until || !g_hash_table_contains(run->bad_machines, m));
}

bool ow_placement_waits_for_cheap(const struct ow_leader *leader, const struct ow_run *run)
{
    const struct ow_spec *spec = run->job->spec;
    /* More urgent work waits for no rent, whether or not anybody has put an aim on it. The rest waits not by
       its age: when every controller has begun anew all of it may be old, and would go on dear machines at
       once; but what has waited too long goes there however often they begin anew. */
    return spec->submission->spot && spec->submission->rank == OW_RANK_LOW &&
           !ow_class_has_objective(leader->controller, spec->class_index) && !run->starves && !run->aged &&
           leader->controller->now - run->job->first_seen_at < DEAR_WAIT_S;
}

/* Whether classes have aims, and none of them has proper use for such machines: they cost what work without
   aims is not worth while there are cheaper ones of their type. */
static bool dear(const struct ow_leader *leader, const struct ow_machine *m)
{
    const struct ow_machine_type *type = ow_machine_spec(leader, m);
    if (m->spot || type->spot_price <= 0 || type->spot_price >= type->price ||
        leader->controller->settings->objectives->len == 0)
        return false;
    for (guint i = 0; i < leader->controller->classes->len; i++) {
        const struct ow_class *c = &g_array_index(leader->controller->classes, struct ow_class, i);
        if (c->seen && (c->types & (UINT64_C(1) << m->type)) != 0 &&
            ow_placement_slots_on_empty(type, &c->need) > 0 && (type->size.gpus <= 0 || c->need.gpus > 0) &&
            ow_class_has_objective(leader->controller, (int)i))
            return false;
    }
    return true;
}

GArray *ow_placement_candidates(struct ow_leader *leader, const struct ow_run *run)
{
    GArray *candidates = g_array_new(FALSE, FALSE, sizeof(struct ow_candidate));
    const struct ow_spec *spec = run->job->spec;
    const GPtrArray *machines = ow_shortlist(leader, spec->class_index);
    bool cheaply = ow_placement_waits_for_cheap(leader, run);
    for (guint i = 0; i < machines->len; i++) {
        struct ow_machine *m = g_ptr_array_index(machines, i);
        if (!ow_placement_is_permitted(leader, run, m))
            continue;
        struct ow_candidate candidate = {.machine = m, .slots = ow_placement_slots(leader, spec, m)};
        if (candidate.slots == 0 || (cheaply && dear(leader, m)))
            continue;
        candidate.cost = ow_placement_cost(leader, run, m);
        candidate.conflicted = spec->submission->gang && ow_reservation_conflicts(run, m);
        g_array_append_val(candidates, candidate);
    }
    g_array_sort(candidates, by_cost);
    return candidates;
}

uint32_t ow_placement_zone_admits(const struct ow_run *run, int zone)
{
    const struct ow_submission *s = run->job->spec->submission;
    if (!s->one_zone && !s->spread)
        return run->count;
    uint32_t here = 0;
    /* Rule 6: against all attempts that may still exist, also of tasks that are done or on their way out. */
    for (guint i = 0; i < run->attempts->len; i++) {
        const struct ow_attempt *at = g_ptr_array_index(run->attempts, i);
        if (at->machine->zone == OW_NO_NAME || (s->one_zone && at->machine->zone != zone))
            return 0;
        here += at->machine->zone == zone ? 1 : 0;
    }
    if (!s->spread)
        return run->count;
    uint32_t most = (run->count + 1) / 2;
    return here >= most ? 0 : most - here;
}

uint32_t ow_placement_next_pending(struct ow_run *run)
{
    while (run->cursor < run->count &&
           (run->tasks[run->cursor].done || run->tasks[run->cursor].attempt != NULL))
        run->cursor++;
    return run->cursor;
}

void ow_placement_start_task(struct ow_leader *leader, struct ow_run *run, uint32_t task, uint64_t number,
                             struct ow_machine *m)
{
    struct ow_chunk *chunk = ow_run_chunk(run, task);
    chunk->last_attempt = MAX(chunk->last_attempt, number);
    /* A replica has no end: what is not stopped for others must get through some day. */
    ow_attempt_new(leader, run, task, number, m, m->session)->not_preemptible =
        (run->starves || run->aged) && !ow_run_is_service(run);
    ow_machine_image_use(leader, m, run->job->spec, false);
    ow_recorder_chunk(leader, run, task, true);
    g_debug("task %s/%u attempt %" G_GUINT64_FORMAT " placed on %s", run->job->id, task, number, m->name);
}

/* The zone where an array that must stay together fits best. */
int ow_placement_best_zone(const struct ow_run *run, const GArray *candidates)
{
    int best = OW_NO_NAME;
    uint64_t most = 0;
    for (guint i = 0; i < candidates->len; i++) {
        int zone = g_array_index(candidates, struct ow_candidate, i).machine->zone;
        uint64_t slots = 0;
        if (ow_placement_zone_admits(run, zone) == 0)
            continue;
        for (guint k = 0; k < candidates->len; k++)
            if (g_array_index(candidates, struct ow_candidate, k).machine->zone == zone)
                slots += g_array_index(candidates, struct ow_candidate, k).slots;
        if (slots > most) {
            most = slots;
            best = zone;
        }
    }
    return best;
}

/* What waits for an image, and the places where it is: weighed once a pass. */
struct ow_image_load {
    const struct ow_spec *spec; /* of one of the jobs that wait for it; NULL: none */
    double work_s, slots;
};

static struct ow_image_load *load_of(struct ow_leader *leader, int image)
{
    if (leader->pass.image_loads->len <= (guint)image)
        g_array_set_size(leader->pass.image_loads, (guint)image + 1);
    return &g_array_index(leader->pass.image_loads, struct ow_image_load, image);
}

GArray *ow_placement_new_loads(void)
{
    return g_array_new(FALSE, TRUE, sizeof(struct ow_image_load));
}

void ow_placement_weigh_images(struct ow_leader *leader)
{
    g_array_set_size(leader->pass.image_loads, 0);
    for (guint i = 0; i < leader->runs->len; i++) {
        const struct ow_run *run = g_ptr_array_index(leader->runs, i);
        const struct ow_spec *spec = run->job->spec;
        uint32_t pending = spec->submission->gang ? 0 : ow_run_pending(run);
        if (pending == 0)
            continue;
        struct ow_image_load *load = load_of(leader, spec->image);
        load->spec = spec;
        load->work_s += pending * ow_class_run_s(leader->controller, spec);
    }
    for (guint i = 0; i < leader->machines->len; i++) {
        const struct ow_machine *m = g_ptr_array_index(leader->machines, i);
        bool usable = ow_machine_is_usable(leader, m);
        for (guint k = 0; usable && k < m->images->len; k++) {
            int image = g_array_index(m->images, struct ow_image_copy, k).image;
            struct ow_image_load *load = load_of(leader, image);
            /* Places on machines that have it or fetch it, free or not. */
            if (load->spec != NULL && ow_placement_is_allowed(leader, load->spec, m))
                load->slots +=
                    ow_placement_slots_on_empty(ow_machine_spec(leader, m), &load->spec->submission->need);
        }
    }
}

/* How long work of the class waits that the machine could start at once with the images it has; negative:
   there is none. */
static double wait_for_its_images(struct ow_leader *leader, const struct ow_run *run,
                                  const struct ow_machine *m)
{
    double longest = -1;
    for (guint i = 0; i < m->images->len; i++) {
        const struct ow_image_copy *copy = &g_array_index(m->images, struct ow_image_copy, i);
        const struct ow_image_load *load = load_of(leader, copy->image);
        if (copy->present && copy->image != run->job->spec->image && load->spec != NULL &&
            load->spec->class_index == run->job->spec->class_index && load->slots > 0)
            longest = MAX(longest, load->work_s / load->slots);
    }
    return longest;
}

/* A machine without the image is left alone while those that have it get through the work sooner than it
   could fetch the image, as long as the aims of the class leave the time. */
static bool better_to_wait(struct ow_leader *leader, const struct ow_run *run, const struct ow_machine *m,
                           double wait_s, bool starves)
{
    double fetch_s = ow_machine_fetch_seconds(leader, m, run->job->spec);
    double waits = leader->controller->now - run->accepted_at + wait_s;
    double slack = ow_class_slack_s(leader->controller, run->job->spec->class_index);
    /* A fetch that costs more than the work it serves is made only when the aims need it. */
    bool dear = fetch_s > ow_class_run_s(leader->controller, run->job->spec);
    /* Room that others are stopped for must be taken, or they would be put there and stopped again. */
    if (fetch_s <= SHORT_FETCH_S || starves || ow_run_claims(leader, run))
        return false;
    /* However late it is, a fetch that takes twice as long as the work that is left helps nobody. */
    if (2 * wait_s < fetch_s)
        return true;
    /* Nor does one that takes the machine from work that waits as long for an image which it has. */
    double others_wait_s = wait_for_its_images(leader, run, m);
    if (dear && others_wait_s >= 0 && wait_s < 2 * MAX(fetch_s, others_wait_s))
        return true;
    return (wait_s < fetch_s && waits < slack) || (dear && waits < IMAGE_PATIENCE * slack);
}

void ow_placement_start_array(struct ow_leader *leader, struct ow_run *run)
{
    uint32_t wanted = ow_team_admits(leader, run->job->spec, ow_run_pending(run));
    if (wanted == 0)
        return;
    GArray *candidates = ow_placement_candidates(leader, run);
    int only = run->job->spec->submission->one_zone ? ow_placement_best_zone(run, candidates) : OW_NO_NAME;
    uint32_t placed = 0;
    double work = load_of(leader, run->job->spec->image)->work_s;
    double slots = load_of(leader, run->job->spec->image)->slots;
    uint64_t number = ow_run_next_attempt(run);
    for (guint i = 0; i < candidates->len && placed < wanted; i++) {
        struct ow_candidate *candidate = &g_array_index(candidates, struct ow_candidate, i);
        if (only != OW_NO_NAME && candidate->machine->zone != only)
            continue;
        bool fetches = ow_machine_image(candidate->machine, run->job->spec->image) == NULL;
        if (fetches && slots > 0 &&
            better_to_wait(leader, run, candidate->machine, work / slots, run->starves && placed == 0))
            continue;
        if (fetches)
            slots += ow_placement_slots_on_empty(ow_machine_spec(leader, candidate->machine),
                                                 &run->job->spec->submission->need);
        uint32_t here = MIN(candidate->slots, ow_placement_zone_admits(run, candidate->machine->zone));
        for (; here > 0 && placed < wanted; here--, placed++)
            ow_placement_start_task(leader, run, ow_placement_next_pending(run), number, candidate->machine);
    }
    g_array_free(candidates, TRUE);
    if (placed > 0)
        g_info("job %s: %u tasks placed", run->job->id, placed);
}
