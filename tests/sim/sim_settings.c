/* The settings of each controller that all tests start from. */
#include "sim_internal.h"

/* NOLINTNEXTLINE(readability-non-const-parameter): the name fields of settings are not const */
static void add_team(GArray *teams, char *name, double cpus_max, double gpus_max)
{
    struct ow_team_settings team = {name, 0, cpus_max, 0, gpus_max};
    g_array_append_val(teams, team);
}

void sim_settings_init(struct ow_settings *settings, int controller)
{
    static char *names[] = {"node-0", "node-1", "node-2"};
    static char *zones[] = {"east", "west", NULL};
    static char endpoint[] = "10.0.0.1:1";
    settings->controller_name = names[controller];
    settings->zone = zones[0];
    settings->http_listen = settings->peer_listen = settings->cloud_endpoint = settings->store_endpoint =
        endpoint;
    settings->peers = g_array_new(FALSE, TRUE, sizeof(struct ow_peer_settings));
    for (int i = 0; i < SIM_CONTROLLERS; i++) {
        struct ow_peer_settings peer = {.controller_name = names[i], .endpoint = endpoint};
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
    settings->next_write_rps = settings->next_value_kb = 1e6; /* no lower limits are announced */
    settings->next_txn_ops = 1000;
    settings->cloud_rps = 5;
    settings->list_lag_s = 5;
    settings->core_share = 1;
    settings->memory_mb = 64;
    settings->sockets = 100;
}

void sim_settings_clear(struct ow_settings *settings)
{
    g_array_free(settings->peers, TRUE);
    g_array_free(settings->teams, TRUE);
    g_array_free(settings->slos, TRUE);
}
