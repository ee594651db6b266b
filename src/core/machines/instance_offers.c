#include "core/machines/instance_offers.h"

#include "core/leader/leader_state.h"
#include "core/machine_types.h"
#include "core/machines/machine.h"
#include "core/scheduling/classes.h"
#include "core/scheduling/placement.h"
#include "model/cloud.h"
#include "model/resources.h"

#include <math.h>

/* How long a kind of machine is not requested again after a refusal. */
static const double REFUSAL_TTL_S = 60;
/* A machine is provisioned for a job only if the job's wait without it is at least this many times its start
   time. */
static const double WAIT_TO_START_RATIO = 1.5;
/* For tasks without GPUs, a machine with GPUs is a waste above this ratio of its price to that of the
   cheapest type without GPUs. */
static const double WASTEFUL_PRICE_RATIO = 2;

/* ---- refusals ---- */

/* A kind of machine that the cloud has refused to provision. */
struct ow_offer_refusal {
    int type;
    int zone;
    bool spot;
    double until;
};

GArray *ow_instance_offers_new_refusals(void)
{
    return g_array_new(FALSE, FALSE, sizeof(struct ow_offer_refusal));
}

static bool is_kind(const struct ow_offer_refusal *refusal, int type, int zone, bool spot)
{
    return refusal->type == type && refusal->zone == zone && refusal->spot == spot;
}

static bool is_refused(const struct ow_leader *leader, int type, int zone, bool spot)
{
    for (guint i = 0; i < leader->offer_refusals->len; i++)
        if (is_kind(&g_array_index(leader->offer_refusals, struct ow_offer_refusal, i), type, zone, spot))
            return true;
    return false;
}

void ow_instance_offers_remove_refusal(struct ow_leader *leader, const struct ow_machine *machine)
{
    for (guint i = leader->offer_refusals->len; i > 0; i--)
        if (is_kind(&g_array_index(leader->offer_refusals, struct ow_offer_refusal, i - 1), machine->type,
                    machine->zone, machine->spot))
            g_array_remove_index_fast(leader->offer_refusals, i - 1);
}

void ow_instance_offers_remove_expired(struct ow_leader *leader)
{
    for (guint i = leader->offer_refusals->len; i > 0; i--)
        if (g_array_index(leader->offer_refusals, struct ow_offer_refusal, i - 1).until < leader->core->now)
            g_array_remove_index_fast(leader->offer_refusals, i - 1);
}

void ow_instance_offers_add_refusal(struct ow_leader *leader, int type, int zone, bool spot)
{
    struct ow_offer_refusal refusal = {
        .type = type, .zone = zone, .spot = spot, .until = leader->core->now + REFUSAL_TTL_S};
    g_array_append_val(leader->offer_refusals, refusal);
}

/* ---- prices ---- */

static bool is_offered_in(const struct ow_machine_type *type, const char *zone)
{
    return type->zones == NULL || g_strv_contains((const char *const *)type->zones, zone);
}

static bool has_unneeded_gpus(const struct ow_machine_type *type, const struct ow_resources *need)
{
    return type->size.gpus > 0 && need->gpus <= 0;
}

/* Hourly price of the machine for each task that fits on it; INFINITY if none does. */
static double price_per_task(const struct ow_machine_type *type, const struct ow_resources *need, bool spot)
{
    uint32_t slots = ow_placement_slots_on_empty(type, need);
    double price = spot ? type->spot_price : type->price;
    return slots > 0 ? price / slots : INFINITY;
}

/* Lowest hourly price for a task on an ordinary machine of these types without unneeded GPUs, whether or not
   the cloud can provide it. */
static double price_without_gpus(const struct ow_leader *leader, const struct ow_resources *need,
                                 const struct ow_type_set *types)
{
    double best = INFINITY;
    for (int i = 0; i < ow_machine_types_count(leader->core->machine_types); i++) {
        const struct ow_machine_type *type = ow_machine_types_at(leader->core->machine_types, i);
        if (type != NULL && !has_unneeded_gpus(type, need) && ow_type_set_has(types, i))
            best = MIN(best, price_per_task(type, need, false));
    }
    return best;
}

