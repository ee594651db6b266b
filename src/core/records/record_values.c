#include "core/records/record_values.h"

#include "core/jobs/attempt.h"
#include "core/jobs/execution.h"
#include "core/leader/leader_state.h"
#include "core/machines/machine.h"
#include "core/records/record_format.h"
#include "model/records.h"
#include "wire/progress_json.h"

#include <string.h>

/* Tasks that a stored value records in chunks of an earlier size. */
struct ow_unmoved_tasks {
    struct ow_job *job;
    struct ow_task_range tasks;
};

/* Share of the size limit up to which chunks are added: records grow when their ranges of tasks fragment. */
static const double FILL_SHARE = 0.6;
/* Estimated size of a chunk that has not been encoded yet: a fixed part, and a part for each task. */
enum { CHUNK_BYTES = 100, TASK_BYTES = 8 };
/* Bytes that the text's buffer has beyond the estimated size, for growth since the value was last encoded. */
enum { TEXT_MARGIN_BYTES = 64 };

static size_t value_limit_bytes(const struct ow_leader *leader)
{
    return leader->core->store_limits.value_bytes;
}

struct ow_task_range ow_chunk_task_range(uint32_t index, uint32_t chunk_tasks, uint32_t task_count)
{
    uint32_t first = index * chunk_tasks;
    return (struct ow_task_range){.first = first, .end = MIN(task_count, first + chunk_tasks)};
}

static struct ow_task_range tasks_of(const struct ow_chunk *chunk)
{
    const struct ow_execution *execution = chunk->job->execution;
    return ow_chunk_task_range(chunk->index, execution->chunk_tasks, execution->count);
}

uint32_t ow_record_values_chunk_tasks(const struct ow_leader *leader)
{
    if (!ow_record_format_has_small_chunks(leader->record_format))
        return OW_CHUNK_MAX_TASKS;
    return ow_store_limits_chunk_tasks(&leader->core->store_limits);
}

/* ---- the record values of a leader ---- */

static struct ow_record_value *add_record_value(struct ow_leader *leader, uint32_t number)
{
    struct ow_record_value *record_value = g_new0(struct ow_record_value, 1);
    record_value->number = number;
    record_value->class_index = OW_NO_NAME;
    record_value->chunks = g_ptr_array_new();
    record_value->unmoved_tasks = g_array_new(FALSE, FALSE, sizeof(struct ow_unmoved_tasks));
    g_ptr_array_add(leader->record_values, record_value);
    return record_value;
}

void ow_record_value_free(void *item)
{
    struct ow_record_value *record_value = item;
    g_ptr_array_free(record_value->chunks, TRUE);
    g_array_free(record_value->unmoved_tasks, TRUE);
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
    return record_value != NULL ? record_value : add_record_value(leader, number);
}

static struct ow_record_value *add_with_free_number(struct ow_leader *leader)
{
    uint32_t number = 0;
    while (ow_record_values_find(leader, number) != NULL)
        number++;
    return add_record_value(leader, number);
}

/* ---- which chunks share a record value ---- */

static size_t expected_bytes(const struct ow_chunk *chunk)
{
    struct ow_task_range tasks = tasks_of(chunk);
    return CHUNK_BYTES + TASK_BYTES * (tasks.end - tasks.first);
}

void ow_record_value_add_chunk(struct ow_record_value *record_value, struct ow_chunk *chunk)
{
    chunk->record_value = record_value;
    record_value->class_index = chunk->job->spec->class_index;
    record_value->estimated_bytes += expected_bytes(chunk);
    g_ptr_array_add(record_value->chunks, chunk);
}

/* Whether the chunk may be added to the record value. Chunks of one class change at a similar rate; a value
   with several classes would be rewritten at the rate of the fastest. */
static bool may_take_chunk(const struct ow_leader *leader, const struct ow_record_value *record_value,
                           const struct ow_chunk *chunk)
{
    if (record_value->unmoved_tasks->len > 0)
        return false;
    if (record_value->chunks->len == 0)
        return true;
    if (record_value->class_index != chunk->job->spec->class_index)
        return false;
    size_t fill_bytes = (size_t)(FILL_SHARE * (double)value_limit_bytes(leader));
    return record_value->estimated_bytes + expected_bytes(chunk) <= fill_bytes;
}

void ow_record_values_assign_chunk(struct ow_leader *leader, struct ow_chunk *chunk)
{
    struct ow_record_value *fullest = NULL;
    for (guint i = 0; i < leader->record_values->len; i++) {
        struct ow_record_value *record_value = g_ptr_array_index(leader->record_values, i);
        bool is_fuller = fullest == NULL || record_value->chunks->len > fullest->chunks->len;
        if (is_fuller && may_take_chunk(leader, record_value, chunk))
            fullest = record_value;
    }
    ow_record_value_add_chunk(fullest != NULL ? fullest : add_with_free_number(leader), chunk);
}

