#include "core/leader/leader_status.h"

#include "core/leader/leader_state.h"
#include "core/machines/machine.h"

/* Workers send a heartbeat every interval, with a jitter of up to a quarter of it. */
static const double SETTLING_HEARTBEATS = 1.25;

static bool has_settled(const struct ow_leader *leader)
{
    double settling_s = SETTLING_HEARTBEATS * leader->core->settings->heartbeat_interval_s;
    return leader->phase == OW_LEADER_READY && leader->core->now - leader->ready_at >= settling_s;
}

struct ow_leader_status ow_leader_status_of(const struct ow_leader *leader)
{
    struct ow_leader_status status = {
        .is_ready = leader->phase == OW_LEADER_READY,
        .has_settled = has_settled(leader),
    };
    for (guint i = 0; i < leader->machines->len; i++) {
        const struct ow_machine *machine = g_ptr_array_index(leader->machines, i);
        if (machine->liveness.incarnation == 0)
            continue;
        status.machines++;
        status.fenced_machines += machine->liveness.is_fenced ? 1 : 0;
    }
    return status;
}
