#include "core/records/record_refining.h"

#include "core/jobs/execution.h"
#include "core/leader/leader_state.h"
#include "core/records/record_values.h"
#include "core/records/recorder.h"

/* Records the execution in smaller chunks from now on. Nothing of it may be in a write. */
static void refine(struct ow_leader *leader, struct ow_execution *execution)
{
    uint32_t tasks = execution->chunk_tasks, finer = MIN(ow_record_values_chunk_tasks(leader), tasks / 2);
    uint64_t last = 0;
    for (uint32_t i = 0; i < execution->chunk_count; i++) {
        struct ow_chunk *chunk = &execution->chunks[i];
        struct ow_record_value *record_value = ow_record_values_leave(chunk);
        last = MAX(last, chunk->last_attempt);
        if (record_value == NULL)
            continue;
        ow_record_values_retain(record_value, execution->job,
                                ow_chunk_task_range(i, tasks, execution->count));
        ow_recorder_compact(leader, record_value);
    }
    ow_execution_divide(execution, finer);
    for (uint32_t i = 0; i < execution->chunk_count; i++)
        execution->chunks[i].last_attempt = last;
    for (uint32_t task = 0; task < execution->count; task += finer)
        ow_recorder_chunk(leader, execution, task, true);
    g_info("job %s: recorded in chunks of %u tasks from now on", execution->job->id, finer);
}

void ow_record_refining_apply(struct ow_leader *leader)
{
    for (guint i = 0; i < leader->record_values->len; i++) {
        struct ow_record_value *record_value = g_ptr_array_index(leader->record_values, i);
        if (record_value->refines && record_value->chunks->len > 0) {
            const struct ow_chunk *chunk = g_ptr_array_index(record_value->chunks, 0);
            refine(leader, chunk->job->execution);
        }
        record_value->refines = false;
    }
}
