/* The simulated cluster: its clock, the delivery of events to controllers, and the execution of their
 * effects. */
#include "sim_internal.h"

#include "check.h"

#include "model/effect.h"
#include "model/event.h"

static const double STEP_S = 0.05, TIME_OF_DAY = 1.7e9;

/* An event in flight to a controller. */
struct delivery {
    int controller;
    uint64_t nonce; /* the process that it is for; 0: any */
    double at;
    struct ow_event *event;
};

struct sim_cluster *sim_new(void)
{
    struct sim_cluster *cluster = g_new0(struct sim_cluster, 1);
    cluster->now = 1000;
    cluster->tuning = ow_tuning_default();
    sim_store_init(cluster);
    sim_workers_init(cluster);
    cluster->controller_without_store = cluster->isolated_controller = cluster->controller_without_workers =
        cluster->store_latency_controller = -1;
    cluster->run_time_s = 5;
    cluster->deliveries = g_ptr_array_new();
    cluster->delayed_cloud_requests = g_ptr_array_new_with_free_func((GDestroyNotify)ow_cloud_request_free);
    sim_users_init(cluster);
    cluster->violations = g_string_new(NULL);
    for (int i = 0; i < SIM_CONTROLLERS; i++)
        sim_settings_init(&cluster->settings[i], i);
    cluster->value_kb = cluster->settings[0].value_kb;
    cluster->txn_ops = cluster->settings[0].txn_ops;
    return cluster;
}

void sim_free(struct sim_cluster *cluster)
{
    for (int i = 0; i < SIM_CONTROLLERS; i++) {
        if (cluster->controllers[i] != NULL)
            ow_shard_manager_free(cluster->controllers[i]);
        sim_settings_clear(&cluster->settings[i]);
    }
    for (guint i = 0; i < cluster->deliveries->len; i++) {
        struct delivery *delivery = g_ptr_array_index(cluster->deliveries, i);
        ow_event_free(delivery->event);
        g_free(delivery);
    }
    ow_sharding_settings_free(cluster->sharding);
    sim_store_clear(cluster);
    sim_workers_clear(cluster);
    g_ptr_array_free(cluster->delayed_cloud_requests, TRUE);
    g_ptr_array_free(cluster->deliveries, TRUE);
    sim_users_clear(cluster);
    g_string_free(cluster->violations, TRUE);
    g_free(cluster);
}

void sim_deliver(struct sim_cluster *cluster, int controller, uint64_t nonce, double after_s,
                 struct ow_event *event)
{
    struct delivery *delivery = g_new0(struct delivery, 1);
    *delivery = (struct delivery){controller, nonce, cluster->now + after_s, event};
    g_ptr_array_add(cluster->deliveries, delivery);
}

static void carry_out_effect(struct sim_cluster *cluster, int controller, struct ow_effect *effect)
{
    if (cluster->observer.on_effect != NULL)
        cluster->observer.on_effect(cluster->observer.data, cluster, controller, effect);
    switch (effect->kind) {
    case OW_EFFECT_JOB:
    case OW_EFFECT_REFUSE:
    case OW_EFFECT_TEAMS:
        sim_users_handle_response(cluster, effect);
        break;
    case OW_EFFECT_WORKER_COMMANDS:
    case OW_EFFECT_REDIRECT:
        sim_workers_handle_response(cluster, controller, effect);
        break;
    case OW_EFFECT_DIRECT_COMMANDS:
        sim_workers_handle_direct_commands(cluster, controller, effect);
        break;
    case OW_EFFECT_STORE:
        sim_store_handle_request(cluster, controller, effect);
        break;
    case OW_EFFECT_CLOUD:
        sim_cloud_handle_request(cluster, controller, effect->cloud);
        break;
    case OW_EFFECT_PEER:
        sim_deliver_peer_message(cluster, controller, effect->peer);
        break;
    }
}

static void deliver_due_events(struct sim_cluster *cluster)
{
    guint kept = 0;
    for (guint i = 0; i < cluster->deliveries->len; i++) {
        struct delivery *delivery = g_ptr_array_index(cluster->deliveries, i);
        if (delivery->at > cluster->now || cluster->frozen[delivery->controller]) {
            g_ptr_array_index(cluster->deliveries, kept++) = delivery;
            continue;
        }
        if (cluster->controllers[delivery->controller] != NULL &&
            (delivery->nonce == 0 || delivery->nonce == cluster->process_nonce[delivery->controller]))
            ow_shard_manager_push(cluster->controllers[delivery->controller], delivery->event);
        else
            ow_event_free(delivery->event);
        g_free(delivery);
    }
    g_ptr_array_set_size(cluster->deliveries, (gint)kept);
}

static void step(struct sim_cluster *cluster)
{
    cluster->now += STEP_S;
    sim_store_step(cluster);
    sim_cloud_step(cluster);
    sim_workers_step(cluster);
    deliver_due_events(cluster);
    for (int i = 0; i < SIM_CONTROLLERS; i++) {
        if (cluster->controllers[i] == NULL || cluster->frozen[i])
            continue;
        GPtrArray *effects =
            ow_shard_manager_step(cluster->controllers[i], cluster->now, cluster->now + TIME_OF_DAY);
        for (guint k = 0; k < effects->len; k++)
            carry_out_effect(cluster, i, g_ptr_array_index(effects, k));
        g_ptr_array_free(effects, TRUE);
    }
}

void sim_run(struct sim_cluster *cluster, double seconds)
{
    for (double end = cluster->now + seconds; cluster->now < end;)
        step(cluster);
}

bool sim_run_until(struct sim_cluster *cluster, double seconds,
                   bool (*holds)(struct sim_cluster *cluster, const void *what), const void *what)
{
    for (double end = cluster->now + seconds; cluster->now < end;) {
        if (holds(cluster, what))
            return true;
        step(cluster);
    }
    return holds(cluster, what);
}

void sim_check_safety(const struct sim_cluster *cluster)
{
    assert_string_equal(cluster->violations->str, "");
    assert_int_equal(cluster->oversized_txns, 0);
    for (int i = 0; i < SIM_CONTROLLERS; i++)
        if (cluster->controllers[i] != NULL)
            assert_int_equal(ow_shard_manager_invariant_violations(cluster->controllers[i]), 0);
}

void sim_finish(struct sim_cluster *cluster)
{
    sim_check_safety(cluster);
    sim_free(cluster);
}

int sim_teardown(void **state)
{
    sim_free(*state);
    return 0;
}
