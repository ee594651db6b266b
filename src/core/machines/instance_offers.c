/* Kinds of machines: which has been refused lately, and which is worth renting for a job. */
#include "core/machines/instance_offers.h"
#include "core/leader/leader_state.h"
#include "core/machine_types.h"
#include "core/machines/machine.h"
#include "core/scheduling/classes.h"
#include "core/scheduling/placement.h"
#include "model/cloud.h"
#include "model/resources.h"

#include <math.h>

static const double REFUSAL_S = 60;
/* How many times the start of a machine a job must wait without it to be given one. */
static const double HELP_PATIENCE = 1.5;
/* So much dearer for a task than the cheapest proper kind a machine with GPUs may be without being a waste.
 */
static const double FAIR_PRICE = 2;

/* ---- refusals ---- */

/* A kind of machine that the cloud has refused to rent. */
struct ow_offer_refusal {
    int type, zone;
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

static bool refused(const struct ow_leader *leader, int type, int zone, bool spot)
{
    for (guint i = 0; i < leader->offer_refusals->len; i++)
        if (is_kind(&g_array_index(leader->offer_refusals, struct ow_offer_refusal, i), type, zone, spot))
            return true;
    return false;
}

void ow_instance_offers_forget_refusal(struct ow_leader *leader, const struct ow_machine *machine)
{
    for (guint i = leader->offer_refusals->len; i > 0; i--)
        if (is_kind(&g_array_index(leader->offer_refusals, struct ow_offer_refusal, i - 1), machine->type,
                    machine->zone, machine->spot))
            g_array_remove_index_fast(leader->offer_refusals, i - 1);
}

void ow_instance_offers_forget_old(struct ow_leader *leader)
{
    for (guint i = leader->offer_refusals->len; i > 0; i--)
        if (g_array_index(leader->offer_refusals, struct ow_offer_refusal, i - 1).until < leader->core->now)
            g_array_remove_index_fast(leader->offer_refusals, i - 1);
}

void ow_instance_offers_refuse(struct ow_leader *leader, int type, int zone, bool spot)
{
    struct ow_offer_refusal refusal = {type, zone, spot, leader->core->now + REFUSAL_S};
    g_array_append_val(leader->offer_refusals, refusal);
}

/* ---- what they are worth ---- */

static bool offered_in(const struct ow_machine_type *type, const char *zone)
{
    return type->zones == NULL || g_strv_contains((const char *const *)type->zones, zone);
}

static bool improper(const struct ow_machine_type *type, const struct ow_resources *need)
{
    return type->size.gpus > 0 && need->gpus <= 0;
}

/* Hourly rent for a task. */
static double price_of(const struct ow_machine_type *type, const struct ow_resources *need, bool spot)
{
    uint32_t slots = ow_placement_slots_on_empty(type, need);
    double rent = spot ? type->spot_price : type->price;
    return slots > 0 ? rent / slots : INFINITY;
}

/* The cheapest ordinary machine without GPUs, whether or not it is to be had. */
static double proper_price(const struct ow_leader *leader, const struct ow_resources *need, uint64_t types)
{
    double best = INFINITY;
    for (int i = 0; i < OW_MAX_TYPES; i++) {
        const struct ow_machine_type *type = ow_machine_types_at(leader->core->machine_types, i);
        if (type != NULL && !improper(type, need) && (types & (UINT64_C(1) << i)) != 0)
            best = MIN(best, price_of(type, need, false));
    }
    return best;
}

bool ow_instance_offers_is_wasteful(const struct ow_leader *leader, const struct ow_machine_type *type,
                                    const struct ow_class *class, bool spot)
{
    /* Less urgent work gets only what the GPUs leave over. */
    return improper(type, &class->need) &&
           ((int)class->rank >= leader->cycle.gpu_rank ||
            price_of(type, &class->need, spot) >
                FAIR_PRICE * proper_price(leader, &class->need, class->types));
}

/* How long a new machine takes until it can run the job. */
static double start_s(const struct ow_machine_type *type, const struct ow_job_spec *spec)
{
    return type->boot_s + (type->fetch_gb_per_s > 0 ? spec->submission->image_gb / type->fetch_gb_per_s : 0);
}

/* Whether the kind of machine can be provisioned for the job, and would come in time to help. */
static bool is_option(const struct ow_leader *leader, const struct ow_job_spec *spec,
                      const struct ow_machine *kind, double waits)
{
    const struct ow_machine_type *type = ow_machine_types_at(leader->core->machine_types, kind->type);
    if (waits < HELP_PATIENCE * start_s(type, spec))
        return false;
    if (!offered_in(type, ow_interner_text(leader->core->interners.zones, kind->zone)))
        return false;
    return ow_placement_slots(leader, spec, kind) > 0 && ow_placement_is_allowed(spec, kind) &&
           !refused(leader, kind->type, kind->zone, kind->spot);
}

/* Hourly rent for each task of the job that would run on such a machine. */
static double price_for_job(const struct ow_leader *leader, const struct ow_job_spec *spec,
                            const struct ow_machine *kind)
{
    const struct ow_machine_type *type = ow_machine_types_at(leader->core->machine_types, kind->type);
    uint32_t slots = ow_placement_slots(leader, spec, kind);
    return (kind->spot ? type->spot_price : type->price) / MIN(slots, spec->submission->tasks);
}

bool ow_instance_offers_best(const struct ow_leader *leader, const struct ow_job_spec *spec, double waits,
                             bool proper, bool cheap, struct ow_expected_machine *out)
{
    const struct ow_class *class = ow_class_of(leader->core, spec->class_index);
    double best = INFINITY;
    for (int type_index = 0; type_index < OW_MAX_TYPES; type_index++) {
        const struct ow_machine_type *type = ow_machine_types_at(leader->core->machine_types, type_index);
        for (char **zone = leader->core->settings->zones; type != NULL && *zone != NULL; zone++) {
            int zone_index = ow_interner_intern(leader->core->interners.zones, *zone);
            for (int spot = cheap ? 1 : 0; spot < 2; spot++) {
                struct ow_expected_machine candidate = {
                    .machine = {.type = type_index, .zone = zone_index, .spot = spot != 0},
                    .to_provision = true};
                if (proper && ow_instance_offers_is_wasteful(leader, type, class, spot != 0))
                    continue;
                if (!is_option(leader, spec, &candidate.machine, waits))
                    continue;
                double price = price_for_job(leader, spec, &candidate.machine);
                if (price < best) {
                    best = price;
                    *out = candidate;
                }
            }
        }
    }
    return best < INFINITY;
}
