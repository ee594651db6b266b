#include "core/invariants.h"

#include "core/core_state.h"
#include "core/election/election.h"
#include "core/jobs/job_cache.h"

#include <inttypes.h>

bool ow_invariant_check(struct ow_core *core, bool holds, const struct ow_invariant *invariant)
{
    if (holds)
        return true;
    core->invariant_violations++;
    g_warning("invariant violated: invariant=%s subject=%s fencing_token=%" PRIu64 " revision=%" PRIu64
              " age_s=%.2f",
              invariant->name, invariant->subject != NULL ? invariant->subject : "none",
              ow_election_fencing_token(core->election), ow_job_cache_revision(core->job_cache),
              invariant->age_s);
    return false;
}
