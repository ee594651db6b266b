/* Rebuilding the coordinator's picture: records first, then the workers' own reports. */
#include "core/lead_state.h"
#include "core/records.h"
#include "core/replica.h"
#include "wire/json.h"
#include "wire/records_json.h"

#include <string.h>

static const double RETRY_S = 0.3;

/* Whether the value could not be written any more once the limits to come are there. */
static bool is_too_large(const struct ow_lead *lead, const json_t *value)
{
    if (lead->node->limits.value_bytes >= lead->node->limits.value_bytes_now)
        return false;
    char *text = wj_text(value);
    bool large = strlen(text) > lead->node->limits.value_bytes;
    g_free(text);
    return large;
}

static void load_live(struct ow_lead *lead, struct ow_run *run, const GArray *live)
{
    for (guint i = 0; i < live->len; i++) {
        const struct ow_live_record *l = &g_array_index(live, struct ow_live_record, i);
        if (l->task >= run->count || run->tasks[l->task].attempt != NULL)
            continue;
        struct ow_machine *m = ow_book_get(lead, l->machine);
        struct ow_attempt *at = ow_attempt_new(lead, run, l->task, l->attempt, m, l->session);
        at->state = OW_AT_INHERITED;
        if (m->session == 0)
            m->session = l->session;
    }
}

/* A record as it was read. They are taken in once all are there, the oldest value first: a record may be
   found in two values, or its tasks in chunks of two sizes, when what moved was not tidied up. The newer one
   counts. */
struct loaded {
    struct ow_group *group;
    uint64_t version;
    struct ow_job *job;
    uint32_t index, tasks;
    json_t *value;
};

static void loaded_clear(void *item)
{
    json_decref(((struct loaded *)item)->value);
}

void ow_takeover_free(struct ow_lead *lead)
{
    g_clear_pointer(&lead->loaded, g_array_unref);
}

static gint by_version(gconstpointer a, gconstpointer b)
{
    const struct loaded *x = a, *y = b;
    return x->version < y->version ? -1 : x->version > y->version;
}

static void load_record(struct ow_lead *lead, struct ow_run *run, const struct loaded *l)
{
    struct ow_progress_record record;
    uint32_t first = l->index * l->tasks, end = MIN(run->count, first + l->tasks);
    if (!wire_progress_record_parse(l->value, &record))
        g_warning("a progress record of job %s cannot be read in full", run->job->id);
    for (guint i = run->attempts->len; i > 0; i--) {
        struct ow_attempt *at = g_ptr_array_index(run->attempts, i - 1);
        if (at->task >= first && at->task < end)
            ow_attempt_unload(lead, at);
    }
    for (uint32_t task = first; task < end; task += run->chunk_tasks)
        ow_run_chunk(run, task)->last_attempt =
            MAX(ow_run_chunk(run, task)->last_attempt, record.last_attempt);
    for (guint i = 0; i < record.done->len; i++) {
        uint32_t task = g_array_index(record.done, uint32_t, i);
        if (task < run->count && !run->tasks[task].done) {
            run->tasks[task].done = true;
            run->done++;
        }
    }
    load_live(lead, run, record.live);
    wire_progress_record_clear(&record);
}

/* Where the record goes on standing: in its group, or, if its run is divided otherwise now, in smaller ones.
 */
static void load_place(struct ow_lead *lead, struct ow_run *run, const struct loaded *l)
{
    uint32_t first = l->index * l->tasks, end = MIN(run->count, first + l->tasks);
    if (l->tasks == run->chunk_tasks) {
        struct ow_chunk *chunk = &run->chunks[l->index];
        if (chunk->group != NULL)
            ow_recorder_tidy(lead, ow_pack_leave(chunk));
        ow_pack_add(l->group, chunk);
        return;
    }
    ow_pack_keep(l->group, run->job, first, end);
    ow_recorder_tidy(lead, l->group);
    for (uint32_t task = first; task < end; task += run->chunk_tasks)
        ow_recorder_chunk(lead, run, task, true);
}

static void take_loaded(struct ow_lead *lead)
{
    g_array_sort(lead->loaded, by_version);
    /* A run keeps the smallest chunks that it was recorded in. */
    for (guint i = 0; i < lead->loaded->len; i++) {
        const struct loaded *l = &g_array_index(lead->loaded, struct loaded, i);
        bool fresh = l->job->run == NULL;
        struct ow_run *run = ow_run_get(lead, l->job);
        if (fresh || l->tasks < run->chunk_tasks)
            ow_run_divide(run, l->tasks);
    }
    for (guint i = 0; i < lead->loaded->len; i++) {
        const struct loaded *l = &g_array_index(lead->loaded, struct loaded, i);
        struct ow_run *run = l->job->run;
        if ((uint64_t)l->index * l->tasks >= run->count) {
            ow_recorder_tidy(lead, l->group);
            continue;
        }
        load_record(lead, run, l);
        load_place(lead, run, l);
    }
    ow_takeover_free(lead);
}

