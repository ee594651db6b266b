#include "core/scheduling/image_demand.h"

#include "core/jobs/execution.h"
#include "core/leader/leader_state.h"
#include "core/machine_types.h"
#include "core/machines/machine.h"
#include "core/machines/machine_registry.h"
#include "core/scheduling/classes.h"
#include "core/scheduling/placement.h"
#include "model/cloud.h"
#include "model/submission.h"

static bool fits_type(const struct ow_job_spec *spec, int index, const struct ow_machine_type *type)
{
    return ow_type_set_has(spec->types, index) &&
           ow_placement_slots_on_empty(type, &spec->submission->need) > 0;
}

double ow_image_slowest_fetch_s(const struct ow_leader *leader, const struct ow_job_spec *spec)
{
    double slowest_s = 0;
    for (int i = 0; i < ow_machine_types_count(leader->core->machine_types); i++) {
        const struct ow_machine_type *type = ow_machine_types_at(leader->core->machine_types, i);
        if (type == NULL || type->fetch_gb_per_s <= 0 || !fits_type(spec, i, type))
            continue;
        slowest_s = MAX(slowest_s, spec->submission->image_gb / type->fetch_gb_per_s);
    }
    return slowest_s;
}

GArray *ow_image_demand_new_table(void)
{
    return g_array_new(FALSE, TRUE, sizeof(struct ow_image_demand));
}

static struct ow_image_demand *find_or_add(struct ow_leader *leader, int image)
{
    GArray *table = leader->cycle.image_demand;
    if (table->len <= (guint)image)
        g_array_set_size(table, (guint)image + 1);
    return &g_array_index(table, struct ow_image_demand, image);
}

const struct ow_image_demand *ow_image_demand_of(struct ow_leader *leader, int image)
{
    return find_or_add(leader, image);
}

/* Gangs don't count: they start as a whole wherever there is capacity. */
static void add_waiting_work(struct ow_leader *leader, const struct ow_execution *execution)
{
    const struct ow_job_spec *spec = execution->job->spec;
    uint32_t pending = ow_submission_is_gang(spec->submission) ? 0 : ow_execution_count_pending(execution);
    if (pending == 0)
        return;
    struct ow_image_demand *demand = find_or_add(leader, spec->image);
    demand->spec = spec;
    demand->work_s += pending * ow_class_run_time_s(leader->core, spec);
}

static void add_slots(struct ow_leader *leader, const struct ow_machine *machine)
{
    if (!ow_machine_is_usable(leader, machine))
        return;
    const struct ow_machine_type *type = ow_machine_type_of(leader, machine);
    for (guint i = 0; i < machine->load.images->len; i++) {
        int image = g_array_index(machine->load.images, struct ow_image_copy, i).image;
        struct ow_image_demand *demand = find_or_add(leader, image);
        if (demand->spec == NULL || !ow_placement_is_allowed(demand->spec, machine))
            continue;
        demand->slots += ow_placement_slots_on_empty(type, &demand->spec->submission->need);
    }
}

void ow_image_demand_update(struct ow_leader *leader)
{
    g_array_set_size(leader->cycle.image_demand, 0);
    for (guint i = 0; i < leader->executions->len; i++)
        add_waiting_work(leader, g_ptr_array_index(leader->executions, i));
    for (guint i = 0; i < leader->machines->len; i++)
        add_slots(leader, g_ptr_array_index(leader->machines, i));
}
