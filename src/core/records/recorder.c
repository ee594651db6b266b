/* Changed records, written in batches. Every transaction is conditioned on the leader's key, so a
 * deposed leader decides nothing, and on the version of each record, so one that is applied late
 * changes nothing. One transaction is under way at a time. */
#include "core/records/recorder.h"
#include "core/api/job_cache.h"
#include "core/election/election.h"
#include "core/leader_state.h"
#include "core/machines/machine.h"
#include "core/records/record_values.h"
#include "core/records/records.h"
#include "core/run.h"
#include "wire/records_json.h"

#include <string.h>

enum { TXN_BYTES = 60 * 1024, KEY_BYTES = 120 };
/* Progress alone may wait so long for company, and values that hold what is over; the rest goes out at once.
 */
static const double LAZY_S = 1.5, TIDY_S = 10, RETRY_S = 0.2, REFUSED_S = 5;

enum write_kind { WRITE_RECORD_VALUE, WRITE_FINISH };

struct ow_write {
    enum write_kind kind;
    struct ow_run *run;                   /* finish; NULL once the run is gone */
    struct ow_record_value *record_value; /* of a record value */
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
    struct ow_rate_limiter changes;
    unsigned sent_changes; /* of the transaction under way */
    size_t sent_largest;   /* its largest value */
};

