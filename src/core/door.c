#include "core/door.h"

#include "core/confirm.h"
#include "core/election.h"
#include "core/node.h"
#include "core/records.h"
#include "core/replica.h"
#include "wire/records_json.h"

#include <string.h>

enum { RETRY_S = 1 };

/* One request of a user that waits for the state service. */
struct visit {
    uint64_t request;
    char id[OW_ID_MAX + 1];
    const char *never; /* why the job can never run, if that is so */
    int never_status;
};

static struct visit *visit_new(uint64_t request, const char *id)
{
    struct visit *v = g_new0(struct visit, 1);
    v->request = request;
    g_strlcpy(v->id, id, sizeof v->id);
    return v;
}

static void refuse_busy(struct ow_node *node, uint64_t request, const char *text)
{
    ow_node_refuse(node, request, 503, text, RETRY_S);
}

void ow_door_answer_job(struct ow_node *node, uint64_t request, int status, const struct ow_job *job)
{
    struct ow_effect *e = ow_effect_new(OW_EFFECT_JOB, request);
    e->status = status;
    g_strlcpy(e->id, job->id, sizeof e->id);
    bool over = ow_job_over(job);
    e->stance = !over && job->running > 0 ? OW_ACTIVE : job->stance;
    e->done = over ? OW_UNCOUNTED : job->done;
    e->running = over ? OW_UNCOUNTED : job->running;
    e->text = g_strdup(job->reason);
    ow_node_emit(node, e);
}

/* Every way a user can learn of a job leads through here: a cancellation is told by nobody before a
   coordinator has taken it in. */
static void answer_job(struct ow_node *node, uint64_t request, int status, const struct ow_job *job)
{
    if (job->stance == OW_CANCELLED && !job->confirmed)
        ow_confirm_wait(node->confirm, request, status, job);
    else
        ow_door_answer_job(node, request, status, job);
}

static char *job_key(const char *id)
{
    return g_strconcat(OW_KEY_JOBS, id, NULL);
}

/* ---- polls, and submissions of known jobs ---- */

/* The job that a visit asks for, after a read for it; if there is none, the visit is answered. */
static const struct ow_job *job_or_refusal(struct ow_node *node, const struct visit *v, bool ok)
{
    const struct ow_job *job = ow_jobs_find(node->jobs, v->id);
    if (!ok)
        refuse_busy(node, v->request, "the state service does not answer");
    else if (job == NULL)
        ow_node_refuse(node, v->request, 404, "no such job", 0);
    return ok ? job : NULL;
}

static void answer_fresh(struct ow_node *node, void *data, bool ok)
{
    const struct visit *v = data;
    const struct ow_job *job = job_or_refusal(node, v, ok);
    if (job != NULL)
        answer_job(node, v->request, 200, job);
}

void ow_door_poll(struct ow_node *node, uint64_t request, const char *id)
{
    const struct ow_job *job = ow_jobs_find(node->jobs, id);
    /* What is over stays over. Anything else, 404 too, may have been overtaken at another node,
       and is answered only from a read that began after the request came. */
    if (job != NULL && ow_job_over(job))
        answer_job(node, request, 200, job);
    else
        ow_replica_refresh(node->replica, answer_fresh, visit_new(request, id));
}

/* ---- teams ---- */

static void add_job_to_team(struct ow_team_view *view, const struct ow_job *job)
{
    const struct ow_submission *s = job->spec->submission;
    if (ow_job_over(job) || strcmp(s->team, view->name) != 0)
        return;
    int running = MAX(job->running, 0), waiting = MAX((int)s->tasks - MAX(job->done, 0) - running, 0);
    view->jobs++;
    view->waiting_jobs += waiting > 0 ? 1 : 0;
    ow_amounts_add(&view->running, &s->need, running);
    ow_amounts_add(&view->waiting, &s->need, waiting);
}

void ow_door_teams(struct ow_node *node, uint64_t request)
{
    struct ow_effect *e = ow_effect_new(OW_EFFECT_TEAMS, request);
    const GPtrArray *open = ow_jobs_open(node->jobs);
    e->status = 200;
    e->teams = g_array_new(FALSE, TRUE, sizeof(struct ow_team_view));
    for (guint i = 0; i < node->settings->teams->len; i++) {
        struct ow_team_view view = {
            .name = g_array_index(node->settings->teams, struct ow_team_settings, i).name};
        for (guint k = 0; k < open->len; k++)
            add_job_to_team(&view, g_ptr_array_index(open, k));
        g_array_append_val(e->teams, view);
    }
    ow_node_emit(node, e);
}

/* ---- submissions ---- */

static bool fits(const struct ow_amounts *need, const struct ow_amounts *size)
{
    return need->cpus <= size->cpus && need->gpus <= size->gpus && need->memory_gb <= size->memory_gb;
}

static bool type_allowed(const struct ow_submission *s, const struct ow_machine_type *type)
{
    if (s->types != NULL && !g_strv_contains((const char *const *)s->types, type->name))
        return false;
    if (s->zone != NULL && type->zones != NULL && !g_strv_contains((const char *const *)type->zones, s->zone))
        return false;
    return fits(&s->need, &type->size);
}

