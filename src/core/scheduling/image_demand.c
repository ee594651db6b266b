/* How long fetching a container image takes. */
#include "core/scheduling/image_demand.h"
#include "core/leader_state.h"
#include "core/scheduling/placement.h"

static bool fits_type(const struct ow_spec *spec, int index, const struct ow_machine_type *type)
{
    return (spec->types & (UINT64_C(1) << index)) != 0 &&
           ow_placement_slots_on_empty(type, &spec->submission->need) > 0;
}

double ow_image_slowest_fetch_seconds(const struct ow_leader *leader, const struct ow_spec *spec)
{
    double slowest = 0;
    for (int i = 0; i < OW_MAX_TYPES; i++) {
        const struct ow_machine_type *type = leader->controller->types[i];
        if (type == NULL || type->fetch_gb_per_s <= 0 || !fits_type(spec, i, type))
            continue;
        slowest = MAX(slowest, spec->submission->image_gb / type->fetch_gb_per_s);
    }
    return slowest;
}
