#include "core/leader/leader_status.h"

#include "core/leader/leader_state.h"
#include "core/machines/command_queue.h"
#include "core/machines/machine.h"
#include "core/records/recorder_state.h"

#include <inttypes.h>

/* Workers send a heartbeat every interval, with a jitter of up to a quarter of it. */
static const double SETTLING_HEARTBEATS = 1.25;

static const char *phase_name(enum ow_leader_phase phase)
{
    switch (phase) {
    case OW_LEADER_REFRESHING:
        return "refreshing";
    case OW_LEADER_LOADING:
        return "loading";
    case OW_LEADER_READY:
        break;
    }
    return "ready";
}

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

void ow_leader_status_log(const struct ow_leader *leader)
{
    struct ow_leader_status status = ow_leader_status_of(leader);
    double ready_s = status.is_ready ? leader->core->now - leader->ready_at : 0;
    g_info("leader status: fencing_token=%" PRIu64 " phase=%s ready_s=%.0f jobs=%u machines=%u fenced=%u "
           "queued_commands=%u probes=%u queued_writes=%u revision_reads=%u",
           leader->fencing_token, phase_name(leader->phase), ready_s, leader->executions->len,
           status.machines, status.fenced_machines, ow_command_queue_length(leader), leader->probes,
           ow_write_queue_length(leader->recorder->queue), leader->recorder->mod_revision_reads);
}
