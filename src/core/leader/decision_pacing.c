#include "core/leader/decision_pacing.h"

#include "core/leader/leader_state.h"

/* Duration of the pause as a multiple of the step's: decisions get at most a quarter of the time. */
static const double PAUSE_FACTOR = 3;
/* Upper bound of the pause, so that decisions go on however busy the process is. */
static const double PAUSE_MAX_S = 3;

void ow_decision_pacing_tick(struct ow_leader *leader)
{
    struct ow_decision_pacing *pacing = &leader->decision_pacing;
    const struct ow_core *core = leader->core;
    if (pacing->has_decided)
        pacing->paused_until = core->now + MIN(PAUSE_FACTOR * core->overload_step_s, PAUSE_MAX_S);
    pacing->has_decided = false;
}

bool ow_decision_pacing_allows(const struct ow_leader *leader)
{
    return leader->core->now >= leader->decision_pacing.paused_until;
}

void ow_decision_pacing_note(struct ow_leader *leader)
{
    leader->decision_pacing.has_decided = true;
}
