#include "core/api/user_api.h"

#include "core/api/cancellation_ack.h"
#include "core/api/job_cache.h"
#include "core/controller.h"
#include "core/election/election.h"
#include "core/records/records.h"
#include "wire/records_json.h"

#include <string.h>

enum { RETRY_S = 1 };

/* One request of a user that waits for the state service. */
struct pending_request {
    uint64_t request;
    char id[OW_ID_MAX + 1];
    const char *never; /* why the job can never run, if that is so */
    int never_status;
};

static struct pending_request *pending_request_new(uint64_t request, const char *id)
{
    struct pending_request *v = g_new0(struct pending_request, 1);
    v->request = request;
    g_strlcpy(v->id, id, sizeof v->id);
    return v;
}

static void refuse_busy(struct ow_controller *controller, uint64_t request, const char *text)
{
    ow_controller_refuse(controller, request, 503, text, RETRY_S);
}

void ow_user_api_answer_job(struct ow_controller *controller, uint64_t request, int status,
                            const struct ow_job *job)
{
    struct ow_effect *e = ow_effect_new(OW_EFFECT_JOB, request);
    e->status = status;
    g_strlcpy(e->id, job->id, sizeof e->id);
    bool over = ow_job_over(job);
    e->state = !over && job->running > 0 ? OW_JOB_RUNNING : job->state;
    e->done = over ? OW_UNCOUNTED : job->done;
    e->running = over ? OW_UNCOUNTED : job->running;
    e->text = g_strdup(job->reason);
    ow_controller_emit(controller, e);
}

/* Every way a user can learn of a job leads through here: a cancellation is told by nobody before a
   leader has acknowledged it. */
static void answer_job(struct ow_controller *controller, uint64_t request, int status,
                       const struct ow_job *job)
{
    if (job->state == OW_JOB_CANCELLED && !job->cancellation_acked)
        ow_cancellation_ack_wait(controller->cancellation_ack, request, status, job);
    else
        ow_user_api_answer_job(controller, request, status, job);
}

static char *job_key(const char *id)
{
    return g_strconcat(OW_KEY_JOBS, id, NULL);
}

/* ---- polls, and submissions of known jobs ---- */

/* The job that a pending request asks for, after a read for it; if there is none, the request is answered. */
static const struct ow_job *job_or_refusal(struct ow_controller *controller, const struct pending_request *v,
                                           bool ok)
{
    const struct ow_job *job = ow_jobs_find(controller->jobs, v->id);
    if (!ok)
        refuse_busy(controller, v->request, "the state service does not answer");
    else if (job == NULL)
        ow_controller_refuse(controller, v->request, 404, "no such job", 0);
    return ok ? job : NULL;
}

static void answer_fresh(struct ow_controller *controller, void *data, bool ok)
{
    const struct pending_request *v = data;
    const struct ow_job *job = job_or_refusal(controller, v, ok);
    if (job != NULL)
        answer_job(controller, v->request, 200, job);
}

