#include "core/records/transaction.h"

#include "core/jobs/attempt.h"
#include "core/jobs/execution.h"
#include "core/leader/leader_state.h"
#include "core/records/record_format.h"
#include "core/records/record_values.h"
#include "core/records/recorder.h"
#include "core/records/recorder_state.h"
#include "model/records.h"
#include "model/store.h"
#include "wire/records_json.h"

#include <string.h>

/* Maximum size of a transaction, and overhead of a mutation beside its key and value. */
enum { TRANSACTION_BYTES = 60 * 1024, MUTATION_BYTES = 120 };
/* Mutations count as spare while more than this share of the burst is unused. */
static const double SPARE_SHARE = 0.8;
/* With spare mutations, writes that are due within this time are sent at once. */
static const double DUE_SOON_S = OW_PROGRESS_DELAY_S / 2;

/* ---- adding a write to the transaction ---- */

/* Attempts whose record the transaction carries may be launched once it is committed. */
static void mark_attempts(const struct ow_chunk *chunk, uint64_t transaction_serial)
{
    const struct ow_execution *execution = chunk->job->execution;
    for (guint i = 0; i < execution->attempts->len; i++) {
        struct ow_attempt *attempt = g_ptr_array_index(execution->attempts, i);
        if (attempt->state == OW_ATTEMPT_PLANNED && ow_execution_chunk(execution, attempt->task) == chunk)
            attempt->transaction_serial = transaction_serial;
    }
}

/* Marks the chunks and attempts that the value being written contains. */
static void mark_written(struct ow_record_value *record_value, uint64_t transaction_serial)
{
    for (guint i = 0; i < record_value->chunks->len; i++) {
        struct ow_chunk *chunk = g_ptr_array_index(record_value->chunks, i);
        chunk->is_writing = chunk->is_writing || chunk->is_dirty;
        chunk->is_dirty = false;
        mark_attempts(chunk, transaction_serial);
    }
}

static bool is_too_large(const struct ow_leader *leader, const char *value)
{
    return strlen(value) > leader->core->store_limits.value_bytes;
}

/* Whether the value is too large although it holds a single chunk, which can be divided. Until every
   controller reads smaller chunks it is written undivided, as long as the key-value store accepts that. */
static bool needs_division(const struct ow_leader *leader, const struct ow_record_value *record_value,
                           const char *value)
{
    if (!is_too_large(leader, value) || record_value->chunks->len != 1)
        return false;
    const struct ow_chunk *chunk = g_ptr_array_index(record_value->chunks, 0);
    return ow_record_format_has_small_chunks(leader->record_format) &&
           chunk->job->execution->chunk_tasks > OW_CHUNK_MIN_TASKS;
}

/* The text of the record value, or NULL if it must not be added to this transaction: a value that chunks have
   moved to must be written first, its chunk must be divided first, or it is too large and must be sent
   alone. */
static char *encode_for_transaction(struct ow_leader *leader, const struct ow_write *write,
                                    const struct ow_store_request *transaction)
{
    struct ow_record_value *record_value = write->record_value;
    struct ow_record_value *overflow = NULL;
    g_autofree char *value = ow_record_values_encode(leader, record_value, &overflow);
    if (overflow != NULL) {
        /* The stored value is the only record of the moved chunks: it must not be replaced before the
           overflow is written. */
        record_value->waits_for = overflow;
        ow_write_queue_add_record_value(leader->recorder->queue, overflow, write->order, write->due_at);
        return NULL;
    }
    record_value->needs_division = needs_division(leader, record_value, value);
    if (record_value->needs_division)
        return NULL;
    record_value->is_oversized = is_too_large(leader, value);
    if (record_value->is_oversized && transaction->mutations->len > 0)
        return NULL;
    return g_steal_pointer(&value);
}

static void add_to_in_flight(struct ow_recorder *recorder, const struct ow_write *write)
{
    g_ptr_array_add(recorder->writes_in_flight, g_memdup2(write, sizeof *write));
}

static void add_record_value(struct ow_leader *leader, const struct ow_write *write,
                             struct ow_store_request *transaction)
{
    struct ow_recorder *recorder = leader->recorder;
    struct ow_record_value *record_value = write->record_value;
    char *value = encode_for_transaction(leader, write, transaction);
    if (value == NULL) {
        ow_write_queue_add_record_value(recorder->queue, record_value, write->order, write->due_at);
        return;
    }
    g_autofree char *key = g_strdup_printf("%s%u", OW_KEY_PROGRESS, record_value->number);
    mark_written(record_value, recorder->transaction_serial);
    ow_store_request_compare(transaction, key, record_value->mod_revision);
    ow_store_request_put(transaction, key, value, 0);
    add_to_in_flight(recorder, write);
}

