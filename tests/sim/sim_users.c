/* The simulated users: their requests and the responses, and the check that a final state never changes. */
#include "sim_internal.h"

#include "check.h"
#include "model/effect.h"
#include "model/event.h"
#include "model/resources.h"
#include "model/submission.h"
#include "wire/submission_json.h"

static void response_free(void *item)
{
    g_free(((struct sim_response *)item)->reason);
    g_free(item);
}

void sim_users_init(struct sim_cluster *cluster)
{
    cluster->responses = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, response_free);
    cluster->requirements = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    cluster->final_states = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

void sim_users_clear(struct sim_cluster *cluster)
{
    g_hash_table_destroy(cluster->responses);
    g_hash_table_destroy(cluster->requirements);
    g_hash_table_destroy(cluster->final_states);
}

static void check_final_state(struct sim_cluster *cluster, const char *id, enum ow_job_state state)
{
    const struct sim_final_state *before = g_hash_table_lookup(cluster->final_states, id);
    if (before != NULL && before->state != state)
        g_string_append_printf(cluster->violations, "job %s changed its final state from %d to %d; ", id,
                               before->state, state);
    if (before != NULL || (state != OW_JOB_DONE && state != OW_JOB_CANCELLED))
        return;
    struct sim_final_state *final = g_new0(struct sim_final_state, 1);
    *final = (struct sim_final_state){state, cluster->now};
    g_hash_table_replace(cluster->final_states, g_strdup(id), final);
}

void sim_users_handle_response(struct sim_cluster *cluster, const struct ow_effect *effect)
{
    uint64_t *key = g_new(uint64_t, 1);
    struct sim_response *response = g_new0(struct sim_response, 1);
    *key = effect->request;
    *response =
        (struct sim_response){effect->request, effect->status, effect->state, effect->retry_after_s,
                              g_strdup(effect->kind == OW_EFFECT_REFUSE ? effect->error : effect->reason)};
    if (effect->kind == OW_EFFECT_JOB)
        check_final_state(cluster, effect->id, effect->state);
    g_hash_table_replace(cluster->responses, key, response);
}

static uint64_t send_request(struct sim_cluster *cluster, int controller, struct ow_event *event)
{
    event->request = ++cluster->last_request;
    sim_deliver(cluster, controller, cluster->process_nonce[controller], 0, event);
    return cluster->last_request;
}

uint64_t sim_submit(struct sim_cluster *cluster, int controller, struct ow_submission *submission)
{
    struct ow_event *event = ow_event_new(OW_EVENT_SUBMIT, 0);
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
    return send_request(cluster, controller, event);
}

uint64_t sim_submit_malformed(struct sim_cluster *cluster, int controller, const char *id)
{
    struct ow_event *event = ow_event_new(OW_EVENT_SUBMIT, 0);
    g_strlcpy(event->id, id, sizeof event->id);
    event->submission_error =
        g_error_new_literal(WIRE_SUBMISSION_ERROR, WIRE_SUBMISSION_ERROR_FIELD, "made up");
    return send_request(cluster, controller, event);
}

uint64_t sim_poll(struct sim_cluster *cluster, int controller, const char *id)
{
    struct ow_event *event = ow_event_new(OW_EVENT_POLL, 0);
    g_strlcpy(event->id, id, sizeof event->id);
    return send_request(cluster, controller, event);
}

uint64_t sim_cancel(struct sim_cluster *cluster, int controller, const char *id)
{
    struct ow_event *event = ow_event_new(OW_EVENT_CANCEL, 0);
    g_strlcpy(event->id, id, sizeof event->id);
    return send_request(cluster, controller, event);
}

const struct sim_response *sim_response(struct sim_cluster *cluster, uint64_t request)
{
    return g_hash_table_lookup(cluster->responses, &request);
}

int sim_status(struct sim_cluster *cluster, uint64_t request)
{
    const struct sim_response *response = sim_response(cluster, request);
    return response != NULL ? response->status : 0;
}

int sim_job_state(struct sim_cluster *cluster, const char *id)
{
    for (int i = 0; i < 30; i++) {
        uint64_t request = sim_poll(cluster, i % SIM_CONTROLLERS, id);
        sim_run(cluster, 1);
        const struct sim_response *response = sim_response(cluster, request);
        if (response != NULL && response->status == 200)
            return (int)response->state;
        if (response != NULL && response->status == 404)
            return -404;
    }
    return -1;
}
