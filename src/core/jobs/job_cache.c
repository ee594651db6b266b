#include "core/jobs/job_cache.h"

#include "core/core_state.h"
#include "core/leader/leader_state.h"
#include "model/event.h"
#include "model/records.h"
#include "wire/records_json.h"

#include <string.h>

/* The key-value store no longer holds the changes asked for; an answer was larger than the client takes. */
enum { STATUS_GONE = 410, STATUS_TOO_LARGE = 413 };
/* How long a watch may stay open, and the least time between two reads of one kind. */
static const double WATCH_S = 10, WATCH_GAP_LEADER_S = 0.1, WATCH_GAP_S = 1.0, FRESH_GAP_S = 0.05,
                    RETRY_S = 0.5, READ_SHARE = 0.4;

struct waiter {
    ow_fresh_fn fn;
    void *data;
};

struct ow_job_cache {
    struct ow_core *core;
    bool loaded, loading, watching, reading;
    uint64_t revision;
    char *list_after;                   /* the last key of the pages read so far */
    uint64_t list_revision;             /* of the first page: changes since then are watched for */
    double load_at, watch_at, fresh_at; /* not before */
    bool hinted;
    GArray *waiting; /* struct waiter: for the next read */
    GArray *asked;   /* struct waiter: for the read under way */
};

struct ow_job_cache *ow_job_cache_new(struct ow_core *core)
{
    struct ow_job_cache *job_cache = g_new0(struct ow_job_cache, 1);
    job_cache->core = core;
    job_cache->waiting = g_array_new(FALSE, FALSE, sizeof(struct waiter));
    job_cache->asked = g_array_new(FALSE, FALSE, sizeof(struct waiter));
    return job_cache;
}

static void free_waiters(GArray *waiters)
{
    for (guint i = 0; i < waiters->len; i++)
        g_free(g_array_index(waiters, struct waiter, i).data);
    g_array_free(waiters, TRUE);
}

void ow_job_cache_free(struct ow_job_cache *job_cache)
{
    free_waiters(job_cache->waiting);
    free_waiters(job_cache->asked);
    g_free(job_cache->list_after);
    g_free(job_cache);
}

bool ow_job_cache_loaded(const struct ow_job_cache *job_cache)
{
    return job_cache->loaded;
}

/* A job keeps its age, and with it its place among those that have waited, when every controller begins anew.
 */
static double age_s(const struct ow_core *core, double accepted_at)
{
    return accepted_at > 0 ? MAX(0, core->time_of_day - accepted_at) : 0;
}

static void apply_items(struct ow_job_cache *job_cache, const GArray *items)
{
    for (guint i = 0; i < items->len; i++) {
        const struct ow_store_item *item = &g_array_index(items, struct ow_store_item, i);
        struct ow_job_record record;
        if (item->value == NULL || !g_str_has_prefix(item->key, OW_KEY_JOBS))
            continue;
        if (!wire_job_record_decode(item->value, &record)) {
            g_warning("job record %s cannot be read", item->key);
            continue;
        }
        struct ow_job *job = ow_jobs_apply(job_cache->core->jobs, item->key + strlen(OW_KEY_JOBS),
                                           item->mod_revision, record.state, record.submission,
                                           job_cache->core->now, age_s(job_cache->core, record.accepted_at));
        if (job != NULL)
            job->cancel_fencing_token = record.leader_fencing_token;
    }
}

static void answer_waiters(struct ow_job_cache *job_cache, GArray *waiters, bool ok)
{
    /* Detached first: an answered waiter may ask again. */
    GArray *batch = g_array_new(FALSE, FALSE, sizeof(struct waiter));
    g_array_append_vals(batch, waiters->data, waiters->len);
    g_array_set_size(waiters, 0);
    for (guint i = 0; i < batch->len; i++) {
        struct waiter *waiter = &g_array_index(batch, struct waiter, i);
        waiter->fn(job_cache->core, waiter->data, ok);
    }
    free_waiters(batch);
}

/* Whether the changes since our revision can't be had in one answer: the key-value store no longer holds
   them, or they are more than we take in at once. Asking for them again would never end. */
static bool is_beyond_reach(int status)
{
    return status == STATUS_GONE || status == STATUS_TOO_LARGE;
}

/* Reads everything again, page by page. */
static void restart_load(struct ow_job_cache *job_cache)
{
    job_cache->loaded = false;
    g_clear_pointer(&job_cache->list_after, g_free);
    job_cache->load_at = job_cache->core->now;
}

static void apply_changes(struct ow_job_cache *job_cache, const struct ow_store_reply *reply)
{
    apply_items(job_cache, reply->items);
    if (job_cache->core->leader != NULL && reply->items->len > 0)
        ow_leader_request_cycle(job_cache->core->leader);
    job_cache->revision = MAX(job_cache->revision, reply->revision);
}

