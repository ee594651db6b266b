#include "core/machines/headroom.h"

#include "core/jobs/execution.h"
#include "core/leader/leader_state.h"
#include "core/machines/instance_offers.h"
#include "core/machines/machine.h"
#include "core/machines/machine_registry.h"
#include "core/scheduling/classes.h"
#include "core/scheduling/placement.h"
#include "model/cloud.h"

#include <math.h>

/* Headroom relative to the peak use of a class. */
static const double HEADROOM_SHARE = 0.5;
/* Assumed start time of a machine provisioned on demand: START_BOOT_TIMES boot times, the image fetch and
   START_MARGIN_S. */
static const double START_BOOT_TIMES = 2, START_MARGIN_S = 20;

/* Whether the class has so little slack that a machine provisioned on demand would start too late for it. */
static bool needs_headroom(struct ow_leader *leader, int class_index, const struct ow_machine_type *type)
{
    const struct ow_class *class = ow_class_of(leader->core, class_index);
    double fetch_s = type->fetch_gb_per_s > 0 ? class->image_gb / type->fetch_gb_per_s : 0;
    /* No machine is kept idle for a class without an SLO. */
    return ow_class_has_slo(leader->core, class_index) &&
           ow_class_slack_s(leader->core, class_index) <
               START_BOOT_TIMES * type->boot_s + fetch_s + START_MARGIN_S;
}

/* Number of slots for the class on a machine, used and free ones. */
static uint32_t class_slots(const struct ow_leader *leader, const struct ow_class *class,
                            const struct ow_machine *machine, bool exclude_wasteful)
{
    const struct ow_machine_type *type = ow_machine_type_of(leader, machine);
    if (type == NULL ||
        (exclude_wasteful && ow_instance_offers_is_wasteful(leader, type, class, machine->spot)) ||
        (machine->spot && !class->spot) || !ow_class_allows_type(class, machine->type))
        return 0;
    /* On an ordinary machine with GPUs, a class gets only CPUs that the GPUs don't need, as in placement. */
    struct ow_machine_type leftover = {.size = type->size};
    if (ow_instance_offers_is_wasteful(leader, type, class, machine->spot) && !machine->spot)
        leftover.size.cpus = MAX(0, leftover.size.cpus - leftover.size.gpus * leader->cycle.gpu_cpus);
    return ow_placement_slots_on_empty(&leftover, &class->need);
}

/* Slots for the class on usable machines and on those of `plan`, which may be NULL. */
static uint32_t available_slots(const struct ow_leader *leader, const struct ow_class *class,
                                bool exclude_wasteful, const GArray *plan)
{
    uint32_t slots = 0;
    for (guint i = 0; i < leader->machines->len; i++) {
        const struct ow_machine *machine = g_ptr_array_index(leader->machines, i);
        if (ow_machine_is_usable(leader, machine))
            slots += class_slots(leader, class, machine, exclude_wasteful);
    }
    for (guint i = 0; plan != NULL && i < plan->len; i++)
        slots += class_slots(leader, class, &g_array_index(plan, struct ow_expected_machine, i).machine,
                             exclude_wasteful);
    return slots;
}

/* The open jobs of a class. */
struct class_demand {
    uint32_t tasks;                    /* unfinished tasks */
    const struct ow_execution *newest; /* NULL: no job is open */
};

/* The demand of every class (struct class_demand), by class index; the caller frees the array. */
static GArray *demand_by_class(const struct ow_leader *leader)
{
    GArray *demands = g_array_new(FALSE, TRUE, sizeof(struct class_demand));
    g_array_set_size(demands, leader->core->classes->len);
    for (guint i = 0; i < leader->executions->len; i++) {
        const struct ow_execution *execution = g_ptr_array_index(leader->executions, i);
        if (ow_job_is_over(execution->job))
            continue;
        struct class_demand *demand =
            &g_array_index(demands, struct class_demand, execution->job->spec->class_index);
        demand->tasks += execution->count - execution->done;
        if (demand->newest == NULL || execution->accepted_at > demand->newest->accepted_at)
            demand->newest = execution;
    }
    return demands;
}

void ow_headroom_plan(struct ow_leader *leader, GArray *plan, unsigned *limit)
{
    g_autoptr(GArray) demands = demand_by_class(leader);
    for (guint i = 0; i < demands->len; i++) {
        const struct class_demand *demand = &g_array_index(demands, struct class_demand, i);
        const struct ow_execution *sample = demand->newest;
        double peak = ow_class_update_peak(leader->core, (int)i, demand->tasks);
        struct ow_expected_machine candidate;
        if (sample == NULL || !ow_instance_offers_find_cheapest(leader, sample->job->spec, INFINITY,
                                                                OW_OFFERS_NOT_WASTEFUL, &candidate))
            continue;
        const struct ow_machine_type *type = ow_machine_type_of(leader, &candidate.machine);
        const struct ow_class *class = ow_class_of(leader->core, (int)i);
        if (!needs_headroom(leader, (int)i, type) || ow_class_is_quiet(leader->core, (int)i))
            continue;
        /* The recent peak plus headroom. */
        double wanted = peak + MAX(class->largest, HEADROOM_SHARE * peak);
        uint32_t available = available_slots(leader, class, true, plan);
        while (*limit > 0 && available < wanted &&
               ow_instance_offers_find_cheapest(leader, sample->job->spec, INFINITY, OW_OFFERS_NOT_WASTEFUL,
                                                &candidate)) {
            available += class_slots(leader, class, &candidate.machine, true);
            g_array_append_val(plan, candidate);
            (*limit)--;
        }
    }
}

