#include "core/records/transaction_reply.h"

#include "core/election/election.h"
#include "core/jobs/attempt.h"
#include "core/jobs/execution.h"
#include "core/jobs/execution_table.h"
#include "core/jobs/job_cache.h"
#include "core/leader/leader_state.h"
#include "core/machines/command_queue.h"
#include "core/machines/machine.h"
#include "core/records/record_values.h"
#include "core/records/recorder_state.h"
#include "model/event.h"
#include "model/http_status.h"
#include "model/records.h"
#include "model/submission.h"

#include <string.h>

/* How long after a failure the next transaction is sent; and when it can't be made any smaller. */
static const double RETRY_S = 0.2, REFUSED_S = 5;

/* The writes of the answered transaction, detached: handling them may drop runs with their other writes. The
   caller frees them. */
static GPtrArray *take_sent(struct ow_recorder *recorder)
{
    GPtrArray *sent = recorder->sent;
    recorder->sent = g_ptr_array_new_with_free_func(g_free);
    return sent;
}

/* ---- success ---- */

/* Record values that waited for this one need not wait any more. */
static void unblock_others(struct ow_leader *leader, const struct ow_record_value *record_value)
{
    for (guint i = 0; i < leader->record_values->len; i++) {
        struct ow_record_value *other = g_ptr_array_index(leader->record_values, i);
        if (other->after == record_value)
            other->after = NULL;
    }
}

