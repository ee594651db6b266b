/* Which progress records share a value of the key-value store. Its changes are scarcer than its bytes: what
 * changes together is written together. A chunk stays in its record value until its job is over, or until the
 * record value outgrows a value. */
#include "core/records/record_values.h"
#include "core/jobs/attempt.h"
#include "core/jobs/execution.h"
#include "core/leader/leader_state.h"
#include "core/machines/machine.h"
#include "model/records.h"
#include "wire/records_json.h"

#include <string.h>

/* Tasks of a run that a value records in chunks of another size than the run has now. */
struct ow_retained_tasks {
    struct ow_job *job;
    struct ow_task_range tasks;
};

/* How full a record value is made: its chunks grow as their ranges break up. */
static const double FILL = 0.6;
/* What a chunk is taken to need before it has been written. */
enum { CHUNK_BYTES = 100, TASK_BYTES = 8 };

static size_t value_limit(const struct ow_leader *leader)
{
    return leader->core->store_limits.value_bytes;
}

struct ow_task_range ow_chunk_task_range(uint32_t index, uint32_t chunk_tasks, uint32_t task_count)
{
    uint32_t first = index * chunk_tasks;
    return (struct ow_task_range){first, MIN(task_count, first + chunk_tasks)};
}

static struct ow_task_range tasks_of(const struct ow_chunk *chunk)
{
    const struct ow_execution *execution = chunk->job->execution;
    return ow_chunk_task_range(chunk->index, execution->chunk_tasks, execution->count);
}

uint32_t ow_record_values_chunk_tasks(const struct ow_leader *leader)
{
    return leader->format.current >= OW_FORMAT_FINE ? ow_store_limits_tasks(&leader->core->store_limits)
                                                    : OW_CHUNK_TASKS;
}

static struct ow_record_value *record_value_new(struct ow_leader *leader, uint32_t number)
{
    struct ow_record_value *record_value = g_new0(struct ow_record_value, 1);
    record_value->number = number;
    record_value->class_index = OW_NO_NAME;
    record_value->chunks = g_ptr_array_new();
    record_value->retained = g_array_new(FALSE, FALSE, sizeof(struct ow_retained_tasks));
    g_ptr_array_add(leader->record_values, record_value);
    return record_value;
}

void ow_record_value_free(void *item)
{
    struct ow_record_value *record_value = item;
    g_ptr_array_free(record_value->chunks, TRUE);
    g_array_free(record_value->retained, TRUE);
    g_free(record_value);
}

struct ow_record_value *ow_record_values_find(const struct ow_leader *leader, uint32_t number)
{
    for (guint i = 0; i < leader->record_values->len; i++) {
        struct ow_record_value *record_value = g_ptr_array_index(leader->record_values, i);
        if (record_value->number == number)
            return record_value;
    }
    return NULL;
}

struct ow_record_value *ow_record_values_find_or_add(struct ow_leader *leader, uint32_t number)
{
    struct ow_record_value *record_value = ow_record_values_find(leader, number);
    return record_value != NULL ? record_value : record_value_new(leader, number);
}

static struct ow_record_value *fresh_record_value(struct ow_leader *leader)
{
    uint32_t number = 0;
    while (ow_record_values_find(leader, number) != NULL)
        number++;
    return record_value_new(leader, number);
}

static size_t expected_bytes(const struct ow_chunk *chunk)
{
    struct ow_task_range tasks = tasks_of(chunk);
    return CHUNK_BYTES + TASK_BYTES * (tasks.end - tasks.first);
}

void ow_record_values_add(struct ow_record_value *record_value, struct ow_chunk *chunk)
{
    chunk->record_value = record_value;
    record_value->class_index = chunk->job->spec->class_index;
    record_value->bytes += expected_bytes(chunk);
    g_ptr_array_add(record_value->chunks, chunk);
}

/* The fullest record value of the class with room for the chunk, or an empty one. Chunks of one class change
   at the same pace; a record value of all classes would be written as often as the liveliest. */
void ow_record_values_join(struct ow_leader *leader, struct ow_chunk *chunk)
{
    size_t room = (size_t)(FILL * value_limit(leader)), bytes = expected_bytes(chunk);
    struct ow_record_value *best = NULL;
    for (guint i = 0; i < leader->record_values->len; i++) {
        struct ow_record_value *record_value = g_ptr_array_index(leader->record_values, i);
        if (record_value->retained->len > 0)
            continue;
        bool alike =
            record_value->chunks->len == 0 || record_value->class_index == chunk->job->spec->class_index;
        if (alike && (record_value->chunks->len == 0 || record_value->bytes + bytes <= room) &&
            (best == NULL || record_value->chunks->len > best->chunks->len))
            best = record_value;
    }
    ow_record_values_add(best != NULL ? best : fresh_record_value(leader), chunk);
}

