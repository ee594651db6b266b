/* A random mix of work for a simulated cluster, with a few failures, from a fixed seed. */
#include "workload_day.h"

#include "check.h"

enum {
    BUSY_ROUNDS = 60,            /* of submissions and failures */
    CALM_S = 100,                /* without either: services are separated, and idle machines returned */
    PROVISIONABLE_MACHINES = 12, /* beyond those of the start */
    JOBS_PER_ROUND_MOST = 2,     /* new jobs */
    JOB_SEEDS = 1000,            /* seeds of jobs for each seed of a day */
    ANSWER_S = 20,               /* every request is answered within it once the failures are over */
};

/* The classes of jobs; each but the first has an SLO. */
static char batch_class[] = "batch", training_class[] = "training", serving_class[] = "serving",
            reporting_class[] = "report";
/* Teams with guarantees, beside those of every simulated cluster. */
static char vision_team[] = "vision", speech_team[] = "speech";

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

/* ---- jobs ---- */

static void job_id(char *id, size_t size, int job)
{
    g_snprintf(id, size, "run-%d", job);
}

static void set_class(struct ow_submission *submission, const char *class_name)
{
    g_free(submission->class_name);
    submission->class_name = g_strdup(class_name);
}

/* Some images are shared by classes, some are slow to fetch. */
static void set_image(struct ow_submission *submission, GRand *rand)
{
    static const double sizes_gb[] = {0.5, 2, 8, 30};
    int image = g_rand_int_range(rand, 0, G_N_ELEMENTS(sizes_gb));
    g_free(submission->image);
    submission->image = g_strdup_printf("image-%d", image);
    submission->image_gb = sizes_gb[image];
}

static void set_random_team(struct ow_submission *submission, GRand *rand)
{
    static const char *teams[] = {"open", "open", "open", "tight", "vision", "vision", "speech", "speech"};
    const char *team = teams[g_rand_int_range(rand, 0, G_N_ELEMENTS(teams))];
    sim_set_team(submission, one_in(rand, 40) ? "unknown" : team);
}

static void set_places(struct ow_submission *submission, GRand *rand)
{
    submission->one_zone = one_in(rand, 4);
    submission->spread = one_in(rand, 4);
    if (one_in(rand, 8))
        submission->zone = g_strdup(one_in(rand, 2) ? "east" : "west");
    if (one_in(rand, 8))
        submission->types = g_strsplit(submission->need.gpus > 0 ? "gpu" : "big", " ", 0);
}

/* Some deadlines can't be met from the start. */
static void set_times(struct ow_submission *submission, GRand *rand)
{
    submission->estimate_s = g_rand_double_range(rand, 2, 40);
    if (one_in(rand, 2)) {
        submission->checkpoint_interval_s = g_rand_double_range(rand, 1, 10);
        submission->checkpoint_duration_s = g_rand_double_range(rand, 0, 2);
    }
    if (one_in(rand, 3))
        submission->deadline_s = submission->estimate_s * g_rand_double_range(rand, 0.5, 10);
}

static struct ow_submission *random_array(const char *id, GRand *rand)
{
    static const double cpus[] = {0.5, 1, 2, 4, 8, 16};
    struct ow_submission *submission = sim_job(id, 1 + (uint32_t)g_rand_int_range(rand, 0, 24),
                                               cpus[g_rand_int_range(rand, 0, G_N_ELEMENTS(cpus))]);
    if (one_in(rand, 4))
        submission->need = (struct ow_resources){1, 1, 1};
    set_class(submission, one_in(rand, 3) ? reporting_class : batch_class);
    set_times(submission, rand);
    return submission;
}

/* Many are small, and pass the large ones. */
static struct ow_submission *random_gang(const char *id, GRand *rand)
{
    bool large = one_in(rand, 3);
    uint32_t members = (uint32_t)g_rand_int_range(rand, large ? 4 : 1, large ? 9 : 4);
    struct ow_submission *submission = sim_gang(id, members, large ? 16 : 8);
    if (one_in(rand, 3))
        submission->need = (struct ow_resources){2, one_in(rand, 2) ? 2 : 1, 1};
    set_class(submission, one_in(rand, 4) ? batch_class : training_class);
    set_times(submission, rand);
    return submission;
}

static struct ow_submission *random_service(const char *id, GRand *rand)
{
    struct ow_submission *submission =
        sim_service(id, 1 + (uint32_t)g_rand_int_range(rand, 0, 5), one_in(rand, 3) ? 8 : 1);
    if (one_in(rand, 6))
        submission->need = (struct ow_resources){1, 1, 1};
    set_class(submission, serving_class);
    return submission;
}

/* The submission of a job, always the same for a number. */
static struct ow_submission *make_job(const struct workload *day, int job)
{
    static struct ow_submission *(*const kinds[])(const char *, GRand *) = {
        random_array, random_array, random_array, random_gang, random_gang, random_service};
    char id[16];
    job_id(id, sizeof id, job);
    GRand *rand = g_rand_new_with_seed(day->seed * JOB_SEEDS + (guint32)job);
    struct ow_submission *submission = kinds[g_rand_int_range(rand, 0, G_N_ELEMENTS(kinds))](id, rand);
    submission->rank = (enum ow_rank)g_rand_int_range(rand, OW_RANK_CRITICAL, OW_RANK_LOW + 1);
    submission->spot = !one_in(rand, 3);
    set_image(submission, rand);
    set_random_team(submission, rand);
    set_places(submission, rand);
    g_rand_free(rand);
    return submission;
}

/* ---- users ---- */

static void submit_new_jobs(struct workload *day)
{
    for (int count = g_rand_int_range(day->rand, 0, JOBS_PER_ROUND_MOST + 1); count > 0; count--) {
        uint64_t request = sim_submit(day->cluster, random_controller(day), make_job(day, day->jobs));
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
    job_id(id, sizeof id, job);
    sim_poll(day->cluster, random_controller(day), id);
    if (one_in(day->rand, 4))
        sim_submit(day->cluster, random_controller(day), make_job(day, job));
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

static void set_teams_and_objectives(struct ow_settings *settings)
{
    const struct ow_team_settings teams[] = {
        {.name = vision_team, .cpus = 24, .gpus = 4, .gpus_max = 6},
        {.name = speech_team, .cpus = 48, .cpus_max = 64, .gpus_max = 2},
    };
    const struct ow_slo slos[] = {
        {OW_SLO_WAIT, training_class, 60, 0.9},
        {OW_SLO_WAIT, serving_class, 10, 0.9},
        {OW_SLO_FINISHED, reporting_class, 120, 0.8},
    };
    g_array_append_vals(settings->teams, teams, G_N_ELEMENTS(teams));
    g_array_append_vals(settings->slos, slos, G_N_ELEMENTS(slos));
}

static struct sim_cluster *start_sim(bool sharded, const struct sim_observer *observer)
{
    struct sim_cluster *cluster = sim_new();
    if (observer != NULL)
        cluster->observer = *observer;
    cluster->provisionable_machines = PROVISIONABLE_MACHINES;
    for (int i = 0; i < SIM_CONTROLLERS; i++)
        set_teams_and_objectives(&cluster->settings[i]);
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
        job_id(id, sizeof id, job);
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
