#include "core/machines/spot_risk.h"

#include "core/leader/leader_state.h"
#include "core/machines/machine.h"

#include <math.h>

/* Time constant of the exponential decay of observations. */
static const double DECAY_S = 180;
/* Prior added to the observations: PRIOR_RECLAIM_NOTICES notices in PRIOR_MACHINE_S machine seconds. */
static const double PRIOR_RECLAIM_NOTICES = 1;
static const double PRIOR_MACHINE_S = 1800;

/* Observations of spot machines, with exponential decay. */
struct ow_spot_risk {
    double reclaim_notices;
    double machine_s; /* total observed time of spot machines */
    double updated_at;
};

struct ow_spot_risk *ow_spot_risk_new(void)
{
    return g_new0(struct ow_spot_risk, 1);
}

void ow_spot_risk_free(struct ow_spot_risk *risk)
{
    g_free(risk);
}

void ow_spot_risk_observe_reclaim_notice(struct ow_leader *leader)
{
    leader->spot_risk->reclaim_notices += 1;
}

void ow_spot_risk_tick(struct ow_leader *leader)
{
    struct ow_spot_risk *risk = leader->spot_risk;
    double now = leader->core->now;
    double passed_s = risk->updated_at > 0 ? now - risk->updated_at : 0;
    double decay = exp(-passed_s / DECAY_S);
    unsigned machines = 0;
    for (guint i = 0; i < leader->machines->len; i++) {
        const struct ow_machine *machine = g_ptr_array_index(leader->machines, i);
        machines += machine->spot && machine->liveness.last_message_at > 0 ? 1 : 0;
    }
    risk->reclaim_notices *= decay;
    risk->machine_s = risk->machine_s * decay + machines * passed_s;
    risk->updated_at = now;
}

double ow_spot_risk_within(const struct ow_leader *leader, double seconds)
{
    const struct ow_spot_risk *risk = leader->spot_risk;
    double rate = (risk->reclaim_notices + PRIOR_RECLAIM_NOTICES) / (risk->machine_s + PRIOR_MACHINE_S);
    return 1 - exp(-rate * MAX(0, seconds));
}
