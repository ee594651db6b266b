#include "core/jobs/execution_table.h"

#include "core/jobs/attempt_table.h"
#include "core/jobs/execution.h"
#include "core/leader/leader_state.h"
#include "core/records/record_values.h"
#include "core/records/recorder.h"
#include "core/scheduling/classes.h"
#include "core/scheduling/reservation.h"

static struct ow_execution *execution_new(const struct ow_leader *leader, struct ow_job *job)
{
    struct ow_execution *execution = g_new0(struct ow_execution, 1);
    execution->job = job;
    execution->accepted_at = job->accepted_at;
    execution->count = job->spec->submission->tasks;
    execution->tasks = g_new0(struct ow_task, execution->count);
    execution->attempts = g_ptr_array_new();
    execution->failed_machines = g_hash_table_new(NULL, NULL);
    ow_execution_divide(execution, ow_record_values_chunk_tasks(leader));
    return execution;
}

/* Frees an execution without attempts. */
static void execution_free(struct ow_execution *execution)
{
    ow_reservation_free(execution->reservation);
    g_ptr_array_free(execution->attempts, TRUE);
    g_hash_table_destroy(execution->failed_machines);
    g_free(execution->chunks);
    g_free(execution->tasks);
    g_free(execution);
}

struct ow_execution *ow_execution_find_or_add(struct ow_leader *leader, struct ow_job *job)
{
    if (job->execution != NULL)
        return job->execution;
    job->execution = execution_new(leader, job);
    g_ptr_array_add(leader->executions, job->execution);
    ow_class_observe_job(leader->core, job->spec, job->accepted_at);
    ow_leader_request_cycle(leader);
    return job->execution;
}

void ow_execution_drop(struct ow_leader *leader, struct ow_execution *execution)
{
    struct ow_job *job = execution->job;
    ow_recorder_forget_execution(leader, execution);
    for (guint i = execution->attempts->len; i > 0; i--)
        ow_attempt_remove(leader, g_ptr_array_index(execution->attempts, i - 1));
    g_ptr_array_remove_fast(leader->executions, execution);
    execution_free(execution);
    job->execution = NULL;
}
