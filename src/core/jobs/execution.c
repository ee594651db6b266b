/* Runs of jobs. */
#include "core/jobs/execution.h"
#include "core/jobs/quota.h"
#include "core/leader/leader_state.h"
#include "core/records/record_values.h"
#include "core/records/recorder.h"
#include "core/scheduling/classes.h"
#include "core/scheduling/deadline.h"
#include "core/scheduling/reservation.h"

/* An team with a guarantee for all its demand waits for capacity to come free by itself for this share of
   what its SLOs leave, before others are stopped for it: stopped work is lost work. */
static const double QUOTA_RECLAIM_PATIENCE_SHARE = 0.6;

bool ow_execution_may_reclaim_quota(const struct ow_leader *leader, const struct ow_execution *execution)
{
    const struct ow_job_spec *spec = execution->job->spec;
    double patience_s = QUOTA_RECLAIM_PATIENCE_SHARE * ow_deadline_slack_s(leader, execution);
    if (!leader->teams.demand_guaranteed[spec->team])
        return false;
    if (!ow_team_has_guarantee_for(leader, spec->team, &spec->submission->need))
        return false;
    return leader->core->now - execution->accepted_at > patience_s;
}

void ow_execution_divide(struct ow_execution *execution, uint32_t chunk_tasks)
{
    g_free(execution->chunks);
    execution->chunk_tasks = chunk_tasks;
    execution->chunk_count = (execution->count + chunk_tasks - 1) / chunk_tasks;
    execution->chunks = g_new0(struct ow_chunk, execution->chunk_count);
    for (uint32_t i = 0; i < execution->chunk_count; i++)
        execution->chunks[i] = (struct ow_chunk){.job = execution->job, .index = i};
}

struct ow_execution *ow_execution_find_or_add(struct ow_leader *leader, struct ow_job *job)
{
    if (job->execution != NULL)
        return job->execution;
    struct ow_execution *execution = g_new0(struct ow_execution, 1);
    execution->job = job;
    execution->accepted_at = job->accepted_at;
    execution->count = job->spec->submission->tasks;
    execution->tasks = g_new0(struct ow_task, execution->count);
    execution->attempts = g_ptr_array_new();
    ow_execution_divide(execution, ow_record_values_chunk_tasks(leader));
    execution->failed_machines = g_hash_table_new(NULL, NULL);
    ow_class_observe_job(leader->core, job->spec, job->accepted_at);
    job->execution = execution;
    g_ptr_array_add(leader->executions, execution);
    leader->cycle.due = true;
    return execution;
}

void ow_execution_drop(struct ow_leader *leader, struct ow_execution *execution)
{
    struct ow_job *job = execution->job;
    ow_recorder_forget(leader, execution);
    ow_reservation_free(execution->reservation);
    for (guint i = execution->attempts->len; i > 0; i--)
        ow_attempt_unload(leader, g_ptr_array_index(execution->attempts, i - 1));
    g_ptr_array_free(execution->attempts, TRUE);
    g_hash_table_destroy(execution->failed_machines);
    g_free(execution->chunks);
    g_free(execution->tasks);
    g_ptr_array_remove_fast(leader->executions, execution);
    g_free(execution);
    job->execution = NULL;
}

void ow_execution_stop(struct ow_leader *leader, struct ow_execution *execution, double grace_s,
                       const char *why)
{
    for (guint i = execution->attempts->len; i > 0; i--) {
        /* Stopping one attempt may end others. */
        if (i <= execution->attempts->len)
            ow_attempt_stop(leader, g_ptr_array_index(execution->attempts, i - 1), grace_s, why);
    }
}

uint64_t ow_execution_next_attempt(const struct ow_execution *execution)
{
    uint64_t number = 0;
    for (uint32_t i = 0; i < execution->chunk_count; i++)
        number = MAX(number, execution->chunks[i].last_attempt + 1);
    return number;
}

uint32_t ow_execution_pending(const struct ow_execution *execution)
{
    if (ow_job_over(execution->job))
        return 0;
    uint32_t under_way = 0;
    for (guint i = 0; i < execution->attempts->len; i++) {
        const struct ow_attempt *attempt = g_ptr_array_index(execution->attempts, i);
        if (!execution->tasks[attempt->task].done)
            under_way++;
    }
    return execution->count - execution->done - under_way;
}
