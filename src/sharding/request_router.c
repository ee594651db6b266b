#include "sharding/request_router.h"

#include "model/http_status.h"
#include "model/submission.h"
#include "sharding/shard_map.h"
#include "sharding/shard_query.h"

/* Marks the request numbers of queries to all shards; requests of users never have this bit. */
static const uint64_t QUERY_BIT = 1ULL << 63;
/* Pending queries and submissions are dropped after this time: no request of a user lasts longer. */
static const double ANSWER_TIMEOUT_S = 20;

/* A submission that its shard has not answered yet. */
struct pending_submission {
    char id[OW_ID_MAX + 1];
    double sent_at; /* seconds of the monotonic clock */
};

struct ow_request_router {
    const struct ow_sharding_settings *sharding;
    const GPtrArray *shards;
    GHashTable *queries;     /* request number -> struct ow_shard_query */
    GHashTable *submissions; /* request number -> struct pending_submission */
    uint64_t last_query;     /* number of the last query, without QUERY_BIT; 0: none yet */
};

/* ---- creation and destruction ---- */

struct ow_request_router *ow_request_router_new(const struct ow_sharding_settings *sharding,
                                                const GPtrArray *shards)
{
    struct ow_request_router *router = g_new0(struct ow_request_router, 1);
    router->sharding = sharding;
    router->shards = shards;
    router->queries = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, ow_shard_query_free);
    router->submissions = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
    return router;
}

void ow_request_router_free(struct ow_request_router *router)
{
    g_hash_table_destroy(router->queries);
    g_hash_table_destroy(router->submissions);
    g_free(router);
}

static uint64_t *new_key(uint64_t number)
{
    uint64_t *key = g_new(uint64_t, 1);
    *key = number;
    return key;
}

static struct ow_shard *shard_at(const struct ow_request_router *router, guint index)
{
    return g_ptr_array_index(router->shards, index);
}

/* The shard whose job table has the job, or NULL. */
static struct ow_shard *find_shard_of_job(const struct ow_request_router *router, const char *id)
{
    for (guint i = 0; i < router->shards->len; i++)
        if (ow_core_knows_job(shard_at(router, i)->core, id))
            return shard_at(router, i);
    return NULL;
}

/* ---- queries to all shards ---- */

static struct ow_event *new_event(enum ow_event_kind kind, uint64_t request, const char *id)
{
    struct ow_event *event = ow_event_new(kind, request);
    g_strlcpy(event->id, id, sizeof event->id);
    return event;
}

static struct ow_shard_query *query_all_shards(struct ow_request_router *router,
                                               enum ow_shard_query_kind kind, uint64_t request,
                                               const char *id, double now)
{
    uint64_t number = QUERY_BIT | ++router->last_query;
    struct ow_shard_query *query = g_new0(struct ow_shard_query, 1);
    query->kind = kind;
    query->request = request;
    query->pending_answers = router->shards->len;
    query->asked_at = now;
    g_strlcpy(query->id, id, sizeof query->id);
    g_hash_table_insert(router->queries, new_key(number), query);
    enum ow_event_kind event_kind = kind == OW_SHARD_QUERY_TEAMS ? OW_EVENT_TEAMS : OW_EVENT_POLL;
    for (guint i = 0; i < router->shards->len; i++)
        ow_shard_push(shard_at(router, i), new_event(event_kind, number, id));
    return query;
}

/* Completes a query that all shards have answered. A cancellation is passed to the shard that has the job, if
   a shard has read the job in the meantime. */
static void conclude_query(struct ow_request_router *router, struct ow_shard_query *query, GPtrArray *out)
{
    struct ow_shard *owner =
        query->kind == OW_SHARD_QUERY_CANCEL ? find_shard_of_job(router, query->id) : NULL;
    if (owner != NULL)
        ow_shard_push(owner, new_event(OW_EVENT_CANCEL, query->request, query->id));
    else
        g_ptr_array_add(out, ow_shard_query_take_result(query));
}

/* ---- submissions ---- */

/* Whether the route, the names of the allowed shards, includes the shard; a NULL route includes all. */
static bool is_allowed(char **route, const struct ow_shard *shard)
{
    return route == NULL || g_strv_contains((const char *const *)route, shard->name);
}

/* Chooses the shard for a new job: of those that the route allows and that can run it, the one with the
   fewest waiting CPUs. If none can run it, the first that the route allows, whose refusal states the reason.
 */
static struct ow_shard *choose_shard(const struct ow_request_router *router,
                                     const struct ow_submission *submission)
{
    char **route = ow_shard_map_find_route(router->sharding, submission);
    struct ow_shard *best = NULL;
    struct ow_shard *first_allowed = NULL;
    double least_waiting_cpus = 0;
    for (guint i = 0; i < router->shards->len; i++) {
        struct ow_shard *shard = shard_at(router, i);
        if (!is_allowed(route, shard))
            continue;
        first_allowed = first_allowed != NULL ? first_allowed : shard;
        if (ow_core_infeasible_reason(shard->core, submission) != NULL)
            continue;
        double waiting_cpus = ow_core_waiting_cpus(shard->core);
        if (best != NULL && waiting_cpus >= least_waiting_cpus)
            continue;
        best = shard;
        least_waiting_cpus = waiting_cpus;
    }
    return best != NULL ? best : first_allowed;
}

static void note_submission(struct ow_request_router *router, uint64_t request, const char *id, double now)
{
    struct pending_submission *submission = g_new0(struct pending_submission, 1);
    g_strlcpy(submission->id, id, sizeof submission->id);
    submission->sent_at = now;
    g_hash_table_insert(router->submissions, new_key(request), submission);
}

