#include "core/machines/machine_faults.h"

#include "core/jobs/attempt.h"
#include "core/jobs/execution.h"
#include "core/leader/leader_state.h"
#include "core/machines/machine.h"

/* How long a machine that failed a job is kept from it, and from every job until another job shows which of
   the two is at fault. */
static const double FAILED_MACHINE_AVOIDANCE_S = 60, PROBATION_S = 20;
/* A replica that has run for so long shows that its job is sound. */
static const double PROVEN_S = 20;
enum { ERRORS_TO_QUARANTINE = 2, RUN_FAILURES = 3 };

static void end_probation(const struct ow_execution *execution)
{
    GHashTableIter iter;
    void *machine;
    g_hash_table_iter_init(&iter, execution->failed_machines);
    while (g_hash_table_iter_next(&iter, &machine, NULL))
        ((struct ow_machine *)machine)->faults.probation_until = 0;
}

void ow_machine_faults_avoid(struct ow_leader *leader, struct ow_machine *machine,
                             struct ow_execution *execution)
{
    /* For a while only: a job must not run out of machines because each of them failed it once. */
    if (leader->core->now > execution->failed_machines_until)
        g_hash_table_remove_all(execution->failed_machines);
    execution->failed_machines_until = leader->core->now + FAILED_MACHINE_AVOIDANCE_S;
    g_hash_table_add(execution->failed_machines, machine);
}

/* Whether a replica of the service has served for a while: the job is sound, and what fails is the machines.
 */
static bool is_proven(const struct ow_leader *leader, const struct ow_execution *execution)
{
    for (guint i = 0; ow_execution_is_service(execution) && i < execution->attempts->len; i++) {
        const struct ow_attempt *attempt = g_ptr_array_index(execution->attempts, i);
        if (attempt->running_at > 0 && leader->core->now - attempt->running_at > PROVEN_S)
            return true;
    }
    return false;
}

void ow_machine_faults_note_error(struct ow_leader *leader, struct ow_machine *machine,
                                  struct ow_execution *execution)
{
    double now = leader->core->now;
    ow_machine_faults_avoid(leader, machine, execution);
    /* A service that otherwise serves has no result that would forgive its failures: without this they would
       add up as long as it lives, and its replicas wait ever longer. */
    bool proven = is_proven(leader, execution);
    if (proven)
        execution->failures = 0;
    execution->failures = MIN(execution->failures + 1, 1000);
    guint bad = g_hash_table_size(execution->failed_machines);
    if (bad >= RUN_FAILURES) {
        /* It fails wherever it goes: the job is at fault, not the machines. */
        double pause = MIN(60, 5 << MIN(execution->failures / 4, 4));
        if (execution->ready_at < now + 1)
            g_info("job %s fails on %u machines: paused for %.0f s", execution->job->id, bad, pause);
        execution->ready_at = MAX(execution->ready_at, now + pause);
        /* Of a proven service the machines are at fault: it must not go back to them at once. */
        if (!proven) {
            end_probation(execution);
            g_hash_table_remove_all(execution->failed_machines);
            return;
        }
    }
    /* A job with many tasks proves no more against a machine than one with a single task. */
    machine->faults.errors += machine->faults.failed_job != execution->job ? 1 : 0;
    machine->faults.failed_job = execution->job;
    machine->faults.probation_until = now + PROBATION_S;
    if (machine->faults.errors < ERRORS_TO_QUARANTINE || now < machine->faults.quarantine_until)
        return;
    double pause = MIN(240, 30 << MIN(machine->faults.quarantines, 3));
    machine->faults.quarantines++;
    machine->faults.quarantine_until = now + pause;
    machine->faults.errors = ERRORS_TO_QUARANTINE - 1; /* one more job after it is enough */
    g_info("machine %s fails tasks: nothing is put on it for %.0f s", machine->name, pause);
}
