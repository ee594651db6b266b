#include "core/records/transaction.h"

#include "core/jobs/attempt.h"
#include "core/jobs/execution.h"
#include "core/leader/leader_state.h"
#include "core/records/record_values.h"
#include "core/records/recorder_state.h"
#include "model/records.h"
#include "model/submission.h"
#include "wire/records_json.h"

#include <string.h>

/* The most that a transaction may take, and what each change takes beside its key and value. */
enum { TRANSACTION_BYTES = 60 * 1024, MUTATION_BYTES = 120 };
/* With so much of the permitted changes unused, writes that are due soon are written at once. */
static const double SPARE_SHARE = 0.8;

static char *record_value_key(const struct ow_record_value *record_value)
{
    return g_strdup_printf("%s%u", OW_KEY_PROGRESS, record_value->number);
}

/* Marks what the value that is being written contains. */
static void mark_written(struct ow_record_value *record_value, uint64_t serial)
{
    for (guint i = 0; i < record_value->chunks->len; i++) {
        struct ow_chunk *chunk = g_ptr_array_index(record_value->chunks, i);
        const struct ow_execution *execution = chunk->job->execution;
        chunk->writing = chunk->writing || chunk->dirty;
        chunk->dirty = false;
        for (guint k = 0; k < execution->attempts->len; k++) {
            struct ow_attempt *attempt = g_ptr_array_index(execution->attempts, k);
            if (attempt->state == OW_ATTEMPT_PLANNED && ow_execution_chunk(execution, attempt->task) == chunk)
                attempt->in_write = serial;
        }
    }
}

/* Whether the value is too large although it holds a single chunk, which can be divided. Before every
   controller reads smaller chunks it is written as it is, while the key-value store still takes it. */
static bool needs_refining(const struct ow_leader *leader, const struct ow_record_value *record_value,
                           const char *value)
{
    if (strlen(value) <= leader->core->store_limits.value_bytes)
        return false;
    if (record_value->chunks->len != 1)
        return false;
    const struct ow_chunk *chunk = g_ptr_array_index(record_value->chunks, 0);
    return leader->format.current >= OW_FORMAT_FINE &&
           chunk->job->execution->chunk_tasks > OW_LEAST_CHUNK_TASKS;
}

static void add_to_sent(struct ow_recorder *recorder, const struct ow_write *write)
{
    g_ptr_array_add(recorder->sent, g_memdup2(write, sizeof *write));
}

static void put_value(struct ow_leader *leader, struct ow_record_value *record_value, char *value,
                      struct ow_store_request *transaction)
{
    char *key = record_value_key(record_value);
    mark_written(record_value, leader->recorder->serial);
    ow_store_compare(transaction, key, record_value->version);
    ow_store_put(transaction, key, value, 0);
    g_free(key);
}

static void put_record_value(struct ow_leader *leader, const struct ow_write *write,
                             struct ow_store_request *transaction)
{
    struct ow_write_queue *queue = leader->recorder->queue;
    struct ow_record_value *record_value = write->record_value;
    struct ow_record_value *moved = NULL;
    char *value = ow_record_values_encode(leader, record_value, &moved);
    if (moved != NULL) {
        /* Its old value still has what has moved: it must not be replaced before that is written. */
        record_value->after = moved;
        g_free(value);
        ow_write_queue_add_record_value(queue, moved, write->order, write->due_at);
        ow_write_queue_add_record_value(queue, record_value, write->order, write->due_at);
        return;
    }
    if (needs_refining(leader, record_value, value)) {
        record_value->refines = true;
        g_free(value);
        ow_write_queue_add_record_value(queue, record_value, write->order, write->due_at);
        return;
    }
    record_value->oversized = strlen(value) > leader->core->store_limits.value_bytes;
    if (record_value->oversized && transaction->mutations->len > 0) {
        g_free(value);
        ow_write_queue_add_record_value(queue, record_value, write->order, write->due_at);
        return;
    }
    put_value(leader, record_value, value, transaction);
    add_to_sent(leader->recorder, write);
}

