#include "core/records/loaded_records.h"

#include "core/jobs/attempt.h"
#include "core/jobs/attempt_table.h"
#include "core/jobs/execution.h"
#include "core/jobs/execution_table.h"
#include "core/leader/leader_state.h"
#include "core/machines/machine.h"
#include "core/machines/machine_registry.h"
#include "core/records/record_values.h"
#include "core/records/recorder.h"
#include "model/records.h"
#include "model/store.h"
#include "wire/json.h"
#include "wire/progress_json.h"

#include <string.h>

/* A progress record read from the store, not yet applied. */
struct loaded_record {
    struct ow_record_value *record_value;
    uint64_t mod_revision;
    struct ow_job *job;
    uint32_t chunk_index;
    uint32_t chunk_tasks; /* size of the job's chunks when it was recorded */
    json_t *value;        /* one reference is owned */
};

struct ow_loaded_records {
    GArray *records; /* struct loaded_record */
};

static void clear_record(void *item)
{
    json_decref(((struct loaded_record *)item)->value);
}

struct ow_loaded_records *ow_loaded_records_new(void)
{
    struct ow_loaded_records *loaded = g_new0(struct ow_loaded_records, 1);
    loaded->records = g_array_new(FALSE, FALSE, sizeof(struct loaded_record));
    g_array_set_clear_func(loaded->records, clear_record);
    return loaded;
}

void ow_loaded_records_free(struct ow_loaded_records *loaded)
{
    if (loaded == NULL)
        return;
    g_array_unref(loaded->records);
    g_free(loaded);
}

/* ---- reading values ---- */

/* Whether the value exceeds the announced limit, so that it could not be written again once that limit takes
   effect. */
static bool is_too_large(const struct ow_leader *leader, json_t *value)
{
    const struct ow_store_limits *limits = &leader->core->store_limits;
    if (limits->value_bytes >= limits->accepted_value_bytes)
        return false;
    g_autofree char *text = wire_json_print(value);
    return strlen(text) > limits->value_bytes;
}

/* Adds one record of the value. Returns false if the record is obsolete: its job is over, or its name is
   invalid. */
static bool add_record(struct ow_loaded_records *loaded, const struct ow_leader *leader,
                       struct ow_record_value *record_value, const char *name, json_t *value)
{
    struct loaded_record record = {.record_value = record_value, .mod_revision = record_value->mod_revision};
    g_autofree char *id = wire_progress_name_decode(name, &record.chunk_index, &record.chunk_tasks);
    record.job = id != NULL ? ow_jobs_find(leader->core->jobs, id) : NULL;
    if (record.job == NULL || record.job->spec == NULL)
        return false;
    record.value = json_incref(value);
    g_array_append_val(loaded->records, record);
    return true;
}

void ow_loaded_records_add_value(struct ow_loaded_records *loaded, struct ow_leader *leader,
                                 const struct ow_store_item *item)
{
    guint64 number = 0;
    if (!g_ascii_string_to_unsigned(item->key + strlen(OW_KEY_PROGRESS), 10, 0, UINT32_MAX, &number, NULL))
        return;
    struct ow_record_value *record_value = ow_record_values_find_or_add(leader, (uint32_t)number);
    const char *name;
    json_t *value;
    bool all_current = true;
    record_value->mod_revision = item->mod_revision;
    json_object_foreach(item->value, name, value)
    {
        all_current = add_record(loaded, leader, record_value, name, value) && all_current;
    }
    if (!all_current || is_too_large(leader, item->value))
        ow_recorder_queue_compaction(leader, record_value);
}

/* ---- restoring executions ---- */

static struct ow_task_range tasks_of(const struct loaded_record *record)
{
    return ow_chunk_task_range(record->chunk_index, record->chunk_tasks, record->job->execution->count);
}

/* Removes the attempts of these tasks that records of lower mod_revision have restored. */
static void remove_attempts(struct ow_leader *leader, struct ow_execution *execution,
                            struct ow_task_range tasks)
{
    for (guint i = execution->attempts->len; i > 0; i--) {
        struct ow_attempt *attempt = g_ptr_array_index(execution->attempts, i - 1);
        if (attempt->task >= tasks.first && attempt->task < tasks.end)
            ow_attempt_remove(leader, attempt);
    }
}

/* Keeps attempt numbers up to the recorded one from being used again in any chunk that has one of these
   tasks. */
