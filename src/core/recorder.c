/* Changed records, written in batches. Every transaction is conditioned on the coordinator's key, so a
 * deposed coordinator decides nothing, and on the version of each record, so one that is applied late
 * changes nothing. One transaction is under way at a time. */
#include "core/election.h"
#include "core/lead_state.h"
#include "core/records.h"
#include "core/replica.h"
#include "wire/records_json.h"

#include <string.h>

enum { TXN_BYTES = 56 * 1024, KEY_BYTES = 120 };
/* Progress alone may wait so long for company; the rest goes out at once. */
static const double LAZY_S = 1.5, RETRY_S = 0.2;

enum write_kind { WRITE_CHUNK, WRITE_FINISH, WRITE_DROP };

struct write {
    enum write_kind kind;
    struct ow_run *run;     /* chunk, finish; NULL once the run is gone */
    struct ow_chunk *chunk; /* chunk */
    char *key;              /* drop */
    uint64_t version;       /* drop */
    double due_at;
    int order;
};

struct ow_recorder {
    GPtrArray *queue; /* struct write, waiting */
    GPtrArray *sent;  /* struct write, in the transaction under way */
    bool busy;
    uint64_t serial;
    unsigned checking; /* reads of versions under way; nothing is written meanwhile */
    double act_at;
    struct ow_bucket changes;
};

static void write_free(void *item)
{
    struct write *w = item;
    g_free(w->key);
    g_free(w);
}

struct ow_recorder *ow_recorder_new(struct ow_lead *lead)
{
    struct ow_recorder *r = g_new0(struct ow_recorder, 1);
    double rate = lead->node->settings->state_write_rps;
    r->queue = g_ptr_array_new_with_free_func(write_free);
    r->sent = g_ptr_array_new_with_free_func(write_free);
    /* A share is left for submissions and withdrawals, which any controller writes. */
    ow_bucket_init(&r->changes, 0.8 * rate, 0.7 * rate, lead->node->now);
    return r;
}

void ow_recorder_free(struct ow_recorder *r)
{
    g_ptr_array_free(r->queue, TRUE);
    g_ptr_array_free(r->sent, TRUE);
    g_free(r);
}

static struct write *find_write(const struct ow_recorder *r, enum write_kind kind, const void *what)
{
    for (guint i = 0; i < r->queue->len; i++) {
        struct write *w = g_ptr_array_index(r->queue, i);
        if (w->kind == kind && (kind == WRITE_CHUNK ? (const void *)w->chunk : (const void *)w->run) == what)
            return w;
    }
    return NULL;
}

static struct write *enqueue(struct ow_recorder *r, enum write_kind kind)
{
    struct write *w = g_new0(struct write, 1);
    w->kind = kind;
    g_ptr_array_add(r->queue, w);
    return w;
}

static int launch_order(const struct ow_run *run)
{
    return 10 + (int)run->job->spec->submission->rank * 10;
}

enum { ORDER_FINISH = 5, ORDER_LAZY = 100, ORDER_DROP = 200 };

void ow_recorder_chunk(struct ow_lead *lead, struct ow_run *run, uint32_t task, bool launching)
{
    struct ow_recorder *r = lead->recorder;
    struct ow_chunk *chunk = &run->chunks[task / OW_CHUNK_TASKS];
    if (ow_job_over(run->job) || run->finishing)
        return;
    struct write *w = chunk->dirty ? find_write(r, WRITE_CHUNK, chunk) : NULL;
    if (w == NULL) {
        w = enqueue(r, WRITE_CHUNK);
        w->run = run;
        w->chunk = chunk;
        w->order = ORDER_LAZY;
        w->due_at = lead->node->now + LAZY_S;
        chunk->dirty = true;
    }
    if (launching) {
        w->order = MIN(w->order, launch_order(run));
        w->due_at = lead->node->now;
    }
}

void ow_recorder_finish(struct ow_lead *lead, struct ow_run *run)
{
    struct ow_recorder *r = lead->recorder;
    if (run->finishing)
        return;
    run->finishing = true;
    /* The final record drops the progress: the same key must not be written beside it. */
    for (guint i = r->queue->len; i > 0; i--)
        if (((struct write *)g_ptr_array_index(r->queue, i - 1))->run == run)
            g_ptr_array_remove_index(r->queue, i - 1);
    for (uint32_t i = 0; i < run->chunk_count; i++)
        run->chunks[i].dirty = false;
    struct write *w = enqueue(r, WRITE_FINISH);
    w->run = run;
    w->order = run->job->stance == OW_CANCELLED ? ORDER_DROP : ORDER_FINISH;
    w->due_at = lead->node->now;
}

