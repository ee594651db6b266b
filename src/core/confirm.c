#include "core/confirm.h"

#include "core/door.h"
#include "core/lead.h"
#include "core/node.h"

/* How long a user waits for the coordinator's word before being asked to come back, and how often it is told.
 */
static const double PATIENCE_S = 0.6, TELL_S = 0.3, TELL_MOST_S = 2;
/* What another controller told is told again if it still matters. */
static const double FORGET_S = 6;
enum { RETRY_S = 1 };

struct visitor {
    uint64_t request;
    int status; /* of a good answer */
    double until;
};

struct entry {
    char id[OW_ID_MAX + 1];
    double since, tell_at, pause_s;
    double dropped_at; /* 0: kept until a coordinator has it */
    GArray *visitors;  /* struct visitor */
};

struct ow_confirm {
    struct ow_node *node;
    GHashTable *entries; /* id -> struct entry */
};

static void entry_free(void *item)
{
    struct entry *e = item;
    g_array_free(e->visitors, TRUE);
    g_free(e);
}

struct ow_confirm *ow_confirm_new(struct ow_node *node)
{
    struct ow_confirm *c = g_new0(struct ow_confirm, 1);
    c->node = node;
    c->entries = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, entry_free);
    return c;
}

void ow_confirm_free(struct ow_confirm *c)
{
    g_hash_table_destroy(c->entries);
    g_free(c);
}

static struct entry *entry_get(struct ow_confirm *c, const char *id)
{
    struct entry *e = g_hash_table_lookup(c->entries, id);
    if (e != NULL)
        return e;
    e = g_new0(struct entry, 1);
    g_strlcpy(e->id, id, sizeof e->id);
    e->since = c->node->now;
    e->dropped_at = c->node->now + FORGET_S;
    e->pause_s = TELL_S;
    e->visitors = g_array_new(FALSE, FALSE, sizeof(struct visitor));
    g_hash_table_insert(c->entries, e->id, e);
    /* The stops go out before anything else does. */
    if (c->node->lead != NULL)
        ow_lead_cancel(c->node->lead, ow_jobs_find(c->node->jobs, id));
    return e;
}

void ow_confirm_wait(struct ow_confirm *c, uint64_t request, int status, const struct ow_job *job)
{
    struct entry *e = entry_get(c, job->id);
    struct visitor v = {request, status, c->node->now + PATIENCE_S};
    e->dropped_at = 0;
    g_array_append_val(e->visitors, v);
}

static void tell(struct ow_node *node, enum ow_peer_kind kind, const struct ow_job *job, uint64_t token)
{
    struct ow_peer_message *message = ow_peer_message_new(kind);
    g_strlcpy(message->job, job->id, sizeof message->job);
    message->revision = job->version;
    message->number = token;
    ow_node_tell_peers(node, message);
}

void ow_confirm_told(struct ow_confirm *c, const struct ow_peer_message *m)
{
    struct ow_node *node = c->node;
    /* Committed is committed: it is acted on by whoever coordinates or thinks so, read or not. */
    if (node->lead == NULL)
        return;
    struct ow_job *job = ow_jobs_cancel(node->jobs, m->job, m->revision, m->number);
    if (job->stance != OW_CANCELLED)
        return;
    if (job->confirmed)
        tell(node, OW_PEER_TAKEN, job, node->lead_token);
    else
        entry_get(c, m->job);
}

void ow_confirm_taken(struct ow_confirm *c, const struct ow_peer_message *m)
{
    struct ow_job *job = ow_jobs_find(c->node->jobs, m->job);
    /* Whoever is asked about a job that we still take to be open reads it, and asks the coordinator then. */
    if (job == NULL)
        return;
    /* The word of a coordinator that was deposed before the cancellation was recorded is worth nothing: the
       one that counts may not have it. A later one has read it before it became ready. */
    if (job->stance == OW_CANCELLED && m->number >= job->cancel_token)
        job->confirmed = true;
}

/* Whether we coordinate, rightly as far as this cancellation goes, and nothing of the job can start any more.
 */
static bool take_in(struct ow_node *node, struct ow_job *job)
{
    if (node->lead == NULL || node->lead_token < job->cancel_token || !ow_lead_cancel(node->lead, job))
        return false;
    job->confirmed = true;
    tell(node, OW_PEER_TAKEN, job, node->lead_token);
    return true;
}

static void answer_all(struct ow_node *node, struct entry *e, const struct ow_job *job)
{
    if (e->visitors->len > 0)
        g_info("cancellation of job %s taken in by the coordinator after %.3f s", e->id,
               node->now - e->since);
    for (guint i = 0; i < e->visitors->len; i++) {
        const struct visitor *v = &g_array_index(e->visitors, struct visitor, i);
        ow_door_answer_job(node, v->request, v->status, job);
    }
}

/* Nobody is held back: who has waited long enough is asked to come again. */
static void refuse_late(struct ow_node *node, struct entry *e)
{
    for (guint i = e->visitors->len; i > 0; i--) {
        const struct visitor *v = &g_array_index(e->visitors, struct visitor, i - 1);
        if (node->now < v->until)
            continue;
        ow_node_refuse(node, v->request, 503, "the coordinator has not taken the cancellation in yet",
                       RETRY_S);
        g_array_remove_index(e->visitors, i - 1);
    }
}

/* True when the entry is of no use any more. */
static bool step(struct ow_node *node, struct entry *e)
{
    struct ow_job *job = ow_jobs_find(node->jobs, e->id);
    if (job->confirmed || take_in(node, job)) {
        answer_all(node, e, job);
        return true;
    }
    refuse_late(node, e);
    if (e->dropped_at > 0)
        return node->now > e->dropped_at;
    if (node->lead == NULL && node->now >= e->tell_at) {
        e->tell_at = node->now + e->pause_s;
        e->pause_s = MIN(2 * e->pause_s, TELL_MOST_S);
        tell(node, OW_PEER_CANCELLATION, job, job->cancel_token);
    }
    return false;
}

void ow_confirm_tick(struct ow_confirm *c)
{
    GHashTableIter iter;
    void *entry;
    g_hash_table_iter_init(&iter, c->entries);
    while (g_hash_table_iter_next(&iter, NULL, &entry))
        if (step(c->node, entry))
            g_hash_table_iter_remove(&iter);
}
