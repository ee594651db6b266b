#include "core/invariants.h"

#include "core/core_state.h"

#include <inttypes.h>

bool ow_invariant_check(struct ow_core *core, bool holds, const struct ow_invariant *invariant)
{
    if (holds)
        return true;
    core->invariant_violations++;
    g_warning("invariant violated: invariant=%s subject=%s fencing_token=%" PRIu64 " revision=%" PRIu64
              " age_s=%.2f",
              invariant->name, invariant->subject != NULL ? invariant->subject : "none",
              invariant->fencing_token, invariant->revision, invariant->age_s);
    return false;
}
