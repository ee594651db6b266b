#include "core/scheduling/job_lifecycle.h"

#include "core/jobs/attempt_end.h"
#include "core/jobs/execution.h"
#include "core/jobs/execution_table.h"
#include "core/leader/leader_state.h"
#include "core/records/recorder.h"

/* Closes a job whose final record has committed although the store's answer to the write was lost. */
static void close_done_job(struct ow_leader *leader, struct ow_execution *execution)
{
    struct ow_job *job = execution->job;
    ow_execution_stop(leader, execution, 0, "the job is done");
    /* Attempts that may still be on a machine count as usage until they are proven gone. */
    if (execution->attempts->len > 0)
        return;
    ow_execution_drop(leader, execution);
    ow_jobs_close(leader->core->jobs, job);
}

/* Creates the job's execution if it has none, and ends the job if it is over. */
static void update_job(struct ow_leader *leader, struct ow_job *job)
{
    struct ow_execution *execution = ow_execution_find_or_add(leader, job);
    if (job->state == OW_JOB_DONE) {
        close_done_job(leader, execution);
        return;
    }
    if (job->state == OW_JOB_CANCELLED)
        ow_execution_stop(leader, execution, 0, "the job is cancelled");
    if (execution->attempts->len > 0)
        return;
    if (job->state == OW_JOB_CANCELLED || execution->done == execution->count)
        ow_recorder_queue_final_record(leader, execution);
}

void ow_job_lifecycle_update(struct ow_leader *leader)
{
    const GPtrArray *open_jobs = ow_jobs_open(leader->core->jobs);
    /* Backwards, because closing a job removes it from the array. */
    for (guint i = open_jobs->len; i > 0; i--)
        update_job(leader, g_ptr_array_index(open_jobs, i - 1));
}