struct ow_record_value *ow_record_value_remove_chunk(struct ow_chunk *chunk)
{
    struct ow_record_value *record_value = chunk->record_value;
    chunk->record_value = NULL;
    if (record_value == NULL)
        return NULL;
    g_ptr_array_remove(record_value->chunks, chunk);
    if (record_value->chunks->len == 0)
        record_value->estimated_bytes = 0;
    return record_value;
}

/* ---- tasks that only a stored value records ---- */

void ow_record_value_add_unmoved_tasks(struct ow_record_value *record_value, struct ow_job *job,
                                       struct ow_task_range tasks)
{
    struct ow_unmoved_tasks unmoved = {.job = job, .tasks = tasks};
    g_array_append_val(record_value->unmoved_tasks, unmoved);
}

/* Whether all of these tasks have been recorded in other values since, or their job is over. */
static bool is_moved(const struct ow_unmoved_tasks *unmoved)
{
    const struct ow_execution *execution = unmoved->job->execution;
    if (execution == NULL)
        return true;
    for (uint32_t task = unmoved->tasks.first; task < unmoved->tasks.end; task += execution->chunk_tasks) {
        const struct ow_chunk *chunk = ow_execution_chunk(execution, task);
        if (chunk->record_value == NULL || chunk->is_dirty || chunk->is_writing)
            return false;
    }
    return true;
}

void ow_record_value_drop_moved_tasks(struct ow_record_value *record_value)
{
    for (guint i = record_value->unmoved_tasks->len; i > 0; i--)
        if (is_moved(&g_array_index(record_value->unmoved_tasks, struct ow_unmoved_tasks, i - 1)))
            g_array_remove_index_fast(record_value->unmoved_tasks, i - 1);
}

/* ---- the text of a record value ---- */

static gint compare_by_machine(gconstpointer a, gconstpointer b)
{
    const struct ow_attempt_record *left = a;
    const struct ow_attempt_record *right = b;
    int machines = strcmp(left->machine, right->machine);
    if (machines != 0)
        return machines;
    if (left->incarnation != right->incarnation)
        return left->incarnation < right->incarnation ? -1 : 1;
    return left->task < right->task ? -1 : left->task > right->task;
}

static void add_task(struct ow_progress_record *record, const struct ow_execution *execution, uint32_t task)
{
    const struct ow_attempt *attempt = execution->tasks[task].attempt;
    if (execution->tasks[task].is_done)
        g_array_append_val(record->done, task);
    if (attempt == NULL)
        return;
    struct ow_attempt_record attempt_record = {.task = task,
                                               .attempt = attempt->number,
                                               .machine = attempt->machine->name,
                                               .incarnation = attempt->incarnation};
    g_array_append_val(record->attempts, attempt_record);
}

static char *encode_chunk(const struct ow_chunk *chunk)
{
    struct ow_progress_record record = {
        .last_attempt = chunk->last_attempt,
        .done = g_array_new(FALSE, FALSE, sizeof(uint32_t)),
        .attempts = g_array_new(FALSE, FALSE, sizeof(struct ow_attempt_record)),
    };
    struct ow_task_range tasks = tasks_of(chunk);
    for (uint32_t task = tasks.first; task < tasks.end; task++)
        add_task(&record, chunk->job->execution, task);
    g_array_sort(record.attempts, compare_by_machine);
    char *text = wire_progress_record_encode(&record);
    wire_progress_record_clear(&record);
    return text;
}

static char *encode_chunks(struct ow_record_value *record_value)
{
    GString *text = g_string_sized_new(record_value->estimated_bytes + TEXT_MARGIN_BYTES);
    for (guint i = 0; i < record_value->chunks->len; i++) {
        const struct ow_chunk *chunk = g_ptr_array_index(record_value->chunks, i);
        g_autofree char *record = encode_chunk(chunk);
        wire_progress_value_add(text, chunk->job->id, chunk->index, chunk->job->execution->chunk_tasks,
                                record);
    }
    wire_progress_value_end(text);
    record_value->estimated_bytes = text->len;
    return g_string_free(text, FALSE);
}

/* Moves the chunks beyond the first half, the last one first. */
static void move_half(struct ow_record_value *from, struct ow_record_value *to)
{
    guint kept = from->chunks->len / 2;
    while (from->chunks->len > kept) {
        struct ow_chunk *chunk = g_ptr_array_index(from->chunks, from->chunks->len - 1);
        ow_record_value_remove_chunk(chunk);
        ow_record_value_add_chunk(to, chunk);
    }
}

char *ow_record_values_encode(struct ow_leader *leader, struct ow_record_value *record_value,
                              struct ow_record_value **overflow)
{
    g_autofree char *text = encode_chunks(record_value);
    *overflow = NULL;
    while (strlen(text) > value_limit_bytes(leader) && record_value->chunks->len > 1) {
        if (*overflow == NULL)
            *overflow = add_with_free_number(leader);
        move_half(record_value, *overflow);
        g_free(text);
        text = encode_chunks(record_value);
    }
    return g_steal_pointer(&text);
}