struct ow_record_value *ow_record_values_leave(struct ow_chunk *chunk)
{
    struct ow_record_value *record_value = chunk->record_value;
    if (record_value != NULL)
        g_ptr_array_remove(record_value->chunks, chunk);
    if (record_value != NULL && record_value->chunks->len == 0)
        record_value->bytes = 0;
    chunk->record_value = NULL;
    return record_value;
}

void ow_record_values_retain(struct ow_record_value *record_value, struct ow_job *job,
                             struct ow_task_range tasks)
{
    struct ow_retained_tasks retained = {job, tasks};
    g_array_append_val(record_value->retained, retained);
}

/* Whether all of it stands in other values by now, or means nothing any more. */
static bool settled(const struct ow_retained_tasks *retained)
{
    const struct ow_execution *execution = retained->job->execution;
    for (uint32_t task = retained->tasks.first; execution != NULL && task < retained->tasks.end;
         task += execution->chunk_tasks) {
        const struct ow_chunk *chunk = ow_execution_chunk(execution, task);
        if (chunk->record_value == NULL || chunk->dirty || chunk->writing)
            return false;
    }
    return true;
}

bool ow_record_values_retains_tasks(struct ow_record_value *record_value)
{
    for (guint i = record_value->retained->len; i > 0; i--)
        if (settled(&g_array_index(record_value->retained, struct ow_retained_tasks, i - 1)))
            g_array_remove_index_fast(record_value->retained, i - 1);
    return record_value->retained->len > 0;
}

static gint by_place(gconstpointer a, gconstpointer b)
{
    const struct ow_live_record *x = a, *y = b;
    int machines = strcmp(x->machine, y->machine);
    if (machines != 0)
        return machines;
    if (x->incarnation != y->incarnation)
        return x->incarnation < y->incarnation ? -1 : 1;
    return x->task < y->task ? -1 : x->task > y->task;
}

static char *chunk_value(const struct ow_chunk *chunk)
{
    const struct ow_execution *execution = chunk->job->execution;
    struct ow_progress_record record = {
        .last_attempt = chunk->last_attempt,
        .done = g_array_new(FALSE, FALSE, sizeof(uint32_t)),
        .live = g_array_new(FALSE, FALSE, sizeof(struct ow_live_record)),
    };
    struct ow_task_range tasks = tasks_of(chunk);
    for (uint32_t task = tasks.first; task < tasks.end; task++) {
        const struct ow_attempt *attempt = execution->tasks[task].attempt;
        if (execution->tasks[task].done)
            g_array_append_val(record.done, task);
        if (attempt == NULL)
            continue;
        struct ow_live_record live = {task, attempt->number, attempt->machine->name, attempt->incarnation};
        g_array_append_val(record.live, live);
    }
    g_array_sort(record.live, by_place);
    char *value = wire_progress_record_encode(&record);
    wire_progress_record_clear(&record);
    return value;
}

static char *record_value_encode(struct ow_record_value *record_value)
{
    GString *text = g_string_sized_new(record_value->bytes + 64);
    for (guint i = 0; i < record_value->chunks->len; i++) {
        const struct ow_chunk *chunk = g_ptr_array_index(record_value->chunks, i);
        char *value = chunk_value(chunk);
        wire_progress_value_add(text, chunk->job->id, chunk->index, chunk->job->execution->chunk_tasks,
                                value);
        g_free(value);
    }
    wire_progress_value_end(text);
    record_value->bytes = text->len;
    return g_string_free(text, FALSE);
}

char *ow_record_values_encode(struct ow_leader *leader, struct ow_record_value *record_value,
                              struct ow_record_value **moved)
{
    char *value = record_value_encode(record_value);
    *moved = NULL;
    while (strlen(value) > value_limit(leader) && record_value->chunks->len > 1) {
        struct ow_record_value *other = *moved != NULL ? *moved : fresh_record_value(leader);
        *moved = other;
        for (guint keep = record_value->chunks->len / 2; record_value->chunks->len > keep;) {
            struct ow_chunk *chunk = g_ptr_array_index(record_value->chunks, record_value->chunks->len - 1);
            ow_record_values_leave(chunk);
            ow_record_values_add(other, chunk);
        }
        g_free(value);
        value = record_value_encode(record_value);
    }
    return value;
}
