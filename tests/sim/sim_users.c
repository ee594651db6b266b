/* The simulated users: their requests, and the answers that they get. */
#include "sim_parts.h"

#include "check.h"
#include "model/effect.h"
#include "model/event.h"
#include "model/resources.h"
#include "model/submission.h"
#include "wire/submission_json.h"

static void answer_free(void *item)
{
    g_free(((struct sim_answer *)item)->reason);
    g_free(item);
}

void sim_users_init(struct sim_cluster *cluster)
{
    cluster->answers = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, answer_free);
    cluster->requirements = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    cluster->announced = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

void sim_users_clear(struct sim_cluster *cluster)
{
    g_hash_table_destroy(cluster->answers);
    g_hash_table_destroy(cluster->requirements);
    g_hash_table_destroy(cluster->announced);
}

static void check_announcement(struct sim_cluster *cluster, const char *id, enum ow_job_state state)
{
    const struct sim_announcement *before = g_hash_table_lookup(cluster->announced, id);
    if (before != NULL && before->state != state)
        g_string_append_printf(cluster->violations, "%s went back from %d to %d; ", id, before->state, state);
    if (before != NULL || (state != OW_JOB_DONE && state != OW_JOB_CANCELLED))
        return;
    struct sim_announcement *announcement = g_new0(struct sim_announcement, 1);
    *announcement = (struct sim_announcement){state, cluster->now};
    g_hash_table_replace(cluster->announced, g_strdup(id), announcement);
}

void sim_users_take_answer(struct sim_cluster *cluster, const struct ow_effect *effect)
{
    uint64_t *key = g_new(uint64_t, 1);
    struct sim_answer *answer = g_new0(struct sim_answer, 1);
    *key = effect->request;
    *answer =
        (struct sim_answer){effect->request, effect->status, effect->state, effect->retry_after_s,
                            g_strdup(effect->kind == OW_EFFECT_REFUSE ? effect->error : effect->reason)};
    if (effect->kind == OW_EFFECT_JOB)
        check_announcement(cluster, effect->id, effect->state);
    g_hash_table_replace(cluster->answers, key, answer);
}

static uint64_t ask(struct sim_cluster *cluster, int controller, struct ow_event *event)
{
    event->request = ++cluster->last_request;
    sim_deliver(cluster, controller, cluster->controller_nonce[controller], 0, event);
    return cluster->last_request;
}

uint64_t sim_submit(struct sim_cluster *cluster, int controller, struct ow_submission *submission)
{
    struct ow_event *event = sim_command(OW_EVENT_SUBMIT, 0);
    event->submission = submission;
    struct sim_requirements *requirements = g_new0(struct sim_requirements, 1);
    *requirements = (struct sim_requirements){.tasks = submission->tasks,
                                              .cpus = submission->need.cpus,
                                              .one_zone = submission->one_zone,
                                              .spread = submission->spread,
                                              .spot = submission->spot,
                                              .service = submission->kind == OW_KIND_SERVICE};
    g_strlcpy(requirements->team, submission->team, sizeof requirements->team);
    g_strlcpy(requirements->zone, submission->zone != NULL ? submission->zone : "",
              sizeof requirements->zone);
    if (!g_hash_table_contains(cluster->requirements, submission->id))
        g_hash_table_insert(cluster->requirements, g_strdup(submission->id), requirements);
    else
        g_free(requirements);
    return ask(cluster, controller, event);
}

uint64_t sim_submit_malformed(struct sim_cluster *cluster, int controller, const char *id)
{
    struct ow_event *event = sim_command(OW_EVENT_SUBMIT, 0);
    g_strlcpy(event->id, id, sizeof event->id);
    event->submission_error =
        g_error_new_literal(WIRE_SUBMISSION_ERROR, WIRE_SUBMISSION_ERROR_FIELD, "made up");
    return ask(cluster, controller, event);
}

uint64_t sim_poll(struct sim_cluster *cluster, int controller, const char *id)
{
    struct ow_event *event = sim_command(OW_EVENT_POLL, 0);
    g_strlcpy(event->id, id, sizeof event->id);
    return ask(cluster, controller, event);
}

uint64_t sim_cancel(struct sim_cluster *cluster, int controller, const char *id)
{
    struct ow_event *event = sim_command(OW_EVENT_CANCEL, 0);
    g_strlcpy(event->id, id, sizeof event->id);
    return ask(cluster, controller, event);
}

const struct sim_answer *sim_answer(struct sim_cluster *cluster, uint64_t request)
{
    return g_hash_table_lookup(cluster->answers, &request);
}

int sim_status(struct sim_cluster *cluster, uint64_t request)
{
    const struct sim_answer *answer = sim_answer(cluster, request);
    return answer != NULL ? answer->status : 0;
}

int sim_job_state(struct sim_cluster *cluster, const char *id)
{
    for (int i = 0; i < 30; i++) {
        uint64_t request = sim_poll(cluster, i % SIM_CONTROLLERS, id);
        sim_run(cluster, 1);
        const struct sim_answer *answer = sim_answer(cluster, request);
        if (answer != NULL && answer->status == 200)
            return (int)answer->state;
        if (answer != NULL && answer->status == 404)
            return -404;
    }
    return -1;
}

struct sim_machine *sim_start_job(struct sim_cluster *cluster, struct ow_submission *job)
{
    char id[OW_ID_MAX + 1];
    g_strlcpy(id, job->id, sizeof id);
    sim_submit(cluster, 0, job);
    assert_true(sim_until(cluster, 10, sim_some_running, id));
    return sim_where(cluster, id);
}

struct sim_machine *sim_start_settled_job(struct sim_cluster *cluster, struct ow_submission *job)
{
    char id[OW_ID_MAX + 1];
    g_strlcpy(id, job->id, sizeof id);
    sim_start_job(cluster, job);
    sim_run(cluster, 3);
    return sim_where(cluster, id);
}

struct ow_submission *sim_job(const char *id, uint32_t tasks, double cpus)
{
    struct ow_submission *submission = g_new0(struct ow_submission, 1);
    submission->id = g_strdup(id);
    submission->class_name = g_strdup("class");
    submission->team = g_strdup("open");
    submission->rank = OW_RANK_STANDARD;
    submission->tasks = tasks;
    submission->need = (struct ow_resources){cpus, 0, 1};
    submission->image = g_strdup("img");
    submission->image_gb = 1;
    submission->spot = true;
    submission->estimate_s = 5;
    return submission;
}

void sim_set_team(struct ow_submission *submission, const char *team)
{
    g_free(submission->team);
    submission->team = g_strdup(team);
}

struct ow_submission *sim_service(const char *id, uint32_t replicas, double cpus)
{
    struct ow_submission *submission = sim_job(id, replicas, cpus);
    submission->kind = OW_KIND_SERVICE;
    submission->rank = OW_RANK_CRITICAL;
    submission->estimate_s = 0;
    submission->spot = false;
    return submission;
}

struct ow_submission *sim_gang(const char *id, uint32_t tasks, double cpus)
{
    struct ow_submission *submission = sim_job(id, tasks, cpus);
    submission->kind = OW_KIND_GANG;
    return submission;
}
