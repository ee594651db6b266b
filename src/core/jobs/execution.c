#include "core/jobs/execution.h"

#include "core/jobs/attempt.h"

void ow_execution_divide(struct ow_execution *execution, uint32_t chunk_tasks)
{
    g_free(execution->chunks);
    execution->chunk_tasks = chunk_tasks;
    execution->chunk_count = (execution->count + chunk_tasks - 1) / chunk_tasks;
    execution->chunks = g_new0(struct ow_chunk, execution->chunk_count);
    for (uint32_t i = 0; i < execution->chunk_count; i++)
        execution->chunks[i] = (struct ow_chunk){.job = execution->job, .index = i};
}

uint64_t ow_execution_next_attempt(const struct ow_execution *execution)
{
    uint64_t number = 0;
    for (uint32_t i = 0; i < execution->chunk_count; i++)
        number = MAX(number, execution->chunks[i].last_attempt + 1);
    return number;
}

uint32_t ow_execution_count_pending(const struct ow_execution *execution)
{
    if (ow_job_is_over(execution->job))
        return 0;
    uint32_t unfinished_attempts = 0;
    for (guint i = 0; i < execution->attempts->len; i++) {
        const struct ow_attempt *attempt = g_ptr_array_index(execution->attempts, i);
        unfinished_attempts += execution->tasks[attempt->task].is_done ? 0 : 1;
    }
    return execution->count - execution->done - unfinished_attempts;
}
