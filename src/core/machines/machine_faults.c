#include "core/machines/machine_faults.h"

#include "core/jobs/attempt.h"
#include "core/jobs/execution.h"
#include "core/leader/leader_state.h"
#include "core/machines/machine.h"

/* How long a job avoids a machine on which one of its tasks failed. */
static const double FAILED_MACHINE_AVOIDANCE_S = 60;
/* How long no job is placed on a machine after a task failed there, unless a result clears the machine. */
static const double PROBATION_S = 20;
/* A replica that has run longer than this shows that its job works. */
static const double PROVEN_RUN_S = 20;
/* Failed jobs after which a machine, and failed machines after which a job, is considered at fault. */
enum { ERRORS_TO_QUARANTINE = 2, MACHINES_TO_BLAME_JOB = 3 };
/* Exponential back-off of a job that fails on every machine: the pause doubles every FAILURES_PER_DOUBLING
   failures. */
enum { JOB_PAUSE_MIN_S = 5, JOB_PAUSE_MAX_S = 60, JOB_PAUSE_DOUBLINGS_MAX = 4, FAILURES_PER_DOUBLING = 4 };
/* Exponential back-off of a machine: each quarantine is twice as long as the last. */
enum { QUARANTINE_MIN_S = 30, QUARANTINE_MAX_S = 240, QUARANTINE_DOUBLINGS_MAX = 3 };
/* The failure count of a job saturates at this number. */
enum { FAILURES_MAX = 1000 };

/* The job is at fault: the machines on which it failed are available to other jobs at once. */
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
    /* The set expires: otherwise a job would run out of machines once it had failed on each of them. */
    if (leader->core->now > execution->failed_machines_until)
        g_hash_table_remove_all(execution->failed_machines);
    execution->failed_machines_until = leader->core->now + FAILED_MACHINE_AVOIDANCE_S;
    g_hash_table_add(execution->failed_machines, machine);
}

/* Whether a replica of the service has run long enough to show that the job works, so that failures are due
   to machines. */
static bool is_proven(const struct ow_leader *leader, const struct ow_execution *execution)
{
    for (guint i = 0; ow_execution_is_service(execution) && i < execution->attempts->len; i++) {
        const struct ow_attempt *attempt = g_ptr_array_index(execution->attempts, i);
        if (attempt->running_at > 0 && leader->core->now - attempt->running_at > PROVEN_RUN_S)
            return true;
    }
    return false;
}

/* Pauses the job. Evidence: its tasks failed on MACHINES_TO_BLAME_JOB machines, which are unlikely to be
   faulty all at once. */
static void pause_job(struct ow_leader *leader, struct ow_execution *execution)
{
    double now = leader->core->now;
    unsigned doublings = MIN(execution->failures / FAILURES_PER_DOUBLING, JOB_PAUSE_DOUBLINGS_MAX);
    double pause_s = MIN(JOB_PAUSE_MAX_S, JOB_PAUSE_MIN_S << doublings);
    if (execution->ready_at < now + 1)
        g_info("job paused, tasks fail wherever they start: job=%s machines=%u pause_s=%.0f",
               execution->job->id, g_hash_table_size(execution->failed_machines), pause_s);
    execution->ready_at = MAX(execution->ready_at, now + pause_s);
}

/* Keeps new tasks off the machine for a time; it is terminated once it is empty (machine_health.c). */
static void quarantine(struct ow_leader *leader, struct ow_machine *machine)
{
    struct ow_machine_faults *faults = &machine->faults;
    unsigned doublings = MIN(faults->quarantine_count, QUARANTINE_DOUBLINGS_MAX);
    double pause_s = MIN(QUARANTINE_MAX_S, QUARANTINE_MIN_S << doublings);
    faults->quarantine_count++;
    faults->quarantine_until = leader->core->now + pause_s;
    faults->errors = ERRORS_TO_QUARANTINE - 1; /* one more failed job starts the next quarantine */
    g_info("machine in quarantine, jobs fail there: machine=%s pause_s=%.0f", machine->name, pause_s);
}

/* Evidence against a machine: several jobs failed there without a success in between. Repeated failures of
   one job count once, however many tasks it has. Until another job has shown whether the machine or the job
   is at fault, the machine is on probation. */
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
    /* A service never produces a result that would reset its failure count: without this reset the failures
       of a working service would accumulate over its lifetime, and so would the pauses of its replicas. */
    bool is_job_proven = is_proven(leader, execution);
    if (is_job_proven)
        execution->failures = 0;
    execution->failures = MIN(execution->failures + 1, FAILURES_MAX);
    if (g_hash_table_size(execution->failed_machines) >= MACHINES_TO_BLAME_JOB) {
        pause_job(leader, execution);
        if (!is_job_proven) {
            /* The job is at fault, so its failures don't count against the machines. */
            end_probation(execution);
            g_hash_table_remove_all(execution->failed_machines);
            return;
        }
        /* The service is proven to work, so the machines are at fault: they stay in its set of avoided
           machines. */
    }
    blame_machine(leader, machine, execution->job);
}
