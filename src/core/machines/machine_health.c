/* Machines that are silent, faulty or about to be reclaimed, and attempts that must be gone by a certain
 * time. */
#include "core/machines/machine_health.h"
#include "core/jobs/attempt.h"
#include "core/jobs/attempt_end.h"
#include "core/jobs/execution.h"
#include "core/leader/leader_state.h"
#include "core/machines/command_queue.h"
#include "core/machines/fleet.h"
#include "core/machines/machine.h"
#include "core/machines/machine_registry.h"
#include "core/machines/spot_risk.h"
#include "core/scheduling/service_moves.h"
#include "model/cloud.h"
#include "model/submission.h"
#include "model/worker.h"

static const double DRIFT = 0.002, MARGIN_S = 1.5;
/* Recorded tasks on a machine that neither reports nor is listed: by then it would have reported. */
static const double UNKNOWN_S = 12;
/* A machine that reports but answers no command for so long is unresponsive. */
static const double UNRESPONSIVE_S = 10;
/* From here on it counts among those whose number shows whether the fault is theirs. */
static const double COUNTED_UNRESPONSIVE_S = 5;
/* A machine that has not reported after so many boot times and so long is overdue; the boot time of an
   unknown type; and how long a new leader waits before it acts on that. */
static const double OVERDUE_BOOTS = 3, OVERDUE_MARGIN_S = 20, UNKNOWN_BOOT_S = 60, OVERDUE_READY_S = 30;
/* How long past the lease a machine with tasks may be unresponsive, and one without, in leases. */
static const double LEASE_MARGIN_S = 5, EMPTY_LEASES = 3;
/* A machine whose reclaim time has passed is gone once it has been silent for so long. */
static const double RECLAIMED_SILENT_S = 3;
/* Beyond its save time: the least that must be left for a task to be stopped, and the most it is given. */
static const double CHECKPOINT_MARGIN_S = 1, CHECKPOINT_GRACE_S = 2;
/* Report intervals that a new leader waits before a silent machine counts as fallen silent. */
static const double MISSED_HEARTBEATS = 2.5;
enum { UNRESPONSIVE_FEW = 2, SILENT_FEW = 3 };

/* Proof by time: a worker ends its tasks when lease_s has passed since it sent the last heartbeat that was
   answered. Only answers of ours count once it has seen our fencing token: no older one is accepted. And that
   report was sent before the newest message came that we have of the incarnation: late copies renew nothing.
 */
static void end_attempts_by_lease_expiry(struct ow_leader *leader, struct ow_machine *machine)
{
    double lease = leader->core->settings->lease_s * (1 + DRIFT) + MARGIN_S;
    double last = MAX(machine->last_message_at, machine->fenced_at);
    if (!machine->fenced || machine->incarnation <= machine->expired_incarnation ||
        leader->core->now < last + lease)
        return;
    g_info("machine %s: session %" G_GUINT64_FORMAT " has run out unanswered", machine->name,
           machine->incarnation);
    machine->expired_incarnation = machine->incarnation;
    while (machine->attempts->len > 0)
        ow_attempt_end(leader, g_ptr_array_index(machine->attempts, 0), OW_CAUSE_NONE,
                       "its machine's lease has run out");
}

static bool is_overdue(const struct ow_leader *leader, const struct ow_machine *machine)
{
    const struct ow_machine_type *type = ow_machine_type_of(leader, machine);
    double boot_s = type != NULL ? type->boot_s : UNKNOWN_BOOT_S;
    return machine->last_message_at == 0 &&
           leader->core->now - machine->provisioned_at > OVERDUE_BOOTS * boot_s + OVERDUE_MARGIN_S;
}

