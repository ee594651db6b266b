#include "core/api/job_cache.h"

#include "core/controller.h"
#include "core/leader.h"
#include "core/records/records.h"
#include "wire/records_json.h"

#include <string.h>

/* How long a watch may stay open, and the least time between two reads of one kind. */
static const double WATCH_S = 10, WATCH_GAP_LEADER_S = 0.1, WATCH_GAP_S = 1.0, FRESH_GAP_S = 0.05,
                    RETRY_S = 0.5, READ_SHARE = 0.4;

struct waiter {
    ow_fresh_fn fn;
    void *data;
};

struct ow_job_cache {
    struct ow_controller *controller;
    bool loaded, loading, watching, reading;
    uint64_t revision;
    char *list_after;                   /* the last key of the pages read so far */
    uint64_t list_revision;             /* of the first page: changes since then are watched for */
    double load_at, watch_at, fresh_at; /* not before */
    bool hinted;
    GArray *waiting; /* struct waiter: for the next read */
    GArray *asked;   /* struct waiter: for the read under way */
};

struct ow_job_cache *ow_job_cache_new(struct ow_controller *controller)
{
    struct ow_job_cache *r = g_new0(struct ow_job_cache, 1);
    r->controller = controller;
    r->waiting = g_array_new(FALSE, FALSE, sizeof(struct waiter));
    r->asked = g_array_new(FALSE, FALSE, sizeof(struct waiter));
    return r;
}

static void free_waiters(GArray *waiters)
{
    for (guint i = 0; i < waiters->len; i++)
        g_free(g_array_index(waiters, struct waiter, i).data);
    g_array_free(waiters, TRUE);
}

void ow_job_cache_free(struct ow_job_cache *r)
{
    free_waiters(r->waiting);
    free_waiters(r->asked);
    g_free(r->list_after);
    g_free(r);
}

bool ow_job_cache_loaded(const struct ow_job_cache *r)
{
    return r->loaded;
}

/* A job keeps its age, and with it its place among those that have waited, when every controller begins anew.
 */
static double age_s(const struct ow_controller *controller, double accepted_at)
{
    return accepted_at > 0 ? MAX(0, controller->time_of_day - accepted_at) : 0;
}

static void apply_items(struct ow_job_cache *r, const GArray *items)
{
    for (guint i = 0; i < items->len; i++) {
        const struct ow_store_item *item = &g_array_index(items, struct ow_store_item, i);
        struct ow_job_record record;
        if (item->value == NULL || !g_str_has_prefix(item->key, OW_KEY_JOBS))
            continue;
        if (!wire_job_record_parse(item->value, &record)) {
            g_warning("job record %s cannot be read", item->key);
            continue;
        }
        struct ow_job *job =
            ow_jobs_apply(r->controller->jobs, item->key + strlen(OW_KEY_JOBS), item->version, record.state,
                          record.submission, r->controller->now, age_s(r->controller, record.accepted_at));
        if (job != NULL)
            job->cancel_token = record.leader_token;
    }
}

static void answer_waiters(struct ow_job_cache *r, GArray *waiters, bool ok)
{
    /* Detached first: an answered waiter may ask again. */
    GArray *batch = g_array_new(FALSE, FALSE, sizeof(struct waiter));
    g_array_append_vals(batch, waiters->data, waiters->len);
    g_array_set_size(waiters, 0);
    for (guint i = 0; i < batch->len; i++) {
        struct waiter *w = &g_array_index(batch, struct waiter, i);
        w->fn(r->controller, w->data, ok);
    }
    free_waiters(batch);
}

static void lose_place(struct ow_job_cache *r)
{
    /* The state service no longer holds the changes since our revision: read everything again. */
    r->loaded = false;
    g_clear_pointer(&r->list_after, g_free);
    r->load_at = r->controller->now;
}

static void took_changes(struct ow_job_cache *r, const struct ow_store_reply *reply)
{
    apply_items(r, reply->items);
    if (r->controller->leader != NULL && reply->items->len > 0)
        ow_leader_wake(r->controller->leader);
    r->revision = MAX(r->revision, reply->revision);
}

