/* Runs of jobs. */
#include "core/run.h"
#include "core/leader_state.h"
#include "core/records/record_values.h"
#include "core/records/recorder.h"
#include "core/scheduling/classes.h"
#include "core/scheduling/deadline.h"
#include "core/scheduling/reservation.h"
#include "core/teams.h"

/* An team with a guarantee for all its demand waits for capacity to come free by itself for this share of
   what its SLOs leave, before others are stopped for it: stopped work is lost work. */
static const double CLAIM_SHARE = 0.6;

bool ow_run_claims(const struct ow_leader *leader, const struct ow_run *run)
{
    const struct ow_spec *spec = run->job->spec;
    double patience_s = CLAIM_SHARE * ow_deadline_slack_s(leader, run);
    if (!leader->teams.demand_guaranteed[spec->team])
        return false;
    if (!ow_team_has_guarantee_for(leader, spec->team, &spec->submission->need))
        return false;
    return leader->core->now - run->accepted_at > patience_s;
}

void ow_run_divide(struct ow_run *run, uint32_t chunk_tasks)
{
    g_free(run->chunks);
    run->chunk_tasks = chunk_tasks;
    run->chunk_count = (run->count + chunk_tasks - 1) / chunk_tasks;
    run->chunks = g_new0(struct ow_chunk, run->chunk_count);
    for (uint32_t i = 0; i < run->chunk_count; i++)
        run->chunks[i] = (struct ow_chunk){.job = run->job, .index = i};
}

struct ow_run *ow_run_find_or_add(struct ow_leader *leader, struct ow_job *job)
{
    if (job->run != NULL)
        return job->run;
    struct ow_run *run = g_new0(struct ow_run, 1);
    run->job = job;
    run->accepted_at = job->accepted_at;
    run->count = job->spec->submission->tasks;
    run->tasks = g_new0(struct ow_task, run->count);
    run->attempts = g_ptr_array_new();
    ow_run_divide(run, ow_record_values_chunk_tasks(leader));
    run->failed_machines = g_hash_table_new(NULL, NULL);
    ow_class_observe_job(leader->core, job->spec, job->accepted_at);
    job->run = run;
    g_ptr_array_add(leader->runs, run);
    leader->cycle.due = true;
    return run;
}

void ow_run_drop(struct ow_leader *leader, struct ow_run *run)
{
    struct ow_job *job = run->job;
    ow_recorder_forget(leader, run);
    ow_reservation_free(run->reservation);
    for (guint i = run->attempts->len; i > 0; i--)
        ow_attempt_unload(leader, g_ptr_array_index(run->attempts, i - 1));
    g_ptr_array_free(run->attempts, TRUE);
    g_hash_table_destroy(run->failed_machines);
    g_free(run->chunks);
    g_free(run->tasks);
    g_ptr_array_remove_fast(leader->runs, run);
    g_free(run);
    job->run = NULL;
}

void ow_run_stop(struct ow_leader *leader, struct ow_run *run, double grace_s, const char *why)
{
    for (guint i = run->attempts->len; i > 0; i--) {
        /* Stopping one attempt may end others. */
        if (i <= run->attempts->len)
            ow_attempt_stop(leader, g_ptr_array_index(run->attempts, i - 1), grace_s, why);
    }
}

uint64_t ow_run_next_attempt(const struct ow_run *run)
{
    uint64_t number = 0;
    for (uint32_t i = 0; i < run->chunk_count; i++)
        number = MAX(number, run->chunks[i].last_attempt + 1);
    return number;
}

uint32_t ow_run_pending(const struct ow_run *run)
{
    if (ow_job_over(run->job))
        return 0;
    uint32_t under_way = 0;
    for (guint i = 0; i < run->attempts->len; i++) {
        const struct ow_attempt *attempt = g_ptr_array_index(run->attempts, i);
        if (!run->tasks[attempt->task].done)
            under_way++;
    }
    return run->count - run->done - under_way;
}
