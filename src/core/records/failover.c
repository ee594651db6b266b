/* Rebuilding the leader's picture: records first, then the workers' own reports. */
#include "core/records/failover.h"
#include "core/jobs/attempt.h"
#include "core/jobs/attempt_table.h"
#include "core/jobs/execution.h"
#include "core/jobs/execution_table.h"
#include "core/jobs/job_cache.h"
#include "core/leader/leader_state.h"
#include "core/machines/command_queue.h"
#include "core/machines/machine.h"
#include "core/machines/machine_registry.h"
#include "core/peers/machine_hints.h"
#include "core/records/record_values.h"
#include "core/records/recorder.h"
#include "model/cloud.h"
#include "model/event.h"
#include "model/peer.h"
#include "model/records.h"
#include "wire/json.h"
#include "wire/records_json.h"

#include <string.h>

static const double RETRY_S = 0.3;

/* Whether the value could not be written any more once the limits to come are there. */
static bool is_too_large(const struct ow_leader *leader, const json_t *value)
{
    if (leader->core->store_limits.value_bytes >= leader->core->store_limits.value_bytes_now)
        return false;
    char *text = wire_json_print(value);
    bool large = strlen(text) > leader->core->store_limits.value_bytes;
    g_free(text);
    return large;
}

static void load_live(struct ow_leader *leader, struct ow_execution *execution, const GArray *live)
{
    for (guint i = 0; i < live->len; i++) {
        const struct ow_live_record *record = &g_array_index(live, struct ow_live_record, i);
        if (record->task >= execution->count || execution->tasks[record->task].attempt != NULL)
            continue;
        struct ow_machine *machine = ow_machines_find_or_add(leader, record->machine);
        struct ow_attempt *attempt =
            ow_attempt_new(leader, execution, record->task, record->attempt, machine, record->incarnation);
        attempt->state = OW_ATTEMPT_INHERITED;
        if (machine->incarnation == 0)
            machine->incarnation = record->incarnation;
    }
}

/* A record as it was read. They are taken in once all are there, the oldest value first: a record may be
   found in two values, or its tasks in chunks of two sizes, when what moved was not tidied up. The newer one
   counts. */
struct loaded_record {
    struct ow_record_value *record_value;
    uint64_t version;
    struct ow_job *job;
    uint32_t index;
    uint32_t chunk_tasks; /* the size of the chunks that it was recorded in */
    json_t *value;
};

static void loaded_clear(void *item)
{
    json_decref(((struct loaded_record *)item)->value);
}

void ow_failover_free(struct ow_leader *leader)
{
    g_clear_pointer(&leader->failover.loaded, g_array_unref);
}

static gint by_version(gconstpointer a, gconstpointer b)
{
    const struct loaded_record *x = a, *y = b;
    return x->version < y->version ? -1 : x->version > y->version;
}

static void load_record(struct ow_leader *leader, struct ow_execution *execution,
                        const struct loaded_record *loaded)
{
    struct ow_progress_record record;
    struct ow_task_range tasks = ow_chunk_task_range(loaded->index, loaded->chunk_tasks, execution->count);
    if (!wire_progress_record_decode(loaded->value, &record))
        g_warning("a progress record of job %s cannot be read in full", execution->job->id);
    for (guint i = execution->attempts->len; i > 0; i--) {
        struct ow_attempt *attempt = g_ptr_array_index(execution->attempts, i - 1);
        if (attempt->task >= tasks.first && attempt->task < tasks.end)
            ow_attempt_unload(leader, attempt);
    }
    for (uint32_t task = tasks.first; task < tasks.end; task += execution->chunk_tasks)
        ow_execution_chunk(execution, task)->last_attempt =
            MAX(ow_execution_chunk(execution, task)->last_attempt, record.last_attempt);
    for (guint i = 0; i < record.done->len; i++) {
        uint32_t task = g_array_index(record.done, uint32_t, i);
        if (task < execution->count && !execution->tasks[task].done) {
            execution->tasks[task].done = true;
            execution->done++;
        }
    }
    load_live(leader, execution, record.live);
    wire_progress_record_clear(&record);
}

/* Where the record goes on standing: in its record value, or, if its run is divided otherwise now, in smaller
 * ones.
 */
static void load_place(struct ow_leader *leader, struct ow_execution *execution,
                       const struct loaded_record *loaded)
{
    struct ow_task_range tasks = ow_chunk_task_range(loaded->index, loaded->chunk_tasks, execution->count);
    if (loaded->chunk_tasks == execution->chunk_tasks) {
        struct ow_chunk *chunk = &execution->chunks[loaded->index];
        if (chunk->record_value != NULL)
            ow_recorder_compact(leader, ow_record_values_leave(chunk));
        ow_record_values_add(loaded->record_value, chunk);
        return;
    }
    ow_record_values_retain(loaded->record_value, execution->job, tasks);
    ow_recorder_compact(leader, loaded->record_value);
    for (uint32_t task = tasks.first; task < tasks.end; task += execution->chunk_tasks)
        ow_recorder_chunk(leader, execution, task, true);
}