bool ow_instance_offers_is_wasteful(const struct ow_leader *leader, const struct ow_machine_type *type,
                                    const struct ow_class *class, bool spot)
{
    /* Work that is not more urgent than the open jobs that need GPUs gets only the CPUs that the
       GPUs don't need. */
    return has_unneeded_gpus(type, &class->need) &&
           ((int)class->rank >= leader->cycle.gpu_rank ||
            price_per_task(type, &class->need, spot) >
                WASTEFUL_PRICE_RATIO * price_without_gpus(leader, &class->need, class->types));
}

/* Seconds until a new machine can run the job: boot and fetch of the image. */
static double start_s(const struct ow_machine_type *type, const struct ow_job_spec *spec)
{
    return type->boot_s + (type->fetch_gb_per_s > 0 ? spec->submission->image_gb / type->fetch_gb_per_s : 0);
}

/* Whether the kind of machine can be provisioned for the job and would start soon enough to shorten
   its wait. */
static bool is_candidate(const struct ow_leader *leader, const struct ow_job_spec *spec,
                         const struct ow_machine *kind, double wait_s)
{
    const struct ow_machine_type *type = ow_machine_types_at(leader->core->machine_types, kind->type);
    if (wait_s < WAIT_TO_START_RATIO * start_s(type, spec))
        return false;
    if (!is_offered_in(type, ow_interner_text(leader->core->interners.zones, kind->zone)))
        return false;
    return ow_placement_slots(leader, spec, kind) > 0 && ow_placement_is_allowed(spec, kind) &&
           !is_refused(leader, kind->type, kind->zone, kind->spot);
}

/* Hourly price of the machine for each task of the job that would run on it. */
static double price_per_job_task(const struct ow_leader *leader, const struct ow_job_spec *spec,
                                 const struct ow_machine *kind)
{
    const struct ow_machine_type *type = ow_machine_types_at(leader->core->machine_types, kind->type);
    uint32_t slots = ow_placement_slots(leader, spec, kind);
    return (kind->spot ? type->spot_price : type->price) / MIN(slots, spec->submission->tasks);
}

static bool may_be_offered(const struct ow_leader *leader, const struct ow_job_spec *spec,
                           const struct ow_machine *kind, enum ow_offer_filter filter)
{
    if (filter == OW_OFFERS_SPOT)
        return kind->spot;
    if (filter == OW_OFFERS_ALL)
        return true;
    const struct ow_machine_type *type = ow_machine_types_at(leader->core->machine_types, kind->type);
    const struct ow_class *class = ow_class_of(leader->core, spec->class_index);
    return !ow_instance_offers_is_wasteful(leader, type, class, kind->spot);
}

/* Replaces `best` by the kind of machine if that is a candidate for the job and cheaper. */
static void replace_if_cheaper(const struct ow_leader *leader, const struct ow_job_spec *spec, double wait_s,
                               const struct ow_machine *kind, double *best_price,
                               struct ow_expected_machine *best)
{
    if (!is_candidate(leader, spec, kind, wait_s))
        return;
    double price = price_per_job_task(leader, spec, kind);
    if (price >= *best_price)
        return;
    *best_price = price;
    *best = (struct ow_expected_machine){.machine = *kind, .to_provision = true};
}

bool ow_instance_offers_find_cheapest(const struct ow_leader *leader, const struct ow_job_spec *spec,
                                      double wait_s, enum ow_offer_filter filter,
                                      struct ow_expected_machine *out)
{
    double best_price = INFINITY;
    int type_count = ow_machine_types_count(leader->core->machine_types);
    for (int type_index = 0; type_index < type_count; type_index++) {
        if (ow_machine_types_at(leader->core->machine_types, type_index) == NULL)
            continue;
        for (char **zone = leader->core->settings->zones; *zone != NULL; zone++) {
            struct ow_machine kind = {.type = type_index,
                                      .zone = ow_interner_intern(leader->core->interners.zones, *zone)};
            if (may_be_offered(leader, spec, &kind, filter))
                replace_if_cheaper(leader, spec, wait_s, &kind, &best_price, out);
            kind.spot = true;
            if (may_be_offered(leader, spec, &kind, filter))
                replace_if_cheaper(leader, spec, wait_s, &kind, &best_price, out);
        }
    }
    return best_price < INFINITY;
}
