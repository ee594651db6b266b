/* Rebuilding the coordinator's picture: records first, then the workers' own reports. */
#include "core/lead_state.h"
#include "core/records.h"
#include "core/replica.h"
#include "wire/json.h"
#include "wire/records_json.h"

#include <string.h>

static const double RETRY_S = 0.3;

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

/* A record found in two values: it moved, and the older one was not written again. Attempts of the older one
   were all recorded by the newer one if they were still there. */
static bool is_newer(struct ow_lead *lead, struct ow_run *run, struct ow_chunk *chunk, uint64_t version)
{
    if (chunk->group == NULL)
        return true;
    if (chunk->version >= version)
        return false;
    ow_recorder_tidy(lead, ow_pack_leave(chunk));
    for (guint i = run->attempts->len; i > 0; i--) {
        struct ow_attempt *at = g_ptr_array_index(run->attempts, i - 1);
        if (at->task / OW_CHUNK_TASKS == chunk->index)
            ow_attempt_unload(lead, at);
    }
    return true;
}

static void load_record(struct ow_lead *lead, struct ow_run *run, struct ow_chunk *chunk, const json_t *value)
{
    struct ow_progress_record record;
    if (!wire_progress_record_parse(value, &record))
        g_warning("a progress record of job %s cannot be read in full", run->job->id);
    chunk->last_attempt = MAX(chunk->last_attempt, record.last_attempt);
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

/* False when the record is of no use any more: what a final record has left behind. */
static bool load_named(struct ow_lead *lead, struct ow_group *g, const char *name, const json_t *value)
{
    uint32_t index = 0;
    char *id = wire_progress_name_parse(name, &index);
    struct ow_job *job = id != NULL ? ow_jobs_find(lead->node->jobs, id) : NULL;
    g_free(id);
    if (job == NULL || job->spec == NULL)
        return false;
    struct ow_run *run = ow_run_get(lead, job);
    if (index >= run->chunk_count || !is_newer(lead, run, &run->chunks[index], g->version))
        return false;
    run->chunks[index].version = g->version;
    ow_pack_add(g, &run->chunks[index]);
    load_record(lead, run, &run->chunks[index], value);
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
        tidy = load_named(lead, g, name, value) && tidy;
    }
    if (!tidy)
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
    if (ok)
        lead->phase = OW_LEAD_LOADING;
    else
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
    struct ow_store_request *request = ow_store_request_new(OW_STORE_LIST, OW_KEY_PROGRESS);
    request->after = g_strdup(lead->load_after);
    ow_node_store(lead->node, request, on_page, lead, NULL, NULL);
}