static void raise_last_attempt(struct ow_execution *execution, struct ow_task_range tasks,
                               uint64_t last_attempt)
{
    for (uint32_t task = tasks.first; task < tasks.end; task += execution->chunk_tasks) {
        struct ow_chunk *chunk = ow_execution_chunk(execution, task);
        chunk->last_attempt = MAX(chunk->last_attempt, last_attempt);
    }
}

static void restore_done(struct ow_execution *execution, const GArray *done)
{
    for (guint i = 0; i < done->len; i++) {
        uint32_t task = g_array_index(done, uint32_t, i);
        if (task >= execution->count || execution->tasks[task].is_done)
            continue;
        execution->tasks[task].is_done = true;
        execution->done++;
    }
}

static void restore_attempts(struct ow_leader *leader, struct ow_execution *execution, const GArray *attempts)
{
    for (guint i = 0; i < attempts->len; i++) {
        const struct ow_attempt_record *record = &g_array_index(attempts, struct ow_attempt_record, i);
        if (record->task >= execution->count || execution->tasks[record->task].attempt != NULL)
            continue;
        struct ow_machine *machine = ow_machines_find_or_add(leader, record->machine);
        struct ow_attempt *attempt =
            ow_attempt_new(leader, execution, record->task, record->attempt, machine, record->incarnation);
        attempt->state = OW_ATTEMPT_INHERITED;
        if (machine->liveness.incarnation == 0)
            machine->liveness.incarnation = record->incarnation;
    }
}

static void restore_record(struct ow_leader *leader, const struct loaded_record *record)
{
    struct ow_execution *execution = record->job->execution;
    struct ow_progress_record progress;
    if (!wire_progress_record_decode(record->value, &progress))
        g_warning("progress record unreadable in part: job=%s", execution->job->id);
    remove_attempts(leader, execution, tasks_of(record));
    raise_last_attempt(execution, tasks_of(record), progress.last_attempt);
    restore_done(execution, progress.done);
    restore_attempts(leader, execution, progress.attempts);
    wire_progress_record_clear(&progress);
}

/* Assigns the record's chunk to its record value or, if the job is now divided into smaller chunks, queues
   these for new values, which must be written before the old record is removed. */
static void assign_chunk(struct ow_leader *leader, const struct loaded_record *record)
{
    struct ow_execution *execution = record->job->execution;
    if (record->chunk_tasks == execution->chunk_tasks) {
        struct ow_chunk *chunk = &execution->chunks[record->chunk_index];
        if (chunk->record_value != NULL)
            ow_recorder_queue_compaction(leader, ow_record_value_remove_chunk(chunk));
        ow_record_value_add_chunk(record->record_value, chunk);
        return;
    }
    struct ow_task_range tasks = tasks_of(record);
    ow_record_value_add_unmoved_tasks(record->record_value, execution->job, tasks);
    ow_recorder_queue_compaction(leader, record->record_value);
    for (uint32_t task = tasks.first; task < tasks.end; task += execution->chunk_tasks)
        ow_recorder_queue_urgent(leader, execution, task);
}

/* Creates the job's execution if there is none. Its chunk size is the smallest that any of its records has.
 */
static void create_execution(struct ow_leader *leader, const struct loaded_record *record)
{
    bool is_new = record->job->execution == NULL;
    struct ow_execution *execution = ow_execution_find_or_add(leader, record->job);
    if (is_new || record->chunk_tasks < execution->chunk_tasks)
        ow_execution_divide(execution, record->chunk_tasks);
}

static bool is_beyond_tasks(const struct loaded_record *record)
{
    return (uint64_t)record->chunk_index * record->chunk_tasks >= record->job->execution->count;
}

static gint compare_mod_revisions(gconstpointer a, gconstpointer b)
{
    const struct loaded_record *left = a;
    const struct loaded_record *right = b;
    return left->mod_revision < right->mod_revision ? -1 : left->mod_revision > right->mod_revision;
}

static void restore(struct ow_leader *leader, const struct loaded_record *record)
{
    if (is_beyond_tasks(record)) {
        ow_recorder_queue_compaction(leader, record->record_value);
        return;
    }
    restore_record(leader, record);
    assign_chunk(leader, record);
}

void ow_loaded_records_restore(struct ow_loaded_records *loaded, struct ow_leader *leader)
{
    GArray *records = loaded->records;
    g_array_sort(records, compare_mod_revisions);
    for (guint i = 0; i < records->len; i++)
        create_execution(leader, &g_array_index(records, struct loaded_record, i));
    for (guint i = 0; i < records->len; i++)
        restore(leader, &g_array_index(records, struct loaded_record, i));
}
