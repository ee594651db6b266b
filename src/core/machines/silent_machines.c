#include "core/machines/silent_machines.h"

#include "core/jobs/attempt.h"
#include "core/jobs/execution.h"
#include "core/leader/leader_state.h"
#include "core/machines/fleet.h"
#include "core/machines/machine.h"
#include "core/machines/machine_registry.h"
#include "model/cloud.h"

/* A machine that is named by records, but not in the cloud's list, is terminated after this time without a
   message: a running machine would have sent a heartbeat. */
static const double UNLISTED_TIMEOUT_S = 12;
/* A booting machine is overdue if no message has arrived within OVERDUE_BOOTS boot times of its type plus
   OVERDUE_MARGIN_S. */
static const double OVERDUE_BOOTS = 3;
static const double OVERDUE_MARGIN_S = 20;
/* Boot time assumed while the machine's type is unknown. */
static const double UNKNOWN_BOOT_S = 60;
/* A new leader terminates no overdue machines until it has been ready for this long. */
static const double OVERDUE_MIN_READY_S = 30;
/* A machine is considered reclaimed when it has been silent for this long after its reclaim time. */
static const double RECLAIMED_SILENT_S = 3;
/* A machine that has sent messages is terminated after this many leases without a heartbeat. */
static const double SILENT_LEASES = 3;
/* Heartbeat intervals that a new leader waits before it terminates silent machines for their replicas. */
static const double MIN_READY_HEARTBEATS = 2.5;
/* More silent machines than this are attributed to a network fault. */
enum { ISOLATED_SILENT_MAX = 3 };

static bool is_boot_overdue(const struct ow_leader *leader, const struct ow_machine *machine)
{
    if (machine->liveness.last_message_at != 0)
        return false;
    const struct ow_machine_type *type = ow_machine_type_of(leader, machine);
    double boot_s = type != NULL ? type->boot_s : UNKNOWN_BOOT_S;
    return leader->core->now - machine->provisioned_at > OVERDUE_BOOTS * boot_s + OVERDUE_MARGIN_S &&
           leader->core->now - leader->ready_at > OVERDUE_MIN_READY_S;
}

/* Seconds without a message, counted at the earliest from when this leader became ready. */
static double silent_s(const struct ow_leader *leader, const struct ow_machine *machine)
{
    return leader->core->now - MAX(machine->liveness.last_message_at, leader->ready_at);
}

static bool is_reclaimed(const struct ow_leader *leader, const struct ow_machine *machine)
{
    return machine->reclaim_at > 0 && leader->core->now > machine->reclaim_at &&
           silent_s(leader, machine) > RECLAIMED_SILENT_S;
}

static bool is_known_only_from_records(const struct ow_leader *leader, const struct ow_machine *machine)
{
    return machine->liveness.last_message_at == 0 && machine->listed == OW_LISTED_ABSENT &&
           machine->load.attempts->len > 0 && silent_s(leader, machine) > UNLISTED_TIMEOUT_S;
}

static bool is_silent_for_leases(const struct ow_leader *leader, const struct ow_machine *machine)
{
    double since =
        MAX(MAX(machine->liveness.last_heartbeat_at, machine->liveness.known_since), leader->ready_at);
    return machine->liveness.last_message_at != 0 &&
           leader->core->now - since > SILENT_LEASES * leader->core->settings->lease_s;
}

void ow_silent_machine_terminate(struct ow_leader *leader, struct ow_machine *machine)
{
    if (machine->listed == OW_LISTED_FAILED)
        ow_fleet_terminate(leader, machine, "the cloud reports the machine as failed");
    else if (is_reclaimed(leader, machine))
        ow_fleet_terminate(leader, machine, "the machine is silent after its reclaim time");
    else if (is_known_only_from_records(leader, machine))
        ow_fleet_terminate(
            leader, machine,
            "records name the machine, but it sends no messages and is not in the cloud's list");
    else if (is_boot_overdue(leader, machine))
        ow_fleet_terminate(leader, machine, "the machine has not booted in time");
    else if (is_silent_for_leases(leader, machine))
        ow_fleet_terminate(leader, machine, "no heartbeat for several leases");
}

static bool has_fallen_silent(const struct ow_leader *leader, const struct ow_machine *machine)
{
    return machine->liveness.is_fenced && machine->liveness.last_message_at > 0 &&
           !ow_machine_heard_recently(leader, machine);
}

static bool has_service_replicas(const struct ow_machine *machine)
{
    for (guint i = 0; i < machine->load.attempts->len; i++) {
        const struct ow_attempt *attempt = g_ptr_array_index(machine->load.attempts, i);
        if (ow_execution_is_service(attempt->job->execution))
            return true;
    }
    return false;
}

bool ow_silent_machine_has_replicas(const struct ow_leader *leader, const struct ow_machine *machine)
{
    return has_fallen_silent(leader, machine) && has_service_replicas(machine);
}

/* Evidence: a few machines that fall silent one by one have failed, and their replicas serve no requests.
   Deletion proves the replicas gone long before the lease does, so that they may start elsewhere. If more
   machines than ISOLATED_SILENT_MAX are silent at once, a network partition is likely: their replicas may
   still serve on the other side of it, and only the lease ends them. */
bool ow_silent_machines_are_few(const struct ow_leader *leader)
{
    unsigned silent_count = 0;
    for (guint i = 0; i < leader->machines->len; i++)
        silent_count += has_fallen_silent(leader, g_ptr_array_index(leader->machines, i)) ? 1 : 0;
    return silent_count <= ISOLATED_SILENT_MAX;
}

void ow_silent_machine_terminate_for_replicas(struct ow_leader *leader, struct ow_machine *machine)
{
    double min_ready_s = MIN_READY_HEARTBEATS * leader->core->settings->heartbeat_interval_s;
    if (ow_silent_machine_has_replicas(leader, machine) && machine->liveness.unanswered_since > 0 &&
        leader->core->now - leader->ready_at > min_ready_s)
        ow_fleet_terminate(leader, machine, "the machine is silent and has replicas of services");
}
