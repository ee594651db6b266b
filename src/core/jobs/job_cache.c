#include "core/jobs/job_cache.h"

#include "core/core_state.h"
#include "core/jobs/job_read_metrics.h"
#include "core/jobs/refresh_waiters.h"
#include "core/leader/leader_state.h"
#include "model/event.h"
#include "model/http_status.h"
#include "model/records.h"
#include "wire/records_json.h"

#include <string.h>

/* How long a watch may stay open. */
static const double WATCH_DURATION_S = 10;
/* Minimum time between two watches, on a leader and on any other controller. */
static const double WATCH_GAP_LEADER_S = 0.1;
static const double WATCH_GAP_S = 1.0;
/* A refresh is a read on behalf of callers that wait for it. The minimum time between two of them, and the
   fraction of the key-value store's request rate limit that the refreshes of all controllers may use. */
static const double REFRESH_GAP_S = 0.05;
static const double REFRESH_SHARE = 0.4;
/* Delay before a failed read is repeated. */
static const double RETRY_S = 0.5;

/* Reading the whole table, page by page. */
struct loading {
    bool is_done;
    bool is_reading;   /* a page is being read */
    double started_at; /* time of the request for the first page */
    unsigned pages;    /* read so far */
    unsigned failures; /* reads of pages that failed */
    char *last_key;    /* of the pages read so far; NULL: none */
    uint64_t revision; /* of the first page: changes since then are watched for */
    double next_at;    /* no page before this time */
};

struct ow_job_cache {
    struct ow_core *core;
    struct loading loading;
    uint64_t revision;                     /* up to which changes have been applied */
    bool is_watching;                      /* a watch is open */
    double watch_at;                       /* no watch before this time */
    bool is_refreshing;                    /* a refresh is in flight */
    double refresh_at;                     /* no refresh before this time */
    bool is_stale;                         /* the stored table is known to have changed since `revision` */
    struct ow_refresh_waiters *waiting;    /* for the next refresh */
    struct ow_refresh_waiters *refreshing; /* for the refresh in flight */
    struct ow_job_read_metrics metrics;
};

struct ow_job_cache *ow_job_cache_new(struct ow_core *core)
{
    struct ow_job_cache *job_cache = g_new0(struct ow_job_cache, 1);
    job_cache->core = core;
    job_cache->waiting = ow_refresh_waiters_new();
    job_cache->refreshing = ow_refresh_waiters_new();
    return job_cache;
}

void ow_job_cache_free(struct ow_job_cache *job_cache)
{
    ow_refresh_waiters_free(job_cache->waiting);
    ow_refresh_waiters_free(job_cache->refreshing);
    g_free(job_cache->loading.last_key);
    g_free(job_cache);
}

bool ow_job_cache_is_loaded(const struct ow_job_cache *job_cache)
{
    return job_cache->loading.is_done;
}

/* From the recorded time of acceptance, so that a job keeps its age, and the priority that comes with it,
   when all controllers restart. */
static double age_s(const struct ow_core *core, double accepted_at)
{
    return accepted_at > 0 ? MAX(0, core->time_of_day - accepted_at) : 0;
}

/* Applies a job's record, unless a newer one is known. */
static void apply_record(struct ow_job_cache *job_cache, const struct ow_store_item *item)
{
    struct ow_core *core = job_cache->core;
    struct ow_job_record record;
    if (!wire_job_record_decode(item->value, &record)) {
        g_warning("job record can't be read: key=%s", item->key);
        return;
    }
    struct ow_job *job =
        ow_jobs_apply(core->jobs, item->key + strlen(OW_KEY_JOBS), item->mod_revision, record.state,
                      record.submission, core->now, age_s(core, record.accepted_at));
    if (job != NULL)
        job->cancel_fencing_token = record.leader_fencing_token;
}

static void apply_items(struct ow_job_cache *job_cache, const GArray *items)
{
    for (guint i = 0; i < items->len; i++) {
        const struct ow_store_item *item = &g_array_index(items, struct ow_store_item, i);
        if (item->value != NULL && g_str_has_prefix(item->key, OW_KEY_JOBS))
            apply_record(job_cache, item);
    }
}

/* Whether a failed read of the changes since `revision` can't succeed when repeated, so that the whole table
   must be read: the key-value store no longer keeps the changes, or they exceed the size limit of a reply. */