static bool fits_some_type(const struct ow_node *node, const struct ow_submission *s)
{
    for (int i = 0; i < OW_MAX_TYPES; i++)
        if (node->types[i] != NULL && type_allowed(s, node->types[i]))
            return true;
    return false;
}

/* A gang or service whose tasks must stand in several zones, and may not. */
static bool torn_apart(const struct ow_submission *s)
{
    return s->kind != OW_KIND_ARRAY && s->spread && s->tasks > 1 && (s->one_zone || s->zone != NULL);
}

/* NULL when the job can run some day; else why it never can. */
static const char *never_runs(const struct ow_node *node, const struct ow_submission *s)
{
    const struct ow_team_settings *team = NULL;
    for (guint i = 0; i < node->settings->teams->len && team == NULL; i++) {
        const struct ow_team_settings *t = &g_array_index(node->settings->teams, struct ow_team_settings, i);
        team = strcmp(t->name, s->team) == 0 ? t : NULL;
    }
    if (team == NULL)
        return "unknown team";
    if (!fits_some_type(node, s))
        return "a task fits no allowed machine type";
    if (torn_apart(s))
        return "its tasks must be in several zones, and in one";
    double at_once = s->gang || s->kind == OW_KIND_SERVICE ? s->tasks : 1;
    if ((team->cpus_max > 0 && s->need.cpus * at_once > team->cpus_max) ||
        (team->gpus_max > 0 && s->need.gpus * at_once > team->gpus_max))
        return "over the team's limit";
    return NULL;
}

/* What can't run now, or can't be read, may have been accepted by another node before: such a repeat is no
   422 or 400. */
static void refuse_if_new(struct ow_node *node, void *data, bool ok)
{
    const struct visit *v = data;
    if (ok && ow_jobs_find(node->jobs, v->id) == NULL)
        ow_node_refuse(node, v->request, v->never_status, v->never, 0);
    else
        answer_fresh(node, data, ok);
}

static void refuse_unless_known(struct ow_node *node, uint64_t request, const char *id, int status,
                                const char *why)
{
    struct visit *v = visit_new(request, id);
    v->never = why;
    v->never_status = status;
    ow_replica_refresh(node->replica, refuse_if_new, v);
}

struct submit_call {
    struct ow_submission *submission;
    uint64_t request;
    size_t record_bytes;
};

static void submit_call_free(void *data)
{
    struct submit_call *call = data;
    ow_submission_free(call->submission);
    g_free(call);
}

static void accept_job(struct ow_node *node, uint64_t request, uint64_t revision, struct ow_submission *s)
{
    char id[OW_ID_MAX + 1];
    g_strlcpy(id, s->id, sizeof id);
    g_info("job %s accepted: class %s, team %s, %u tasks", id, s->class_name, s->team, s->tasks);
    ow_jobs_apply(node->jobs, id, revision, OW_QUEUED, s, node->now, 0);
    answer_job(node, request, 201, ow_jobs_find(node->jobs, id));
    ow_node_nudge(node, revision);
}

static const char TOO_LARGE[] = "its description is too large to be recorded";

/* A value that is refused on its own is refused for ever: its user is told so instead of being asked to come
   again, unless an earlier try was carried out after all. */
static void refuse_too_large(struct ow_node *node, const struct submit_call *call)
{
    ow_limits_refused(&node->limits, 1, call->record_bytes);
    refuse_unless_known(node, call->request, call->submission->id, 422, TOO_LARGE);
}

static void on_submit_reply(void *owner, void *data, const struct ow_command *answer)
{
    struct ow_node *node = owner;
    struct submit_call *call = data;
    if (answer->store.status == 200)
        accept_job(node, call->request, answer->store.revision, g_steal_pointer(&call->submission));
    else if (answer->store.status == 409) /* another node was first */
        ow_replica_refresh(node->replica, answer_fresh, visit_new(call->request, call->submission->id));
    else if (answer->store.status == 400)
        refuse_too_large(node, call);
    else
        refuse_busy(node, call->request, "the state service does not answer");
}

void ow_door_malformed(struct ow_node *node, uint64_t request, const char *id, const char *fault)
{
    if (ow_jobs_find(node->jobs, id) != NULL)
        ow_door_poll(node, request, id);
    else
        refuse_unless_known(node, request, id, 400, fault);
}

/* NULL and an answer if the record doesn't fit a value of the state service. */
static char *record_that_fits(struct ow_node *node, uint64_t request, const struct ow_job_record *record)
{
    char *text = wire_job_record(record);
    if (strlen(text) < node->limits.refused_bytes)
        return text;
    g_free(text);
    ow_node_refuse(node, request, 422, TOO_LARGE, 0);
    return NULL;
}

