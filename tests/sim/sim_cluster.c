/* The simulated cluster: its clock, its controllers, and the delivery of events to them. */
#include "sim_parts.h"

#include "check.h"

#include "model/effect.h"
#include "model/event.h"
#include "model/peer.h"
#include "model/records.h"
#include "wire/peer_xdr.h"

#include <string.h>

static const double STEP_S = 0.05, TIME_OF_DAY = 1.7e9;

/* An event for a controller, and the time of its delivery. */
struct delivery {
    int controller;
    uint64_t nonce; /* identifies the process it is for; 0: any */
    double at;
    struct ow_event *event;
};

/* NOLINTNEXTLINE(readability-non-const-parameter): settings have names that may be changed */
static void add_team(GArray *teams, char *name, double cpus_max, double gpus_max)
{
    struct ow_team_settings team = {name, 0, cpus_max, 0, gpus_max};
    g_array_append_val(teams, team);
}

static void init_settings(struct ow_settings *settings, int controller)
{
    static char *names[] = {"node-0", "node-1", "node-2"};
    static char *zones[] = {"east", "west", NULL};
    static char endpoint[] = "10.0.0.1:1";
    settings->controller_name = names[controller];
    settings->zone = zones[0];
    settings->front = settings->peer_listen = settings->cloud_endpoint = settings->store_endpoint = endpoint;
    settings->peers = g_array_new(FALSE, TRUE, sizeof(struct ow_peer_settings));
    for (int i = 0; i < SIM_CONTROLLERS; i++) {
        struct ow_peer_settings peer = {.node = names[i], .endpoint = endpoint};
        if (i != controller)
            g_array_append_val(settings->peers, peer);
    }
    settings->teams = g_array_new(FALSE, TRUE, sizeof(struct ow_team_settings));
    static char open_team[] = "open";
    static char tight_team[] = "tight";
    add_team(settings->teams, open_team, 0, 0);
    add_team(settings->teams, tight_team, 8, 0);
    settings->slos = g_array_new(FALSE, TRUE, sizeof(struct ow_slo));
    settings->zones = zones;
    settings->heartbeat_interval_s = 3;
    settings->lease_s = 20;
    settings->gang_wait_s = 30;
    settings->gang_peer_s = 4;
    settings->cancel_s = 40;
    settings->store_rps = 200;
    settings->store_write_rps = 100;
    settings->value_kb = 8;
    settings->txn_ops = 8;
    settings->next_write_rps = settings->next_value_kb = 1e6; /* no change is announced */
    settings->next_txn_ops = 1000;
    settings->cloud_rps = 5;
    settings->list_lag_s = 5;
    settings->core_share = 1;
    settings->memory_mb = 64;
    settings->sockets = 100;
}

struct sim_cluster *sim_new(void)
{
    struct sim_cluster *cluster = g_new0(struct sim_cluster, 1);
    cluster->now = 1000;
    cluster->tuning = ow_tuning_default();
    sim_state_init(cluster);
    sim_workers_init(cluster);
    cluster->denied_controller = cluster->isolated_controller = cluster->workerless_controller =
        cluster->slow_controller = -1;
    cluster->run_time_s = 5;
    cluster->queue = g_ptr_array_new();
    sim_users_init(cluster);
    cluster->violations = g_string_new(NULL);
    for (int i = 0; i < SIM_CONTROLLERS; i++)
        init_settings(&cluster->settings[i], i);
    cluster->value_kb = cluster->settings[0].value_kb;
    cluster->txn_ops = cluster->settings[0].txn_ops;
    return cluster;
}

void sim_free(struct sim_cluster *cluster)
{
    for (int i = 0; i < SIM_CONTROLLERS; i++) {
        if (cluster->controllers[i] != NULL)
            ow_shard_manager_free(cluster->controllers[i]);
        g_array_free(cluster->settings[i].peers, TRUE);
        g_array_free(cluster->settings[i].teams, TRUE);
        g_array_free(cluster->settings[i].slos, TRUE);
    }
    for (guint i = 0; i < cluster->queue->len; i++) {
        struct delivery *delivery = g_ptr_array_index(cluster->queue, i);
        ow_event_free(delivery->event);
        g_free(delivery);
    }
    ow_sharding_settings_free(cluster->sharding);
    sim_state_clear(cluster);
    sim_workers_clear(cluster);
    g_ptr_array_free(cluster->queue, TRUE);
    sim_users_clear(cluster);
    g_string_free(cluster->violations, TRUE);
    g_free(cluster);
}

void sim_deliver(struct sim_cluster *cluster, int controller, uint64_t nonce, double after_s,
                 struct ow_event *event)
{
    struct delivery *delivery = g_new0(struct delivery, 1);
    *delivery = (struct delivery){controller, nonce, cluster->now + after_s, event};
    g_ptr_array_add(cluster->queue, delivery);
}

struct ow_event *sim_command(enum ow_event_kind kind, uint64_t request)
{
    return ow_event_new(kind, request);
}

static void send_peers(struct sim_cluster *cluster, int from, struct ow_peer_message *message)
{
    GString *frame = g_string_new(NULL);
    wire_peer_encode(message, frame);
    for (int i = 0; i < SIM_CONTROLLERS; i++) {
        if (i == from || cluster->controllers[i] == NULL || cluster->peers_cut ||
            i == cluster->isolated_controller || from == cluster->isolated_controller)
            continue;
        if (message->addressee != NULL &&
            strcmp(message->addressee, cluster->settings[i].controller_name) != 0)
            continue;
        struct ow_event *event = sim_command(OW_EVENT_PEER, 0);
        assert_true(wire_peer_decode(frame->str + 4, frame->len - 4, &event->peer));
        assert_non_null(event->peer);
        /* An earlier version sends its format, and does not know of other versions. */
        if (cluster->old_controller[from])
            event->peer->version = OW_FORMAT_FIRST;
        if (cluster->old_controller[i])
            event->peer->version = 0;
        sim_deliver(cluster, i, cluster->controller_nonce[i], 0.01, event);
    }
    g_string_free(frame, TRUE);
}