/* A machine that sends nothing: deleting it is proof at once, and ends the rent. */
static void terminate_if_silent(struct ow_leader *leader, struct ow_machine *machine)
{
    double now = leader->core->now;
    double since = MAX(machine->last_message_at, leader->ready_at);
    if (machine->listed == OW_LISTED_FAILED)
        ow_fleet_terminate(leader, machine, "it has failed");
    else if (machine->reclaim_at > 0 && now > machine->reclaim_at && now - since > RECLAIMED_SILENT_S)
        ow_fleet_terminate(leader, machine, "it was taken back");
    else if (machine->last_message_at == 0 && machine->listed == OW_LISTED_NOT &&
             machine->attempts->len > 0 && now - since > UNKNOWN_S)
        ow_fleet_terminate(leader, machine, "its tasks are recorded, but nothing is heard or known of it");
    else if (is_overdue(leader, machine) && now - leader->ready_at > OVERDUE_READY_S)
        ow_fleet_terminate(leader, machine, "it does not come up");
    else if (machine->last_message_at != 0 &&
             now - MAX(MAX(machine->last_heartbeat_at, machine->met_at), leader->ready_at) >
                 3 * leader->core->settings->lease_s)
        ow_fleet_terminate(leader, machine, "it has been silent for too long");
}

/* Seconds since the machine should have answered. */
static double unresponsive_s(const struct ow_leader *leader, const struct ow_machine *machine)
{
    double now = leader->core->now;
    if (machine->fenced)
        return machine->unanswered_since > 0 ? now - machine->unanswered_since : 0;
    bool expected = machine->last_message_at > 0 || machine->attempts->len > 0;
    /* One that boots can't answer: what counts is the time since it has spoken. */
    double since = MAX(MAX(machine->met_at, leader->ready_at), machine->first_message_at);
    return expected ? now - since : 0;
}

/* A machine that is unresponsive, whether or not it reports: reports alone are no sign of health. Its tasks
   have ended with its lease, unless an older leader renews it: waiting gains nothing. */
static void terminate_if_unresponsive(struct ow_leader *leader, struct ow_machine *machine)
{
    double unresponsive = unresponsive_s(leader, machine);
    double lease_s = leader->core->settings->lease_s;
    double limit_s = machine->attempts->len > 0 ? lease_s + LEASE_MARGIN_S : EMPTY_LEASES * lease_s;
    if (unresponsive > limit_s)
        ow_fleet_terminate(leader, machine,
                           "it does not answer commands, and its tasks can't be accounted for");
    else if (machine->fenced && unresponsive > UNRESPONSIVE_S && ow_machine_heard_recently(leader, machine))
        ow_fleet_terminate(leader, machine, "it reports but does not answer commands");
}

static bool has_replicas(const struct ow_machine *machine)
{
    for (guint i = 0; i < machine->attempts->len; i++)
        if (ow_execution_is_service(
                ((const struct ow_attempt *)g_ptr_array_index(machine->attempts, i))->job->execution))
            return true;
    return false;
}

static bool has_fallen_silent(const struct ow_leader *leader, const struct ow_machine *machine)
{
    return machine->fenced && machine->last_message_at > 0 && !ow_machine_heard_recently(leader, machine);
}

/* A machine that alone has fallen silent has hardly been cut off: its replicas serve nobody, and a deletion
   proves them gone long before its lease does. Where many are silent at once they may serve on behind a cut
   that heals. */
static bool silent_machines_are_few(const struct ow_leader *leader)
{
    unsigned silent = 0;
    for (guint i = 0; i < leader->machines->len; i++)
        silent += has_fallen_silent(leader, g_ptr_array_index(leader->machines, i)) ? 1 : 0;
    return silent <= SILENT_FEW;
}

static void terminate_for_replicas(struct ow_leader *leader, struct ow_machine *machine)
{
    if (has_fallen_silent(leader, machine) && machine->unanswered_since > 0 && has_replicas(machine) &&
        leader->core->now - leader->ready_at >
            MISSED_HEARTBEATS * leader->core->settings->heartbeat_interval_s)
        ow_fleet_terminate(leader, machine, "it is silent, and services miss their replicas");
}

