#include "control/request_router.h"

#include "control/shard_map.h"

#include <string.h>

enum {
    STATUS_OK = 200,
    STATUS_CREATED = 201,
    STATUS_BAD_REQUEST = 400,
    STATUS_NOT_FOUND = 404,
    STATUS_UNPROCESSABLE = 422,
    STATUS_UNAVAILABLE = 503,
    RETRY_S = 1,
};
/* Questions to all shards have numbers of their own, which no request of a user has. */
static const uint64_t QUESTION_BIT = 1ULL << 63;
/* Users don't wait longer for an answer. */
static const double FORGET_S = 20;

/* What is done once all shards have been asked about a job. */
enum purpose {
    PURPOSE_POLL,   /* the user is told */
    PURPOSE_CANCEL, /* the shard that has the job gets the cancellation */
    PURPOSE_SUBMIT, /* a refused submission: unless a shard has the job, the refusal stands */
    PURPOSE_TEAMS,  /* the sums of all shards */
};

/* A question to all shards. */
struct question {
    enum purpose purpose;
    uint64_t request; /* the user's */
    char id[OW_ID_MAX + 1];
    unsigned missing;          /* answers still to come */
    struct ow_effect *answer;  /* the best so far, owned */
    struct ow_effect *refusal; /* of a submission, owned */
    double asked_at;
};

/* A submission that a shard decides on. */
struct submission {
    char id[OW_ID_MAX + 1];
    double sent_at;
};

struct ow_request_router {
    const struct ow_control_settings *control;
    const GPtrArray *shards;
    GHashTable *questions;   /* number -> struct question */
    GHashTable *submissions; /* request -> struct submission */
    uint64_t last_question;
};

static void question_free(void *item)
{
    struct question *question = item;
    if (question->answer != NULL)
        ow_effect_free(question->answer);
    if (question->refusal != NULL)
        ow_effect_free(question->refusal);
    g_free(question);
}

struct ow_request_router *ow_request_router_new(const struct ow_control_settings *control,
                                                const GPtrArray *shards)
{
    struct ow_request_router *router = g_new0(struct ow_request_router, 1);
    router->control = control;
    router->shards = shards;
    router->questions = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, question_free);
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
    struct ow_event *event = g_new0(struct ow_event, 1);
    event->kind = kind;
    event->request = request;
    g_strlcpy(event->id, id, sizeof event->id);
    return event;
}

static struct question *ask_all(struct ow_request_router *router, enum purpose purpose, uint64_t request,
                                const char *id, double now)
{
    struct question *question = g_new0(struct question, 1);
    uint64_t number = QUESTION_BIT | ++router->last_question;
    question->purpose = purpose;
    question->request = request;
    question->missing = router->shards->len;
    question->asked_at = now;
    g_strlcpy(question->id, id, sizeof question->id);
    g_hash_table_insert(router->questions, new_key(number), question);
    enum ow_event_kind kind = purpose == PURPOSE_TEAMS ? OW_EVENT_TEAMS : OW_EVENT_POLL;
    for (guint i = 0; i < router->shards->len; i++)
        ow_shard_push(shard_at(router, i), new_event(kind, number, id), now);
    return question;
}

/* How much an answer says: that a shard has the job; that it doesn't know; that it has not. */
static int weight(const struct ow_effect *answer)
{
    if (answer->kind == OW_EFFECT_JOB)
        return 2;
    return answer->status == STATUS_NOT_FOUND ? 0 : 1;
}

static void add_teams(GArray *sums, const GArray *teams)
{
    for (guint i = 0; i < sums->len && i < teams->len; i++) {
        struct ow_team_view *sum = &g_array_index(sums, struct ow_team_view, i);
        const struct ow_team_view *part = &g_array_index(teams, struct ow_team_view, i);
        ow_amounts_add(&sum->running, &part->running, 1);
        ow_amounts_add(&sum->waiting, &part->waiting, 1);
        sum->jobs += part->jobs;
        sum->waiting_jobs += part->waiting_jobs;
    }
}

/* Takes over `effect`. */
static void take_answer(struct question *question, struct ow_effect *effect)
{
    struct ow_effect *best = question->answer;
    bool is_better = best == NULL || (question->purpose != PURPOSE_TEAMS && weight(effect) > weight(best));
    if (best != NULL && question->purpose == PURPOSE_TEAMS)
        add_teams(best->teams, effect->teams);
    if (is_better)
        question->answer = effect;
    struct ow_effect *surplus = is_better ? best : effect;
    if (surplus != NULL)
        ow_effect_free(surplus);
}

static void refuse_for_now(struct ow_effect *effect, const char *text)
{
    effect->kind = OW_EFFECT_REFUSE;
    effect->status = STATUS_UNAVAILABLE;
    effect->retry_after_s = RETRY_S;
    g_free(effect->text);
    effect->text = g_strdup(text);
}

