#include "core/records/transaction_reply.h"

#include "core/election/election.h"
#include "core/jobs/attempt.h"
#include "core/jobs/execution.h"
#include "core/jobs/execution_table.h"
#include "core/jobs/job_cache.h"
#include "core/leader/leader_state.h"
#include "core/machines/command_queue.h"
#include "core/records/record_values.h"
#include "core/records/recorder_state.h"
#include "model/event.h"
#include "model/http_status.h"
#include "model/records.h"
#include "model/submission.h"

#include <string.h>

/* Delay of the next transaction after a failure, and after the refusal of one that can't be made smaller. */
static const double RETRY_S = 0.2;
static const double REFUSED_RETRY_S = 5;

/* The writes of the answered transaction, detached: handling them may drop executions with their other
 * writes. */
static GPtrArray *take_writes(struct ow_recorder *recorder)
{
    GPtrArray *writes = recorder->writes_in_flight;
    recorder->writes_in_flight = g_ptr_array_new_with_free_func(g_free);
    return writes;
}

/* ---- success ---- */

/* Unblocks the record values that wait until this one is written. */
static void unblock_waiting(struct ow_leader *leader, const struct ow_record_value *record_value)
{
    for (guint i = 0; i < leader->record_values->len; i++) {
        struct ow_record_value *other = g_ptr_array_index(leader->record_values, i);
        if (other->waits_for == record_value)
            other->waits_for = NULL;
    }
}

/* Marks the recorded attempts as committed. Attempts planned after the value was encoded wait for the next
   write of the chunk. */
static void commit_chunk(struct ow_leader *leader, struct ow_chunk *chunk)
{
    const struct ow_execution *execution = chunk->job->execution;
    chunk->is_writing = false;
    for (guint i = 0; i < execution->attempts->len; i++) {
        struct ow_attempt *attempt = g_ptr_array_index(execution->attempts, i);
        if (attempt->state != OW_ATTEMPT_PLANNED ||
            attempt->transaction_serial != leader->recorder->transaction_serial)
            continue;
        if (ow_execution_chunk(execution, attempt->task) != chunk)
            continue;
        attempt->state = OW_ATTEMPT_COMMITTED;
        ow_command_queue_add(leader, attempt->machine);
    }
}

static void commit_record_value(struct ow_leader *leader, struct ow_record_value *record_value,
                                uint64_t revision)
{
    record_value->mod_revision = revision;
    unblock_waiting(leader, record_value);
    for (guint i = 0; i < record_value->chunks->len; i++)
        commit_chunk(leader, g_ptr_array_index(record_value->chunks, i));
}

static void commit_final_record(struct ow_leader *leader, struct ow_execution *execution, uint64_t revision)
{
    struct ow_job *job = execution->job;
    /* The watch may have delivered the record before the reply to its write arrived. */
    bool is_cancelled = job->state == OW_JOB_CANCELLED;
    if (!is_cancelled)
        g_info("job done: job=%s", job->id);
    ow_execution_drop(leader, execution);
    ow_jobs_apply(leader->core->jobs, job->id, revision, is_cancelled ? OW_JOB_CANCELLED : OW_JOB_DONE, NULL,
                  leader->core->now, 0);
}

static void commit(struct ow_leader *leader, uint64_t revision)
{
    g_autoptr(GPtrArray) writes = take_writes(leader->recorder);
    for (guint i = 0; i < writes->len; i++) {
        const struct ow_write *write = g_ptr_array_index(writes, i);
        if (write->kind == OW_WRITE_RECORD_VALUE)
            commit_record_value(leader, write->record_value, revision);
        else if (write->execution != NULL)
            commit_final_record(leader, write->execution, revision);
    }
}

/* ---- conflict: the mod_revisions that the transaction expected are read again ---- */

static void read_mod_revision(struct ow_leader *leader, const char *key);

static struct ow_record_value *record_value_of_key(const struct ow_leader *leader, const char *key)
{
    guint64 number = 0;
    if (!g_ascii_string_to_unsigned(key + strlen(OW_KEY_PROGRESS), 10, 0, UINT32_MAX, &number, NULL))
        return NULL;
    return ow_record_values_find(leader, (uint32_t)number);
}

static void on_mod_revision(void *owner, void *data, const struct ow_event *answer)
{
    struct ow_leader *leader = owner;
    const char *key = data;
    const struct ow_store_reply *reply = &answer->store;
    bool exists = reply->status == OW_HTTP_STATUS_OK;
    if (!exists && reply->status != OW_HTTP_STATUS_NOT_FOUND) {
        /* Nothing is written before the mod_revisions are known again. */
        read_mod_revision(leader, key);
        return;
    }
    leader->recorder->mod_revision_reads--;
    struct ow_record_value *record_value = record_value_of_key(leader, key);
    if (record_value == NULL)
        return;
    record_value->mod_revision =
        exists ? g_array_index(reply->items, struct ow_store_item, 0).mod_revision : 0;
}

static void read_mod_revision(struct ow_leader *leader, const char *key)
{
    struct ow_store_request *request = ow_store_request_new(OW_STORE_GET, key);
    ow_core_call_store(leader->core, request, on_mod_revision, leader, g_strdup(key), g_free);
}

