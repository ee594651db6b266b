/* Rebuilding the coordinator's picture: records first, then the workers' own reports. */
#include "core/lead_state.h"
#include "core/records.h"
#include "core/replica.h"
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

static void load_progress(struct ow_lead *lead, const struct ow_store_item *item)
{
    char **parts = g_strsplit(item->key + strlen(OW_KEY_PROGRESS), "/", 2);
    struct ow_job *job = parts[0] != NULL ? ow_jobs_find(lead->node->jobs, parts[0]) : NULL;
    struct ow_progress_record record;
    guint64 index = 0;
    bool ok = parts[0] != NULL && parts[1] != NULL &&
              g_ascii_string_to_unsigned(parts[1], 10, 0, OW_MAX_TASKS, &index, NULL);
    g_strfreev(parts);
    if (!ok || job == NULL || job->spec == NULL) {
        /* What a final record has left behind. */
        ow_recorder_drop(lead, item->key, item->version);
        return;
    }
    struct ow_run *run = ow_run_get(lead, job);
    if (index >= run->chunk_count)
        return;
    if (!wire_progress_record_parse(item->value, &record))
        g_warning("progress record %s cannot be read in full", item->key);
    run->chunks[index].version = item->version;
    run->chunks[index].last_attempt = record.last_attempt;
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
        load_progress(lead, &g_array_index(reply->items, struct ow_store_item, i));
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
