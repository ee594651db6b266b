#include "core/scheduling/price_filter.h"

#include "core/jobs/execution.h"
#include "core/leader/leader_state.h"
#include "core/machines/machine.h"
#include "core/machines/machine_registry.h"
#include "core/scheduling/classes.h"
#include "core/scheduling/placement.h"
#include "model/cloud.h"
#include "model/submission.h"

/* Work without SLOs is placed on expensive machines only after waiting this long for cheap ones. */
static const double CHEAP_WAIT_S = 120;

bool ow_price_filter_applies(const struct ow_leader *leader, const struct ow_execution *execution)
{
    const struct ow_job_spec *spec = execution->job->spec;
    /* More urgent work doesn't wait for cheaper machines, even if no SLO is set for it. */
    if (!spec->submission->spot || spec->submission->rank != OW_RANK_LOW)
        return false;
    if (ow_class_has_slo(leader->core, spec->class_index) || execution->is_starving || execution->is_aged)
        return false;
    /* The time since this controller first saw the job counts, not the job's age: after a restart of every
       controller all jobs may be old, and would all be placed on expensive machines at once. Promoted jobs
       take expensive machines however often the controllers restart. */
    return leader->core->now - execution->job->first_seen_at < CHEAP_WAIT_S;
}

/* Whether the class has an SLO and makes proper use of machines of the type: its tasks fit, and need the
   GPUs if there are any. */
static bool is_useful_to_class(const struct ow_leader *leader, int class_index, int type_index,
                               const struct ow_machine_type *type)
{
    const struct ow_class *class = &g_array_index(leader->core->classes, struct ow_class, class_index);
    if (!class->seen || !ow_class_allows_type(class, type_index))
        return false;
    if (ow_placement_slots_on_empty(type, &class->need) == 0)
        return false;
    if (type->size.gpus > 0 && class->need.gpus <= 0)
        return false;
    return ow_class_has_slo(leader->core, class_index);
}

bool ow_price_filter_is_expensive(const struct ow_leader *leader, const struct ow_machine *machine)
{
    const struct ow_machine_type *type = ow_machine_type_of(leader, machine);
    if (machine->spot || type->spot_price <= 0 || type->spot_price >= type->price)
        return false;
    if (leader->core->settings->slos->len == 0)
        return false;
    for (guint i = 0; i < leader->core->classes->len; i++) {
        if (is_useful_to_class(leader, (int)i, machine->type, type))
            return false;
    }
    return true;
}