void ow_recorder_drop(struct ow_lead *lead, const char *key, uint64_t version)
{
    struct write *w = enqueue(lead->recorder, WRITE_DROP);
    w->key = g_strdup(key);
    w->version = version;
    w->order = ORDER_DROP;
    w->due_at = lead->node->now;
}

void ow_recorder_forget(struct ow_lead *lead, const struct ow_run *run)
{
    struct ow_recorder *r = lead->recorder;
    for (guint i = r->queue->len; i > 0; i--)
        if (((struct write *)g_ptr_array_index(r->queue, i - 1))->run == run)
            g_ptr_array_remove_index(r->queue, i - 1);
    for (guint i = 0; i < r->sent->len; i++) {
        struct write *w = g_ptr_array_index(r->sent, i);
        if (w->run == run)
            w->run = NULL;
    }
}

static char *chunk_key(const struct ow_chunk *chunk)
{
    return g_strdup_printf("%s%s/%u", OW_KEY_PROGRESS, chunk->job->id, chunk->index);
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

static char *chunk_value(const struct ow_run *run, const struct ow_chunk *chunk, uint64_t serial)
{
    struct ow_progress_record record = {
        .last_attempt = chunk->last_attempt,
        .done = g_array_new(FALSE, FALSE, sizeof(uint32_t)),
        .live = g_array_new(FALSE, FALSE, sizeof(struct ow_live_record)),
    };
    uint32_t first = chunk->index * OW_CHUNK_TASKS, end = MIN(run->count, first + OW_CHUNK_TASKS);
    for (uint32_t task = first; task < end; task++) {
        struct ow_attempt *at = run->tasks[task].attempt;
        if (run->tasks[task].done)
            g_array_append_val(record.done, task);
        if (at == NULL)
            continue;
        struct ow_live_record live = {task, at->number, at->machine->name, at->session};
        g_array_append_val(record.live, live);
        if (at->state == OW_AT_PLANNED)
            at->in_write = serial;
    }
    g_array_sort(record.live, by_place);
    char *value = wire_progress_record(&record);
    wire_progress_record_clear(&record);
    return value;
}

static void put_chunk(struct ow_recorder *r, struct write *w, struct ow_store_request *txn)
{
    char *key = chunk_key(w->chunk);
    w->chunk->dirty = false;
    w->chunk->writing = true;
    ow_store_expect(txn, key, w->chunk->version);
    ow_store_write(txn, key, chunk_value(w->run, w->chunk, r->serial), 0);
    g_free(key);
}

static void put_finish(struct ow_lead *lead, struct write *w, struct ow_store_request *txn)
{
    const struct ow_job *job = w->run->job;
    struct ow_job_record record = {.stance = job->stance == OW_CANCELLED ? OW_CANCELLED : OW_DONE};
    char *key = g_strconcat(OW_KEY_JOBS, job->id, NULL);
    ow_store_expect(txn, key, job->version);
    ow_store_write(txn, key, wire_job_record(&record), 0);
    g_free(key);
    for (uint32_t i = 0; i < w->run->chunk_count; i++) {
        struct ow_chunk *chunk = &w->run->chunks[i];
        if (chunk->version == 0)
            continue;
        char *progress = chunk_key(chunk);
        /* Behind a final record progress means nothing; what does not fit is dropped later. */
        if (txn->changes->len < lead->node->settings->txn_ops) {
            ow_store_expect(txn, progress, chunk->version);
            ow_store_write(txn, progress, NULL, 0);
        } else {
            ow_recorder_drop(lead, progress, chunk->version);
        }
        g_free(progress);
    }
}

static void put_drop(struct write *w, struct ow_store_request *txn)
{
    ow_store_expect(txn, w->key, w->version);
    ow_store_write(txn, w->key, NULL, 0);
}

static gint by_order(gconstpointer a, gconstpointer b)
{
    const struct write *x = *(const struct write *const *)a, *y = *(const struct write *const *)b;
    if (x->order != y->order)
        return x->order < y->order ? -1 : 1;
    return x->due_at < y->due_at ? -1 : x->due_at > y->due_at;
}

static size_t txn_bytes(const struct ow_store_request *txn)
{
    size_t bytes = 0;
    for (guint i = 0; i < txn->changes->len; i++) {
        const struct ow_change *c = &g_array_index(txn->changes, struct ow_change, i);
        bytes += KEY_BYTES + 2 * strlen(c->key) + (c->value != NULL ? strlen(c->value) : 0);
    }
    return bytes;
}

/* The writes that go out now, taken from the queue. */
static void choose(struct ow_lead *lead, struct ow_store_request *txn)
{
    struct ow_recorder *r = lead->recorder;
    double now = lead->node->now;
    guint most = (guint)MIN((double)lead->node->settings->txn_ops, ow_bucket_level(&r->changes, now));
    bool spare = ow_bucket_level(&r->changes, now) > 0.8 * r->changes.depth;
    g_ptr_array_sort(r->queue, by_order);
    for (guint i = 0; i < r->queue->len && txn->changes->len < most && txn_bytes(txn) < TXN_BYTES / 2;) {
        struct write *w = g_ptr_array_index(r->queue, i);
        /* With room to spare nothing gains by waiting longer; urgent writes take the others along. */
        if (w->due_at > now && !(spare && w->due_at - now < LAZY_S / 2)) {
            i++;
            continue;
        }
        g_ptr_array_steal_index(r->queue, i);
        g_ptr_array_add(r->sent, w);
        if (w->kind == WRITE_CHUNK)
            put_chunk(r, w, txn);
        else if (w->kind == WRITE_FINISH)
            put_finish(lead, w, txn);
        else
            put_drop(w, txn);
    }
}

static void commit_chunk(struct ow_lead *lead, struct write *w, uint64_t revision)
{
    struct ow_recorder *r = lead->recorder;
    w->chunk->version = revision;
    w->chunk->writing = false;
    for (guint i = 0; i < w->run->attempts->len; i++) {
        struct ow_attempt *at = g_ptr_array_index(w->run->attempts, i);
        if (at->state == OW_AT_PLANNED && at->in_write == r->serial &&
            at->task / OW_CHUNK_TASKS == w->chunk->index) {
            at->state = OW_AT_COMMITTED;
            at->machine->direct_wanted = true;
        }
    }
}

static void commit_finish(struct ow_lead *lead, struct write *w, uint64_t revision)
{
    struct ow_job *job = w->run->job;
    if (!ow_job_over(job))
        g_info("job %s done", job->id);
    ow_run_drop(lead, w->run);
    ow_jobs_apply(lead->node->jobs, job->id, revision, job->stance == OW_CANCELLED ? OW_CANCELLED : OW_DONE,
                  NULL);
}

static void committed(struct ow_lead *lead, uint64_t revision)
{
    struct ow_recorder *r = lead->recorder;
    GPtrArray *sent = r->sent;
    /* Detached: a finished run takes its other writes with it. */
    r->sent = g_ptr_array_new_with_free_func(write_free);
    for (guint i = 0; i < sent->len; i++) {
        struct write *w = g_ptr_array_index(sent, i);
        if (w->kind == WRITE_CHUNK && w->run != NULL)
            commit_chunk(lead, w, revision);
        else if (w->kind == WRITE_FINISH && w->run != NULL)
            commit_finish(lead, w, revision);
    }
    g_ptr_array_free(sent, TRUE);
}

/* ---- failures ---- */

static void on_version(void *owner, void *data, const struct ow_command *answer)
{
    struct ow_lead *lead = owner;
    const char *key = data;
    int status = answer->store.status;
    if (status != 200 && status != 404) {
        /* Nothing is written before the versions are known again. */
        ow_node_store(lead->node, ow_store_request_new(OW_STORE_GET, key), on_version, lead, g_strdup(key),
                      g_free);
        return;
    }
    lead->recorder->checking--;
    uint64_t version =
        status == 200 ? g_array_index(answer->store.items, struct ow_store_item, 0).version : 0;
    for (guint i = 0; i < lead->recorder->queue->len; i++) {
        struct write *w = g_ptr_array_index(lead->recorder->queue, i);
        if (w->kind == WRITE_DROP && strcmp(w->key, key) == 0)
            w->version = version;
    }
    for (guint i = 0; i < lead->runs->len; i++) {
        struct ow_run *run = g_ptr_array_index(lead->runs, i);
        for (uint32_t c = 0; c < run->chunk_count; c++) {
            char *other = chunk_key(&run->chunks[c]);
            if (strcmp(other, key) == 0)
                run->chunks[c].version = version;
            g_free(other);
        }
    }
}

static void on_job_fresh(struct ow_node *node, void *data, bool ok)
{
    struct ow_lead *lead = node->lead;
    const uint64_t *token = data;
    if (lead != NULL && lead->token == *token) {
        lead->recorder->checking--;
        lead->dirty = true;
        (void)ok; /* if it failed, the write fails again and asks again */
    }
}

static void check_key(struct ow_lead *lead, const char *key)
{
    lead->recorder->checking++;
    if (g_str_has_prefix(key, OW_KEY_JOBS)) {
        uint64_t *token = g_new(uint64_t, 1);
        *token = lead->token;
        ow_replica_refresh(lead->node->replica, on_job_fresh, token);
    } else {
        ow_node_store(lead->node, ow_store_request_new(OW_STORE_GET, key), on_version, lead, g_strdup(key),
                      g_free);
    }
}

/* Puts everything back in line: a record is made anew from the state at the time it is written. */
static void put_back(struct ow_lead *lead)
{
    struct ow_recorder *r = lead->recorder;
    GPtrArray *sent = r->sent;
    r->sent = g_ptr_array_new_with_free_func(write_free);
    for (guint i = 0; i < sent->len; i++) {
        struct write *w = g_ptr_array_index(sent, i);
        if (w->kind == WRITE_CHUNK && w->run != NULL) {
            w->chunk->writing = false;
            ow_recorder_chunk(lead, w->run, w->chunk->index * OW_CHUNK_TASKS, w->order < ORDER_LAZY);
        } else if (w->kind == WRITE_FINISH && w->run != NULL) {
            w->run->finishing = false; /* the scheduling pass finishes it again, if that is still so */
            lead->dirty = true;
        } else if (w->kind == WRITE_DROP) {
            ow_recorder_drop(lead, w->key, w->version);
        }
    }
    g_ptr_array_free(sent, TRUE);
}

static void on_txn(void *owner, void *data, const struct ow_command *answer)
{
    struct ow_lead *lead = owner;
    struct ow_recorder *r = lead->recorder;
    const struct ow_store_reply *reply = &answer->store;
    (void)data;
    r->busy = false;
    if (reply->status == 200) {
        committed(lead, reply->revision);
        return;
    }
    if (reply->status == 409 && reply->failed != NULL &&
        g_strv_contains((const char *const *)reply->failed, OW_KEY_COORDINATOR)) {
        ow_election_deposed(lead->node->election);
        return;
    }
    /* Without a response it may have been carried out, or may still be: the versions it expects make a
       second time harmless, and if it was, the next try fails on them and learns the new ones. */
    put_back(lead);
    r->act_at = lead->node->now + RETRY_S;
    if (reply->status == 429)
        ow_bucket_empty(&r->changes, lead->node->now);
    for (char **key = reply->status == 409 ? reply->failed : NULL; key != NULL && *key != NULL; key++)
        check_key(lead, *key);
}

void ow_recorder_tick(struct ow_lead *lead)
{
    struct ow_recorder *r = lead->recorder;
    double now = lead->node->now;
    if (r->busy || r->checking > 0 || now < r->act_at || r->queue->len == 0 ||
        ow_bucket_level(&r->changes, now) < 1)
        return;
    struct ow_store_request *txn = ow_store_request_new(OW_STORE_TXN, NULL);
    ow_store_expect(txn, OW_KEY_COORDINATOR, lead->token);
    r->serial++;
    choose(lead, txn);
    if (txn->changes->len == 0) {
        ow_store_request_free(txn);
        return;
    }
    ow_bucket_spend(&r->changes, txn->changes->len, now);
    r->busy = true;
    ow_node_store(lead->node, txn, on_txn, lead, NULL, NULL);
}
