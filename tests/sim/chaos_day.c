/* Random overlapping failures of a simulated cluster, from a fixed seed. */
#include "chaos_day.h"

#include "check.h"
#include "model/submission.h"
#include "model/worker.h"

#include <string.h>

enum { MACHINES = 6, JOBS = 14 };

/* The state of one random run. */
struct failures {
    struct sim_cluster *cluster;
    GRand *rand;
    bool cancelled[JOBS];
    GPtrArray *copies; /* struct ow_heartbeat, to be sent late */
};

static struct sim_machine *any_machine(struct failures *failures)
{
    return g_ptr_array_index(
        failures->cluster->machines,
        (guint)g_rand_int_range(failures->rand, 0, (gint32)failures->cluster->machines->len));
}

/* Keeps a duplicate of the machine's last heartbeat, to be sent later to any controller. */
static void keep_copy(struct failures *failures, const struct sim_machine *machine)
{
    g_ptr_array_add(failures->copies, sim_copy_last_heartbeat(machine));
}

static void send_copies(struct failures *failures)
{
    while (failures->copies->len > 0) {
        int controller = g_rand_int_range(failures->rand, 0, SIM_CONTROLLERS);
        sim_send_heartbeat(failures->cluster, controller, g_ptr_array_index(failures->copies, 0));
        g_ptr_array_steal_index(failures->copies, 0);
    }
}

static void disturb_machine(struct failures *failures)
{
    struct sim_machine *machine = any_machine(failures);
    switch (g_rand_int_range(failures->rand, 0, 9)) {
    case 7:
        machine->heartbeats_lost = !machine->heartbeats_lost;
        break;
    case 8:
        machine->only_reachable_controller = machine->only_reachable_controller < 0
                                                 ? g_rand_int_range(failures->rand, 0, SIM_CONTROLLERS)
                                                 : -1;
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
    case 0:
        machine->partitioned = !machine->partitioned;
        break;
    case 1:
        machine->hung = !machine->hung;
        break;
    case 2:
        machine->fails_tasks = !machine->fails_tasks;
        break;
    default:
        sim_delete_machine(machine);
        break;
    }
}

/* Its process stands still, for shorter or longer than its lease, or goes on. */
static void freeze_or_thaw(struct failures *failures)
{
    int controller = g_rand_int_range(failures->rand, 0, SIM_CONTROLLERS);
    if (failures->cluster->frozen[controller])
        sim_thaw_controller(failures->cluster, controller);
    else if (failures->cluster->controllers[controller] != NULL)
        sim_freeze_controller(failures->cluster, controller);
}

static void disturb_controller(struct failures *failures)
{
    int controller = g_rand_int_range(failures->rand, 0, SIM_CONTROLLERS);
    int other = (controller + 1) % SIM_CONTROLLERS;
    /* Links break with and without their process. */
    if (g_rand_boolean(failures->rand) && failures->cluster->controllers[other] != NULL)
        sim_break_peer_link(failures->cluster, other, controller);
    if (g_rand_int_range(failures->rand, 0, 4) == 0)
        return;
    if (failures->cluster->controllers[controller] != NULL)
        sim_kill_controller(failures->cluster, controller);
    else
        sim_start_controller(failures->cluster, controller);
    /* Some restart at once. */
    if (failures->cluster->controllers[controller] == NULL && g_rand_int_range(failures->rand, 0, 3) == 0)
        sim_start_controller(failures->cluster, controller);
}

static void disturb_service(struct failures *failures)
{
    switch (g_rand_int_range(failures->rand, 0, 10)) {
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
    case 5:
        failures->cluster->isolated_controller = g_rand_int_range(failures->rand, -1, SIM_CONTROLLERS);
        break;
    case 6:
        failures->cluster->controller_without_workers = g_rand_int_range(failures->rand, -1, SIM_CONTROLLERS);
        break;
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
    default:
        failures->cluster->delay_direct_commands = !failures->cluster->delay_direct_commands;
        break;
    }
}

static void disturb(struct failures *failures)
{
    bool sharded = failures->cluster->sharding != NULL;
    if (sharded && g_rand_int_range(failures->rand, 0, 4) == 0) {
        freeze_or_thaw(failures);
        return;
    }
    int kind = g_rand_int_range(failures->rand, 0, 10);
    if (kind < 4)
        disturb_machine(failures);
    else if (kind < 7)
        disturb_controller(failures);
    else
        disturb_service(failures);
}

static void end_failures(struct failures *failures)
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

static void job_id(char *id, size_t size, int i)
{
    g_snprintf(id, size, "run-%d", i + 1);
}

