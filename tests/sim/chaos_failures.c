/* Random overlapping failures of machines, controllers, the key-value store, the cloud and links. */
#include "chaos_failures.h"

#include "model/worker.h"

static void free_heartbeat(void *heartbeat)
{
    ow_heartbeat_free(heartbeat);
}

void chaos_failures_init(struct chaos_failures *failures, struct sim_cluster *cluster, guint32 seed)
{
    failures->cluster = cluster;
    failures->rand = g_rand_new_with_seed(seed);
    failures->copies = g_ptr_array_new_with_free_func(free_heartbeat);
}

void chaos_failures_clear(struct chaos_failures *failures)
{
    g_ptr_array_free(failures->copies, TRUE);
    g_rand_free(failures->rand);
}

static struct sim_machine *random_machine(struct chaos_failures *failures)
{
    return g_ptr_array_index(
        failures->cluster->machines,
        (guint)g_rand_int_range(failures->rand, 0, (gint32)failures->cluster->machines->len));
}

/* Keeps a duplicate of the machine's last heartbeat, to be sent later to any controller. */
static void keep_copy(struct chaos_failures *failures, const struct sim_machine *machine)
{
    g_ptr_array_add(failures->copies, sim_copy_last_heartbeat(machine));
}

static void send_copies(struct chaos_failures *failures)
{
    while (failures->copies->len > 0) {
        int controller = g_rand_int_range(failures->rand, 0, SIM_CONTROLLERS);
        sim_send_heartbeat(failures->cluster, controller, g_ptr_array_index(failures->copies, 0));
        g_ptr_array_steal_index(failures->copies, 0);
    }
}

static void toggle_machine_failure(struct chaos_failures *failures)
{
    struct sim_machine *machine = random_machine(failures);
    switch (g_rand_int_range(failures->rand, 0, 9)) {
    case 0:
        machine->partitioned = !machine->partitioned;
        break;
    case 1:
        machine->hung = !machine->hung;
        break;
    case 2:
        machine->fails_tasks = !machine->fails_tasks;
        break;
    case 4:
        machine->unresponsive = !machine->unresponsive;
        break;
    case 5:
        keep_copy(failures, machine);
        break;
    case 6:
        send_copies(failures);
        break;
    case 7:
        machine->heartbeats_lost = !machine->heartbeats_lost;
        break;
    case 8:
        machine->only_reachable_controller = machine->only_reachable_controller < 0
                                                 ? g_rand_int_range(failures->rand, 0, SIM_CONTROLLERS)
                                                 : -1;
        break;
    default:
        sim_delete_machine(machine);
        break;
    }
}

/* Pauses a controller's process, for shorter or longer than its lease, or resumes it. */
static void freeze_or_thaw(struct chaos_failures *failures)
{
    int controller = g_rand_int_range(failures->rand, 0, SIM_CONTROLLERS);
    if (failures->cluster->frozen[controller])
        sim_thaw_controller(failures->cluster, controller);
    else if (failures->cluster->controllers[controller] != NULL)
        sim_freeze_controller(failures->cluster, controller);
}

static void toggle_controller_failure(struct chaos_failures *failures)
{
    int controller = g_rand_int_range(failures->rand, 0, SIM_CONTROLLERS);
    int other = (controller + 1) % SIM_CONTROLLERS;
    /* A link may break although the process at its other end keeps running. */
    if (g_rand_boolean(failures->rand) && failures->cluster->controllers[other] != NULL)
        sim_break_peer_link(failures->cluster, other, controller);
    if (g_rand_int_range(failures->rand, 0, 4) == 0)
        return;
    if (failures->cluster->controllers[controller] != NULL)
        sim_kill_controller(failures->cluster, controller);
    else
        sim_start_controller(failures->cluster, controller);
    /* One in three killed controllers restarts at once. */
    if (failures->cluster->controllers[controller] == NULL && g_rand_int_range(failures->rand, 0, 3) == 0)
        sim_start_controller(failures->cluster, controller);
}

static void toggle_service_failure(struct chaos_failures *failures)
{
    switch (g_rand_int_range(failures->rand, 0, 10)) {
    case 0:
        failures->cluster->store_down = !failures->cluster->store_down;
        break;
    case 1:
        failures->cluster->cloud_down = !failures->cluster->cloud_down;
        break;
    case 2:
        failures->cluster->delay_txns = !failures->cluster->delay_txns;
        break;
    case 3:
        failures->cluster->lose_txn_responses = !failures->cluster->lose_txn_responses;
        break;
    case 5:
        failures->cluster->isolated_controller = g_rand_int_range(failures->rand, -1, SIM_CONTROLLERS);
        break;
    case 6:
        failures->cluster->controller_without_workers = g_rand_int_range(failures->rand, -1, SIM_CONTROLLERS);
        break;
    case 7:
        failures->cluster->controller_without_store = g_rand_int_range(failures->rand, -1, SIM_CONTROLLERS);
        break;
    case 8:
        failures->cluster->peers_partitioned = !failures->cluster->peers_partitioned;
        break;
    case 9:
        failures->cluster->store_latency_s =
            failures->cluster->store_latency_s > 0 ? 0 : g_rand_double_range(failures->rand, 0.1, 1.2);
        break;
    default:
        failures->cluster->delay_direct_commands = !failures->cluster->delay_direct_commands;
        break;
    }
}

void chaos_failures_inject(struct chaos_failures *failures)
{
    bool sharded = failures->cluster->sharding != NULL;
    if (sharded && g_rand_int_range(failures->rand, 0, 4) == 0) {
        freeze_or_thaw(failures);
        return;
    }
    int kind = g_rand_int_range(failures->rand, 0, 10);
    if (kind < 4)
        toggle_machine_failure(failures);
    else if (kind < 7)
        toggle_controller_failure(failures);
    else
        toggle_service_failure(failures);
}

void chaos_failures_end(struct chaos_failures *failures)
{
    struct sim_cluster *cluster = failures->cluster;
    cluster->isolated_controller = cluster->controller_without_workers = cluster->controller_without_store =
        -1;
    cluster->peers_partitioned = false;
    cluster->store_latency_s = 0;
    cluster->store_down = cluster->cloud_down = cluster->delay_txns = cluster->lose_txn_responses =
        cluster->delay_direct_commands = false;
    for (guint i = 0; i < cluster->machines->len; i++) {
        struct sim_machine *machine = sim_machine_at(cluster, i);
        machine->partitioned = machine->hung = machine->fails_tasks = machine->unresponsive =
            machine->heartbeats_lost = false;
        machine->only_reachable_controller = -1;
    }
    for (int i = 0; i < SIM_CONTROLLERS; i++)
        sim_thaw_controller(cluster, i);
    sim_start_controllers(cluster);
}
