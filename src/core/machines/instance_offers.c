#include "core/machines/instance_offers.h"

#include "core/leader/leader_state.h"
#include "core/machine_types.h"
#include "core/machines/machine.h"
#include "core/scheduling/classes.h"
#include "core/scheduling/placement.h"
#include "model/cloud.h"
#include "model/resources.h"

#include <math.h>

/* How long a kind of machine is not asked for again after a refusal. */
static const double REFUSAL_S = 60;
/* How many times the start of a machine a job must wait without it to be given one. */
static const double HELP_PATIENCE = 1.5;
/* So many times the price of the cheapest kind without GPUs a machine with GPUs may cost for a task that does
   not need them without being a waste.
 */
static const double FAIR_PRICE = 2;

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
        .type = type, .zone = zone, .spot = spot, .until = leader->core->now + REFUSAL_S};
    g_array_append_val(leader->offer_refusals, refusal);
}

/* ---- what they are worth ---- */

static bool is_offered_in(const struct ow_machine_type *type, const char *zone)
{
    return type->zones == NULL || g_strv_contains((const char *const *)type->zones, zone);
}

static bool has_useless_gpus(const struct ow_machine_type *type, const struct ow_resources *need)
{
    return type->size.gpus > 0 && need->gpus <= 0;
}

/* Hourly price for a task. */
static double price_of(const struct ow_machine_type *type, const struct ow_resources *need, bool spot)
{
    uint32_t slots = ow_placement_slots_on_empty(type, need);
    double price = spot ? type->spot_price : type->price;
    return slots > 0 ? price / slots : INFINITY;
}

/* The cheapest ordinary machine without GPUs, whether or not it is to be had. */
static double price_without_gpus(const struct ow_leader *leader, const struct ow_resources *need,
                                 uint64_t types)
{
    double best = INFINITY;
    for (int i = 0; i < OW_MAX_TYPES; i++) {
        const struct ow_machine_type *type = ow_machine_types_at(leader->core->machine_types, i);
        if (type != NULL && !has_useless_gpus(type, need) && (types & (UINT64_C(1) << i)) != 0)
            best = MIN(best, price_of(type, need, false));
    }
    return best;
}

bool ow_instance_offers_is_wasteful(const struct ow_leader *leader, const struct ow_machine_type *type,
                                    const struct ow_class *class, bool spot)
{
    /* Less urgent work gets only what the GPUs leave over. */
    return has_useless_gpus(type, &class->need) &&
           ((int)class->rank >= leader->cycle.gpu_rank ||
            price_of(type, &class->need, spot) >
                FAIR_PRICE * price_without_gpus(leader, &class->need, class->types));
}

/* How long a new machine takes until it can run the job. */
static double start_s(const struct ow_machine_type *type, const struct ow_job_spec *spec)
{
    return type->boot_s + (type->fetch_gb_per_s > 0 ? spec->submission->image_gb / type->fetch_gb_per_s : 0);
}

/* Whether the kind of machine can be provisioned for the job, and would come in time to help. */
static bool is_option(const struct ow_leader *leader, const struct ow_job_spec *spec,
                      const struct ow_machine *kind, double wait_s)
{
    const struct ow_machine_type *type = ow_machine_types_at(leader->core->machine_types, kind->type);
    if (wait_s < HELP_PATIENCE * start_s(type, spec))
        return false;
    if (!is_offered_in(type, ow_interner_text(leader->core->interners.zones, kind->zone)))
        return false;
    return ow_placement_slots(leader, spec, kind) > 0 && ow_placement_is_allowed(spec, kind) &&
           !is_refused(leader, kind->type, kind->zone, kind->spot);
}

/* Hourly price for each task of the job that would run on such a machine. */
static double price_for_job(const struct ow_leader *leader, const struct ow_job_spec *spec,
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

/* Replaces `best` by the kind of machine if that is an option for the job and cheaper. */
static void consider(const struct ow_leader *leader, const struct ow_job_spec *spec, double wait_s,
                     const struct ow_machine *kind, double *best_price, struct ow_expected_machine *best)
{
    if (!is_option(leader, spec, kind, wait_s))
        return;
    double price = price_for_job(leader, spec, kind);
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
    for (int type_index = 0; type_index < OW_MAX_TYPES; type_index++) {
        if (ow_machine_types_at(leader->core->machine_types, type_index) == NULL)
            continue;
        for (char **zone = leader->core->settings->zones; *zone != NULL; zone++) {
            struct ow_machine kind = {.type = type_index,
                                      .zone = ow_interner_intern(leader->core->interners.zones, *zone)};
            if (may_be_offered(leader, spec, &kind, filter))
                consider(leader, spec, wait_s, &kind, &best_price, out);
            kind.spot = true;
            if (may_be_offered(leader, spec, &kind, filter))
                consider(leader, spec, wait_s, &kind, &best_price, out);
        }
    }
    return best_price < INFINITY;
}
