/* Changed records, written in batches. Every transaction is conditioned on the coordinator's key, so a
 * deposed coordinator decides nothing, and on the version of each record, so one that is applied late
 * changes nothing. One transaction is under way at a time. */
#include "core/election.h"
#include "core/lead_state.h"
#include "core/records.h"
#include "core/replica.h"
#include "wire/records_json.h"

#include <string.h>

enum { TXN_BYTES = 60 * 1024, KEY_BYTES = 120, LEAST_CHUNK_TASKS = 8 };
/* Progress alone may wait so long for company, and values that hold what is over; the rest goes out at once.
 */
static const double LAZY_S = 1.5, TIDY_S = 10, RETRY_S = 0.2, REFUSED_S = 5;

enum write_kind { WRITE_GROUP, WRITE_FINISH };

struct ow_write {
    enum write_kind kind;
    struct ow_run *run;     /* finish; NULL once the run is gone */
    struct ow_group *group; /* group */
    double due_at;
    int order;
};

struct ow_recorder {
    GPtrArray *queue; /* struct ow_write, waiting */
    GPtrArray *sent;  /* struct ow_write, in the transaction under way */
    bool busy;
    uint64_t serial;
    unsigned checking; /* reads of versions under way; nothing is written meanwhile */
    double act_at;
    struct ow_bucket changes;
    unsigned sent_changes; /* of the transaction under way */
    size_t sent_largest;   /* its largest value */
};

