#include "core/machines/machine_faults.h"

#include "core/jobs/attempt.h"
#include "core/jobs/execution.h"
#include "core/leader/leader_state.h"
#include "core/machines/machine.h"

/* How long a job avoids a machine where a task of it failed. */
static const double FAILED_MACHINE_AVOIDANCE_S = 60;
/* How long a machine where a task failed is kept from every job, unless a result shows it to be sound. */
static const double PROBATION_S = 20;
/* A replica that has run for so long shows that its job is sound. */
static const double PROVEN_S = 20;
/* A machine is at fault once so many jobs failed there; a job is once it failed on so many machines. */
enum { ERRORS_TO_QUARANTINE = 2, MACHINES_TO_BLAME_JOB = 3 };
/* A pause of a job that fails wherever it goes lasts at least and at most so long, and doubles with so many
   further failures. */
enum { JOB_PAUSE_LEAST_S = 5, JOB_PAUSE_MOST_S = 60, JOB_PAUSE_DOUBLES = 4, FAILURES_TO_DOUBLE = 4 };
/* The same for a quarantine, which doubles each time. */
enum { QUARANTINE_LEAST_S = 30, QUARANTINE_MOST_S = 240, QUARANTINE_DOUBLES = 3 };
/* Failures beyond this number make no difference. */
enum { FAILURES_MOST = 1000 };

/* The job is at fault: the machines where it failed may be used by others at once. */
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

/* Pauses the job. Evidence: tasks of it failed on MACHINES_TO_BLAME_JOB machines, which hardly fail all at
   once. */
static void pause_job(struct ow_leader *leader, struct ow_execution *execution)
{
    double now = leader->core->now;
    unsigned doubles = MIN(execution->failures / FAILURES_TO_DOUBLE, JOB_PAUSE_DOUBLES);
    double pause_s = MIN(JOB_PAUSE_MOST_S, JOB_PAUSE_LEAST_S << doubles);
    if (execution->ready_at < now + 1)
        g_info("job paused, tasks fail wherever they start: job=%s machines=%u pause_s=%.0f",
               execution->job->id, g_hash_table_size(execution->failed_machines), pause_s);
    execution->ready_at = MAX(execution->ready_at, now + pause_s);
}

/* Nothing is placed on the machine for a while; it is terminated once it is empty (machine_health.c). */
static void quarantine(struct ow_leader *leader, struct ow_machine *machine)
{
    struct ow_machine_faults *faults = &machine->faults;
    unsigned doubles = MIN(faults->quarantine_count, QUARANTINE_DOUBLES);
    double pause_s = MIN(QUARANTINE_MOST_S, QUARANTINE_LEAST_S << doubles);
    faults->quarantine_count++;
    faults->quarantine_until = leader->core->now + pause_s;
    faults->errors = ERRORS_TO_QUARANTINE - 1; /* one more job after it is enough */
    g_info("machine in quarantine, jobs fail there: machine=%s pause_s=%.0f", machine->name, pause_s);
}

/* Evidence against a machine: several jobs failed there and none succeeded in between. A job with many tasks
   proves no more than one with a single task. Until a second job has shown which of the two is at fault, the
   machine is on probation. */
static void blame_machine(struct ow_leader *leader, struct ow_machine *machine, const struct ow_job *job)
{
    struct ow_machine_faults *faults = &machine->faults;
    double now = leader->core->now;
    faults->errors += faults->failed_job != job ? 1 : 0;
    faults->failed_job = job;
    faults->probation_until = now + PROBATION_S;
    if (faults->errors >= ERRORS_TO_QUARANTINE && now >= faults->quarantine_until)
        quarantine(leader, machine);
}

void ow_machine_faults_note_error(struct ow_leader *leader, struct ow_machine *machine,
                                  struct ow_execution *execution)
{
    ow_machine_faults_avoid(leader, machine, execution);
    /* A service that otherwise serves has no result that would reset its failures: without this they would
       add up as long as it lives, and its replicas would wait ever longer. */
    bool is_job_proven = is_proven(leader, execution);
    if (is_job_proven)
        execution->failures = 0;
    execution->failures = MIN(execution->failures + 1, FAILURES_MOST);
    if (g_hash_table_size(execution->failed_machines) >= MACHINES_TO_BLAME_JOB) {
        pause_job(leader, execution);
        if (!is_job_proven) {
            /* The job is at fault, and the machines are not. */
            end_probation(execution);
            g_hash_table_remove_all(execution->failed_machines);
            return;
        }
        /* Of a proven service the machines are at fault: it must not go back to them at once. */
    }
    blame_machine(leader, machine, execution->job);
}
