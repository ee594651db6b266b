/* Changed records, written in batches. Every transaction is conditioned on the leader's key, so that a
 * deposed leader can change nothing, and on the version of each record, so that one that is applied late
 * changes nothing. One transaction is under way at a time. */
#include "core/records/recorder.h"

#include "core/jobs/execution.h"
#include "core/leader/leader_state.h"
#include "core/records/record_values.h"
#include "core/records/recorder_state.h"
#include "core/records/transaction.h"
#include "model/event.h"
#include "model/records.h"
#include "model/submission.h"

/* How long values wait that still hold records of jobs that are over. */
static const double TIDY_S = 10;
/* The recorder's share of the permitted rate of writes, and for how many seconds of that rate unused changes
   accumulate. The rest is left for submissions and cancellations, which any controller writes. */
static const double RATE_SHARE = 0.8, BURST_S = 0.7;
/* Orders of launches: those of the most urgent rank, and the distance of a rank to the next. */
enum { ORDER_LAUNCH = 10, ORDER_PER_RANK = 10 };

struct ow_recorder *ow_recorder_new(struct ow_leader *leader)
{
    struct ow_recorder *recorder = g_new0(struct ow_recorder, 1);
    double rate = leader->core->store_limits.write_rps;
    recorder->queue = ow_write_queue_new();
    recorder->sent = g_ptr_array_new_with_free_func(g_free);
    ow_rate_limiter_init(&recorder->mutations, RATE_SHARE * rate, BURST_S * rate, leader->core->now);
    return recorder;
}

void ow_recorder_free(struct ow_recorder *recorder)
{
    ow_write_queue_free(recorder->queue);
    g_ptr_array_free(recorder->sent, TRUE);
    g_free(recorder);
}

static int launch_order(const struct ow_execution *execution)
{
    return ORDER_LAUNCH + (int)execution->job->spec->submission->rank * ORDER_PER_RANK;
}

void ow_recorder_chunk(struct ow_leader *leader, struct ow_execution *execution, uint32_t task,
                       bool launching)
{
    struct ow_chunk *chunk = ow_execution_chunk(execution, task);
    double now = leader->core->now;
    if (ow_job_over(execution->job) || execution->finishing)
        return;
    if (chunk->record_value == NULL)
        ow_record_values_join(leader, chunk);
    chunk->dirty = true;
    int order = launching ? launch_order(execution) : OW_ORDER_LAZY;
    double due_at = launching ? now : now + OW_LAZY_WRITE_S;
    ow_write_queue_add_record_value(leader->recorder->queue, chunk->record_value, order, due_at);
}

void ow_recorder_finish(struct ow_leader *leader, struct ow_execution *execution)
{
    if (execution->finishing)
        return;
    execution->finishing = true;
    int order = execution->job->state == OW_JOB_CANCELLED ? OW_ORDER_TIDY : OW_ORDER_FINISH;
    ow_write_queue_add_finish(leader->recorder->queue, execution, order, leader->core->now);
}

void ow_recorder_compact(struct ow_leader *leader, struct ow_record_value *record_value)
{
    double due_at = leader->core->now + TIDY_S;
    ow_write_queue_add_record_value(leader->recorder->queue, record_value, OW_ORDER_TIDY, due_at);
}

void ow_recorder_forget(struct ow_leader *leader, const struct ow_execution *execution)
{
    struct ow_recorder *recorder = leader->recorder;
    ow_write_queue_remove_execution(recorder->queue, execution);
    for (guint i = 0; i < recorder->sent->len; i++) {
        struct ow_write *write = g_ptr_array_index(recorder->sent, i);
        if (write->execution == execution)
            write->execution = NULL;
    }
    for (uint32_t i = 0; i < execution->chunk_count; i++) {
        struct ow_record_value *record_value = ow_record_values_leave(&execution->chunks[i]);
        if (record_value != NULL)
            ow_recorder_compact(leader, record_value);
    }
}
