/* A random mix of jobs on a simulated cluster, with a few failures, from a fixed seed. */
#include "workload_scenario.h"
#include "workload_jobs.h"

#include "check.h"

enum {
    LOAD_ROUNDS = 60, /* rounds of user requests and failures */
    RECOVERY_S =
        100, /* the time after these rounds, in which replicas are separated and idle machines terminated */
    PROVISIONABLE_MACHINES = 12, /* in addition to the initial machines */
    JOBS_PER_ROUND_MAX = 2,      /* maximum number of new jobs in a round */
    RESPONSE_TIMEOUT_S = 20,     /* the time within which every request is answered after the failures */
};

/* The state of one run. */
struct workload_scenario {
    struct sim_cluster *cluster;
    GRand *rand;
    guint32 seed;
    int jobs;                      /* the number of jobs submitted so far; numbered from 0 */
    GArray *submissions;           /* uint64_t: the request of each job's first submission */
    double store_outage_ends_at;   /* valid while the key-value store is down */
    double cloud_outage_ends_at;   /* valid while the cloud is down */
    double controllers_restart_at; /* the time at which controllers that are down restart */
};

static bool one_in(GRand *rand, int count)
{
    return g_rand_int_range(rand, 0, count) == 0;
}

static int random_controller(struct workload_scenario *scenario)
{
    return g_rand_int_range(scenario->rand, 0, SIM_CONTROLLERS);
}

static struct sim_machine *random_machine(struct workload_scenario *scenario)
{
    return sim_machine_at(
        scenario->cluster,
        (guint)g_rand_int_range(scenario->rand, 0, (gint32)scenario->cluster->machines->len));
}

/* ---- User requests ---- */

static void submit_new_jobs(struct workload_scenario *scenario)
{
    for (int count = g_rand_int_range(scenario->rand, 0, JOBS_PER_ROUND_MAX + 1); count > 0; count--) {
        uint64_t request = sim_submit(scenario->cluster, random_controller(scenario),
                                      workload_job_new(scenario->seed, scenario->jobs));
        g_array_append_val(scenario->submissions, request);
        scenario->jobs++;
    }
}

static void request_team_usage(struct workload_scenario *scenario)
{
    struct ow_shard_manager *controller = scenario->cluster->controllers[random_controller(scenario)];
    if (controller != NULL)
        ow_shard_manager_push(controller, ow_event_new(OW_EVENT_TEAMS, ++scenario->cluster->last_request));
}

/* Polls, and now and then resubmits or cancels, a job that was submitted before. */
static void send_requests_for_known_jobs(struct workload_scenario *scenario)
{
    if (scenario->jobs == 0)
        return;
    int job = g_rand_int_range(scenario->rand, 0, scenario->jobs);
    char id[16];
    workload_job_id(id, sizeof id, job);
    sim_poll(scenario->cluster, random_controller(scenario), id);
    if (one_in(scenario->rand, 4))
        sim_submit(scenario->cluster, random_controller(scenario), workload_job_new(scenario->seed, job));
    if (one_in(scenario->rand, 4))
        sim_cancel(scenario->cluster, random_controller(scenario), id);
    if (one_in(scenario->rand, 20))
        sim_submit_malformed(scenario->cluster, random_controller(scenario), id);
}

static void send_user_requests(struct workload_scenario *scenario)
{
    submit_new_jobs(scenario);
    send_requests_for_known_jobs(scenario);
    if (one_in(scenario->rand, 5))
        request_team_usage(scenario);
    if (one_in(scenario->rand, 8))
        scenario->cluster->run_time_s = g_rand_double_range(scenario->rand, 2, 40);
}

/* ---- Failures ---- */

static void kill_leader(struct workload_scenario *scenario)
{
    int leader = sim_leader(scenario->cluster);
    if (leader < 0)
        return;
    sim_kill_controller(scenario->cluster, leader);
    scenario->controllers_restart_at = scenario->cluster->now + g_rand_double_range(scenario->rand, 0, 15);
}

/* The cloud announces that it will reclaim a spot machine. */
static void give_reclaim_notice(struct workload_scenario *scenario)
{
    struct sim_machine *machine = random_machine(scenario);
    if (!machine->spot || machine->deleted || machine->reclaim_notice_s >= 0)
        return;
    machine->reclaim_notice_s = g_rand_double_range(scenario->rand, 5, 30);
    machine->next_heartbeat_at = scenario->cluster->now;
}

static void repair_machine(struct sim_machine *machine)
{
    machine->partitioned = machine->hung = machine->fails_tasks = machine->unresponsive =
        machine->heartbeats_lost = false;
}

static void inject_machine_failure(struct workload_scenario *scenario)
{
    struct sim_machine *machine = random_machine(scenario);
    switch (g_rand_int_range(scenario->rand, 0, 8)) {
    case 0:
        machine->hung = true;
        break;
    case 1:
        machine->heartbeats_lost = true;
        break;
    case 2:
        machine->partitioned = true;
        break;
    case 3:
        sim_delete_machine(machine);
        break;
    default:
        machine->fails_tasks = true;
        break;
    }
}

static void inject_service_failure(struct workload_scenario *scenario)
{
    struct sim_cluster *cluster = scenario->cluster;
    switch (g_rand_int_range(scenario->rand, 0, 4)) {
    case 0:
        cluster->store_down = true;
        scenario->store_outage_ends_at = cluster->now + g_rand_double_range(scenario->rand, 1, 8);
        break;
    case 1:
        cluster->cloud_down = true;
        scenario->cloud_outage_ends_at = cluster->now + g_rand_double_range(scenario->rand, 1, 15);
        break;
    default:
        kill_leader(scenario);
        break;
    }
}

