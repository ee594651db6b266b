/* A random mix of work for a simulated cluster, with a few failures, from a fixed seed. */
#include "workload_day.h"
#include "workload_jobs.h"

#include "check.h"

enum {
    BUSY_ROUNDS = 60,            /* of submissions and failures */
    CALM_S = 100,                /* without either: replicas are separated, and idle machines terminated */
    PROVISIONABLE_MACHINES = 12, /* beyond those of the start */
    JOBS_PER_ROUND_MOST = 2,     /* new jobs */
    ANSWER_S = 20,               /* every request is answered within it once the failures are over */
};

/* The state of one day. */
struct workload {
    struct sim_cluster *cluster;
    GRand *rand;
    guint32 seed;
    int jobs;                   /* submitted so far; numbered from 0 */
    GArray *submissions;        /* uint64_t: the request of each job's first submission */
    double store_back_at;       /* the end of an outage of the key-value store */
    double cloud_back_at;       /* the end of an outage of the cloud */
    double controllers_back_at; /* when controllers that are down restart */
};

static bool one_in(GRand *rand, int count)
{
    return g_rand_int_range(rand, 0, count) == 0;
}

static int random_controller(struct workload *day)
{
    return g_rand_int_range(day->rand, 0, SIM_CONTROLLERS);
}

static struct sim_machine *random_machine(struct workload *day)
{
    return sim_machine_at(day->cluster,
                          (guint)g_rand_int_range(day->rand, 0, (gint32)day->cluster->machines->len));
}

/* ---- users ---- */

static void submit_new_jobs(struct workload *day)
{
    for (int count = g_rand_int_range(day->rand, 0, JOBS_PER_ROUND_MOST + 1); count > 0; count--) {
        uint64_t request =
            sim_submit(day->cluster, random_controller(day), workload_job_new(day->seed, day->jobs));
        g_array_append_val(day->submissions, request);
        day->jobs++;
    }
}

static void ask_team_usage(struct workload *day)
{
    struct ow_shard_manager *controller = day->cluster->controllers[random_controller(day)];
    if (controller != NULL)
        ow_shard_manager_push(controller, ow_event_new(OW_EVENT_TEAMS, ++day->cluster->last_request));
}

/* Requests about the jobs that were submitted. */
static void ask_about_jobs(struct workload *day)
{
    if (day->jobs == 0)
        return;
    int job = g_rand_int_range(day->rand, 0, day->jobs);
    char id[16];
    workload_job_id(id, sizeof id, job);
    sim_poll(day->cluster, random_controller(day), id);
    if (one_in(day->rand, 4))
        sim_submit(day->cluster, random_controller(day), workload_job_new(day->seed, job));
    if (one_in(day->rand, 4))
        sim_cancel(day->cluster, random_controller(day), id);
    if (one_in(day->rand, 20))
        sim_submit_malformed(day->cluster, random_controller(day), id);
}

static void play_users(struct workload *day)
{
    submit_new_jobs(day);
    ask_about_jobs(day);
    if (one_in(day->rand, 5))
        ask_team_usage(day);
    if (one_in(day->rand, 8))
        day->cluster->run_time_s = g_rand_double_range(day->rand, 2, 40);
}

/* ---- failures ---- */

static void kill_leader(struct workload *day)
{
    int leader = sim_leader(day->cluster);
    if (leader < 0)
        return;
    sim_kill_controller(day->cluster, leader);
    day->controllers_back_at = day->cluster->now + g_rand_double_range(day->rand, 0, 15);
}

/* The cloud will take a spot machine back. */
static void announce_reclaim(struct workload *day)
{
    struct sim_machine *machine = random_machine(day);
    if (!machine->spot || machine->deleted || machine->reclaim_notice_s >= 0)
        return;
    machine->reclaim_notice_s = g_rand_double_range(day->rand, 5, 30);
    machine->next_heartbeat_at = day->cluster->now;
}

static void repair_machine(struct sim_machine *machine)
{
    machine->partitioned = machine->hung = machine->fails_tasks = machine->unresponsive =
        machine->heartbeats_lost = false;
}

