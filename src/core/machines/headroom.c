/* Room kept ready for classes that can't wait for a machine to boot. */
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

/* Room kept ready beyond what a class uses. */
static const double HEADROOM_SHARE = 0.5;
/* The time a machine provisioned at need is expected to take: so many boot times, the fetch and this margin.
 */
static const double START_BOOTS = 2, START_MARGIN_S = 20;

/* Whether the class has so little slack that a machine provisioned at need would come late for it. */
static bool is_tight(struct ow_leader *leader, int class_index, const struct ow_machine_type *type)
{
    const struct ow_class *class = ow_class_of(leader->core, class_index);
    double fetch = type->fetch_gb_per_s > 0 ? class->image_gb / type->fetch_gb_per_s : 0;
    /* A class without aims has no promise to keep: no machine is kept idle for it. */
    return ow_class_has_slo(leader->core, class_index) &&
           ow_class_slack_s(leader->core, class_index) < START_BOOTS * type->boot_s + fetch + START_MARGIN_S;
}

/* Slots of the class on a machine, full and free ones. */
static uint32_t class_slots(const struct ow_leader *leader, const struct ow_class *class,
                            const struct ow_machine *machine, bool proper)
{
    const struct ow_machine_type *type = ow_machine_type_of(leader, machine);
    if (type == NULL || (proper && ow_instance_offers_is_wasteful(leader, type, class, machine->spot)) ||
        (machine->spot && !class->spot) || (class->types & (UINT64_C(1) << machine->type)) == 0)
        return 0;
    /* What ordinary GPU machines have for it is what their GPUs leave over, as in placement. */
    struct ow_machine_type left = {.size = type->size};
    if (ow_instance_offers_is_wasteful(leader, type, class, machine->spot) && !machine->spot)
        left.size.cpus = MAX(0, left.size.cpus - left.size.gpus * leader->cycle.gpu_cpus);
    return ow_placement_slots_on_empty(&left, &class->need);
}

/* `plan` may be NULL: machines that are up alone. */
static uint32_t slots_there(const struct ow_leader *leader, const struct ow_class *class, bool proper,
                            const GArray *plan)
{
    uint32_t slots = 0;
    for (guint i = 0; i < leader->machines->len; i++) {
        const struct ow_machine *machine = g_ptr_array_index(leader->machines, i);
        if (ow_machine_is_usable(leader, machine))
            slots += class_slots(leader, class, machine, proper);
    }
    for (guint i = 0; plan != NULL && i < plan->len; i++)
        slots +=
            class_slots(leader, class, &g_array_index(plan, struct ow_expected_machine, i).machine, proper);
    return slots;
}

/* The tasks of a class that run or wait, and the newest of its runs as a sample. */
static uint32_t class_tasks(const struct ow_leader *leader, int class_index,
                            const struct ow_execution **sample)
{
    uint32_t tasks = 0;
    *sample = NULL;
    for (guint i = 0; i < leader->executions->len; i++) {
        const struct ow_execution *execution = g_ptr_array_index(leader->executions, i);
        if (execution->job->spec->class_index != class_index || ow_job_is_over(execution->job))
            continue;
        tasks += execution->count - execution->done;
        if (*sample == NULL || execution->accepted_at > (*sample)->accepted_at)
            *sample = execution;
    }
    return tasks;
}

void ow_headroom_plan(struct ow_leader *leader, GArray *plan, unsigned *most)
{
    for (guint i = 0; i < leader->core->classes->len; i++) {
        const struct ow_execution *sample = NULL;
        double peak = ow_class_update_peak(leader->core, (int)i, class_tasks(leader, (int)i, &sample));
        struct ow_expected_machine candidate;
        if (sample == NULL || !ow_instance_offers_find_cheapest(leader, sample->job->spec, INFINITY,
                                                                OW_OFFERS_NOT_WASTEFUL, &candidate))
            continue;
        const struct ow_machine_type *type = ow_machine_type_of(leader, &candidate.machine);
        const struct ow_class *class = ow_class_of(leader->core, (int)i);
        if (!is_tight(leader, (int)i, type) || ow_class_is_quiet(leader->core, (int)i))
            continue;
        /* What it used lately and some more. */
        double wanted = peak + MAX(class->largest, HEADROOM_SHARE * peak);
        uint32_t there = slots_there(leader, class, true, plan);
        while (*most > 0 && there < wanted &&
               ow_instance_offers_find_cheapest(leader, sample->job->spec, INFINITY, OW_OFFERS_NOT_WASTEFUL,
                                                &candidate)) {
            there += class_slots(leader, class, &candidate.machine, true);
            g_array_append_val(plan, candidate);
            (*most)--;
        }
    }
}