static void create_job(struct ow_node *node, uint64_t request, struct ow_submission *s)
{
    struct ow_job_record record = {.stance = OW_QUEUED, .accepted_at = node->time_of_day, .submission = s};
    char *text = record_that_fits(node, request, &record);
    if (text == NULL) {
        ow_submission_free(s);
        return;
    }
    struct submit_call *call = g_new0(struct submit_call, 1);
    struct ow_store_request *txn = ow_store_request_new(OW_STORE_TXN, NULL);
    char *key = job_key(s->id);
    ow_store_expect(txn, key, 0);
    ow_store_write(txn, key, text, 0);
    g_free(key);
    call->submission = s;
    call->request = request;
    call->record_bytes = ow_store_largest_value(txn);
    ow_node_store(node, txn, on_submit_reply, node, call, submit_call_free);
}

void ow_door_submit(struct ow_node *node, uint64_t request, struct ow_submission *s)
{
    const char *never = NULL;
    if (ow_jobs_find(node->jobs, s->id) != NULL) {
        /* A repeat is known by its id alone and never refused, whatever it says now. */
        ow_door_poll(node, request, s->id);
    } else if (!ow_replica_loaded(node->replica) || !node->types_known) {
        refuse_busy(node, request, "still starting");
    } else if ((never = never_runs(node, s)) != NULL) {
        refuse_unless_known(node, request, s->id, 422, never);
    } else {
        create_job(node, request, s);
        return;
    }
    ow_submission_free(s);
}

/* ---- withdrawals ---- */

static void withdraw_known(struct ow_node *node, uint64_t request, const struct ow_job *job);

static void withdraw_fresh(struct ow_node *node, void *data, bool ok)
{
    const struct visit *v = data;
    const struct ow_job *job = job_or_refusal(node, v, ok);
    if (job != NULL)
        withdraw_known(node, v->request, job);
}

/* A withdrawal whose record is on its way. */
struct withdraw_call {
    struct visit visit;
    uint64_t coordinator; /* as the record names it */
    size_t record_bytes;
};

static bool failed_on(const struct ow_store_reply *reply, const char *key)
{
    return reply->failed != NULL && g_strv_contains((const char *const *)reply->failed, key);
}

static void on_withdrawn(void *owner, void *data, const struct ow_command *answer)
{
    struct ow_node *node = owner;
    const struct withdraw_call *call = data;
    const struct visit *v = &call->visit;
    if (answer->store.status == 200) {
        g_info("job %s withdrawn by its user", v->id);
        answer_job(node, v->request, 200,
                   ow_jobs_cancel(node->jobs, v->id, answer->store.revision, call->coordinator));
    } else if (answer->store.status == 409 && failed_on(&answer->store, OW_KEY_COORDINATOR)) {
        /* Another one may have read the records already, without this one. */
        ow_election_stale(node->election);
        refuse_busy(node, v->request, "the coordinator has just changed");
    } else if (answer->store.status == 409) {
        /* It was over before: the fresh record says how. */
        ow_replica_refresh(node->replica, withdraw_fresh, visit_new(v->request, v->id));
    } else if (answer->store.status == 400) {
        /* Limits fell since the job was accepted: the next try leaves out what is not needed. */
        ow_limits_refused(&node->limits, 1, call->record_bytes);
        refuse_busy(node, v->request, "the state service takes no record of this size");
    } else {
        refuse_busy(node, v->request, "the state service does not answer");
    }
}

/* The record expects the coordinator that it names: so it comes before any later take-over, whose reading
   then includes it. */
static void withdraw_known(struct ow_node *node, uint64_t request, const struct ow_job *job)
{
    uint64_t coordinator = ow_election_key(node->election);
    if (ow_job_over(job)) {
        answer_job(node, request, 200, job);
        return;
    }
    if (coordinator == 0) {
        refuse_busy(node, request, "nobody coordinates yet");
        return;
    }
    struct ow_job_record record = {.stance = OW_CANCELLED,
                                   .accepted_at = node->time_of_day - (node->now - job->came_at),
                                   .coordinator = coordinator,
                                   .submission = job->spec->submission};
    char *text = wire_job_record(&record);
    if (strlen(text) >= node->limits.refused_bytes) {
        /* Accepted when values were larger. Nothing of it will start, so its types don't matter any more. */
        struct ow_submission short_form = *record.submission;
        short_form.types = NULL;
        record.submission = &short_form;
        g_free(text);
        text = wire_job_record(&record);
    }
    struct ow_store_request *txn = ow_store_request_new(OW_STORE_TXN, NULL);
    struct withdraw_call *call = g_new0(struct withdraw_call, 1);
    char *key = job_key(job->id);
    call->visit.request = request;
    g_strlcpy(call->visit.id, job->id, sizeof call->visit.id);
    call->coordinator = coordinator;
    ow_store_expect(txn, OW_KEY_COORDINATOR, coordinator);
    ow_store_expect(txn, key, job->version);
    ow_store_write(txn, key, text, 0);
    g_free(key);
    call->record_bytes = ow_store_largest_value(txn);
    ow_node_store(node, txn, on_withdrawn, node, call, g_free);
}

void ow_door_withdraw(struct ow_node *node, uint64_t request, const char *id)
{
    const struct ow_job *job = ow_jobs_find(node->jobs, id);
    if (job != NULL)
        withdraw_known(node, request, job);
    else
        ow_replica_refresh(node->replica, withdraw_fresh, visit_new(request, id));
}