static void add_final_record(struct ow_leader *leader, const struct ow_write *write,
                             struct ow_store_request *transaction)
{
    const struct ow_job *job = write->execution->job;
    bool is_cancelled = job->state == OW_JOB_CANCELLED;
    struct ow_job_record record = {.state = is_cancelled ? OW_JOB_CANCELLED : OW_JOB_DONE};
    g_autofree char *key = g_strconcat(OW_KEY_JOBS, job->id, NULL);
    ow_store_request_compare(transaction, key, job->mod_revision);
    ow_store_request_put(transaction, key, wire_job_record_encode(&record), 0);
    add_to_in_flight(leader->recorder, write);
}

static void add_write(struct ow_leader *leader, const struct ow_write *write,
                      struct ow_store_request *transaction)
{
    if (write->kind == OW_WRITE_RECORD_VALUE)
        add_record_value(leader, write, transaction);
    else
        add_final_record(leader, write, transaction);
}

/* ---- selecting the writes of the transaction ---- */

/* Whether the stored value must not be replaced yet: a value that chunks have moved to must be written first,
   its chunk must be divided first, or it is the only record of some tasks. */
static bool is_blocked(struct ow_record_value *record_value)
{
    if (record_value->waits_for != NULL || record_value->needs_division)
        return true;
    ow_record_value_drop_moved_tasks(record_value);
    return record_value->unmoved_tasks->len > 0;
}

/* A value that may be refused for its size is sent alone: the refusal would fail the whole transaction. */
static bool must_be_sent_alone(const struct ow_write *write)
{
    return write->kind == OW_WRITE_RECORD_VALUE && write->record_value->is_oversized;
}

/* Whether the write may be added to the transaction now. With spare mutations there is no gain in delaying
   one that is due soon. */
static bool may_include(const struct ow_write *write, const struct ow_store_request *transaction, double now,
                        bool has_spare_mutations)
{
    if (write->kind == OW_WRITE_RECORD_VALUE &&
        (is_blocked(write->record_value) || now < write->record_value->refused_until))
        return false;
    bool is_due_soon = write->due_at - now < DUE_SOON_S;
    if (write->due_at > now && !(has_spare_mutations && is_due_soon))
        return false;
    return transaction->mutations->len == 0 || !must_be_sent_alone(write);
}

/* An upper estimate of the transaction's size, with its comparisons. */
static size_t transaction_bytes(const struct ow_store_request *transaction)
{
    size_t bytes = 0;
    for (guint i = 0; i < transaction->mutations->len; i++) {
        const struct ow_store_mutation *mutation =
            &g_array_index(transaction->mutations, struct ow_store_mutation, i);
        bytes += MUTATION_BYTES + 2 * strlen(mutation->key);
        if (mutation->value != NULL)
            bytes += strlen(mutation->value);
    }
    return bytes;
}

/* Whether the transaction has room for one more mutation with a value of the maximum size. */
static bool has_room(const struct ow_leader *leader, const struct ow_store_request *transaction,
                     guint mutations_max)
{
    const struct ow_store_limits *limits = &leader->core->store_limits;
    if (transaction->mutations->len >= mutations_max)
        return false;
    if (transaction->mutations->len == 0)
        return true;
    if (ow_store_request_largest_value(transaction) > limits->value_bytes)
        return false;
    return transaction_bytes(transaction) + limits->accepted_value_bytes < TRANSACTION_BYTES;
}

void ow_transaction_fill(struct ow_leader *leader, struct ow_store_request *transaction)
{
    struct ow_recorder *recorder = leader->recorder;
    double now = leader->core->now;
    double available_mutations = ow_rate_limiter_level(&recorder->mutation_limiter, now);
    bool has_spare_mutations = available_mutations > SPARE_SHARE * recorder->mutation_limiter.depth;
    guint mutations_max =
        (guint)MIN((double)leader->core->store_limits.transaction_mutations, available_mutations);
    guint position = 0;
    ow_write_queue_sort(recorder->queue);
    while (position < ow_write_queue_length(recorder->queue) &&
           has_room(leader, transaction, mutations_max)) {
        if (!may_include(ow_write_queue_at(recorder->queue, position), transaction, now,
                         has_spare_mutations)) {
            position++;
            continue;
        }
        /* add_write() appends the write to the queue again if it has to wait after all. */
        g_autofree struct ow_write *write = ow_write_queue_take(recorder->queue, position);
        add_write(leader, write, transaction);
    }
}