/* What a class needs to find ready, and what of that is there. */
struct need {
    const struct ow_class *class;
    int class_index;
    bool proper;
    double wanted, there;
};

/* Slots that a class needs: what it used lately and some more. An improper machine is kept only for what the
   class really had running lately; for a class that is quiet only what it runs now counts, or machines would
   be kept idle for long after its last job. */
static double slots_wanted(struct ow_leader *leader, int class_index, bool proper)
{
    const struct ow_class *class = ow_class_of(leader->core, class_index);
    const struct ow_execution *sample = NULL;
    if (ow_class_is_quiet(leader->core, class_index))
        return class_tasks(leader, class_index, &sample);
    return proper ? class->peak * (1 + HEADROOM_SHARE) + class->largest : class->peak;
}

static GArray *class_needs(struct ow_leader *leader)
{
    GArray *needs = g_array_new(FALSE, FALSE, sizeof(struct need));
    for (guint i = 0; i < leader->core->classes->len; i++) {
        const struct ow_class *class = ow_class_of(leader->core, (int)i);
        for (int proper = 0; class->seen && proper < 2; proper++) {
            struct need need = {class, (int)i, proper != 0, slots_wanted(leader, (int)i, proper != 0),
                                slots_there(leader, class, proper, NULL)};
            g_array_append_val(needs, need);
        }
    }
    return needs;
}

/* Whether a class would miss the machine; if none would, it counts as gone from here on. */
static bool spared(struct ow_leader *leader, GArray *needs, const struct ow_machine *machine)
{
    const struct ow_machine_type *type = ow_machine_type_of(leader, machine);
    for (guint i = 0; i < needs->len; i++) {
        const struct need *need = &g_array_index(needs, struct need, i);
        uint32_t slots = class_slots(leader, need->class, machine, need->proper);
        bool matters =
            slots > 0 &&
            need->proper == !ow_instance_offers_is_wasteful(leader, type, need->class, machine->spot) &&
            is_tight(leader, need->class_index, type);
        if (matters && need->there < need->wanted + slots)
            return false;
    }
    for (guint i = 0; i < needs->len; i++) {
        struct need *need = &g_array_index(needs, struct need, i);
        need->there -= class_slots(leader, need->class, machine, need->proper);
    }
    return true;
}

static double price_of(const struct ow_leader *leader, const struct ow_machine *machine)
{
    const struct ow_machine_type *type = ow_machine_type_of(leader, machine);
    return machine->spot ? type->spot_price : type->price;
}

static gint dearest_first(gconstpointer a, gconstpointer b, gpointer leader)
{
    const struct ow_machine *first = *(const struct ow_machine *const *)a;
    const struct ow_machine *second = *(const struct ow_machine *const *)b;
    double first_price = price_of(leader, first);
    double second_price = price_of(leader, second);
    if (first_price != second_price)
        return first_price > second_price ? -1 : 1;
    return first->type - second->type;
}

GPtrArray *ow_headroom_unneeded(struct ow_leader *leader, bool (*idle)(const struct ow_machine *machine))
{
    g_autoptr(GPtrArray) found = g_ptr_array_new();
    GPtrArray *unneeded = g_ptr_array_new();
    for (guint i = 0; i < leader->machines->len; i++) {
        struct ow_machine *machine = g_ptr_array_index(leader->machines, i);
        if (ow_machine_type_of(leader, machine) != NULL && idle(machine))
            g_ptr_array_add(found, machine);
    }
    g_ptr_array_sort_with_data(found, dearest_first, leader);
    g_autoptr(GArray) needs = class_needs(leader);
    for (guint i = 0; i < found->len; i++)
        if (spared(leader, needs, g_ptr_array_index(found, i)))
            g_ptr_array_add(unneeded, g_ptr_array_index(found, i));
    return unneeded;
}