static void inject_failures(struct workload_scenario *scenario)
{
    if (one_in(scenario->rand, 3))
        give_reclaim_notice(scenario);
    if (one_in(scenario->rand, 5))
        inject_machine_failure(scenario);
    if (one_in(scenario->rand, 2))
        repair_machine(random_machine(scenario));
    if (one_in(scenario->rand, 15))
        inject_service_failure(scenario);
}

static void end_failures(struct workload_scenario *scenario)
{
    for (guint i = 0; i < scenario->cluster->machines->len; i++)
        repair_machine(sim_machine_at(scenario->cluster, i));
    scenario->cluster->store_down = scenario->cluster->cloud_down = false;
    sim_start_controllers(scenario->cluster);
}

/* ---- Course of the scenario ---- */

/* Reclaims the machines whose notice has run out. */
static void expire_reclaim_notices(struct sim_cluster *cluster, double seconds)
{
    for (guint i = 0; i < cluster->machines->len; i++) {
        struct sim_machine *machine = sim_machine_at(cluster, i);
        if (machine->deleted || machine->reclaim_notice_s < 0)
            continue;
        machine->reclaim_notice_s = MAX(machine->reclaim_notice_s - seconds, 0);
        if (machine->reclaim_notice_s <= 0)
            sim_delete_machine(machine);
    }
}

static void advance(struct workload_scenario *scenario, int seconds)
{
    struct sim_cluster *cluster = scenario->cluster;
    for (int i = 0; i < seconds; i++) {
        sim_run(cluster, 1);
        expire_reclaim_notices(cluster, 1);
        cluster->store_down = cluster->store_down && cluster->now < scenario->store_outage_ends_at;
        cluster->cloud_down = cluster->cloud_down && cluster->now < scenario->cloud_outage_ends_at;
        if (cluster->now >= scenario->controllers_restart_at)
            sim_start_controllers(cluster);
    }
}

static void add_machines(struct sim_cluster *cluster)
{
    static const char *zones[] = {"east", "west"};
    for (int i = 0; i < 8; i++) {
        char name[16];
        g_snprintf(name, sizeof name, "big-%d", i);
        sim_add_machine(cluster, name, "big", zones[i % 2], i % 4 < 2);
    }
    for (int i = 0; i < 4; i++) {
        char name[16];
        g_snprintf(name, sizeof name, "gpu-%d", i);
        sim_add_machine(cluster, name, "gpu", zones[i % 2], i == 3);
    }
}

static struct sim_cluster *start_cluster(bool sharded, const struct sim_observer *observer)
{
    struct sim_cluster *cluster = sim_new();
    if (observer != NULL)
        cluster->observer = *observer;
    cluster->provisionable_machines = PROVISIONABLE_MACHINES;
    for (int i = 0; i < SIM_CONTROLLERS; i++)
        workload_set_teams_and_slos(&cluster->settings[i]);
    if (sharded)
        sim_enable_sharding(cluster);
    sim_start_controllers(cluster);
    add_machines(cluster);
    sim_run(cluster, 5);
    return cluster;
}

static bool was_accepted(struct workload_scenario *scenario, int job)
{
    return sim_status(scenario->cluster, g_array_index(scenario->submissions, uint64_t, job)) == 201;
}

/* A poll of every accepted job is answered with its state, and no safety rule was broken. */
static void check_end(struct workload_scenario *scenario)
{
    struct sim_cluster *cluster = scenario->cluster;
    GArray *polls = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    for (int job = 0; job < scenario->jobs; job++) {
        char id[16];
        workload_job_id(id, sizeof id, job);
        uint64_t request = sim_poll(cluster, job % SIM_CONTROLLERS, id);
        g_array_append_val(polls, request);
    }
    request_team_usage(scenario);
    advance(scenario, RESPONSE_TIMEOUT_S);
    for (int job = 0; job < scenario->jobs; job++) {
        int status = sim_status(cluster, g_array_index(polls, uint64_t, job));
        if (was_accepted(scenario, job) && status != 200)
            fail_msg("seed %u: job run-%d was accepted, but a poll of it was answered with status %d",
                     scenario->seed, job, status);
    }
    g_array_free(polls, TRUE);
    if (cluster->violations->len > 0 || cluster->oversized_txns > 0)
        fail_msg("seed %u: %s", scenario->seed, cluster->violations->str);
}

void workload_scenario_run(guint32 seed, bool sharded, const struct sim_observer *observer)
{
    struct workload_scenario scenario = {.cluster = start_cluster(sharded, observer),
                                         .rand = g_rand_new_with_seed(seed),
                                         .seed = seed,
                                         .submissions = g_array_new(FALSE, FALSE, sizeof(uint64_t))};
    for (int i = 0; i < LOAD_ROUNDS; i++) {
        send_user_requests(&scenario);
        inject_failures(&scenario);
        advance(&scenario, g_rand_int_range(scenario.rand, 1, 5));
    }
    end_failures(&scenario);
    advance(&scenario, RECOVERY_S);
    check_end(&scenario);
    g_array_free(scenario.submissions, TRUE);
    g_rand_free(scenario.rand);
    sim_free(scenario.cluster);
}
