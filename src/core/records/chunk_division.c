#include "core/records/chunk_division.h"

#include "core/jobs/execution.h"
#include "core/leader/leader_state.h"
#include "core/records/record_values.h"
#include "core/records/recorder.h"

/* Removes all chunks of the execution from their record values; the stored values remain the record of the
   tasks until the new chunks are written. Returns the highest attempt number that any of the chunks has used.
 */
static uint64_t release_chunks(struct ow_leader *leader, struct ow_execution *execution)
{
    uint64_t last_attempt = 0;
    for (uint32_t i = 0; i < execution->chunk_count; i++) {
        struct ow_chunk *chunk = &execution->chunks[i];
        struct ow_record_value *record_value = ow_record_value_remove_chunk(chunk);
        last_attempt = MAX(last_attempt, chunk->last_attempt);
        if (record_value == NULL)
            continue;
        struct ow_task_range tasks = ow_chunk_task_range(i, execution->chunk_tasks, execution->count);
        ow_record_value_add_unmoved_tasks(record_value, execution->job, tasks);
        ow_recorder_queue_compaction(leader, record_value);
    }
    return last_attempt;
}

static void divide(struct ow_leader *leader, struct ow_execution *execution)
{
    uint32_t chunk_tasks = MIN(ow_record_values_chunk_tasks(leader), execution->chunk_tasks / 2);
    uint64_t last_attempt = release_chunks(leader, execution);
    ow_execution_divide(execution, chunk_tasks);
    for (uint32_t i = 0; i < execution->chunk_count; i++)
        execution->chunks[i].last_attempt = last_attempt;
    for (uint32_t task = 0; task < execution->count; task += chunk_tasks)
        ow_recorder_queue_urgent(leader, execution, task);
    g_info("job recorded in smaller chunks: job=%s tasks=%u", execution->job->id, chunk_tasks);
}

void ow_chunk_division_run(struct ow_leader *leader)
{
    for (guint i = 0; i < leader->record_values->len; i++) {
        struct ow_record_value *record_value = g_ptr_array_index(leader->record_values, i);
        if (record_value->needs_division && record_value->chunks->len > 0) {
            const struct ow_chunk *chunk = g_ptr_array_index(record_value->chunks, 0);
            divide(leader, chunk->job->execution);
        }
        record_value->needs_division = false;
    }
}