static bool needs_full_read(int status)
{
    return status == OW_HTTP_STATUS_GONE || status == OW_HTTP_STATUS_CONTENT_TOO_LARGE;
}

/* Reads the whole table again, page by page. `status` is that of the read which made it necessary. */
static void restart_load(struct ow_job_cache *job_cache, int status)
{
    g_info("job table must be read again: revision=%" G_GUINT64_FORMAT " status=%d", job_cache->revision,
           status);
    job_cache->loading.is_done = false;
    g_clear_pointer(&job_cache->loading.last_key, g_free);
    job_cache->loading.next_at = job_cache->core->now;
    job_cache->loading.started_at = 0;
    job_cache->loading.pages = job_cache->loading.failures = 0;
}

static void apply_changes(struct ow_job_cache *job_cache, const struct ow_store_reply *reply)
{
    apply_items(job_cache, reply->items);
    if (job_cache->core->leader != NULL && reply->items->len > 0)
        ow_leader_request_cycle(job_cache->core->leader);
    job_cache->revision = MAX(job_cache->revision, reply->revision);
}

static void on_refreshed(void *owner, void *data, const struct ow_event *answer)
{
    struct ow_job_cache *job_cache = owner;
    (void)data;
    job_cache->is_refreshing = false;
    bool has_succeeded = answer->store.status == OW_HTTP_STATUS_OK;
    ow_job_read_metrics_note_refresh(&job_cache->metrics, answer->store.status, job_cache->core->now);
    if (has_succeeded)
        apply_changes(job_cache, &answer->store);
    else if (needs_full_read(answer->store.status))
        restart_load(job_cache, answer->store.status);
    const struct ow_refresh refresh = {.sent_at = job_cache->metrics.sent_at,
                                       .revision = answer->store.revision,
                                       .has_succeeded = has_succeeded};
    ow_refresh_waiters_finish(job_cache->refreshing, job_cache->core, &refresh);
}

static void on_watch(void *owner, void *data, const struct ow_event *answer)
{
    struct ow_job_cache *job_cache = owner;
    (void)data;
    job_cache->is_watching = false;
    double gap_s = job_cache->core->leader != NULL ? WATCH_GAP_LEADER_S : WATCH_GAP_S;
    if (answer->store.status != OW_HTTP_STATUS_OK)
        ow_job_read_metrics_note_failed_watch(&job_cache->metrics, answer->store.status);
    if (answer->store.status == OW_HTTP_STATUS_OK)
        apply_changes(job_cache, &answer->store);
    else if (needs_full_read(answer->store.status))
        restart_load(job_cache, answer->store.status);
    else
        gap_s = RETRY_S;
    job_cache->watch_at = job_cache->core->now + gap_s;
}

static void send_watch(struct ow_job_cache *job_cache, double duration_s, ow_call_fn fn)
{
    struct ow_store_request *request = ow_store_request_new(OW_STORE_WATCH, OW_KEY_JOBS);
    request->since_revision = job_cache->revision;
    request->duration_s = duration_s;
    ow_core_call_store(job_cache->core, request, fn, job_cache, NULL, NULL);
}

/* Records the last key of this page: the next page begins after it. */
static void set_last_key(struct ow_job_cache *job_cache, const GArray *items)
{
    const struct ow_store_item *last = &g_array_index(items, struct ow_store_item, items->len - 1);
    g_free(job_cache->loading.last_key);
    job_cache->loading.last_key = g_strdup(last->key);
}

static void finish_loading(struct ow_job_cache *job_cache)
{
    g_clear_pointer(&job_cache->loading.last_key, g_free);
    /* Records on pages already read may have changed since: the watch begins at the revision of the first
       page. */
    job_cache->revision = job_cache->loading.revision;
    job_cache->loading.is_done = true;
    g_info("job table read: revision=%" G_GUINT64_FORMAT " pages=%u failures=%u duration_s=%.1f",
           job_cache->revision, job_cache->loading.pages, job_cache->loading.failures,
           job_cache->core->now - job_cache->loading.started_at);
}

static void on_page(void *owner, void *data, const struct ow_event *answer)
{
    struct ow_job_cache *job_cache = owner;
    const struct ow_store_reply *reply = &answer->store;
    (void)data;
    job_cache->loading.is_reading = false;
    if (reply->status != OW_HTTP_STATUS_OK) {
        job_cache->loading.failures++;
        job_cache->loading.next_at = job_cache->core->now + RETRY_S;
        return;
    }
    job_cache->loading.pages++;
    if (job_cache->loading.last_key == NULL)
        job_cache->loading.revision = reply->revision;
    apply_items(job_cache, reply->items);
    if (reply->has_more && reply->items->len > 0)
        set_last_key(job_cache, reply->items);
    else
        finish_loading(job_cache);
}