struct ow_recorder *ow_recorder_new(struct ow_leader *leader)
{
    struct ow_recorder *r = g_new0(struct ow_recorder, 1);
    double rate = leader->controller->limits.write_rps;
    r->queue = g_ptr_array_new_with_free_func(g_free);
    r->sent = g_ptr_array_new_with_free_func(g_free);
    /* A share is left for submissions and cancellations, which any controller writes. */
    ow_rate_limiter_init(&r->changes, 0.8 * rate, 0.7 * rate, leader->controller->now);
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

static void enqueue_record_value(struct ow_recorder *r, struct ow_record_value *g, int order, double due_at)
{
    if (g->queued == NULL) {
        g->queued = enqueue(r, WRITE_RECORD_VALUE);
        g->queued->record_value = g;
        g->queued->order = order;
        g->queued->due_at = due_at;
    }
    g->queued->order = MIN(g->queued->order, order);
    g->queued->due_at = MIN(g->queued->due_at, due_at);
}

void ow_recorder_chunk(struct ow_leader *leader, struct ow_run *run, uint32_t task, bool launching)
{
    struct ow_chunk *chunk = ow_run_chunk(run, task);
    double now = leader->controller->now;
    if (ow_job_over(run->job) || run->finishing)
        return;
    if (chunk->record_value == NULL)
        ow_record_values_join(leader, chunk);
    chunk->dirty = true;
    enqueue_record_value(leader->recorder, chunk->record_value, launching ? launch_order(run) : ORDER_LAZY,
                         launching ? now : now + LAZY_S);
}

void ow_recorder_finish(struct ow_leader *leader, struct ow_run *run)
{
    if (run->finishing)
        return;
    run->finishing = true;
    struct ow_write *w = enqueue(leader->recorder, WRITE_FINISH);
    w->run = run;
    w->order = run->job->state == OW_JOB_CANCELLED ? ORDER_TIDY : ORDER_FINISH;
    w->due_at = leader->controller->now;
}

void ow_recorder_compact(struct ow_leader *leader, struct ow_record_value *record_value)
{
    enqueue_record_value(leader->recorder, record_value, ORDER_TIDY, leader->controller->now + TIDY_S);
}

void ow_recorder_forget(struct ow_leader *leader, const struct ow_run *run)
{
    struct ow_recorder *r = leader->recorder;
    for (guint i = r->queue->len; i > 0; i--)
        if (((struct ow_write *)g_ptr_array_index(r->queue, i - 1))->run == run)
            g_ptr_array_remove_index(r->queue, i - 1);
    for (guint i = 0; i < r->sent->len; i++) {
        struct ow_write *w = g_ptr_array_index(r->sent, i);
        if (w->run == run)
            w->run = NULL;
    }
    for (uint32_t i = 0; i < run->chunk_count; i++) {
        struct ow_record_value *g = ow_record_values_leave(&run->chunks[i]);
        if (g != NULL)
            ow_recorder_compact(leader, g);
    }
}

static char *group_key(const struct ow_record_value *g)
{
    return g_strdup_printf("%s%u", OW_KEY_PROGRESS, g->number);
}

/* Marks what the value that is being written says. */
static void mark_written(struct ow_record_value *g, uint64_t serial)
{
    for (guint i = 0; i < g->chunks->len; i++) {
        struct ow_chunk *chunk = g_ptr_array_index(g->chunks, i);
        const struct ow_run *run = chunk->job->run;
        chunk->writing = chunk->writing || chunk->dirty;
        chunk->dirty = false;
        for (guint k = 0; k < run->attempts->len; k++) {
            struct ow_attempt *at = g_ptr_array_index(run->attempts, k);
            if (at->state == OW_ATTEMPT_PLANNED && at->task / run->chunk_tasks == chunk->index)
                at->in_write = serial;
        }
    }
}

/* Whether the value is too large although it holds a single chunk, which can be divided. Before every
   controller reads smaller ones it goes out as it is, while the state service still takes it. */
static bool needs_refining(const struct ow_leader *leader, const struct ow_record_value *g, const char *value)
{
    if (strlen(value) <= leader->controller->limits.value_bytes || g->chunks->len != 1)
        return false;
    const struct ow_chunk *chunk = g_ptr_array_index(g->chunks, 0);
    return leader->format.current >= OW_FORMAT_FINE && chunk->job->run->chunk_tasks > OW_LEAST_CHUNK_TASKS;
}

static void put_record_value(struct ow_leader *leader, struct ow_write *w, struct ow_store_request *txn)
{
    struct ow_record_value *g = w->record_value, *moved = NULL;
    char *value = ow_record_values_encode(leader, g, &moved);
    if (moved == NULL && needs_refining(leader, g, value)) {
        g->refines = true;
        g_free(value);
        enqueue_record_value(leader->recorder, g, w->order, w->due_at);
    } else if (moved != NULL) {
        /* Its old value still has what has moved: it must not be replaced before that is written. */
        g->after = moved;
        g_free(value);
        enqueue_record_value(leader->recorder, moved, w->order, w->due_at);
        enqueue_record_value(leader->recorder, g, w->order, w->due_at);
    } else {
        char *key = group_key(g);
        mark_written(g, leader->recorder->serial);
        ow_store_expect(txn, key, g->version);
        ow_store_write(txn, key, value, 0);
        g_free(key);
        g_ptr_array_add(leader->recorder->sent, g_memdup2(w, sizeof *w));
    }
}

static void put_finish(struct ow_leader *leader, struct ow_write *w, struct ow_store_request *txn)
{
    const struct ow_job *job = w->run->job;
    struct ow_job_record record = {.state = job->state == OW_JOB_CANCELLED ? OW_JOB_CANCELLED : OW_JOB_DONE};
    char *key = g_strconcat(OW_KEY_JOBS, job->id, NULL);
    ow_store_expect(txn, key, job->version);
    ow_store_write(txn, key, wire_job_record(&record), 0);
    g_free(key);
    g_ptr_array_add(leader->recorder->sent, g_memdup2(w, sizeof *w));
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

/* Whether the write has to wait: for company, or for the record value that its chunks moved to. With room to
   spare nothing gains by waiting longer; urgent writes take the others along. */
static bool must_wait(const struct ow_write *w, double now, bool spare)
{
    if (w->kind == WRITE_RECORD_VALUE && (w->record_value->after != NULL || w->record_value->refines ||
                                          ow_record_values_retains_tasks(w->record_value)))
        return true;
    return w->due_at > now && !(spare && w->due_at - now < LAZY_S / 2);
}

/* The writes that go out now, taken from the queue. */
static void choose(struct ow_leader *leader, struct ow_store_request *txn)
{
    struct ow_recorder *r = leader->recorder;
    double now = leader->controller->now;
    guint most =
        (guint)MIN((double)leader->controller->limits.txn_ops, ow_rate_limiter_level(&r->changes, now));
    size_t value = leader->controller->limits.value_bytes_now;
    bool spare = ow_rate_limiter_level(&r->changes, now) > 0.8 * r->changes.depth;
    g_ptr_array_sort(r->queue, by_order);
    for (guint i = 0; i < r->queue->len && txn->changes->len < most &&
                      (txn->changes->len == 0 || txn_bytes(txn) + value < TXN_BYTES);) {
        struct ow_write *w = g_ptr_array_index(r->queue, i);
        if (must_wait(w, now, spare)) {
            i++;
            continue;
        }
        g_ptr_array_steal_index(r->queue, i);
        if (w->kind == WRITE_RECORD_VALUE) {
            w->record_value->queued = NULL;
            put_record_value(leader, w, txn);
        } else {
            put_finish(leader, w, txn);
        }
        g_free(w);
    }
}

static void commit_record_value(struct ow_leader *leader, const struct ow_write *w, uint64_t revision)
{
    struct ow_record_value *g = w->record_value;
    g->version = revision;
    for (guint i = 0; i < leader->record_values->len; i++) {
        struct ow_record_value *other = g_ptr_array_index(leader->record_values, i);
        if (other->after == g)
            other->after = NULL;
    }
    for (guint i = 0; i < g->chunks->len; i++) {
        struct ow_chunk *chunk = g_ptr_array_index(g->chunks, i);
        const struct ow_run *run = chunk->job->run;
        chunk->writing = false;
        for (guint k = 0; k < run->attempts->len; k++) {
            struct ow_attempt *at = g_ptr_array_index(run->attempts, k);
            if (at->state == OW_ATTEMPT_PLANNED && at->in_write == leader->recorder->serial &&
                at->task / run->chunk_tasks == chunk->index) {
                at->state = OW_ATTEMPT_COMMITTED;
                at->machine->direct_wanted = true;
            }
        }
    }
}

static void commit_finish(struct ow_leader *leader, const struct ow_write *w, uint64_t revision)
{
    struct ow_job *job = w->run->job;
    if (!ow_job_over(job))
        g_info("job %s done", job->id);
    ow_run_drop(leader, w->run);
    ow_jobs_apply(leader->controller->jobs, job->id, revision,
                  job->state == OW_JOB_CANCELLED ? OW_JOB_CANCELLED : OW_JOB_DONE, NULL,
                  leader->controller->now, 0);
}

static void committed(struct ow_leader *leader, uint64_t revision)
{
    struct ow_recorder *r = leader->recorder;
    GPtrArray *sent = r->sent;
    /* Detached: a finished run takes its other writes with it. */
    r->sent = g_ptr_array_new_with_free_func(g_free);
    for (guint i = 0; i < sent->len; i++) {
        const struct ow_write *w = g_ptr_array_index(sent, i);
        if (w->kind == WRITE_RECORD_VALUE)
            commit_record_value(leader, w, revision);
        else if (w->kind == WRITE_FINISH && w->run != NULL)
            commit_finish(leader, w, revision);
    }
    g_ptr_array_free(sent, TRUE);
}

/* ---- failures ---- */

static void on_version(void *owner, void *data, const struct ow_event *answer)
{
    struct ow_leader *leader = owner;
    const char *key = data;
    int status = answer->store.status;
    if (status != 200 && status != 404) {
        /* Nothing is written before the versions are known again. */
        ow_controller_store(leader->controller, ow_store_request_new(OW_STORE_GET, key), on_version, leader,
                            g_strdup(key), g_free);
        return;
    }
    leader->recorder->checking--;
    uint64_t version =
        status == 200 ? g_array_index(answer->store.items, struct ow_store_item, 0).version : 0;
    guint64 number = 0;
    struct ow_record_value *g = NULL;
    if (g_ascii_string_to_unsigned(key + strlen(OW_KEY_PROGRESS), 10, 0, UINT32_MAX, &number, NULL))
        g = ow_record_values_find(leader, (uint32_t)number);
    if (g != NULL)
        g->version = version;
}

static void on_job_fresh(struct ow_controller *controller, void *data, bool ok)
{
    struct ow_leader *leader = controller->leader;
    const uint64_t *token = data;
    if (leader != NULL && leader->token == *token) {
        leader->recorder->checking--;
        leader->pass.due = true;
        (void)ok; /* if it failed, the write fails again and asks again */
    }
}

static void check_key(struct ow_leader *leader, const char *key)
{
    leader->recorder->checking++;
    if (g_str_has_prefix(key, OW_KEY_JOBS)) {
        uint64_t *token = g_new(uint64_t, 1);
        *token = leader->token;
        ow_job_cache_refresh(leader->controller->job_cache, on_job_fresh, token);
    } else {
        ow_controller_store(leader->controller, ow_store_request_new(OW_STORE_GET, key), on_version, leader,
                            g_strdup(key), g_free);
    }
}

static void put_group_back(struct ow_leader *leader, const struct ow_write *w)
{
    for (guint i = 0; i < w->record_value->chunks->len; i++) {
        struct ow_chunk *chunk = g_ptr_array_index(w->record_value->chunks, i);
        chunk->dirty = chunk->dirty || chunk->writing;
        chunk->writing = false;
    }
    enqueue_record_value(leader->recorder, w->record_value, w->order, w->due_at);
}

/* Puts everything back in line: a record is made anew from the state at the time it is written. */
static void put_back(struct ow_leader *leader)
{
    struct ow_recorder *r = leader->recorder;
    GPtrArray *sent = r->sent;
    r->sent = g_ptr_array_new_with_free_func(g_free);
    for (guint i = 0; i < sent->len; i++) {
        const struct ow_write *w = g_ptr_array_index(sent, i);
        if (w->kind == WRITE_RECORD_VALUE) {
            put_group_back(leader, w);
        } else if (w->run != NULL) {
            w->run->finishing = false; /* the scheduling pass finishes it again, if that is still so */
            leader->pass.due = true;
        }
    }
    g_ptr_array_free(sent, TRUE);
}

static void on_txn(void *owner, void *data, const struct ow_event *answer)
{
    struct ow_leader *leader = owner;
    struct ow_recorder *r = leader->recorder;
    const struct ow_store_reply *reply = &answer->store;
    (void)data;
    r->busy = false;
    if (reply->status == 200) {
        committed(leader, reply->revision);
        return;
    }
    if (reply->status == 409 && reply->failed != NULL &&
        g_strv_contains((const char *const *)reply->failed, OW_KEY_LEADER)) {
        ow_election_deposed(leader->controller->election);
        return;
    }
    /* Without a response it may have been carried out, or may still be: the versions it expects make a
       second time harmless, and if it was, the next try fails on them and learns the new ones. */
    put_back(leader);
    r->act_at = leader->controller->now + RETRY_S;
    if (reply->status == 429)
        ow_rate_limiter_empty(&r->changes, leader->controller->now);
    /* Too large: the limits have changed otherwise than the settings say. The same again would fail for ever.
     */
    if (reply->status == 400) {
        bool smaller = ow_limits_refused(&leader->controller->limits, r->sent_changes, r->sent_largest);
        g_warning("the state service refuses a write of %u changes, the largest of %zu bytes; %s",
                  r->sent_changes, r->sent_largest,
                  smaller ? "the next ones are smaller" : "it can't be made smaller");
        r->act_at = leader->controller->now + (smaller ? RETRY_S : REFUSED_S);
    }
    for (char **key = reply->status == 409 ? reply->failed : NULL; key != NULL && *key != NULL; key++)
        check_key(leader, *key);
}

/* Here nothing of them is in a write. */
static void refine_groups(struct ow_leader *leader)
{
    for (guint i = 0; i < leader->record_values->len; i++) {
        struct ow_record_value *g = g_ptr_array_index(leader->record_values, i);
        if (g->refines && g->chunks->len > 0)
            ow_record_values_refine(leader, ((struct ow_chunk *)g_ptr_array_index(g->chunks, 0))->job->run);
        g->refines = false;
    }
}

void ow_recorder_tick(struct ow_leader *leader)
{
    struct ow_recorder *r = leader->recorder;
    double now = leader->controller->now;
    if (r->busy || r->checking > 0 || now < r->act_at || r->queue->len == 0 ||
        ow_rate_limiter_level(&r->changes, now) < 1)
        return;
    refine_groups(leader);
    struct ow_store_request *txn = ow_store_request_new(OW_STORE_TXN, NULL);
    ow_store_expect(txn, OW_KEY_LEADER, leader->token);
    r->serial++;
    choose(leader, txn);
    if (txn->changes->len == 0) {
        ow_store_request_free(txn);
        return;
    }
    ow_rate_limiter_spend(&r->changes, txn->changes->len, now);
    r->sent_changes = txn->changes->len;
    r->sent_largest = ow_store_largest_value(txn);
    r->busy = true;
    ow_controller_store(leader->controller, txn, on_txn, leader, NULL, NULL);
}
