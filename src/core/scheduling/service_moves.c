#include "core/scheduling/service_moves.h"

#include "core/jobs/attempt.h"
#include "core/jobs/attempt_end.h"
#include "core/jobs/execution.h"
#include "core/leader/leader_state.h"
#include "core/machines/machine.h"
#include "core/machines/machine_registry.h"
#include "core/scheduling/replica_move.h"
#include "core/scheduling/replica_separation.h"
#include "model/cloud.h"

/* A replica is moved only while fewer replicas than this of its service are missing. */
enum { MAX_MISSING_REPLICAS = 1 };
/* Duration of a move: a stop, the heartbeat that reports it, and a launch. */
static const double MOVE_DURATION_S = 2;
/* A replica is stopped at the latest this long before the tasks on its machine end. */
static const double LAST_STOP_LEAD_S = 4;
/* A machine that has lost its lease is assumed to send heartbeats again within this many heartbeat
   intervals. */
static const double RECOVERY_HEARTBEATS = 2;

static bool is_movable(const struct ow_attempt *attempt)
{
    return ow_execution_is_service(attempt->job->execution) && !attempt->is_stopping &&
           !ow_job_is_over(attempt->job);
}

/* Whether heartbeats of the machine no longer arrive although it answers commands: its lease is not
   renewed, so its worker is about to end all tasks. False for a machine that answers nothing, because no
   stop would reach it. */
static bool is_losing_lease(const struct ow_leader *leader, const struct ow_machine *machine)
{
    return machine->liveness.is_fenced && machine->liveness.unanswered_since == 0 &&
           ow_machine_heard_recently(leader, machine) && ow_machine_is_silent(leader, machine);
}

/* When the tasks on the machine will end because the cloud reclaims it or its lease expires; 0 if that is
   not expected. A machine for which it is expected is called leaving. */
static double leaves_at(const struct ow_leader *leader, const struct ow_machine *machine)
{
    if (machine->reclaim_at > 0)
        return machine->reclaim_at;
    if (!is_losing_lease(leader, machine))
        return 0;
    /* Without a heartbeat under this leader the expiry is unknown, so the machine counts as leaving now. */
    double since = machine->liveness.last_heartbeat_at;
    return since > 0 ? since + leader->core->settings->lease_s : leader->core->now;
}

/* Number of the service's replicas on leaving machines. */
static uint32_t count_leaving(const struct ow_leader *leader, const struct ow_execution *execution)
{
    uint32_t leaving = 0;
    for (guint i = 0; i < execution->attempts->len; i++) {
        const struct ow_attempt *attempt = g_ptr_array_index(execution->attempts, i);
        if (!attempt->is_stopping && leaves_at(leader, attempt->machine) > 0)
            leaving++;
    }
    return leaving;
}

/* Whether one more replica of the service may be stopped now: none is missing, or the leaving machines
   leave too little time to move replicas one by one. Computed for each replica, since a stop may end
   further attempts. */
static bool can_stop_another(const struct ow_leader *leader, const struct ow_execution *execution,
                             double left_s)
{
    return ow_replica_move_count_missing(execution) < MAX_MISSING_REPLICAS ||
           count_leaving(leader, execution) * MOVE_DURATION_S > left_s - LAST_STOP_LEAD_S;
}

/* Whether a replica is stopped at the last moment although it has to fetch its image elsewhere. If the
   cloud reclaims its machine, it is: otherwise the proof that it is gone would take far longer. A machine
   that is only losing its lease may soon send heartbeats again and has the image, so a fetch that takes
   longer would prolong the outage. */
static bool should_stop_without_image(const struct ow_leader *leader, const struct ow_attempt *attempt)
{
    const struct ow_machine *machine = attempt->machine;
    const struct ow_machine_type *type = ow_machine_type_of(leader, machine);
    if (machine->reclaim_at > 0)
        return true;
    if (type == NULL || type->fetch_gb_per_s <= 0)
        return false;
    double fetch_s = attempt->job->spec->submission->image_gb / type->fetch_gb_per_s;
    return fetch_s < RECOVERY_HEARTBEATS * leader->core->settings->heartbeat_interval_s;
}

/* A replica is moved as soon as its service can spare it, if a machine with the image has capacity.
   Otherwise it serves as long as possible. */
static void move_off_leaving_machine(struct ow_leader *leader, struct ow_attempt *attempt, double left_s)
{
    const struct ow_execution *execution = attempt->job->execution;
    struct ow_machine *target = ow_replica_move_find_target(leader, execution, OW_NO_NAME);
    if (target != NULL && can_stop_another(leader, execution, left_s))
        ow_replica_move_to(leader, attempt, target,
                           "the replica is moved: its machine is leaving (reclaim or lease)");
    else if (left_s < LAST_STOP_LEAD_S && should_stop_without_image(leader, attempt))
        ow_attempt_stop(
            leader, attempt, 0,
            "the machine is leaving (reclaim or lease), and no other with the image has capacity");
}

static void drain_leaving_machine(struct ow_leader *leader, struct ow_machine *machine)
{
    double left_s = leaves_at(leader, machine) - leader->core->now;
    for (guint i = machine->load.attempts->len; i > 0; i--) {
        /* A stop may have ended several attempts. */
        if (i > machine->load.attempts->len)
            continue;
        struct ow_attempt *attempt = g_ptr_array_index(machine->load.attempts, i - 1);
        if (is_movable(attempt))
            move_off_leaving_machine(leader, attempt, left_s);
    }
}

static bool has_only_replicas(const struct ow_machine *machine)
{
    for (guint i = 0; i < machine->load.attempts->len; i++) {
        const struct ow_attempt *attempt = g_ptr_array_index(machine->load.attempts, i);
        if (!ow_execution_is_service(attempt->job->execution))
            return false;
    }
    return true;
}

/* A quarantined machine is terminated once it is empty, which replicas that run on it would delay
   indefinitely. They still serve, so they are moved only while no other replica of their service is missing
   and a machine with the image has capacity. */
static void drain_faulty_machine(struct ow_leader *leader, struct ow_machine *machine)
{
    if (!has_only_replicas(machine) || !ow_machine_heard_recently(leader, machine))
        return;
    for (guint i = machine->load.attempts->len; i > 0; i--) {
        /* A stop may have ended several attempts. */
        if (i > machine->load.attempts->len)
            continue;
        struct ow_attempt *attempt = g_ptr_array_index(machine->load.attempts, i - 1);
        if (!is_movable(attempt) ||
            ow_replica_move_count_missing(attempt->job->execution) >= MAX_MISSING_REPLICAS)
            continue;
        struct ow_machine *target = ow_replica_move_find_target(leader, attempt->job->execution, OW_NO_NAME);
        if (target != NULL)
            ow_replica_move_to(leader, attempt, target, "the replica is moved: its machine is in quarantine");
    }
}

void ow_service_moves_tick(struct ow_leader *leader)
{
    for (guint i = 0; i < leader->machines->len; i++) {
        struct ow_machine *machine = g_ptr_array_index(leader->machines, i);
        if (leaves_at(leader, machine) > 0)
            drain_leaving_machine(leader, machine);
        else if (leader->core->now < machine->faults.quarantine_until)
            drain_faulty_machine(leader, machine);
    }
    for (guint i = 0; i < leader->executions->len; i++)
        ow_replica_separation_consider(leader, g_ptr_array_index(leader->executions, i));
}