/* Users retry until their submission is accepted. */
static void submit_until_accepted(struct failures *failures, int i)
{
    struct sim_cluster *cluster = failures->cluster;
    char id[16];
    job_id(id, sizeof id, i);
    for (int attempt = 0; attempt < 200; attempt++) {
        struct ow_submission *submission = sim_job(id, 1 + (uint32_t)i % 4, 2);
        submission->rank = (enum ow_rank)(i % 4);
        submission->kind = i % 3 == 0 ? OW_KIND_GANG : OW_KIND_ARRAY;
        submission->one_zone = i % 2 == 0;
        uint64_t request = sim_submit(cluster, attempt % SIM_CONTROLLERS, submission);
        sim_run(cluster, 1);
        const struct sim_response *answer = sim_response(cluster, request);
        if (answer != NULL && (answer->status == 200 || answer->status == 201))
            return;
        if (g_rand_int_range(failures->rand, 0, 4) == 0)
            disturb(failures);
        if (attempt > 60)
            end_failures(failures);
    }
    fail_msg("%s was never accepted", id);
}

static void cancel_some(struct failures *failures)
{
    int i = g_rand_int_range(failures->rand, 0, JOBS);
    char id[16];
    job_id(id, sizeof id, i);
    failures->cancelled[i] = true;
    sim_cancel(failures->cluster, g_rand_int_range(failures->rand, 0, SIM_CONTROLLERS), id);
}

static void free_heartbeat(void *heartbeat)
{
    ow_heartbeat_free(heartbeat);
}

/* Once the failures are over, every poll is answered. */
static void poll_all(struct failures *failures)
{
    for (int i = 0; i < JOBS; i++) {
        char id[16];
        job_id(id, sizeof id, i);
        if (sim_job_state(failures->cluster, id) < 0)
            fail_msg("no controller knows %s", id);
    }
}

/* Once the failures are over, no job waits for 90 s while a machine has room for it. */
static void watch_waiting(struct failures *failures, guint32 seed, int seconds)
{
    int waited[JOBS] = {0};
    for (int s = 0; s < seconds; s++) {
        sim_run(failures->cluster, 1);
        for (int i = 0; i < JOBS; i++) {
            char id[16];
            job_id(id, sizeof id, i);
            const struct sim_requirements *requirements =
                g_hash_table_lookup(failures->cluster->requirements, id);
            bool waits = !failures->cancelled[i] && !sim_job_is_done(failures->cluster, id) &&
                         sim_count_running(failures->cluster, id) == 0 &&
                         sim_has_room_for(failures->cluster, requirements);
            waited[i] = waits ? waited[i] + 1 : 0;
            if (waited[i] >= 90)
                fail_msg("seed %u: %s waits although a machine has room", seed, id);
        }
    }
}

static void add_machines(struct sim_cluster *cluster)
{
    for (int i = 0; i < MACHINES; i++) {
        char name[16];
        g_snprintf(name, sizeof name, "m-%d", i);
        sim_add_machine(cluster, name, "big", i % 2 == 0 ? "east" : "west", i % 3 == 0);
    }
}

static struct sim_cluster *start_sim(guint32 seed, bool sharded, const struct sim_observer *observer)
{
    struct sim_cluster *cluster = sim_new();
    if (observer != NULL)
        cluster->observer = *observer;
    cluster->provisionable_machines = 40;
    if (sharded)
        sim_enable_sharding(cluster);
    /* With every other seed the records need many values. */
    for (int i = 0; i < SIM_CONTROLLERS && seed % 2 == 0; i++)
        cluster->settings[i].value_kb = cluster->value_kb = 0.5;
    sim_start_controllers(cluster);
    add_machines(cluster);
    sim_run(cluster, 5);
    return cluster;
}

static void play_failures(struct failures *failures)
{
    struct sim_cluster *cluster = failures->cluster;
    for (int i = 0; i < JOBS; i++) {
        submit_until_accepted(failures, i);
        sim_run(cluster, g_rand_double_range(failures->rand, 0, 3));
        disturb(failures);
    }
    for (int i = 0; i < 15; i++) {
        sim_run(cluster, g_rand_double_range(failures->rand, 0, 6));
        disturb(failures);
        if (i % 5 == 0)
            cancel_some(failures);
    }
}

/* Every job has completed or was cancelled, and no safety rule was broken. */
static void check_end(struct failures *failures, guint32 seed)
{
    struct sim_cluster *cluster = failures->cluster;
    for (int i = 0; i < JOBS; i++) {
        char id[16];
        job_id(id, sizeof id, i);
        int state = sim_job_state(cluster, id);
        if (state != OW_JOB_DONE && !(state == OW_JOB_CANCELLED && failures->cancelled[i]))
            fail_msg("seed %u: %s ends as %d", seed, id, state);
    }
    if (cluster->violations->len > 0 || cluster->oversized_txns > 0)
        fail_msg("seed %u: %s", seed, cluster->violations->str);
}

void chaos_day_play(guint32 seed, bool sharded, const struct sim_observer *observer)
{
    struct failures failures = {.cluster = start_sim(seed, sharded, observer),
                                .rand = g_rand_new_with_seed(seed),
                                .copies = g_ptr_array_new_with_free_func(free_heartbeat)};
    play_failures(&failures);
    end_failures(&failures);
    sim_run(failures.cluster, 25);
    poll_all(&failures);
    watch_waiting(&failures, seed, 175);
    check_end(&failures, seed);
    g_ptr_array_free(failures.copies, TRUE);
    g_rand_free(failures.rand);
    sim_free(failures.cluster);
}