static void on_fresh(void *owner, void *data, const struct ow_event *answer)
{
    struct ow_job_cache *job_cache = owner;
    (void)data;
    job_cache->reading = false;
    bool ok = answer->store.status == 200;
    if (ok)
        apply_changes(job_cache, &answer->store);
    else if (is_beyond_reach(answer->store.status))
        restart_load(job_cache);
    answer_waiters(job_cache, job_cache->asked, ok);
}

static void on_watch(void *owner, void *data, const struct ow_event *answer)
{
    struct ow_job_cache *job_cache = owner;
    (void)data;
    job_cache->watching = false;
    double gap = job_cache->core->leader != NULL ? WATCH_GAP_LEADER_S : WATCH_GAP_S;
    if (answer->store.status == 200)
        apply_changes(job_cache, &answer->store);
    else if (is_beyond_reach(answer->store.status))
        restart_load(job_cache);
    else
        gap = RETRY_S;
    job_cache->watch_at = job_cache->core->now + gap;
}

static void send_watch(struct ow_job_cache *job_cache, double hold_s, ow_call_fn fn)
{
    struct ow_store_request *request = ow_store_request_new(OW_STORE_WATCH, OW_KEY_JOBS);
    request->since_revision = job_cache->revision;
    request->duration_s = hold_s;
    ow_core_call_store(job_cache->core, request, fn, job_cache, NULL, NULL);
}

static void on_page(void *owner, void *data, const struct ow_event *answer)
{
    struct ow_job_cache *job_cache = owner;
    const struct ow_store_reply *reply = &answer->store;
    (void)data;
    job_cache->loading = false;
    if (reply->status != 200) {
        job_cache->load_at = job_cache->core->now + RETRY_S;
        return;
    }
    if (job_cache->list_after == NULL)
        job_cache->list_revision = reply->revision;
    apply_items(job_cache, reply->items);
    if (reply->has_more && reply->items->len > 0) {
        const struct ow_store_item *last =
            &g_array_index(reply->items, struct ow_store_item, reply->items->len - 1);
        g_free(job_cache->list_after);
        job_cache->list_after = g_strdup(last->key);
        return;
    }
    g_clear_pointer(&job_cache->list_after, g_free);
    /* A record may have changed behind a page already read: the watch begins at the first page. */
    job_cache->revision = job_cache->list_revision;
    job_cache->loaded = true;
    g_info("job table read up to revision %" G_GUINT64_FORMAT, job_cache->revision);
}

static void load(struct ow_job_cache *job_cache)
{
    struct ow_store_request *request = ow_store_request_new(OW_STORE_LIST, OW_KEY_JOBS);
    request->start_after_key = g_strdup(job_cache->list_after);
    job_cache->loading = true;
    ow_core_call_store(job_cache->core, request, on_page, job_cache, NULL, NULL);
}

void ow_job_cache_refresh(struct ow_job_cache *job_cache, ow_fresh_fn fn, void *data)
{
    struct waiter waiter = {fn, data};
    g_array_append_val(job_cache->waiting, waiter);
}

void ow_job_cache_hint(struct ow_job_cache *job_cache, uint64_t revision)
{
    job_cache->hinted = job_cache->hinted || revision > job_cache->revision;
}

static void read_fresh(struct ow_job_cache *job_cache)
{
    GArray *waiters = job_cache->waiting;
    job_cache->waiting = job_cache->asked;
    job_cache->asked = waiters;
    job_cache->hinted = false;
    job_cache->reading = true;
    /* Reads for polls keep to a share of the key-value store's requests, whatever the number of controllers.
     */
    double share =
        READ_SHARE * job_cache->core->settings->store_rps / (job_cache->core->settings->peers->len + 1);
    job_cache->fresh_at = job_cache->core->now + MAX(FRESH_GAP_S, share > 0 ? 1 / share : 0);
    send_watch(job_cache, 0, on_fresh);
}

void ow_job_cache_tick(struct ow_job_cache *job_cache)
{
    double now = job_cache->core->now;
    if (!job_cache->loaded) {
        if (!job_cache->loading && now >= job_cache->load_at)
            load(job_cache);
        if (job_cache->waiting->len > 0)
            answer_waiters(job_cache, job_cache->waiting, false);
        return;
    }
    if ((job_cache->waiting->len > 0 || job_cache->hinted) && !job_cache->reading &&
        now >= job_cache->fresh_at)
        read_fresh(job_cache);
    if (!job_cache->watching && now >= job_cache->watch_at) {
        job_cache->watching = true;
        send_watch(job_cache, WATCH_S, on_watch);
    }
}