static void on_fresh(void *owner, void *data, const struct ow_event *answer)
{
    struct ow_job_cache *r = owner;
    (void)data;
    r->reading = false;
    bool ok = answer->store.status == 200;
    if (ok)
        took_changes(r, &answer->store);
    else if (answer->store.status == 410)
        lose_place(r);
    answer_waiters(r, r->asked, ok);
}

static void on_watch(void *owner, void *data, const struct ow_event *answer)
{
    struct ow_job_cache *r = owner;
    (void)data;
    r->watching = false;
    double gap = r->controller->leader != NULL ? WATCH_GAP_LEADER_S : WATCH_GAP_S;
    if (answer->store.status == 200)
        took_changes(r, &answer->store);
    else if (answer->store.status == 410)
        lose_place(r);
    else
        gap = RETRY_S;
    r->watch_at = r->controller->now + gap;
}

static void send_watch(struct ow_job_cache *r, double hold_s, ow_call_fn fn)
{
    struct ow_store_request *request = ow_store_request_new(OW_STORE_WATCH, OW_KEY_JOBS);
    request->number = r->revision;
    request->seconds = hold_s;
    ow_controller_store(r->controller, request, fn, r, NULL, NULL);
}

static void on_page(void *owner, void *data, const struct ow_event *answer)
{
    struct ow_job_cache *r = owner;
    const struct ow_store_reply *reply = &answer->store;
    (void)data;
    r->loading = false;
    if (reply->status != 200) {
        r->load_at = r->controller->now + RETRY_S;
        return;
    }
    if (r->list_after == NULL)
        r->list_revision = reply->revision;
    apply_items(r, reply->items);
    if (reply->more && reply->items->len > 0) {
        const struct ow_store_item *last =
            &g_array_index(reply->items, struct ow_store_item, reply->items->len - 1);
        g_free(r->list_after);
        r->list_after = g_strdup(last->key);
        return;
    }
    g_clear_pointer(&r->list_after, g_free);
    /* A record may have changed behind a page already read: the watch begins at the first page. */
    r->revision = r->list_revision;
    r->loaded = true;
    g_info("job table read up to revision %" G_GUINT64_FORMAT, r->revision);
}

static void load(struct ow_job_cache *r)
{
    struct ow_store_request *request = ow_store_request_new(OW_STORE_LIST, OW_KEY_JOBS);
    request->after = g_strdup(r->list_after);
    r->loading = true;
    ow_controller_store(r->controller, request, on_page, r, NULL, NULL);
}

void ow_job_cache_refresh(struct ow_job_cache *r, ow_fresh_fn fn, void *data)
{
    struct waiter w = {fn, data};
    g_array_append_val(r->waiting, w);
}

void ow_job_cache_hint(struct ow_job_cache *r, uint64_t revision)
{
    r->hinted = r->hinted || revision > r->revision;
}

static void read_fresh(struct ow_job_cache *r)
{
    GArray *waiters = r->waiting;
    r->waiting = r->asked;
    r->asked = waiters;
    r->hinted = false;
    r->reading = true;
    /* Reads for polls keep to a share of the state service's requests, whatever the number of controllers. */
    double share =
        READ_SHARE * r->controller->settings->state_rps / (r->controller->settings->peers->len + 1);
    r->fresh_at = r->controller->now + MAX(FRESH_GAP_S, share > 0 ? 1 / share : 0);
    send_watch(r, 0, on_fresh);
}

void ow_job_cache_tick(struct ow_job_cache *r)
{
    double now = r->controller->now;
    if (!r->loaded) {
        if (!r->loading && now >= r->load_at)
            load(r);
        if (r->waiting->len > 0)
            answer_waiters(r, r->waiting, false);
        return;
    }
    if ((r->waiting->len > 0 || r->hinted) && !r->reading && now >= r->fresh_at)
        read_fresh(r);
    if (!r->watching && now >= r->watch_at) {
        r->watching = true;
        send_watch(r, WATCH_S, on_watch);
    }
}