static void disturb_machine(struct workload *day)
{
    struct sim_machine *machine = random_machine(day);
    switch (g_rand_int_range(day->rand, 0, 8)) {
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

static void disturb_services(struct workload *day)
{
    struct sim_cluster *cluster = day->cluster;
    switch (g_rand_int_range(day->rand, 0, 4)) {
    case 0:
        cluster->store_down = true;
        day->store_back_at = cluster->now + g_rand_double_range(day->rand, 1, 8);
        break;
    case 1:
        cluster->cloud_down = true;
        day->cloud_back_at = cluster->now + g_rand_double_range(day->rand, 1, 15);
        break;
    default:
        kill_leader(day);
        break;
    }
}

static void play_failures(struct workload *day)
{
    if (one_in(day->rand, 3))
        announce_reclaim(day);
    if (one_in(day->rand, 5))
        disturb_machine(day);
    if (one_in(day->rand, 2))
        repair_machine(random_machine(day));
    if (one_in(day->rand, 15))
        disturb_services(day);
}

static void end_failures(struct workload *day)
{
    for (guint i = 0; i < day->cluster->machines->len; i++)
        repair_machine(sim_machine_at(day->cluster, i));
    day->cluster->store_down = day->cluster->cloud_down = false;
    sim_start_controllers(day->cluster);
}

/* ---- the course of the day ---- */

/* Machines are taken back when their notice has run out. */
static void pass_notices(struct sim_cluster *cluster, double seconds)
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

static void advance(struct workload *day, int seconds)
{
    struct sim_cluster *cluster = day->cluster;
    for (int i = 0; i < seconds; i++) {
        sim_run(cluster, 1);
        pass_notices(cluster, 1);
        cluster->store_down = cluster->store_down && cluster->now < day->store_back_at;
        cluster->cloud_down = cluster->cloud_down && cluster->now < day->cloud_back_at;
        if (cluster->now >= day->controllers_back_at)
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

static struct sim_cluster *start_sim(bool sharded, const struct sim_observer *observer)
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

static bool was_accepted(struct workload *day, int job)
{
    return sim_status(day->cluster, g_array_index(day->submissions, uint64_t, job)) == 201;
}

/* Every job that was accepted is known, and no safety rule was broken. */
static void check_end(struct workload *day)
{
    struct sim_cluster *cluster = day->cluster;
    GArray *polls = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    for (int job = 0; job < day->jobs; job++) {
        char id[16];
        workload_job_id(id, sizeof id, job);
        uint64_t request = sim_poll(cluster, job % SIM_CONTROLLERS, id);
        g_array_append_val(polls, request);
    }
    ask_team_usage(day);
    advance(day, ANSWER_S);
    for (int job = 0; job < day->jobs; job++) {
        int status = sim_status(cluster, g_array_index(polls, uint64_t, job));
        if (was_accepted(day, job) && status != 200)
            fail_msg("seed %u: run-%d was accepted; a poll is answered %d", day->seed, job, status);
    }
    g_array_free(polls, TRUE);
    if (cluster->violations->len > 0 || cluster->oversized_txns > 0)
        fail_msg("seed %u: %s", day->seed, cluster->violations->str);
}

void workload_day_play(guint32 seed, bool sharded, const struct sim_observer *observer)
{
    struct workload day = {.cluster = start_sim(sharded, observer),
                           .rand = g_rand_new_with_seed(seed),
                           .seed = seed,
                           .submissions = g_array_new(FALSE, FALSE, sizeof(uint64_t))};
    for (int i = 0; i < BUSY_ROUNDS; i++) {
        play_users(&day);
        play_failures(&day);
        advance(&day, g_rand_int_range(day.rand, 1, 5));
    }
    end_failures(&day);
    advance(&day, CALM_S);
    check_end(&day);
    g_array_free(day.submissions, TRUE);
    g_rand_free(day.rand);
    sim_free(day.cluster);
}
