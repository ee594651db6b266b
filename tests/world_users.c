/* The simulated users: their requests, and the answers that they get. */
#include "world_parts.h"

#include "check.h"

static void answer_free(void *item)
{
    g_free(((struct world_answer *)item)->reason);
    g_free(item);
}

void world_users_init(struct world *w)
{
    w->answers = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, answer_free);
    w->requirements = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    w->announced = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

void world_users_clear(struct world *w)
{
    g_hash_table_destroy(w->answers);
    g_hash_table_destroy(w->requirements);
    g_hash_table_destroy(w->announced);
}

static void check_announcement(struct world *w, const char *id, enum ow_job_state state)
{
    const struct world_announcement *before = g_hash_table_lookup(w->announced, id);
    if (before != NULL && before->state != state)
        g_string_append_printf(w->violations, "%s went back from %d to %d; ", id, before->state, state);
    if (before != NULL || (state != OW_JOB_DONE && state != OW_JOB_CANCELLED))
        return;
    struct world_announcement *announcement = g_new0(struct world_announcement, 1);
    *announcement = (struct world_announcement){state, w->now};
    g_hash_table_replace(w->announced, g_strdup(id), announcement);
}

void world_users_take_answer(struct world *w, const struct ow_effect *effect)
{
    uint64_t *key = g_new(uint64_t, 1);
    struct world_answer *answer = g_new0(struct world_answer, 1);
    *key = effect->request;
    *answer = (struct world_answer){effect->request, effect->status, effect->state, effect->retry_after_s,
                                    g_strdup(effect->text)};
    if (effect->kind == OW_EFFECT_JOB)
        check_announcement(w, effect->id, effect->state);
    g_hash_table_replace(w->answers, key, answer);
}

static uint64_t ask(struct world *w, int controller, struct ow_event *event)
{
    event->request = ++w->last_request;
    world_deliver(w, controller, w->controller_nonce[controller], 0, event);
    return w->last_request;
}

uint64_t world_submit(struct world *w, int controller, struct ow_submission *submission)
{
    struct ow_event *event = world_command(OW_EVENT_SUBMIT, 0);
    event->submission = submission;
    struct world_requirements *requirements = g_new0(struct world_requirements, 1);
    *requirements = (struct world_requirements){.tasks = submission->tasks,
                                                .cpus = submission->need.cpus,
                                                .one_zone = submission->one_zone,
                                                .spread = submission->spread,
                                                .spot = submission->spot,
                                                .service = submission->kind == OW_KIND_SERVICE};
    g_strlcpy(requirements->team, submission->team, sizeof requirements->team);
    g_strlcpy(requirements->zone, submission->zone != NULL ? submission->zone : "",
              sizeof requirements->zone);
    if (!g_hash_table_contains(w->requirements, submission->id))
        g_hash_table_insert(w->requirements, g_strdup(submission->id), requirements);
    else
        g_free(requirements);
    return ask(w, controller, event);
}

uint64_t world_submit_malformed(struct world *w, int controller, const char *id)
{
    struct ow_event *event = world_command(OW_EVENT_SUBMIT, 0);
    g_strlcpy(event->id, id, sizeof event->id);
    event->fault = "made up";
    return ask(w, controller, event);
}

uint64_t world_poll(struct world *w, int controller, const char *id)
{
    struct ow_event *event = world_command(OW_EVENT_POLL, 0);
    g_strlcpy(event->id, id, sizeof event->id);
    return ask(w, controller, event);
}

uint64_t world_cancel(struct world *w, int controller, const char *id)
{
    struct ow_event *event = world_command(OW_EVENT_CANCEL, 0);
    g_strlcpy(event->id, id, sizeof event->id);
    return ask(w, controller, event);
}

const struct world_answer *world_answer(struct world *w, uint64_t request)
{
    return g_hash_table_lookup(w->answers, &request);
}

int world_status(struct world *w, uint64_t request)
{
    const struct world_answer *answer = world_answer(w, request);
    return answer != NULL ? answer->status : 0;
}

int world_job_state(struct world *w, const char *id)
{
    for (int i = 0; i < 30; i++) {
        uint64_t request = world_poll(w, i % WORLD_CONTROLLERS, id);
        world_run(w, 1);
        const struct world_answer *answer = world_answer(w, request);
        if (answer != NULL && answer->status == 200)
            return (int)answer->state;
        if (answer != NULL && answer->status == 404)
            return -404;
    }
    return -1;
}

struct world_machine *world_start_job(struct world *w, struct ow_submission *job)
{
    char id[OW_ID_MAX + 1];
    g_strlcpy(id, job->id, sizeof id);
    world_submit(w, 0, job);
    assert_true(world_until(w, 10, world_some_running, id));
    return world_where(w, id);
}

struct world_machine *world_start_settled_job(struct world *w, struct ow_submission *job)
{
    char id[OW_ID_MAX + 1];
    g_strlcpy(id, job->id, sizeof id);
    world_start_job(w, job);
    world_run(w, 3);
    return world_where(w, id);
}

struct ow_submission *world_job(const char *id, uint32_t tasks, double cpus)
{
    struct ow_submission *submission = g_new0(struct ow_submission, 1);
    submission->id = g_strdup(id);
    submission->class_name = g_strdup("class");
    submission->team = g_strdup("open");
    submission->rank = OW_RANK_STANDARD;
    submission->tasks = tasks;
    submission->need = (struct ow_amounts){cpus, 0, 1};
    submission->image = g_strdup("img");
    submission->image_gb = 1;
    submission->spot = true;
    submission->estimate_s = 5;
    return submission;
}

void world_set_team(struct ow_submission *submission, const char *team)
{
    g_free(submission->team);
    submission->team = g_strdup(team);
}

struct ow_submission *world_service(const char *id, uint32_t replicas, double cpus)
{
    struct ow_submission *submission = world_job(id, replicas, cpus);
    submission->kind = OW_KIND_SERVICE;
    submission->rank = OW_RANK_CRITICAL;
    submission->estimate_s = 0;
    submission->spot = false;
    return submission;
}

struct ow_submission *world_gang(const char *id, uint32_t tasks, double cpus)
{
    struct ow_submission *submission = world_job(id, tasks, cpus);
    submission->gang = true;
    submission->kind = OW_KIND_GANG;
    return submission;
}