/* False when the record is of no use any more: what a final record has left behind. */
static bool keep_named(struct ow_lead *lead, struct ow_group *g, const char *name, json_t *value)
{
    struct loaded l = {.group = g, .version = g->version};
    char *id = wire_progress_name_parse(name, &l.index, &l.tasks);
    l.job = id != NULL ? ow_jobs_find(lead->node->jobs, id) : NULL;
    g_free(id);
    if (l.job == NULL || l.job->spec == NULL)
        return false;
    l.value = json_incref(value);
    g_array_append_val(lead->loaded, l);
    return true;
}

static void load_group(struct ow_lead *lead, const struct ow_store_item *item)
{
    guint64 number = 0;
    if (!g_ascii_string_to_unsigned(item->key + strlen(OW_KEY_PROGRESS), 10, 0, UINT32_MAX, &number, NULL))
        return;
    struct ow_group *g = ow_pack_get(lead, (uint32_t)number);
    const char *name;
    json_t *value;
    bool tidy = true;
    g->version = item->version;
    json_object_foreach(item->value, name, value)
    {
        tidy = keep_named(lead, g, name, value) && tidy;
    }
    if (!tidy || is_too_large(lead, item->value))
        ow_recorder_tidy(lead, g);
}

/* Machines that the last coordinator told us of can be reached before any list names them. */
static void use_hints(struct ow_lead *lead)
{
    const GArray *hints = lead->node->machine_hints;
    for (guint i = 0; i < hints->len; i++) {
        const struct ow_peer_machine *h = &g_array_index(hints, struct ow_peer_machine, i);
        struct ow_machine *m = ow_book_get(lead, h->name);
        ow_book_describe(lead, m, h->addr, h->type, h->zone, h->spot);
        m->listed = OW_LISTED_RUNNING;
    }
}

static void become_ready(struct ow_lead *lead)
{
    take_loaded(lead);
    lead->phase = OW_LEAD_READY;
    lead->ready_at = lead->node->now;
    lead->dirty = true;
    use_hints(lead);
    /* Fencing: a worker that has seen our token heeds no older coordinator any more. */
    for (guint i = 0; i < lead->machines->len; i++)
        ((struct ow_machine *)g_ptr_array_index(lead->machines, i))->direct_wanted = true;
    g_info("took over: %u jobs with progress, %u machines known", lead->runs->len, lead->machines->len);
}

static void on_page(void *owner, void *data, const struct ow_command *answer)
{
    struct ow_lead *lead = owner;
    const struct ow_store_reply *reply = &answer->store;
    (void)data;
    lead->load_busy = false;
    if (reply->status != 200) {
        lead->load_at = lead->node->now + RETRY_S;
        return;
    }
    for (guint i = 0; i < reply->items->len; i++)
        load_group(lead, &g_array_index(reply->items, struct ow_store_item, i));
    if (reply->more && reply->items->len > 0) {
        const struct ow_store_item *last =
            &g_array_index(reply->items, struct ow_store_item, reply->items->len - 1);
        g_free(lead->load_after);
        lead->load_after = g_strdup(last->key);
        return;
    }
    become_ready(lead);
}

static void on_jobs_fresh(struct ow_node *node, void *data, bool ok)
{
    struct ow_lead *lead = node->lead;
    const uint64_t *token = data;
    if (lead == NULL || lead->token != *token)
        return;
    lead->load_busy = false;
    if (ok) {
        lead->phase = OW_LEAD_LOADING;
        lead->loaded = g_array_new(FALSE, FALSE, sizeof(struct loaded));
        g_array_set_clear_func(lead->loaded, loaded_clear);
    } else
        lead->load_at = node->now + RETRY_S;
}

void ow_takeover_tick(struct ow_lead *lead)
{
    if (lead->phase == OW_LEAD_READY || lead->load_busy || lead->node->now < lead->load_at)
        return;
    lead->load_busy = true;
    if (lead->phase == OW_LEAD_REFRESH) {
        /* Progress of a job that the copy does not show yet would read as a leftover. */
        uint64_t *token = g_new(uint64_t, 1);
        *token = lead->token;
        ow_replica_refresh(lead->node->replica, on_jobs_fresh, token);
        return;
    }
    if (lead->format == 0) {
        /* How runs are divided depends on it. */
        lead->load_busy = false;
        return;
    }
    struct ow_store_request *request = ow_store_request_new(OW_STORE_LIST, OW_KEY_PROGRESS);
    request->after = g_strdup(lead->load_after);
    ow_node_store(lead->node, request, on_page, lead, NULL, NULL);
}