void ow_user_api_poll(struct ow_controller *controller, uint64_t request, const char *id)
{
    const struct ow_job *job = ow_jobs_find(controller->jobs, id);
    /* What is over stays over. Anything else, 404 too, may have been overtaken at another controller,
       and is answered only from a read that began after the request came. */
    if (job != NULL && ow_job_over(job))
        answer_job(controller, request, 200, job);
    else
        ow_job_cache_refresh(controller->job_cache, answer_fresh, pending_request_new(request, id));
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

void ow_user_api_teams(struct ow_controller *controller, uint64_t request)
{
    struct ow_effect *e = ow_effect_new(OW_EFFECT_TEAMS, request);
    const GPtrArray *open = ow_jobs_open(controller->jobs);
    e->status = 200;
    e->teams = g_array_new(FALSE, TRUE, sizeof(struct ow_team_view));
    for (guint i = 0; i < controller->settings->teams->len; i++) {
        struct ow_team_view view = {
            .name = g_array_index(controller->settings->teams, struct ow_team_settings, i).name};
        for (guint k = 0; k < open->len; k++)
            add_job_to_team(&view, g_ptr_array_index(open, k));
        g_array_append_val(e->teams, view);
    }
    ow_controller_emit(controller, e);
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

static bool fits_some_type(const struct ow_controller *controller, const struct ow_submission *s)
{
    for (int i = 0; i < OW_MAX_TYPES; i++)
        if (controller->types[i] != NULL && type_allowed(s, controller->types[i]))
            return true;
    return false;
}

/* A gang or service whose tasks must stand in several zones, and may not. */
static bool torn_apart(const struct ow_submission *s)
{
    return s->kind != OW_KIND_ARRAY && s->spread && s->tasks > 1 && (s->one_zone || s->zone != NULL);
}

/* NULL when the job can run some day; else why it never can. */
static const char *never_runs(const struct ow_controller *controller, const struct ow_submission *s)
{
    const struct ow_team_settings *team = NULL;
    for (guint i = 0; i < controller->settings->teams->len && team == NULL; i++) {
        const struct ow_team_settings *t =
            &g_array_index(controller->settings->teams, struct ow_team_settings, i);
        team = strcmp(t->name, s->team) == 0 ? t : NULL;
    }
    if (team == NULL)
        return "unknown team";
    if (!fits_some_type(controller, s))
        return "a task fits no allowed machine type";
    if (torn_apart(s))
        return "its tasks must be in several zones, and in one";
    double at_once = s->gang || s->kind == OW_KIND_SERVICE ? s->tasks : 1;
    if ((team->cpus_max > 0 && s->need.cpus * at_once > team->cpus_max) ||
        (team->gpus_max > 0 && s->need.gpus * at_once > team->gpus_max))
        return "over the team's limit";
    return NULL;
}

/* What can't run now, or can't be read, may have been accepted by another controller before: such a repeat is
   no 422 or 400. */
static void refuse_if_new(struct ow_controller *controller, void *data, bool ok)
{
    const struct pending_request *v = data;
    if (ok && ow_jobs_find(controller->jobs, v->id) == NULL)
        ow_controller_refuse(controller, v->request, v->never_status, v->never, 0);
    else
        answer_fresh(controller, data, ok);
}

static void refuse_unless_known(struct ow_controller *controller, uint64_t request, const char *id,
                                int status, const char *why)
{
    struct pending_request *v = pending_request_new(request, id);
    v->never = why;
    v->never_status = status;
    ow_job_cache_refresh(controller->job_cache, refuse_if_new, v);
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

static void accept_job(struct ow_controller *controller, uint64_t request, uint64_t revision,
                       struct ow_submission *s)
{
    char id[OW_ID_MAX + 1];
    g_strlcpy(id, s->id, sizeof id);
    g_info("job %s accepted: class %s, team %s, %u tasks", id, s->class_name, s->team, s->tasks);
    ow_jobs_apply(controller->jobs, id, revision, OW_JOB_QUEUED, s, controller->now, 0);
    answer_job(controller, request, 201, ow_jobs_find(controller->jobs, id));
    ow_controller_announce_job_change(controller, revision);
}

static const char TOO_LARGE[] = "its description is too large to be recorded";

/* A value that is refused on its own is refused for ever: its user is told so instead of being asked to come
   again, unless an earlier try was carried out after all. */
static void refuse_too_large(struct ow_controller *controller, const struct submit_call *call)
{
    ow_limits_refused(&controller->limits, 1, call->record_bytes);
    refuse_unless_known(controller, call->request, call->submission->id, 422, TOO_LARGE);
}

static void on_submit_reply(void *owner, void *data, const struct ow_event *answer)
{
    struct ow_controller *controller = owner;
    struct submit_call *call = data;
    if (answer->store.status == 200)
        accept_job(controller, call->request, answer->store.revision, g_steal_pointer(&call->submission));
    else if (answer->store.status == 409) /* another controller was first */
        ow_job_cache_refresh(controller->job_cache, answer_fresh,
                             pending_request_new(call->request, call->submission->id));
    else if (answer->store.status == 400)
        refuse_too_large(controller, call);
    else
        refuse_busy(controller, call->request, "the state service does not answer");
}

void ow_user_api_malformed(struct ow_controller *controller, uint64_t request, const char *id,
                           const char *fault)
{
    if (ow_jobs_find(controller->jobs, id) != NULL)
        ow_user_api_poll(controller, request, id);
    else
        refuse_unless_known(controller, request, id, 400, fault);
}

/* NULL and an answer if the record doesn't fit a value of the state service. */
static char *record_that_fits(struct ow_controller *controller, uint64_t request,
                              const struct ow_job_record *record)
{
    char *text = wire_job_record(record);
    if (strlen(text) < controller->limits.refused_bytes)
        return text;
    g_free(text);
    ow_controller_refuse(controller, request, 422, TOO_LARGE, 0);
    return NULL;
}

static void create_job(struct ow_controller *controller, uint64_t request, struct ow_submission *s)
{
    struct ow_job_record record = {
        .state = OW_JOB_QUEUED, .accepted_at = controller->time_of_day, .submission = s};
    char *text = record_that_fits(controller, request, &record);
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
    ow_controller_store(controller, txn, on_submit_reply, controller, call, submit_call_free);
}

void ow_user_api_submit(struct ow_controller *controller, uint64_t request, struct ow_submission *s)
{
    const char *never = NULL;
    if (ow_jobs_find(controller->jobs, s->id) != NULL) {
        /* A repeat is known by its id alone and never refused, whatever it says now. */
        ow_user_api_poll(controller, request, s->id);
    } else if (!ow_job_cache_loaded(controller->job_cache) || !controller->types_known) {
        refuse_busy(controller, request, "still starting");
    } else if ((never = never_runs(controller, s)) != NULL) {
        refuse_unless_known(controller, request, s->id, 422, never);
    } else {
        create_job(controller, request, s);
        return;
    }
    ow_submission_free(s);
}

/* ---- cancellations ---- */

static void cancel_known(struct ow_controller *controller, uint64_t request, const struct ow_job *job);

static void cancel_fresh(struct ow_controller *controller, void *data, bool ok)
{
    const struct pending_request *v = data;
    const struct ow_job *job = job_or_refusal(controller, v, ok);
    if (job != NULL)
        cancel_known(controller, v->request, job);
}

/* A cancellation whose record is on its way. */
struct cancel_call {
    struct pending_request pending;
    uint64_t leader_token; /* as the record names it */
    size_t record_bytes;
};

static bool failed_on(const struct ow_store_reply *reply, const char *key)
{
    return reply->failed != NULL && g_strv_contains((const char *const *)reply->failed, key);
}

static void on_cancelled(void *owner, void *data, const struct ow_event *answer)
{
    struct ow_controller *controller = owner;
    const struct cancel_call *call = data;
    const struct pending_request *v = &call->pending;
    if (answer->store.status == 200) {
        g_info("job %s cancelled by its user", v->id);
        answer_job(controller, v->request, 200,
                   ow_jobs_cancel(controller->jobs, v->id, answer->store.revision, call->leader_token));
    } else if (answer->store.status == 409 && failed_on(&answer->store, OW_KEY_LEADER)) {
        /* Another one may have read the records already, without this one. */
        ow_election_invalidate(controller->election);
        refuse_busy(controller, v->request, "the leader has just changed");
    } else if (answer->store.status == 409) {
        /* It was over before: the fresh record says how. */
        ow_job_cache_refresh(controller->job_cache, cancel_fresh, pending_request_new(v->request, v->id));
    } else if (answer->store.status == 400) {
        /* Limits fell since the job was accepted: the next try leaves out what is not needed. */
        ow_limits_refused(&controller->limits, 1, call->record_bytes);
        refuse_busy(controller, v->request, "the state service takes no record of this size");
    } else {
        refuse_busy(controller, v->request, "the state service does not answer");
    }
}

/* The record expects the leader that it names: so it comes before any later take-over, whose reading
   then includes it. */
static void cancel_known(struct ow_controller *controller, uint64_t request, const struct ow_job *job)
{
    uint64_t leader_token = ow_election_key(controller->election);
    if (ow_job_over(job)) {
        answer_job(controller, request, 200, job);
        return;
    }
    if (leader_token == 0) {
        refuse_busy(controller, request, "there is no leader yet");
        return;
    }
    struct ow_job_record record = {.state = OW_JOB_CANCELLED,
                                   .accepted_at =
                                       controller->time_of_day - (controller->now - job->accepted_at),
                                   .leader_token = leader_token,
                                   .submission = job->spec->submission};
    char *text = wire_job_record(&record);
    if (strlen(text) >= controller->limits.refused_bytes) {
        /* Accepted when values were larger. Nothing of it will start, so its types don't matter any more. */
        struct ow_submission short_form = *record.submission;
        short_form.types = NULL;
        record.submission = &short_form;
        g_free(text);
        text = wire_job_record(&record);
    }
    struct ow_store_request *txn = ow_store_request_new(OW_STORE_TXN, NULL);
    struct cancel_call *call = g_new0(struct cancel_call, 1);
    char *key = job_key(job->id);
    call->pending.request = request;
    g_strlcpy(call->pending.id, job->id, sizeof call->pending.id);
    call->leader_token = leader_token;
    ow_store_expect(txn, OW_KEY_LEADER, leader_token);
    ow_store_expect(txn, key, job->version);
    ow_store_write(txn, key, text, 0);
    g_free(key);
    call->record_bytes = ow_store_largest_value(txn);
    ow_controller_store(controller, txn, on_cancelled, controller, call, g_free);
}

void ow_user_api_cancel(struct ow_controller *controller, uint64_t request, const char *id)
{
    const struct ow_job *job = ow_jobs_find(controller->jobs, id);
    if (job != NULL)
        cancel_known(controller, request, job);
    else
        ow_job_cache_refresh(controller->job_cache, cancel_fresh, pending_request_new(request, id));
}