/* `data` is the fencing token of the leader that requested the refresh; its term may have ended since. */
static void on_jobs_refreshed(struct ow_core *core, void *data, enum ow_refresh_result result)
{
    struct ow_leader *leader = core->leader;
    const uint64_t *fencing_token = data;
    (void)result; /* if the read failed, the write fails again and the job is read again */
    if (leader == NULL || leader->fencing_token != *fencing_token)
        return;
    leader->recorder->mod_revision_reads--;
    ow_leader_request_cycle(leader);
}

/* Reads the present mod_revision of a key whose comparison failed. */
static void refresh_mod_revision(struct ow_leader *leader, const char *key)
{
    leader->recorder->mod_revision_reads++;
    if (!g_str_has_prefix(key, OW_KEY_JOBS)) {
        read_mod_revision(leader, key);
        return;
    }
    uint64_t *fencing_token = g_memdup2(&leader->fencing_token, sizeof leader->fencing_token);
    ow_job_cache_refresh(leader->core->job_cache, on_jobs_refreshed, fencing_token);
}

static void refresh_failed_keys(struct ow_leader *leader, const struct ow_store_reply *reply)
{
    if (reply->failed_keys == NULL)
        return;
    for (char **key = reply->failed_keys; *key != NULL; key++)
        refresh_mod_revision(leader, *key);
}

/* ---- refused as too large ---- */

/* Postpones the record values in flight, which can't be divided yet, so that all others are written
   meanwhile. Returns false if there are none. */
static bool postpone_refused(struct ow_recorder *recorder, double until)
{
    bool postponed = false;
    for (guint i = 0; i < recorder->writes_in_flight->len; i++) {
        const struct ow_write *write = g_ptr_array_index(recorder->writes_in_flight, i);
        if (write->kind != OW_WRITE_RECORD_VALUE)
            continue;
        write->record_value->refused_until = until;
        postponed = true;
    }
    return postponed;
}

/* The store's limits are lower than the settings say: every retry of the same transaction would fail. */
static void shrink_limits(struct ow_leader *leader)
{
    double now = leader->core->now;
    struct ow_recorder *recorder = leader->recorder;
    bool is_smaller = ow_store_limits_shrink(&leader->core->store_limits, recorder->mutations_in_flight,
                                             recorder->largest_bytes_in_flight);
    g_warning("transaction refused as too large: count=%u largest_bytes=%zu reason=\"%s\"",
              recorder->mutations_in_flight, recorder->largest_bytes_in_flight,
              is_smaller ? "limits lowered for later transactions" : "the transaction can't be made smaller");
    bool others_may_proceed = is_smaller || postpone_refused(recorder, now + REFUSED_RETRY_S);
    recorder->next_at = now + (others_may_proceed ? RETRY_S : REFUSED_RETRY_S);
}

/* ---- every failure ---- */

static void requeue_record_value(struct ow_leader *leader, const struct ow_write *write)
{
    for (guint i = 0; i < write->record_value->chunks->len; i++) {
        struct ow_chunk *chunk = g_ptr_array_index(write->record_value->chunks, i);
        chunk->is_dirty = chunk->is_dirty || chunk->is_writing;
        chunk->is_writing = false;
    }
    ow_write_queue_add_record_value(leader->recorder->queue, write->record_value, write->order,
                                    write->due_at);
}

/* Lets the scheduling cycle queue the final record again, if the job is still over. */
static void reopen_execution(struct ow_leader *leader, struct ow_execution *execution)
{
    execution->is_finishing = false;
    ow_leader_request_cycle(leader);
}

/* Queues all writes again; each is encoded again when it is sent, from the state at that time. */
static void requeue(struct ow_leader *leader)
{
    g_autoptr(GPtrArray) writes = take_writes(leader->recorder);
    for (guint i = 0; i < writes->len; i++) {
        const struct ow_write *write = g_ptr_array_index(writes, i);
        if (write->kind == OW_WRITE_RECORD_VALUE)
            requeue_record_value(leader, write);
        else if (write->execution != NULL)
            reopen_execution(leader, write->execution);
    }
}

static void handle_failure(struct ow_leader *leader, const struct ow_store_reply *reply)
{
    leader->recorder->next_at = leader->core->now + RETRY_S;
    switch (reply->status) {
    case OW_HTTP_STATUS_BAD_REQUEST:
        shrink_limits(leader);
        break;
    case OW_HTTP_STATUS_TOO_MANY_REQUESTS:
        ow_rate_limiter_empty(&leader->recorder->mutation_limiter, leader->core->now);
        break;
    case OW_HTTP_STATUS_CONFLICT:
        refresh_failed_keys(leader, reply);
        break;
    default:
        /* Without a response the transaction may have been committed, or may still be. In that case its
           comparisons make the retry fail with a conflict, upon which the present mod_revisions are read. */
        break;
    }
    requeue(leader);
}

void ow_transaction_reply_handle(struct ow_leader *leader, const struct ow_store_reply *reply)
{
    leader->recorder->is_in_flight = false;
    if (reply->status == OW_HTTP_STATUS_OK)
        commit(leader, reply->revision);
    else if (reply->status == OW_HTTP_STATUS_CONFLICT && ow_store_reply_failed_on(reply, OW_KEY_LEADER))
        ow_election_note_deposed(leader->core->election);
    else
        handle_failure(leader, reply);
}
