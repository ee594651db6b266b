/* Which progress records share a value of the state service. Its changes are scarcer than its bytes: what
 * changes together is written together. A chunk stays in its group until its job is over, or until the group
 * outgrows a value. */
#include "core/lead_state.h"
#include "core/records.h"
#include "wire/records_json.h"

#include <string.h>

/* How full a group is made: its chunks grow as their ranges break up. */
static const double FILL = 0.6;
/* What a chunk is taken to need before it has been written. */
enum { CHUNK_BYTES = 100, TASK_BYTES = 8 };

static size_t value_limit(const struct ow_lead *lead)
{
    return lead->node->limits.value_bytes;
}

uint32_t ow_pack_chunk_tasks(const struct ow_lead *lead)
{
    return lead->format >= OW_FORMAT_FINE
               ? MIN(ow_limits_tasks(&lead->node->limits), (unsigned)OW_CHUNK_TASKS)
               : OW_CHUNK_TASKS;
}

static struct ow_group *group_new(struct ow_lead *lead, uint32_t number)
{
    struct ow_group *g = g_new0(struct ow_group, 1);
    g->number = number;
    g->class_index = OW_NO_NAME;
    g->chunks = g_ptr_array_new();
    g->kept = g_array_new(FALSE, FALSE, sizeof(struct ow_kept));
    g_ptr_array_add(lead->groups, g);
    return g;
}

void ow_group_free(void *group)
{
    struct ow_group *g = group;
    g_ptr_array_free(g->chunks, TRUE);
    g_array_free(g->kept, TRUE);
    g_free(g);
}

struct ow_group *ow_pack_find(const struct ow_lead *lead, uint32_t number)
{
    for (guint i = 0; i < lead->groups->len; i++) {
        struct ow_group *g = g_ptr_array_index(lead->groups, i);
        if (g->number == number)
            return g;
    }
    return NULL;
}

struct ow_group *ow_pack_get(struct ow_lead *lead, uint32_t number)
{
    struct ow_group *g = ow_pack_find(lead, number);
    return g != NULL ? g : group_new(lead, number);
}

static struct ow_group *fresh_group(struct ow_lead *lead)
{
    uint32_t number = 0;
    while (ow_pack_find(lead, number) != NULL)
        number++;
    return group_new(lead, number);
}

static size_t expected_bytes(const struct ow_chunk *chunk)
{
    const struct ow_run *run = chunk->job->run;
    return CHUNK_BYTES + TASK_BYTES * MIN(run->count - chunk->index * run->chunk_tasks, run->chunk_tasks);
}

void ow_pack_add(struct ow_group *g, struct ow_chunk *chunk)
{
    chunk->group = g;
    g->class_index = chunk->job->spec->class_index;
    g->bytes += expected_bytes(chunk);
    g_ptr_array_add(g->chunks, chunk);
}

/* The fullest group of the class with room for the chunk, or an empty one. Chunks of one class change at the
   same pace; a group of all classes would be written as often as the liveliest. */
void ow_pack_join(struct ow_lead *lead, struct ow_chunk *chunk)
{
    size_t room = (size_t)(FILL * value_limit(lead)), bytes = expected_bytes(chunk);
    struct ow_group *best = NULL;
    for (guint i = 0; i < lead->groups->len; i++) {
        struct ow_group *g = g_ptr_array_index(lead->groups, i);
        if (g->kept->len > 0)
            continue;
        bool alike = g->chunks->len == 0 || g->class_index == chunk->job->spec->class_index;
        if (alike && (g->chunks->len == 0 || g->bytes + bytes <= room) &&
            (best == NULL || g->chunks->len > best->chunks->len))
            best = g;
    }
    ow_pack_add(best != NULL ? best : fresh_group(lead), chunk);
}

struct ow_group *ow_pack_leave(struct ow_chunk *chunk)
{
    struct ow_group *g = chunk->group;
    if (g != NULL)
        g_ptr_array_remove(g->chunks, chunk);
    if (g != NULL && g->chunks->len == 0)
        g->bytes = 0;
    chunk->group = NULL;
    return g;
}

void ow_pack_keep(struct ow_group *g, struct ow_job *job, uint32_t first, uint32_t end)
{
    struct ow_kept kept = {job, first, end};
    g_array_append_val(g->kept, kept);
}