struct ow_recorder *ow_recorder_new(struct ow_lead *lead)
{
    struct ow_recorder *r = g_new0(struct ow_recorder, 1);
    double rate = lead->node->limits.write_rps;
    r->queue = g_ptr_array_new_with_free_func(g_free);
    r->sent = g_ptr_array_new_with_free_func(g_free);
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

static struct ow_write *enqueue(struct ow_recorder *r, enum write_kind kind)
{
    struct ow_write *w = g_new0(struct ow_write, 1);
    w->kind = kind;
    g_ptr_array_add(r->queue, w);
    return w;
}

static int launch_order(const struct ow_run *run)
{
    return 10 + (int)run->job->spec->submission->rank * 10;
}

enum { ORDER_FINISH = 5, ORDER_LAZY = 100, ORDER_TIDY = 200 };

static void enqueue_group(struct ow_recorder *r, struct ow_group *g, int order, double due_at)
{
    if (g->queued == NULL) {
        g->queued = enqueue(r, WRITE_GROUP);
        g->queued->group = g;
        g->queued->order = order;
        g->queued->due_at = due_at;
    }
    g->queued->order = MIN(g->queued->order, order);
    g->queued->due_at = MIN(g->queued->due_at, due_at);
}

void ow_recorder_chunk(struct ow_lead *lead, struct ow_run *run, uint32_t task, bool launching)
{
    struct ow_chunk *chunk = ow_run_chunk(run, task);
    double now = lead->node->now;
    if (ow_job_over(run->job) || run->finishing)
        return;
    if (chunk->group == NULL)
        ow_pack_join(lead, chunk);
    chunk->dirty = true;
    enqueue_group(lead->recorder, chunk->group, launching ? launch_order(run) : ORDER_LAZY,
                  launching ? now : now + LAZY_S);
}

void ow_recorder_finish(struct ow_lead *lead, struct ow_run *run)
{
    if (run->finishing)
        return;
    run->finishing = true;
    struct ow_write *w = enqueue(lead->recorder, WRITE_FINISH);
    w->run = run;
    w->order = run->job->stance == OW_CANCELLED ? ORDER_TIDY : ORDER_FINISH;
    w->due_at = lead->node->now;
}

void ow_recorder_tidy(struct ow_lead *lead, struct ow_group *group)
{
    enqueue_group(lead->recorder, group, ORDER_TIDY, lead->node->now + TIDY_S);
}

void ow_recorder_forget(struct ow_lead *lead, const struct ow_run *run)
{
    struct ow_recorder *r = lead->recorder;
    for (guint i = r->queue->len; i > 0; i--)
        if (((struct ow_write *)g_ptr_array_index(r->queue, i - 1))->run == run)
            g_ptr_array_remove_index(r->queue, i - 1);
    for (guint i = 0; i < r->sent->len; i++) {
        struct ow_write *w = g_ptr_array_index(r->sent, i);
        if (w->run == run)
            w->run = NULL;
    }
    for (uint32_t i = 0; i < run->chunk_count; i++) {
        struct ow_group *g = ow_pack_leave(&run->chunks[i]);
        if (g != NULL)
            ow_recorder_tidy(lead, g);
    }
}

static char *group_key(const struct ow_group *g)
{
    return g_strdup_printf("%s%u", OW_KEY_PROGRESS, g->number);
}

/* Marks what the value that is being written says. */
static void mark_written(struct ow_group *g, uint64_t serial)
{
    for (guint i = 0; i < g->chunks->len; i++) {
        struct ow_chunk *chunk = g_ptr_array_index(g->chunks, i);
        const struct ow_run *run = chunk->job->run;
        chunk->writing = chunk->writing || chunk->dirty;
        chunk->dirty = false;
        for (guint k = 0; k < run->attempts->len; k++) {
            struct ow_attempt *at = g_ptr_array_index(run->attempts, k);
            if (at->state == OW_AT_PLANNED && at->task / run->chunk_tasks == chunk->index)
                at->in_write = serial;
        }
    }
}

/* Whether the value is too large although it holds a single chunk, which can be divided. Before every
   controller reads smaller ones it goes out as it is, while the state service still takes it. */
static bool needs_refining(const struct ow_lead *lead, const struct ow_group *g, const char *value)
{
    if (strlen(value) <= lead->node->limits.value_bytes || g->chunks->len != 1)
        return false;
    const struct ow_chunk *chunk = g_ptr_array_index(g->chunks, 0);
    return lead->format >= OW_FORMAT_FINE && chunk->job->run->chunk_tasks > LEAST_CHUNK_TASKS;
}

static void put_group(struct ow_lead *lead, struct ow_write *w, struct ow_store_request *txn)
{
    struct ow_group *g = w->group, *moved = NULL;
    char *value = ow_pack_value(lead, g, &moved);
    if (moved == NULL && needs_refining(lead, g, value)) {
        g->refines = true;
        g_free(value);
        enqueue_group(lead->recorder, g, w->order, w->due_at);
    } else if (moved != NULL) {
        /* Its old value still has what has moved: it must not be replaced before that is written. */
        g->after = moved;
        g_free(value);
        enqueue_group(lead->recorder, moved, w->order, w->due_at);
        enqueue_group(lead->recorder, g, w->order, w->due_at);
    } else {
        char *key = group_key(g);
        mark_written(g, lead->recorder->serial);
        ow_store_expect(txn, key, g->version);
        ow_store_write(txn, key, value, 0);
        g_free(key);
        g_ptr_array_add(lead->recorder->sent, g_memdup2(w, sizeof *w));
    }
}

static void put_finish(struct ow_lead *lead, struct ow_write *w, struct ow_store_request *txn)
{
    const struct ow_job *job = w->run->job;
    struct ow_job_record record = {.stance = job->stance == OW_CANCELLED ? OW_CANCELLED : OW_DONE};
    char *key = g_strconcat(OW_KEY_JOBS, job->id, NULL);
    ow_store_expect(txn, key, job->version);
    ow_store_write(txn, key, wire_job_record(&record), 0);
    g_free(key);
    g_ptr_array_add(lead->recorder->sent, g_memdup2(w, sizeof *w));
}

static gint by_order(gconstpointer a, gconstpointer b)
{
    const struct ow_write *x = *(const struct ow_write *const *)a, *y = *(const struct ow_write *const *)b;
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

/* Whether the write has to wait: for company, or for the group that its chunks moved to. With room to spare
   nothing gains by waiting longer; urgent writes take the others along. */
static bool must_wait(const struct ow_write *w, double now, bool spare)
{
    if (w->kind == WRITE_GROUP && (w->group->after != NULL || w->group->refines || ow_pack_kept(w->group)))
        return true;
    return w->due_at > now && !(spare && w->due_at - now < LAZY_S / 2);
}

/* The writes that go out now, taken from the queue. */
static void choose(struct ow_lead *lead, struct ow_store_request *txn)
{
    struct ow_recorder *r = lead->recorder;
    double now = lead->node->now;
    guint most = (guint)MIN((double)lead->node->limits.txn_ops, ow_bucket_level(&r->changes, now));
    size_t value = lead->node->limits.value_bytes_now;
    bool spare = ow_bucket_level(&r->changes, now) > 0.8 * r->changes.depth;
    g_ptr_array_sort(r->queue, by_order);
    for (guint i = 0; i < r->queue->len && txn->changes->len < most &&
                      (txn->changes->len == 0 || txn_bytes(txn) + value < TXN_BYTES);) {
        struct ow_write *w = g_ptr_array_index(r->queue, i);
        if (must_wait(w, now, spare)) {
            i++;
            continue;
        }
        g_ptr_array_steal_index(r->queue, i);
        if (w->kind == WRITE_GROUP) {
            w->group->queued = NULL;
            put_group(lead, w, txn);
        } else {
            put_finish(lead, w, txn);
        }
        g_free(w);
    }
}

static void commit_group(struct ow_lead *lead, const struct ow_write *w, uint64_t revision)
{
    struct ow_group *g = w->group;
    g->version = revision;
    for (guint i = 0; i < lead->groups->len; i++) {
        struct ow_group *other = g_ptr_array_index(lead->groups, i);
        if (other->after == g)
            other->after = NULL;
    }
    for (guint i = 0; i < g->chunks->len; i++) {
        struct ow_chunk *chunk = g_ptr_array_index(g->chunks, i);
        const struct ow_run *run = chunk->job->run;
        chunk->writing = false;
        for (guint k = 0; k < run->attempts->len; k++) {
            struct ow_attempt *at = g_ptr_array_index(run->attempts, k);
            if (at->state == OW_AT_PLANNED && at->in_write == lead->recorder->serial &&
                at->task / run->chunk_tasks == chunk->index) {
                at->state = OW_AT_COMMITTED;
                at->machine->direct_wanted = true;
            }
        }
    }
}

static void commit_finish(struct ow_lead *lead, const struct ow_write *w, uint64_t revision)
{
    struct ow_job *job = w->run->job;
    if (!ow_job_over(job))
        g_info("job %s done", job->id);
    ow_run_drop(lead, w->run);
    ow_jobs_apply(lead->node->jobs, job->id, revision, job->stance == OW_CANCELLED ? OW_CANCELLED : OW_DONE,
                  NULL, lead->node->now, 0);
}

static void committed(struct ow_lead *lead, uint64_t revision)
{
    struct ow_recorder *r = lead->recorder;
    GPtrArray *sent = r->sent;
    /* Detached: a finished run takes its other writes with it. */
    r->sent = g_ptr_array_new_with_free_func(g_free);
    for (guint i = 0; i < sent->len; i++) {
        const struct ow_write *w = g_ptr_array_index(sent, i);
        if (w->kind == WRITE_GROUP)
            commit_group(lead, w, revision);
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
    guint64 number = 0;
    struct ow_group *g = NULL;
    if (g_ascii_string_to_unsigned(key + strlen(OW_KEY_PROGRESS), 10, 0, UINT32_MAX, &number, NULL))
        g = ow_pack_find(lead, (uint32_t)number);
    if (g != NULL)
        g->version = version;
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

static void put_group_back(struct ow_lead *lead, const struct ow_write *w)
{
    for (guint i = 0; i < w->group->chunks->len; i++) {
        struct ow_chunk *chunk = g_ptr_array_index(w->group->chunks, i);
        chunk->dirty = chunk->dirty || chunk->writing;
        chunk->writing = false;
    }
    enqueue_group(lead->recorder, w->group, w->order, w->due_at);
}

/* Puts everything back in line: a record is made anew from the state at the time it is written. */
static void put_back(struct ow_lead *lead)
{
    struct ow_recorder *r = lead->recorder;
    GPtrArray *sent = r->sent;
    r->sent = g_ptr_array_new_with_free_func(g_free);
    for (guint i = 0; i < sent->len; i++) {
        const struct ow_write *w = g_ptr_array_index(sent, i);
        if (w->kind == WRITE_GROUP) {
            put_group_back(lead, w);
        } else if (w->run != NULL) {
            w->run->finishing = false; /* the scheduling pass finishes it again, if that is still so */
            lead->dirty = true;
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
    /* Too large: the limits have changed otherwise than the settings say. The same again would fail for ever.
     */
    if (reply->status == 400) {
        bool smaller = ow_limits_refused(&lead->node->limits, r->sent_changes, r->sent_largest);
        g_warning("the state service refuses a write of %u changes, the largest of %zu bytes; %s",
                  r->sent_changes, r->sent_largest,
                  smaller ? "the next ones are smaller" : "it can't be made smaller");
        r->act_at = lead->node->now + (smaller ? RETRY_S : REFUSED_S);
    }
    for (char **key = reply->status == 409 ? reply->failed : NULL; key != NULL && *key != NULL; key++)
        check_key(lead, *key);
}

/* Here nothing of them is in a write. */
static void refine_groups(struct ow_lead *lead)
{
    for (guint i = 0; i < lead->groups->len; i++) {
        struct ow_group *g = g_ptr_array_index(lead->groups, i);
        if (g->refines && g->chunks->len > 0)
            ow_pack_refine(lead, ((struct ow_chunk *)g_ptr_array_index(g->chunks, 0))->job->run);
        g->refines = false;
    }
}

void ow_recorder_tick(struct ow_lead *lead)
{
    struct ow_recorder *r = lead->recorder;
    double now = lead->node->now;
    if (r->busy || r->checking > 0 || now < r->act_at || r->queue->len == 0 ||
        ow_bucket_level(&r->changes, now) < 1)
        return;
    refine_groups(lead);
    struct ow_store_request *txn = ow_store_request_new(OW_STORE_TXN, NULL);
    ow_store_expect(txn, OW_KEY_COORDINATOR, lead->token);
    r->serial++;
    choose(lead, txn);
    if (txn->changes->len == 0) {
        ow_store_request_free(txn);
        return;
    }
    ow_bucket_spend(&r->changes, txn->changes->len, now);
    r->sent_changes = txn->changes->len;
    r->sent_largest = ow_store_largest_value(txn);
    r->busy = true;
    ow_node_store(lead->node, txn, on_txn, lead, NULL, NULL);
}