static void load_page(struct ow_job_cache *job_cache)
{
    struct ow_store_request *request = ow_store_request_new(OW_STORE_LIST, OW_KEY_JOBS);
    request->start_after_key = g_strdup(job_cache->loading.last_key);
    if (job_cache->loading.started_at == 0)
        job_cache->loading.started_at = job_cache->core->now;
    job_cache->loading.is_reading = true;
    ow_core_call_store(job_cache->core, request, on_page, job_cache, NULL, NULL);
}

void ow_job_cache_refresh(struct ow_job_cache *job_cache, ow_refreshed_fn fn, void *data)
{
    ow_refresh_waiters_add(job_cache->waiting, fn, data, job_cache->core->now);
}

void ow_job_cache_note_change(struct ow_job_cache *job_cache, uint64_t revision)
{
    job_cache->is_stale = job_cache->is_stale || revision > job_cache->revision;
}

/* Limits the refreshes of all controllers together to a share of the permitted requests. */
static double refresh_gap_s(const struct ow_settings *settings)
{
    double rps = REFRESH_SHARE * settings->store_rps / (settings->peers->len + 1);
    return MAX(REFRESH_GAP_S, rps > 0 ? 1 / rps : 0);
}

static void refresh(struct ow_job_cache *job_cache)
{
    struct ow_refresh_waiters *waiters = job_cache->waiting;
    job_cache->waiting = job_cache->refreshing;
    job_cache->refreshing = waiters;
    job_cache->is_stale = false;
    job_cache->is_refreshing = true;
    job_cache->metrics.sent_at = job_cache->core->now;
    job_cache->refresh_at = job_cache->core->now + refresh_gap_s(job_cache->core->settings);
    send_watch(job_cache, 0, on_refreshed);
}

static void tick_loading(struct ow_job_cache *job_cache)
{
    if (!job_cache->loading.is_reading && job_cache->core->now >= job_cache->loading.next_at)
        load_page(job_cache);
    /* Before the table is loaded every refresh fails at once. */
    ow_refresh_waiters_answer(job_cache->waiting, job_cache->core, OW_REFRESH_NOT_LOADED);
}

static void tick_loaded(struct ow_job_cache *job_cache)
{
    double now = job_cache->core->now;
    bool is_refresh_wanted = ow_refresh_waiters_count(job_cache->waiting) > 0 || job_cache->is_stale;
    if (is_refresh_wanted && !job_cache->is_refreshing && now >= job_cache->refresh_at)
        refresh(job_cache);
    if (!job_cache->is_watching && now >= job_cache->watch_at) {
        job_cache->is_watching = true;
        send_watch(job_cache, WATCH_DURATION_S, on_watch);
    }
}

void ow_job_cache_tick(struct ow_job_cache *job_cache)
{
    if (job_cache->loading.is_done)
        tick_loaded(job_cache);
    else
        tick_loading(job_cache);
}

void ow_job_cache_log_metrics(struct ow_job_cache *job_cache)
{
    struct ow_job_read_metrics *metrics = &job_cache->metrics;
    unsigned waiting =
        ow_refresh_waiters_count(job_cache->waiting) + ow_refresh_waiters_count(job_cache->refreshing);
    double oldest_s = MAX(ow_refresh_waiters_oldest_s(job_cache->waiting, job_cache->core->now),
                          ow_refresh_waiters_oldest_s(job_cache->refreshing, job_cache->core->now));
    if (waiting > 0 || !ow_job_read_metrics_is_empty(metrics))
        g_info("job table reads: revision=%" G_GUINT64_FORMAT
               " is_loaded=%d refreshes=%u failed_refreshes=%u "
               "slowest_s=%.2f failed_watches=%u last_failure=%d waiting_requests=%u oldest_wait_s=%.1f",
               job_cache->revision, job_cache->loading.is_done, metrics->refreshes, metrics->failed_refreshes,
               metrics->slowest_s, metrics->failed_watches, metrics->last_failure, waiting, oldest_s);
    ow_job_read_metrics_reset(metrics);
}