/* Whether all of it stands in other values by now, or means nothing any more. */
static bool settled(const struct ow_kept *kept)
{
    const struct ow_run *run = kept->job->run;
    for (uint32_t task = kept->first; run != NULL && task < kept->end; task += run->chunk_tasks) {
        const struct ow_chunk *chunk = ow_run_chunk(run, task);
        if (chunk->group == NULL || chunk->dirty || chunk->writing)
            return false;
    }
    return true;
}

bool ow_pack_kept(struct ow_group *g)
{
    for (guint i = g->kept->len; i > 0; i--)
        if (settled(&g_array_index(g->kept, struct ow_kept, i - 1)))
            g_array_remove_index_fast(g->kept, i - 1);
    return g->kept->len > 0;
}

void ow_pack_refine(struct ow_lead *lead, struct ow_run *run)
{
    uint32_t tasks = run->chunk_tasks, finer = MIN(ow_pack_chunk_tasks(lead), tasks / 2);
    uint64_t last = 0;
    for (uint32_t i = 0; i < run->chunk_count; i++) {
        struct ow_chunk *chunk = &run->chunks[i];
        struct ow_group *g = ow_pack_leave(chunk);
        last = MAX(last, chunk->last_attempt);
        if (g == NULL)
            continue;
        ow_pack_keep(g, run->job, i * tasks, MIN(run->count, (i + 1) * tasks));
        ow_recorder_tidy(lead, g);
    }
    ow_run_divide(run, finer);
    for (uint32_t i = 0; i < run->chunk_count; i++)
        run->chunks[i].last_attempt = last;
    for (uint32_t task = 0; task < run->count; task += finer)
        ow_recorder_chunk(lead, run, task, true);
    g_info("job %s: recorded in chunks of %u tasks from now on", run->job->id, finer);
}

static gint by_place(gconstpointer a, gconstpointer b)
{
    const struct ow_live_record *x = a, *y = b;
    int machines = strcmp(x->machine, y->machine);
    if (machines != 0)
        return machines;
    if (x->session != y->session)
        return x->session < y->session ? -1 : 1;
    return x->task < y->task ? -1 : x->task > y->task;
}

static char *chunk_value(const struct ow_chunk *chunk)
{
    const struct ow_run *run = chunk->job->run;
    struct ow_progress_record record = {
        .last_attempt = chunk->last_attempt,
        .done = g_array_new(FALSE, FALSE, sizeof(uint32_t)),
        .live = g_array_new(FALSE, FALSE, sizeof(struct ow_live_record)),
    };
    uint32_t first = chunk->index * run->chunk_tasks, end = MIN(run->count, first + run->chunk_tasks);
    for (uint32_t task = first; task < end; task++) {
        const struct ow_attempt *at = run->tasks[task].attempt;
        if (run->tasks[task].done)
            g_array_append_val(record.done, task);
        if (at == NULL)
            continue;
        struct ow_live_record live = {task, at->number, at->machine->name, at->session};
        g_array_append_val(record.live, live);
    }
    g_array_sort(record.live, by_place);
    char *value = wire_progress_record(&record);
    wire_progress_record_clear(&record);
    return value;
}

static char *group_value(struct ow_group *g)
{
    GString *text = g_string_sized_new(g->bytes + 64);
    for (guint i = 0; i < g->chunks->len; i++) {
        const struct ow_chunk *chunk = g_ptr_array_index(g->chunks, i);
        char *value = chunk_value(chunk);
        wire_progress_group_add(text, chunk->job->id, chunk->index, chunk->job->run->chunk_tasks, value);
        g_free(value);
    }
    wire_progress_group_end(text);
    g->bytes = text->len;
    return g_string_free(text, FALSE);
}

char *ow_pack_value(struct ow_lead *lead, struct ow_group *g, struct ow_group **moved)
{
    char *value = group_value(g);
    *moved = NULL;
    while (strlen(value) > value_limit(lead) && g->chunks->len > 1) {
        struct ow_group *other = *moved != NULL ? *moved : fresh_group(lead);
        *moved = other;
        for (guint keep = g->chunks->len / 2; g->chunks->len > keep;) {
            struct ow_chunk *chunk = g_ptr_array_index(g->chunks, g->chunks->len - 1);
            ow_pack_leave(chunk);
            ow_pack_add(other, chunk);
        }
        g_free(value);
        value = group_value(g);
    }
    return value;
}
