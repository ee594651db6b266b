#include "core/records/recorder.h"

#include "core/jobs/execution.h"
#include "core/jobs/job.h"
#include "core/leader/leader_state.h"
#include "core/records/record_values.h"
#include "core/records/recorder_state.h"
#include "model/submission.h"

/* Delay before a value is rewritten without the records of jobs that are over, so that one write removes
   several jobs. */
static const double COMPACTION_DELAY_S = 10;
/* The recorder's share of the permitted rate of mutations. The remainder is reserved for submissions and
   cancellations, which any controller writes. */
static const double RATE_SHARE = 0.8;
/* A burst is as many mutations as the permitted rate allows in this time. */
static const double BURST_S = 0.7;
/* Distance in write order between launches of one rank and of the next. */
enum { LAUNCH_RANK_STEP = 10 };

struct ow_recorder *ow_recorder_new(struct ow_leader *leader)
{
    struct ow_recorder *recorder = g_new0(struct ow_recorder, 1);
    double mutations_per_s = leader->core->store_limits.mutations_per_s;
    recorder->queue = ow_write_queue_new();
    recorder->writes_in_flight = g_ptr_array_new_with_free_func(g_free);
    ow_rate_limiter_init(&recorder->mutation_limiter, RATE_SHARE * mutations_per_s, BURST_S * mutations_per_s,
                         leader->core->now);
    return recorder;
}

void ow_recorder_free(struct ow_recorder *recorder)
{
    ow_write_queue_free(recorder->queue);
    g_ptr_array_free(recorder->writes_in_flight, TRUE);
    g_free(recorder);
}

static int launch_order(const struct ow_execution *execution)
{
    return OW_ORDER_LAUNCH + (int)execution->job->spec->submission->rank * LAUNCH_RANK_STEP;
}

static void queue_chunk(struct ow_leader *leader, struct ow_execution *execution, uint32_t task, int order,
                        double due_at)
{
    struct ow_chunk *chunk = ow_execution_chunk(execution, task);
    if (chunk->record_value == NULL)
        ow_record_values_assign_chunk(leader, chunk);
    chunk->is_dirty = true;
    ow_write_queue_add_record_value(leader->recorder->queue, chunk->record_value, order, due_at);
}

static bool is_progress_recorded(const struct ow_execution *execution)
{
    return !ow_job_is_over(execution->job) && !execution->is_finishing;
}

void ow_recorder_queue_urgent(struct ow_leader *leader, struct ow_execution *execution, uint32_t task)
{
    if (is_progress_recorded(execution))
        queue_chunk(leader, execution, task, launch_order(execution), leader->core->now);
}

void ow_recorder_queue_deferred(struct ow_leader *leader, struct ow_execution *execution, uint32_t task)
{
    if (is_progress_recorded(execution))
        queue_chunk(leader, execution, task, OW_ORDER_PROGRESS, leader->core->now + OW_PROGRESS_DELAY_S);
}

void ow_recorder_queue_final_record(struct ow_leader *leader, struct ow_execution *execution)
{
    if (execution->is_finishing)
        return;
    execution->is_finishing = true;
    /* A cancelled job is already recorded as cancelled: nothing waits for its final record. */
    bool is_cancelled = execution->job->state == OW_JOB_CANCELLED;
    int order = is_cancelled ? OW_ORDER_BACKGROUND : OW_ORDER_FINAL_RECORD;
    ow_write_queue_add_final_record(leader->recorder->queue, execution, order, leader->core->now);
}

void ow_recorder_queue_compaction(struct ow_leader *leader, struct ow_record_value *record_value)
{
    double due_at = leader->core->now + COMPACTION_DELAY_S;
    ow_write_queue_add_record_value(leader->recorder->queue, record_value, OW_ORDER_BACKGROUND, due_at);
}

/* Keeps the reply to the transaction in flight from accessing an execution that is about to be freed. */
static void forget_in_flight(struct ow_recorder *recorder, const struct ow_execution *execution)
{
    for (guint i = 0; i < recorder->writes_in_flight->len; i++) {
        struct ow_write *write = g_ptr_array_index(recorder->writes_in_flight, i);
        if (write->execution == execution)
            write->execution = NULL;
    }
}

void ow_recorder_forget_execution(struct ow_leader *leader, const struct ow_execution *execution)
{
    ow_write_queue_remove_execution(leader->recorder->queue, execution);
    forget_in_flight(leader->recorder, execution);
    for (uint32_t i = 0; i < execution->chunk_count; i++) {
        struct ow_record_value *record_value = ow_record_value_remove_chunk(&execution->chunks[i]);
        if (record_value != NULL)
            ow_recorder_queue_compaction(leader, record_value);
    }
}