/* Where many machines are unresponsive the fault is hardly theirs. */
static bool unresponsive_machines_are_few(const struct ow_leader *leader)
{
    unsigned unresponsive = 0;
    for (guint i = 0; i < leader->machines->len; i++)
        unresponsive +=
            unresponsive_s(leader, g_ptr_array_index(leader->machines, i)) > COUNTED_UNRESPONSIVE_S ? 1 : 0;
    return unresponsive <= UNRESPONSIVE_FEW || unresponsive <= leader->machines->len / 4;
}

/* Rule 7: what could still run of a cancelled job is ended by returning its machine, if nothing else works.
 */
static void enforce_cancellations(struct ow_leader *leader, struct ow_machine *machine)
{
    double now = leader->core->now;
    for (guint i = 0; i < machine->attempts->len; i++) {
        const struct ow_attempt *attempt = g_ptr_array_index(machine->attempts, i);
        if (!attempt->stop || attempt->job->state != OW_JOB_CANCELLED)
            continue;
        double waited = now - attempt->stop_at;
        if (waited > 1 && !machine->direct_busy)
            ow_command_queue_add(leader, machine);
        if (waited > 0.5 * leader->core->settings->cancel_s) {
            ow_fleet_terminate(leader, machine, "a cancelled task can't be ended otherwise");
            return;
        }
    }
}

static void checkpoint_before_reclaim(struct ow_leader *leader, struct ow_machine *machine)
{
    double left_s = machine->reclaim_at - leader->core->now;
    for (guint i = machine->attempts->len; i > 0; i--) {
        if (i > machine->attempts->len)
            continue;
        struct ow_attempt *attempt = g_ptr_array_index(machine->attempts, i - 1);
        const struct ow_submission *submission = attempt->job->spec->submission;
        if (submission->kind == OW_KIND_SERVICE || submission->checkpoint_interval_s <= 0 ||
            left_s < submission->checkpoint_duration_s + CHECKPOINT_MARGIN_S || attempt->stop)
            continue;
        double grace = MIN(left_s, submission->checkpoint_duration_s + CHECKPOINT_GRACE_S);
        if (ow_submission_is_gang(submission))
            ow_execution_stop(leader, attempt->job->execution, grace, "its machine is taken back");
        else
            ow_attempt_stop(leader, attempt, grace, "its machine is taken back");
    }
}

/* Recorded tasks on a machine not yet fenced, or commands that went unanswered: its own address is tried. */
static bool needs_direct_call(const struct ow_leader *leader, const struct ow_machine *machine)
{
    if (machine->addr == NULL || machine->listed == OW_LISTED_BOOTING)
        return false;
    if (!machine->fenced || machine->unanswered_since > 0)
        return true;
    return has_fallen_silent(leader, machine) && has_replicas(machine);
}

void ow_machine_health_tick(struct ow_leader *leader)
{
    bool terminate_unresponsive = unresponsive_machines_are_few(leader);
    bool terminate_silent = silent_machines_are_few(leader);
    ow_service_moves_tick(leader);
    ow_spot_risk_tick(leader);
    for (guint i = leader->machines->len; i > 0; i--) {
        if (i > leader->machines->len)
            continue;
        struct ow_machine *machine = g_ptr_array_index(leader->machines, i - 1);
        end_attempts_by_lease_expiry(leader, machine);
        if (machine->reclaim_at > 0)
            checkpoint_before_reclaim(leader, machine);
        if (needs_direct_call(leader, machine))
            ow_command_queue_add(leader, machine);
        /* A faulty machine is given back; a sound one is provisioned in its place if it is missed. */
        if (leader->core->now < machine->quarantine_until && machine->attempts->len == 0)
            ow_fleet_terminate(leader, machine, "it is faulty");
        enforce_cancellations(leader, machine);
        terminate_if_silent(leader, machine);
        if (terminate_silent)
            terminate_for_replicas(leader, machine);
        if (terminate_unresponsive)
            terminate_if_unresponsive(leader, machine);
    }
}