static void put_finish(struct ow_leader *leader, const struct ow_write *write,
                       struct ow_store_request *transaction)
{
    const struct ow_job *job = write->execution->job;
    struct ow_job_record record = {.state = OW_JOB_DONE};
    if (job->state == OW_JOB_CANCELLED)
        record.state = OW_JOB_CANCELLED;
    char *key = g_strconcat(OW_KEY_JOBS, job->id, NULL);
    ow_store_compare(transaction, key, job->version);
    ow_store_put(transaction, key, wire_job_record_encode(&record), 0);
    g_free(key);
    add_to_sent(leader->recorder, write);
}

/* An upper estimate of the transaction's size, with its conditions. */
static size_t transaction_bytes(const struct ow_store_request *transaction)
{
    size_t bytes = 0;
    for (guint i = 0; i < transaction->mutations->len; i++) {
        const struct ow_store_mutation *change =
            &g_array_index(transaction->mutations, struct ow_store_mutation, i);
        bytes += MUTATION_BYTES + 2 * strlen(change->key);
        if (change->value != NULL)
            bytes += strlen(change->value);
    }
    return bytes;
}

/* Whether the stored value has to stay for now: the record value that its chunks moved to is written first,
   or its chunk is divided first, or it records tasks that are not yet recorded elsewhere. */
static bool is_blocked(struct ow_record_value *record_value)
{
    if (record_value->after != NULL || record_value->refines)
        return true;
    return ow_record_values_retains_tasks(record_value);
}

/* Whether the write has to wait: for what must be written before it, or for other writes. With changes to
   spare nothing is gained by waiting longer. */
static bool must_wait(const struct ow_write *write, double now, bool spare)
{
    if (write->kind == OW_WRITE_RECORD_VALUE &&
        (is_blocked(write->record_value) || now < write->record_value->refused_until))
        return true;
    if (write->due_at <= now)
        return false;
    bool due_soon = write->due_at - now < OW_LAZY_WRITE_S / 2;
    return !(spare && due_soon);
}

/* A value that may be refused for its size goes alone, or it would take the others down with it. */
static bool must_go_alone(const struct ow_write *write)
{
    return write->kind == OW_WRITE_RECORD_VALUE && write->record_value->oversized;
}

/* Whether the transaction has room for one more change, which may be as large as a value may be now. */
static bool has_room(const struct ow_leader *leader, const struct ow_store_request *transaction,
                     guint mutations_max)
{
    if (transaction->mutations->len >= mutations_max)
        return false;
    if (transaction->mutations->len == 0)
        return true;
    if (ow_store_largest_value(transaction) > leader->core->store_limits.value_bytes)
        return false;
    return transaction_bytes(transaction) + leader->core->store_limits.value_bytes_now < TRANSACTION_BYTES;
}

static void put(struct ow_leader *leader, const struct ow_write *write, struct ow_store_request *transaction)
{
    if (write->kind == OW_WRITE_RECORD_VALUE)
        put_record_value(leader, write, transaction);
    else
        put_finish(leader, write, transaction);
}

void ow_transaction_fill(struct ow_leader *leader, struct ow_store_request *transaction)
{
    struct ow_recorder *recorder = leader->recorder;
    double now = leader->core->now;
    double permitted_mutations = ow_rate_limiter_level(&recorder->mutations, now);
    guint mutations_max = (guint)MIN((double)leader->core->store_limits.txn_ops, permitted_mutations);
    bool spare = permitted_mutations > SPARE_SHARE * recorder->mutations.depth;
    guint position = 0;
    ow_write_queue_sort(recorder->queue);
    while (position < ow_write_queue_length(recorder->queue) &&
           has_room(leader, transaction, mutations_max)) {
        const struct ow_write *next = ow_write_queue_at(recorder->queue, position);
        if (must_wait(next, now, spare) || (transaction->mutations->len > 0 && must_go_alone(next))) {
            position++;
            continue;
        }
        struct ow_write *write = ow_write_queue_take(recorder->queue, position);
        put(leader, write, transaction);
        g_free(write);
    }
}