/* A refusal of a submission stands only when every shard has said that it does not have the job. */
static struct ow_effect *judge_refusal(struct question *question)
{
    struct ow_effect *answer = g_steal_pointer(&question->answer);
    if (weight(answer) > 0)
        return answer;
    ow_effect_free(answer);
    struct ow_effect *refusal = g_steal_pointer(&question->refusal);
    /* The shard was told that another one has the job, which has ended in the meantime or is not read yet. */
    if (refusal->status == STATUS_NOT_FOUND)
        refuse_for_now(refusal, "another shard has accepted this job");
    return refusal;
}

/* All have answered. */
static void conclude(struct ow_request_router *router, struct question *question, double now, GPtrArray *out)
{
    struct ow_shard *owner = question->purpose == PURPOSE_CANCEL ? find_job(router, question->id) : NULL;
    if (owner != NULL) {
        ow_shard_push(owner, new_event(OW_EVENT_CANCEL, question->request, question->id), now);
        return;
    }
    struct ow_effect *answer =
        question->purpose == PURPOSE_SUBMIT ? judge_refusal(question) : g_steal_pointer(&question->answer);
    answer->request = question->request;
    g_ptr_array_add(out, answer);
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
    char **route = ow_shard_map_route(router->control, submission);
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
    ow_shard_push(shard, event, now);
}

void ow_request_router_push(struct ow_request_router *router, struct ow_event *event, double now)
{
    if (event->kind == OW_EVENT_SUBMIT) {
        route_submission(router, event, now);
        return;
    }
    struct ow_shard *owner = event->kind == OW_EVENT_TEAMS ? NULL : find_job(router, event->id);
    if (owner != NULL) {
        ow_shard_push(owner, event, now);
        return;
    }
    enum purpose purpose = PURPOSE_POLL;
    if (event->kind == OW_EVENT_CANCEL)
        purpose = PURPOSE_CANCEL;
    else if (event->kind == OW_EVENT_TEAMS)
        purpose = PURPOSE_TEAMS;
    ask_all(router, purpose, event->request, event->id, now);
    ow_event_free(event);
}

/* ---- answers ---- */

/* Whether the shard's answer to a submission says that it does not have the job: then another one may. */
static bool may_be_elsewhere(const struct ow_effect *effect)
{
    return effect->kind == OW_EFFECT_REFUSE &&
           (effect->status == STATUS_BAD_REQUEST || effect->status == STATUS_NOT_FOUND ||
            effect->status == STATUS_UNPROCESSABLE);
}

static bool pass_submission(struct ow_request_router *router, struct ow_effect *effect, double now)
{
    const struct submission *waiting = g_hash_table_lookup(router->submissions, &effect->request);
    if (waiting == NULL)
        return true;
    if (!may_be_elsewhere(effect)) {
        g_hash_table_remove(router->submissions, &effect->request);
        return true;
    }
    struct question *question = ask_all(router, PURPOSE_SUBMIT, effect->request, waiting->id, now);
    question->refusal = effect;
    g_hash_table_remove(router->submissions, &effect->request);
    return false;
}

/* What a waiting job's user is told while its shard changes hands, or before the leader has got to the job.
 */
static void explain_waiting(const struct ow_shard *shard, struct ow_effect *effect)
{
    bool is_queued = effect->kind == OW_EFFECT_JOB && effect->state == OW_JOB_QUEUED;
    bool waits = is_queued || (effect->kind == OW_EFFECT_JOB && effect->text != NULL);
    char *reason = waits ? ow_handover_reason(&shard->handover, shard->name) : NULL;
    if (reason == NULL && is_queued && effect->text == NULL)
        reason = g_strdup_printf("is new to the controller of shard %s", shard->name);
    if (reason == NULL)
        return;
    g_free(effect->text);
    effect->text = reason;
}

bool ow_request_router_pass(struct ow_request_router *router, const struct ow_shard *shard,
                            struct ow_effect *effect, double now, GPtrArray *out)
{
    if (effect->kind != OW_EFFECT_JOB && effect->kind != OW_EFFECT_REFUSE && effect->kind != OW_EFFECT_TEAMS)
        return true;
    explain_waiting(shard, effect);
    if ((effect->request & QUESTION_BIT) == 0)
        return pass_submission(router, effect, now);
    uint64_t number = effect->request;
    struct question *question = g_hash_table_lookup(router->questions, &number);
    if (question == NULL) {
        ow_effect_free(effect);
        return false;
    }
    take_answer(question, effect);
    if (--question->missing > 0)
        return false;
    conclude(router, question, now, out);
    g_hash_table_remove(router->questions, &number);
    return false;
}

static gboolean is_forgotten(gpointer key, gpointer value, gpointer data)
{
    const struct question *question = value;
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