static void route_submission(struct ow_request_router *router, struct ow_event *event, double now)
{
    const struct ow_submission *submission = event->submission; /* NULL: malformed, any shard refuses it */
    const char *id = submission != NULL ? submission->id : event->id;
    struct ow_shard *shard = find_shard_of_job(router, id);
    if (shard == NULL) {
        note_submission(router, event->request, id, now);
        shard = submission != NULL ? choose_shard(router, submission) : shard_at(router, 0);
    }
    ow_shard_push(shard, event);
}

/* ---- requests ---- */

static enum ow_shard_query_kind query_kind_of(enum ow_event_kind kind)
{
    if (kind == OW_EVENT_CANCEL)
        return OW_SHARD_QUERY_CANCEL;
    return kind == OW_EVENT_TEAMS ? OW_SHARD_QUERY_TEAMS : OW_SHARD_QUERY_POLL;
}

void ow_request_router_push(struct ow_request_router *router, struct ow_event *event, double now)
{
    if (event->kind == OW_EVENT_SUBMIT) {
        route_submission(router, event, now);
        return;
    }
    struct ow_shard *owner = event->kind == OW_EVENT_TEAMS ? NULL : find_shard_of_job(router, event->id);
    if (owner != NULL) {
        ow_shard_push(owner, event);
        return;
    }
    query_all_shards(router, query_kind_of(event->kind), event->request, event->id, now);
    ow_event_free(event);
}

/* ---- answers ---- */

/* Whether the answer to a submission implies that the shard does not have the job, so that another shard may
   have it. */
static bool may_be_elsewhere(const struct ow_effect *answer)
{
    return answer->kind == OW_EFFECT_REFUSE &&
           (answer->status == OW_HTTP_STATUS_BAD_REQUEST || answer->status == OW_HTTP_STATUS_NOT_FOUND ||
            answer->status == OW_HTTP_STATUS_UNPROCESSABLE);
}

/* Handles an answer to a request that is not a query to all shards. Returns whether the answer may be passed
   on. If not, it is the refusal of a submission whose job another shard may have: the router keeps it and
   queries all shards. */
static bool forward_submission(struct ow_request_router *router, struct ow_effect *answer, double now)
{
    const struct pending_submission *submission = g_hash_table_lookup(router->submissions, &answer->request);
    if (submission == NULL)
        return true;
    bool is_final = !may_be_elsewhere(answer);
    if (!is_final) {
        struct ow_shard_query *query =
            query_all_shards(router, OW_SHARD_QUERY_SUBMIT, answer->request, submission->id, now);
        query->refusal = answer;
    }
    g_hash_table_remove(router->submissions, &answer->request);
    return is_final;
}

/* Adds a shard's answer to its query, and appends the combined answer to `out` once all shards have answered.
   An answer that arrives after the query has timed out is dropped. */
static void forward_query_answer(struct ow_request_router *router, struct ow_effect *answer, GPtrArray *out)
{
    uint64_t number = answer->request;
    struct ow_shard_query *query = g_hash_table_lookup(router->queries, &number);
    if (query == NULL) {
        ow_effect_free(answer);
        return;
    }
    ow_shard_query_add_answer(query, answer);
    if (--query->pending_answers > 0)
        return;
    conclude_query(router, query, out);
    g_hash_table_remove(router->queries, &number);
}

/* Adds the reason why a job waits during a failover of its shard, or before the shard's leader has scheduled
   it. */
static void explain_waiting(const struct ow_shard *shard, struct ow_effect *answer)
{
    if (answer->kind != OW_EFFECT_JOB)
        return;
    bool is_queued = answer->state == OW_JOB_QUEUED;
    char *reason = NULL;
    if (is_queued || answer->reason != NULL)
        reason = ow_failover_log_waiting_reason(&shard->failovers, shard->name);
    if (reason == NULL && is_queued && answer->reason == NULL)
        reason = g_strdup_printf("is new to the controller of shard %s", shard->name);
    if (reason == NULL)
        return;
    g_free(answer->reason);
    answer->reason = reason;
}

static bool is_answer_to_user(const struct ow_effect *effect)
{
    return effect->kind == OW_EFFECT_JOB || effect->kind == OW_EFFECT_REFUSE ||
           effect->kind == OW_EFFECT_TEAMS;
}

bool ow_request_router_forward(struct ow_request_router *router, const struct ow_shard *shard,
                               struct ow_effect *effect, double now, GPtrArray *out)
{
    if (!is_answer_to_user(effect))
        return true;
    explain_waiting(shard, effect);
    if ((effect->request & QUERY_BIT) == 0)
        return forward_submission(router, effect, now);
    forward_query_answer(router, effect, out);
    return false;
}

/* ---- timeouts ---- */

static gboolean is_query_timed_out(gpointer key, gpointer value, gpointer now)
{
    const struct ow_shard_query *query = value;
    (void)key;
    return *(const double *)now - query->asked_at > ANSWER_TIMEOUT_S;
}

static gboolean is_submission_timed_out(gpointer key, gpointer value, gpointer now)
{
    const struct pending_submission *submission = value;
    (void)key;
    return *(const double *)now - submission->sent_at > ANSWER_TIMEOUT_S;
}

void ow_request_router_sweep(struct ow_request_router *router, double now)
{
    g_hash_table_foreach_remove(router->queries, is_query_timed_out, &now);
    g_hash_table_foreach_remove(router->submissions, is_submission_timed_out, &now);
}