static void take_loaded(struct ow_leader *leader)
{
    g_array_sort(leader->failover.loaded, by_version);
    /* A run keeps the smallest chunks that it was recorded in. */
    for (guint i = 0; i < leader->failover.loaded->len; i++) {
        const struct loaded_record *loaded = &g_array_index(leader->failover.loaded, struct loaded_record, i);
        bool fresh = loaded->job->execution == NULL;
        struct ow_execution *execution = ow_execution_find_or_add(leader, loaded->job);
        if (fresh || loaded->chunk_tasks < execution->chunk_tasks)
            ow_execution_divide(execution, loaded->chunk_tasks);
    }
    for (guint i = 0; i < leader->failover.loaded->len; i++) {
        const struct loaded_record *loaded = &g_array_index(leader->failover.loaded, struct loaded_record, i);
        struct ow_execution *execution = loaded->job->execution;
        if ((uint64_t)loaded->index * loaded->chunk_tasks >= execution->count) {
            ow_recorder_compact(leader, loaded->record_value);
            continue;
        }
        load_record(leader, execution, loaded);
        load_place(leader, execution, loaded);
    }
    ow_failover_free(leader);
}

/* False when the record is of no use any more: what a final record has left behind. */
static bool keep_named(struct ow_leader *leader, struct ow_record_value *record_value, const char *name,
                       json_t *value)
{
    struct loaded_record loaded = {.record_value = record_value, .version = record_value->version};
    char *id = wire_progress_name_decode(name, &loaded.index, &loaded.chunk_tasks);
    loaded.job = id != NULL ? ow_jobs_find(leader->core->jobs, id) : NULL;
    g_free(id);
    if (loaded.job == NULL || loaded.job->spec == NULL)
        return false;
    loaded.value = json_incref(value);
    g_array_append_val(leader->failover.loaded, loaded);
    return true;
}

static void load_record_value(struct ow_leader *leader, const struct ow_store_item *item)
{
    guint64 number = 0;
    if (!g_ascii_string_to_unsigned(item->key + strlen(OW_KEY_PROGRESS), 10, 0, UINT32_MAX, &number, NULL))
        return;
    struct ow_record_value *record_value = ow_record_values_find_or_add(leader, (uint32_t)number);
    const char *name;
    json_t *value;
    bool tidy = true;
    record_value->version = item->mod_revision;
    json_object_foreach(item->value, name, value)
    {
        tidy = keep_named(leader, record_value, name, value) && tidy;
    }
    if (!tidy || is_too_large(leader, item->value))
        ow_recorder_compact(leader, record_value);
}

/* Machines that the last leader told us of can be reached before any list names them. */
static void use_hints(struct ow_leader *leader)
{
    const GArray *hints = ow_machine_hints_list(leader->core->machine_hints);
    for (guint i = 0; i < hints->len; i++) {
        const struct ow_peer_machine *hint = &g_array_index(hints, struct ow_peer_machine, i);
        struct ow_machine *machine = ow_machines_find_or_add(leader, hint->name);
        ow_machine_describe(leader, machine, hint->addr, hint->type, hint->zone, hint->spot);
        machine->listed = OW_LISTED_RUNNING;
    }
}

static void become_ready(struct ow_leader *leader)
{
    take_loaded(leader);
    leader->phase = OW_LEADER_READY;
    leader->ready_at = leader->core->now;
    ow_leader_request_cycle(leader);
    use_hints(leader);
    /* Fencing: a worker that has seen our fencing token heeds no older leader any more. */
    ow_command_queue_add_all(leader);
    g_info("took over: %u jobs with progress, %u machines known", leader->executions->len,
           leader->machines->len);
}

static void on_page(void *owner, void *data, const struct ow_event *answer)
{
    struct ow_leader *leader = owner;
    const struct ow_store_reply *reply = &answer->store;
    (void)data;
    leader->failover.busy = false;
    if (reply->status != 200) {
        leader->failover.next_at = leader->core->now + RETRY_S;
        return;
    }
    for (guint i = 0; i < reply->items->len; i++)
        load_record_value(leader, &g_array_index(reply->items, struct ow_store_item, i));
    if (reply->has_more && reply->items->len > 0) {
        const struct ow_store_item *last =
            &g_array_index(reply->items, struct ow_store_item, reply->items->len - 1);
        g_free(leader->failover.after);
        leader->failover.after = g_strdup(last->key);
        return;
    }
    become_ready(leader);
}

static void on_jobs_fresh(struct ow_core *core, void *data, bool ok)
{
    struct ow_leader *leader = core->leader;
    const uint64_t *fencing_token = data;
    if (leader == NULL || leader->fencing_token != *fencing_token)
        return;
    leader->failover.busy = false;
    if (ok) {
        leader->phase = OW_LEADER_LOADING;
        leader->failover.loaded = g_array_new(FALSE, FALSE, sizeof(struct loaded_record));
        g_array_set_clear_func(leader->failover.loaded, loaded_clear);
    } else
        leader->failover.next_at = core->now + RETRY_S;
}

void ow_failover_tick(struct ow_leader *leader)
{
    if (leader->phase == OW_LEADER_READY || leader->failover.busy ||
        leader->core->now < leader->failover.next_at)
        return;
    leader->failover.busy = true;
    if (leader->phase == OW_LEADER_REFRESH) {
        /* Progress of a job that the copy does not show yet would read as a leftover. */
        uint64_t *fencing_token = g_new(uint64_t, 1);
        *fencing_token = leader->fencing_token;
        ow_job_cache_refresh(leader->core->job_cache, on_jobs_fresh, fencing_token);
        return;
    }
    if (leader->format.current == 0) {
        /* How runs are divided depends on it. */
        leader->failover.busy = false;
        return;
    }
    struct ow_store_request *request = ow_store_request_new(OW_STORE_LIST, OW_KEY_PROGRESS);
    request->start_after_key = g_strdup(leader->failover.after);
    ow_core_call_store(leader->core, request, on_page, leader, NULL, NULL);
}