/* Slots that a class needs ready, and those that are available. */
struct class_need {
    const struct ow_class *class;
    int class_index;
    bool exclude_wasteful;
    double wanted, available;
};

/* Slots that a class needs: its recent peak plus headroom. If wasteful machines count, only the peak, so that
   they are not kept for headroom. For a quiet class only its present tasks count, or machines would be kept
   idle long after its last job. */
static double wanted_slots(struct ow_leader *leader, int class_index, const struct class_demand *demand,
                           bool exclude_wasteful)
{
    const struct ow_class *class = ow_class_of(leader->core, class_index);
    if (ow_class_is_quiet(leader->core, class_index))
        return demand->tasks;
    return exclude_wasteful ? class->peak * (1 + HEADROOM_SHARE) + class->largest : class->peak;
}

/* Only classes with an SLO can need a machine: the others, of which users may name any number, cost nothing
   here. */
static GArray *class_needs(struct ow_leader *leader)
{
    GArray *needs = g_array_new(FALSE, FALSE, sizeof(struct class_need));
    g_autoptr(GArray) demands = demand_by_class(leader);
    for (guint i = 0; i < demands->len; i++) {
        const struct class_demand *demand = &g_array_index(demands, struct class_demand, i);
        const struct ow_class *class = ow_class_of(leader->core, (int)i);
        if (!class->seen || !ow_class_has_slo(leader->core, (int)i))
            continue;
        for (int exclude_wasteful = 0; exclude_wasteful < 2; exclude_wasteful++) {
            struct class_need need = {class, (int)i, exclude_wasteful != 0,
                                      wanted_slots(leader, (int)i, demand, exclude_wasteful != 0),
                                      available_slots(leader, class, exclude_wasteful, NULL)};
            g_array_append_val(needs, need);
        }
    }
    return needs;
}

/* Whether no class needs the machine; if so, its slots are subtracted from those available. */
static bool release_if_unneeded(struct ow_leader *leader, GArray *needs, const struct ow_machine *machine)
{
    const struct ow_machine_type *type = ow_machine_type_of(leader, machine);
    for (guint i = 0; i < needs->len; i++) {
        const struct class_need *need = &g_array_index(needs, struct class_need, i);
        uint32_t slots = class_slots(leader, need->class, machine, need->exclude_wasteful);
        bool matters = slots > 0 &&
                       need->exclude_wasteful ==
                           !ow_instance_offers_is_wasteful(leader, type, need->class, machine->spot) &&
                       needs_headroom(leader, need->class_index, type);
        if (matters && need->available < need->wanted + slots)
            return false;
    }
    for (guint i = 0; i < needs->len; i++) {
        struct class_need *need = &g_array_index(needs, struct class_need, i);
        need->available -= class_slots(leader, need->class, machine, need->exclude_wasteful);
    }
    return true;
}

static double hourly_price(const struct ow_leader *leader, const struct ow_machine *machine)
{
    const struct ow_machine_type *type = ow_machine_type_of(leader, machine);
    return machine->spot ? type->spot_price : type->price;
}

static gint compare_price_descending(gconstpointer a, gconstpointer b, gpointer leader)
{
    const struct ow_machine *first = *(const struct ow_machine *const *)a;
    const struct ow_machine *second = *(const struct ow_machine *const *)b;
    double first_price = hourly_price(leader, first);
    double second_price = hourly_price(leader, second);
    if (first_price != second_price)
        return first_price > second_price ? -1 : 1;
    return first->type - second->type;
}

GPtrArray *ow_headroom_unneeded(struct ow_leader *leader, bool (*idle)(const struct ow_machine *machine))
{
    g_autoptr(GPtrArray) idle_machines = g_ptr_array_new();
    GPtrArray *unneeded = g_ptr_array_new();
    for (guint i = 0; i < leader->machines->len; i++) {
        struct ow_machine *machine = g_ptr_array_index(leader->machines, i);
        if (ow_machine_type_of(leader, machine) != NULL && idle(machine))
            g_ptr_array_add(idle_machines, machine);
    }
    g_ptr_array_sort_with_data(idle_machines, compare_price_descending, leader);
    g_autoptr(GArray) needs = class_needs(leader);
    for (guint i = 0; i < idle_machines->len; i++)
        if (release_if_unneeded(leader, needs, g_ptr_array_index(idle_machines, i)))
            g_ptr_array_add(unneeded, g_ptr_array_index(idle_machines, i));
    return unneeded;
}
