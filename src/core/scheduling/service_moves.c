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

/* Replicas of one service that are moved at a time. */
enum { MOVES_MAX = 1 };
/* How long a move takes: a stop, the heartbeat that shows it, a launch. */
static const double MOVE_S = 2;
/* A replica is stopped at the latest so long before its machine goes. */
static const double LAST_MOVE_S = 4;
/* A machine that has lost its lease is taken to send heartbeats again within so many heartbeat intervals. */
static const double RETURN_HEARTBEATS = 2;

static bool is_movable(const struct ow_attempt *attempt)
{
    return ow_execution_is_service(attempt->job->execution) && !attempt->is_stopping &&
           !ow_job_is_over(attempt->job);
}

/* A machine whose heartbeats no longer arrive although it answers commands: its lease is not renewed, so its
   worker is about to end all tasks. One that answers nothing is none of these, for no stop would reach it. */
static bool is_losing_its_lease(const struct ow_leader *leader, const struct ow_machine *machine)
{
    return machine->liveness.is_fenced && machine->liveness.unanswered_since == 0 &&
           ow_machine_heard_recently(leader, machine) && ow_machine_is_silent(leader, machine);
}

/* When tasks on the machine will be gone: the cloud takes it back, or its lease expires. 0: not as far as is
   known. */
static double leaves_at(const struct ow_leader *leader, const struct ow_machine *machine)
{
    if (machine->reclaim_at > 0)
        return machine->reclaim_at;
    if (!is_losing_its_lease(leader, machine))
        return 0;
    /* This leader may never have had a heartbeat of it: then there is no time that could be counted on. */
    double since = machine->liveness.last_heartbeat_at;
    return since > 0 ? since + leader->core->settings->lease_s : leader->core->now;
}

/* The service's replicas on machines that are about to go. */
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

/* Whether the service can do without one more replica for a moment. Counted anew for each replica: a stop may
   end further attempts. */
static bool may_miss_one_more(const struct ow_leader *leader, const struct ow_execution *execution,
                              double left_s)
{
    return ow_replica_move_count_missing(execution) < MOVES_MAX ||
           count_leaving(leader, execution) * MOVE_S > left_s - LAST_MOVE_S;
}

/* Whether a replica is stopped at the last moment although it has to wait for its image elsewhere. One whose
   machine is taken back is, for the proof that it is gone would take far longer. A machine that only lost its
   lease may soon send heartbeats again, with the image: a long fetch would be the longer outage. */
static bool is_worth_a_fetch(const struct ow_leader *leader, const struct ow_attempt *attempt)
{
    const struct ow_machine *machine = attempt->machine;
    const struct ow_machine_type *type = ow_machine_type_of(leader, machine);
    if (machine->reclaim_at > 0)
        return true;
    if (type == NULL || type->fetch_gb_per_s <= 0)
        return false;
    double fetch_s = attempt->job->spec->submission->image_gb / type->fetch_gb_per_s;
    return fetch_s < RETURN_HEARTBEATS * leader->core->settings->heartbeat_interval_s;
}

/* With its image elsewhere a replica is moved as soon as its service can do without it. Where no machine with
   the image has capacity, it serves as long as it may. */
static void move_off_leaving(struct ow_leader *leader, struct ow_attempt *attempt, double left_s)
{
    const struct ow_execution *execution = attempt->job->execution;
    struct ow_machine *target = ow_replica_move_find_target(leader, execution, OW_NO_NAME);
    if (target != NULL && may_miss_one_more(leader, execution, left_s))
        ow_replica_move_to(leader, attempt, target, "its machine is about to go; it moves");
    else if (left_s < LAST_MOVE_S && is_worth_a_fetch(leader, attempt))
        ow_attempt_stop(leader, attempt, 0, "its machine is about to go, and no other one has its image");
}

static void empty_leaving(struct ow_leader *leader, struct ow_machine *machine)
{
    double left_s = leaves_at(leader, machine) - leader->core->now;
    for (guint i = machine->load.attempts->len; i > 0; i--) {
        /* A stop may have ended several attempts. */
        if (i > machine->load.attempts->len)
            continue;
        struct ow_attempt *attempt = g_ptr_array_index(machine->load.attempts, i - 1);
        if (is_movable(attempt))
            move_off_leaving(leader, attempt, left_s);
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

/* A machine that fails tasks is terminated once it is empty, which replicas that happen to run on it would
   put off for ever. They serve, so they move only where they are hardly missed. */
static void empty_faulty(struct ow_leader *leader, struct ow_machine *machine)
{
    if (!has_only_replicas(machine) || !ow_machine_heard_recently(leader, machine))
        return;
    for (guint i = machine->load.attempts->len; i > 0; i--) {
        /* A stop may have ended several attempts. */
        if (i > machine->load.attempts->len)
            continue;
        struct ow_attempt *attempt = g_ptr_array_index(machine->load.attempts, i - 1);
        if (!is_movable(attempt) || ow_replica_move_count_missing(attempt->job->execution) >= MOVES_MAX)
            continue;
        struct ow_machine *target = ow_replica_move_find_target(leader, attempt->job->execution, OW_NO_NAME);
        if (target != NULL)
            ow_replica_move_to(leader, attempt, target, "its machine is faulty; it moves");
    }
}

void ow_service_moves_tick(struct ow_leader *leader)
{
    for (guint i = 0; i < leader->machines->len; i++) {
        struct ow_machine *machine = g_ptr_array_index(leader->machines, i);
        if (leaves_at(leader, machine) > 0)
            empty_leaving(leader, machine);
        else if (leader->core->now < machine->faults.quarantine_until)
            empty_faulty(leader, machine);
    }
    for (guint i = 0; i < leader->executions->len; i++)
        ow_replica_separation_consider(leader, g_ptr_array_index(leader->executions, i));
}
