#include "sharding/request_router.h"

#include "model/effect.h"
#include "model/event.h"
#include "model/http_status.h"
#include "model/submission.h"
#include "sharding/shard_map.h"
#include "sharding/shard_question.h"

#include <string.h>

/* Questions to all shards have numbers of their own, which no request of a user has. */
static const uint64_t QUESTION_BIT = 1ULL << 63;
/* Users don't wait longer for an answer. */
static const double FORGET_S = 20;

/* A submission that a shard decides on. */
struct submission {
    char id[OW_ID_MAX + 1];
    double sent_at;
};

struct ow_request_router {
    const struct ow_sharding_settings *sharding;
    const GPtrArray *shards;
    GHashTable *questions;   /* number -> struct ow_shard_question */
    GHashTable *submissions; /* request -> struct submission */
    uint64_t last_question;
};

struct ow_request_router *ow_request_router_new(const struct ow_sharding_settings *sharding,
                                                const GPtrArray *shards)
{
    struct ow_request_router *router = g_new0(struct ow_request_router, 1);
    router->sharding = sharding;
    router->shards = shards;
    router->questions = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, ow_shard_question_free);
    router->submissions = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
    return router;
}

void ow_request_router_free(struct ow_request_router *router)
{
    g_hash_table_destroy(router->questions);
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

/* The shard that knows the job, or NULL. */
static struct ow_shard *find_job(const struct ow_request_router *router, const char *id)
{
    for (guint i = 0; i < router->shards->len; i++)
        if (ow_core_knows_job(shard_at(router, i)->core, id))
            return shard_at(router, i);
    return NULL;
}

/* ---- questions to all shards ---- */

static struct ow_event *new_event(enum ow_event_kind kind, uint64_t request, const char *id)
{
    struct ow_event *event = ow_event_new(kind, request);
    g_strlcpy(event->id, id, sizeof event->id);
    return event;
}

static struct ow_shard_question *ask_all(struct ow_request_router *router, enum ow_question_purpose purpose,
                                         uint64_t request, const char *id, double now)
{
    struct ow_shard_question *question = g_new0(struct ow_shard_question, 1);
    uint64_t number = QUESTION_BIT | ++router->last_question;
    question->purpose = purpose;
    question->request = request;
    question->missing = router->shards->len;
    question->asked_at = now;
    g_strlcpy(question->id, id, sizeof question->id);
    g_hash_table_insert(router->questions, new_key(number), question);
    enum ow_event_kind kind = purpose == OW_QUESTION_TEAMS ? OW_EVENT_TEAMS : OW_EVENT_POLL;
    for (guint i = 0; i < router->shards->len; i++)
        ow_shard_push(shard_at(router, i), new_event(kind, number, id));
    return question;
}

/* All have answered. */
static void conclude(struct ow_request_router *router, struct ow_shard_question *question, GPtrArray *out)
{
    struct ow_shard *owner = question->purpose == OW_QUESTION_CANCEL ? find_job(router, question->id) : NULL;
    if (owner != NULL) {
        ow_shard_push(owner, new_event(OW_EVENT_CANCEL, question->request, question->id));
        return;
    }
    g_ptr_array_add(out, ow_shard_question_result(question));
}

/* ---- submissions ---- */

static bool may_take(const struct ow_request_router *router, char **route, guint index)
{
    return route == NULL || g_strv_contains((const char *const *)route, shard_at(router, index)->name);
}

/* The shard for a new job: of those that the route allows and that can run it, the one with the least waiting
   work. Where none can, the first that the route allows: it tells why. */
static struct ow_shard *choose_shard(const struct ow_request_router *router,
                                     const struct ow_submission *submission)
{
    char **route = ow_shard_map_route(router->sharding, submission);
    struct ow_shard *best = NULL;
    struct ow_shard *first = NULL;
    double least = 0;
    for (guint i = 0; i < router->shards->len; i++) {
        struct ow_shard *shard = shard_at(router, i);
        if (!may_take(router, route, i))
            continue;
        first = first != NULL ? first : shard;
        if (ow_core_infeasible_reason(shard->core, submission) != NULL)
            continue;
        double waiting = ow_core_waiting_cpus(shard->core);
        if (best != NULL && waiting >= least)
            continue;
        best = shard;
        least = waiting;
    }
    return best != NULL ? best : first;
}

static void route_submission(struct ow_request_router *router, struct ow_event *event, double now)
{
    const char *id = event->submission != NULL ? event->submission->id : event->id;
    struct ow_shard *shard = find_job(router, id);
    if (shard == NULL) {
        struct submission *waiting = g_new0(struct submission, 1);
        g_strlcpy(waiting->id, id, sizeof waiting->id);
        waiting->sent_at = now;
        g_hash_table_insert(router->submissions, new_key(event->request), waiting);
        shard = event->submission != NULL ? choose_shard(router, event->submission) : shard_at(router, 0);
    }
    ow_shard_push(shard, event);
}

void ow_request_router_push(struct ow_request_router *router, struct ow_event *event, double now)
{
    if (event->kind == OW_EVENT_SUBMIT) {
        route_submission(router, event, now);
        return;
    }
    struct ow_shard *owner = event->kind == OW_EVENT_TEAMS ? NULL : find_job(router, event->id);
    if (owner != NULL) {
        ow_shard_push(owner, event);
        return;
    }
    enum ow_question_purpose purpose = OW_QUESTION_POLL;
    if (event->kind == OW_EVENT_CANCEL)
        purpose = OW_QUESTION_CANCEL;
    else if (event->kind == OW_EVENT_TEAMS)
        purpose = OW_QUESTION_TEAMS;
    ask_all(router, purpose, event->request, event->id, now);
    ow_event_free(event);
}

/* ---- answers ---- */

/* Whether the shard's answer to a submission says that it does not have the job: then another one may. */
static bool may_be_elsewhere(const struct ow_effect *effect)
{
    return effect->kind == OW_EFFECT_REFUSE &&
           (effect->status == OW_HTTP_STATUS_BAD_REQUEST || effect->status == OW_HTTP_STATUS_NOT_FOUND ||
            effect->status == OW_HTTP_STATUS_UNPROCESSABLE);
}

static bool forward_submission(struct ow_request_router *router, struct ow_effect *effect, double now)
{
    const struct submission *waiting = g_hash_table_lookup(router->submissions, &effect->request);
    if (waiting == NULL)
        return true;
    if (!may_be_elsewhere(effect)) {
        g_hash_table_remove(router->submissions, &effect->request);
        return true;
    }
    struct ow_shard_question *question =
        ask_all(router, OW_QUESTION_SUBMIT, effect->request, waiting->id, now);
    question->refusal = effect;
    g_hash_table_remove(router->submissions, &effect->request);
    return false;
}

/* What a waiting job's user is told while its shard changes hands, or before the leader has got to the job.
 */
static void explain_waiting(const struct ow_shard *shard, struct ow_effect *effect)
{
    bool is_queued = effect->kind == OW_EFFECT_JOB && effect->state == OW_JOB_QUEUED;
    bool waits = is_queued || (effect->kind == OW_EFFECT_JOB && effect->reason != NULL);
    char *reason = waits ? ow_handover_reason(&shard->handover, shard->name) : NULL;
    if (reason == NULL && is_queued && effect->reason == NULL)
        reason = g_strdup_printf("is new to the controller of shard %s", shard->name);
    if (reason == NULL)
        return;
    g_free(effect->reason);
    effect->reason = reason;
}

bool ow_request_router_forward(struct ow_request_router *router, const struct ow_shard *shard,
                               struct ow_effect *effect, double now, GPtrArray *out)
{
    if (effect->kind != OW_EFFECT_JOB && effect->kind != OW_EFFECT_REFUSE && effect->kind != OW_EFFECT_TEAMS)
        return true;
    explain_waiting(shard, effect);
    if ((effect->request & QUESTION_BIT) == 0)
        return forward_submission(router, effect, now);
    uint64_t number = effect->request;
    struct ow_shard_question *question = g_hash_table_lookup(router->questions, &number);
    if (question == NULL) {
        ow_effect_free(effect);
        return false;
    }
    ow_shard_question_take(question, effect);
    if (--question->missing > 0)
        return false;
    conclude(router, question, out);
    g_hash_table_remove(router->questions, &number);
    return false;
}

static gboolean is_forgotten(gpointer key, gpointer value, gpointer data)
{
    const struct ow_shard_question *question = value;
    (void)key;
    return *(const double *)data - question->asked_at > FORGET_S;
}

static gboolean submission_is_forgotten(gpointer key, gpointer value, gpointer data)
{
    const struct submission *submission = value;
    (void)key;
    return *(const double *)data - submission->sent_at > FORGET_S;
}

void ow_request_router_sweep(struct ow_request_router *router, double now)
{
    g_hash_table_foreach_remove(router->questions, is_forgotten, &now);
    g_hash_table_foreach_remove(router->submissions, submission_is_forgotten, &now);
}