static void commit_chunk(struct ow_leader *leader, struct ow_chunk *chunk, uint64_t serial)
{
    const struct ow_execution *execution = chunk->job->execution;
    chunk->writing = false;
    for (guint i = 0; i < execution->attempts->len; i++) {
        struct ow_attempt *attempt = g_ptr_array_index(execution->attempts, i);
        if (attempt->state != OW_ATTEMPT_PLANNED || attempt->in_write != serial)
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
    record_value->version = revision;
    unblock_others(leader, record_value);
    for (guint i = 0; i < record_value->chunks->len; i++)
        commit_chunk(leader, g_ptr_array_index(record_value->chunks, i), leader->recorder->serial);
}

static void commit_finish(struct ow_leader *leader, struct ow_execution *execution, uint64_t revision)
{
    struct ow_job *job = execution->job;
    /* The watch may have told of the record before the answer to its write came. */
    if (job->state != OW_JOB_CANCELLED)
        g_info("job %s done", job->id);
    ow_execution_drop(leader, execution);
    enum ow_job_state state = job->state == OW_JOB_CANCELLED ? OW_JOB_CANCELLED : OW_JOB_DONE;
    ow_jobs_apply(leader->core->jobs, job->id, revision, state, NULL, leader->core->now, 0);
}

static void commit(struct ow_leader *leader, uint64_t revision)
{
    GPtrArray *sent = take_sent(leader->recorder);
    for (guint i = 0; i < sent->len; i++) {
        const struct ow_write *write = g_ptr_array_index(sent, i);
        if (write->kind == OW_WRITE_RECORD_VALUE)
            commit_record_value(leader, write->record_value, revision);
        else if (write->execution != NULL)
            commit_finish(leader, write->execution, revision);
    }
    g_ptr_array_free(sent, TRUE);
}

/* ---- checks of versions that a failed transaction expected ---- */

static void read_version(struct ow_leader *leader, const char *key);

static struct ow_record_value *record_value_of_key(const struct ow_leader *leader, const char *key)
{
    guint64 number = 0;
    if (!g_ascii_string_to_unsigned(key + strlen(OW_KEY_PROGRESS), 10, 0, UINT32_MAX, &number, NULL))
        return NULL;
    return ow_record_values_find(leader, (uint32_t)number);
}

static void on_version(void *owner, void *data, const struct ow_event *answer)
{
    struct ow_leader *leader = owner;
    const char *key = data;
    int status = answer->store.status;
    if (status != 200 && status != 404) {
        /* Nothing is written before the versions are known again. */
        read_version(leader, key);
        return;
    }
    leader->recorder->version_checks--;
    struct ow_record_value *record_value = record_value_of_key(leader, key);
    if (record_value == NULL)
        return;
    record_value->version = 0;
    if (status == 200)
        record_value->version = g_array_index(answer->store.items, struct ow_store_item, 0).mod_revision;
}

static void read_version(struct ow_leader *leader, const char *key)
{
    struct ow_store_request *request = ow_store_request_new(OW_STORE_GET, key);
    ow_core_call_store(leader->core, request, on_version, leader, g_strdup(key), g_free);
}

static void on_job_fresh(struct ow_core *core, void *data, bool ok)
{
    struct ow_leader *leader = core->leader;
    const uint64_t *fencing_token = data;
    (void)ok; /* if the read failed, the write fails again and the job is read again */
    if (leader == NULL || leader->fencing_token != *fencing_token)
        return;
    leader->recorder->version_checks--;
    ow_leader_request_cycle(leader);
}

/* Learns the version of a record that was not as the transaction expected. */
static void check_version(struct ow_leader *leader, const char *key)
{
    leader->recorder->version_checks++;
    if (!g_str_has_prefix(key, OW_KEY_JOBS)) {
        read_version(leader, key);
        return;
    }
    uint64_t *fencing_token = g_new(uint64_t, 1);
    *fencing_token = leader->fencing_token;
    ow_job_cache_refresh(leader->core->job_cache, on_job_fresh, fencing_token);
}

/* ---- failure ---- */

static void requeue_record_value(struct ow_leader *leader, const struct ow_write *write)
{
    for (guint i = 0; i < write->record_value->chunks->len; i++) {
        struct ow_chunk *chunk = g_ptr_array_index(write->record_value->chunks, i);
        chunk->dirty = chunk->dirty || chunk->writing;
        chunk->writing = false;
    }
    ow_write_queue_add_record_value(leader->recorder->queue, write->record_value, write->order,
                                    write->due_at);
}

/* Queues everything again: a record is made anew from the state at the time it is written. */
static void requeue(struct ow_leader *leader)
{
    GPtrArray *sent = take_sent(leader->recorder);
    for (guint i = 0; i < sent->len; i++) {
        const struct ow_write *write = g_ptr_array_index(sent, i);
        if (write->kind == OW_WRITE_RECORD_VALUE) {
            requeue_record_value(leader, write);
        } else if (write->execution != NULL) {
            write->execution->finishing =
                false; /* the scheduling cycle finishes it again, if it is still over */
            ow_leader_request_cycle(leader);
        }
    }
    g_ptr_array_free(sent, TRUE);
}

/* Record values that can't be made smaller yet wait, so that all others are written meanwhile. */
static bool postpone_refused(struct ow_recorder *recorder, double until)
{
    bool postponed = false;
    for (guint i = 0; i < recorder->sent->len; i++) {
        const struct ow_write *write = g_ptr_array_index(recorder->sent, i);
        if (write->kind != OW_WRITE_RECORD_VALUE)
            continue;
        write->record_value->refused_until = until;
        postponed = true;
    }
    return postponed;
}

/* Too large: the limits have changed otherwise than the settings say. The same again would fail for ever. */
static void shrink_limits(struct ow_leader *leader)
{
    double now = leader->core->now;
    struct ow_recorder *recorder = leader->recorder;
    bool smaller = ow_store_limits_refused(&leader->core->store_limits, recorder->sent_mutations,
                                           recorder->sent_largest);
    g_warning("the state service refuses a write of %u changes, the largest of %zu bytes; %s",
              recorder->sent_mutations, recorder->sent_largest,
              smaller ? "the next ones are smaller" : "it can't be made smaller");
    bool others_may_go = smaller || postpone_refused(recorder, now + REFUSED_S);
    recorder->next_at = now + (others_may_go ? RETRY_S : REFUSED_S);
}

static bool leader_key_has_changed(const struct ow_store_reply *reply)
{
    return reply->status == OW_HTTP_STATUS_CONFLICT && ow_store_reply_failed_on(reply, OW_KEY_LEADER);
}

static void check_failed_versions(struct ow_leader *leader, const struct ow_store_reply *reply)
{
    if (reply->failed_keys == NULL)
        return;
    for (char **key = reply->failed_keys; *key != NULL; key++)
        check_version(leader, *key);
}

void ow_transaction_reply_handle(struct ow_leader *leader, const struct ow_store_reply *reply)
{
    struct ow_recorder *recorder = leader->recorder;
    recorder->busy = false;
    if (reply->status == 200) {
        commit(leader, reply->revision);
        return;
    }
    if (leader_key_has_changed(reply)) {
        ow_election_deposed(leader->core->election);
        return;
    }
    /* Without a response it may have been carried out, or may still be: the versions it expects make a
       second time harmless, and if it was, the next try fails on them and learns the new ones. */
    recorder->next_at = leader->core->now + RETRY_S;
    if (reply->status == 400)
        shrink_limits(leader);
    requeue(leader);
    if (reply->status == 429)
        ow_rate_limiter_empty(&recorder->mutations, leader->core->now);
    if (reply->status == 409)
        check_failed_versions(leader, reply);
}