static void carry_out(struct sim_cluster *cluster, int controller, struct ow_effect *effect)
{
    if (cluster->observer.see != NULL)
        cluster->observer.see(cluster->observer.data, cluster, controller, effect);
    switch (effect->kind) {
    case OW_EFFECT_JOB:
    case OW_EFFECT_REFUSE:
    case OW_EFFECT_TEAMS:
        sim_users_take_answer(cluster, effect);
        break;
    case OW_EFFECT_WORKER_COMMANDS:
    case OW_EFFECT_REDIRECT:
        sim_workers_take_answer(cluster, controller, effect);
        break;
    case OW_EFFECT_DIRECT_COMMANDS:
        sim_workers_take_direct(cluster, controller, effect);
        break;
    case OW_EFFECT_STORE:
        sim_state_take(cluster, controller, effect);
        break;
    case OW_EFFECT_CLOUD:
        sim_cloud_take(cluster, controller, effect->cloud);
        break;
    case OW_EFFECT_PEER:
        send_peers(cluster, controller, effect->peer);
        break;
    }
}

void sim_start_controller(struct sim_cluster *cluster, int controller)
{
    cluster->controller_nonce[controller] = ++cluster->nonce;
    cluster->controllers[controller] = ow_shard_manager_new(&cluster->settings[controller], &cluster->tuning,
                                                            cluster->sharding, cluster->nonce);
}

void sim_start_controllers(struct sim_cluster *cluster)
{
    for (int i = 0; i < SIM_CONTROLLERS; i++)
        if (cluster->controllers[i] == NULL)
            sim_start_controller(cluster, i);
}

void sim_lose_link(struct sim_cluster *cluster, int controller, int lost)
{
    struct ow_event *event = sim_command(OW_EVENT_PEER, 0);
    event->peer = ow_peer_message_new(OW_PEER_LINK_LOST);
    event->peer->sender = g_strdup(cluster->settings[lost].controller_name);
    sim_deliver(cluster, controller, cluster->controller_nonce[controller], 0.01, event);
}

void sim_kill_controller(struct sim_cluster *cluster, int controller)
{
    ow_shard_manager_free(cluster->controllers[controller]);
    cluster->controllers[controller] = NULL;
    cluster->frozen[controller] = false;
}

void sim_kill_controllers(struct sim_cluster *cluster)
{
    for (int i = 0; i < SIM_CONTROLLERS; i++)
        if (cluster->controllers[i] != NULL)
            sim_kill_controller(cluster, i);
}

static void deliver_due(struct sim_cluster *cluster)
{
    guint kept = 0;
    for (guint i = 0; i < cluster->queue->len; i++) {
        struct delivery *delivery = g_ptr_array_index(cluster->queue, i);
        if (delivery->at > cluster->now || cluster->frozen[delivery->controller]) {
            g_ptr_array_index(cluster->queue, kept++) = delivery;
            continue;
        }
        if (cluster->controllers[delivery->controller] != NULL &&
            (delivery->nonce == 0 || delivery->nonce == cluster->controller_nonce[delivery->controller]))
            ow_shard_manager_push(cluster->controllers[delivery->controller], delivery->event);
        else
            ow_event_free(delivery->event);
        g_free(delivery);
    }
    g_ptr_array_set_size(cluster->queue, (gint)kept);
}

static void step(struct sim_cluster *cluster)
{
    cluster->now += STEP_S;
    sim_state_step(cluster);
    sim_workers_step(cluster);
    deliver_due(cluster);
    for (int i = 0; i < SIM_CONTROLLERS; i++) {
        if (cluster->controllers[i] == NULL || cluster->frozen[i])
            continue;
        GPtrArray *effects =
            ow_shard_manager_step(cluster->controllers[i], cluster->now, cluster->now + TIME_OF_DAY);
        for (guint k = 0; k < effects->len; k++)
            carry_out(cluster, i, g_ptr_array_index(effects, k));
        g_ptr_array_free(effects, TRUE);
    }
}

void sim_run(struct sim_cluster *cluster, double seconds)
{
    for (double end = cluster->now + seconds; cluster->now < end;)
        step(cluster);
}

bool sim_until(struct sim_cluster *cluster, double seconds,
               bool (*holds)(struct sim_cluster *cluster, const void *what), const void *what)
{
    for (double end = cluster->now + seconds; cluster->now < end;) {
        if (holds(cluster, what))
            return true;
        step(cluster);
    }
    return holds(cluster, what);
}

int sim_leader(const struct sim_cluster *cluster)
{
    int leader = -1;
    uint64_t highest = 0;
    for (int i = 0; i < SIM_CONTROLLERS; i++) {
        uint64_t fencing_token = cluster->controllers[i] != NULL ? sim_fencing_token(cluster, i) : 0;
        if (fencing_token > highest) {
            highest = fencing_token;
            leader = i;
        }
    }
    return leader;
}

void sim_finish(struct sim_cluster *cluster)
{
    assert_string_equal(cluster->violations->str, "");
    assert_int_equal(cluster->too_large, 0);
    sim_free(cluster);
}
