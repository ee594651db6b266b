#include "core/scheduling/bind.h"

#include "core/jobs/attempt.h"
#include "core/jobs/attempt_table.h"
#include "core/jobs/execution.h"
#include "core/leader/leader_state.h"
#include "core/machines/machine.h"
#include "core/machines/machine_images.h"
#include "core/machines/machine_registry.h"
#include "core/records/recorder.h"
#include "core/scheduling/promotion.h"

static bool is_pending(const struct ow_task *task)
{
    return !task->is_done && task->attempt == NULL;
}

uint32_t ow_bind_next_pending_task(struct ow_execution *execution)
{
    while (execution->pending_cursor < execution->count &&
           !is_pending(&execution->tasks[execution->pending_cursor]))
        execution->pending_cursor++;
    return execution->pending_cursor;
}

void ow_bind_task(struct ow_leader *leader, struct ow_execution *execution, uint32_t task, uint64_t number,
                  struct ow_machine *machine)
{
    struct ow_chunk *chunk = ow_execution_chunk(execution, task);
    chunk->last_attempt = MAX(chunk->last_attempt, number);
    struct ow_attempt *attempt =
        ow_attempt_new(leader, execution, task, number, machine, machine->liveness.incarnation);
    /* Replicas stay preemptible because they never end: only work that completes may be exempt. */
    attempt->not_preemptible = ow_promotion_is_promoted(execution) && !ow_execution_is_service(execution);
    ow_machine_image_note_use(leader, machine, execution->job->spec, false);
    ow_recorder_queue_urgent(leader, execution, task);
    g_debug("task placed: job=%s task=%u attempt=%" G_GUINT64_FORMAT " machine=%s", execution->job->id, task,
            number, machine->name);
}
