/* Random overlapping failures of a simulated cluster, from a fixed seed. */
#include "chaos_scenario.h"
#include "chaos_failures.h"

#include "check.h"
#include "model/submission.h"

enum { MACHINES = 6, JOBS = 14 };

/* The state of one run. */
struct chaos_scenario {
    struct chaos_failures failures;
    bool cancelled[JOBS];
};

static void job_id(char *id, size_t size, int i)
{
    g_snprintf(id, size, "run-%d", i + 1);
}

/* Submits the job repeatedly until it is accepted; failures end after 60 attempts, so that it can be. */
static void submit_until_accepted(struct chaos_scenario *scenario, int i)
{
    struct sim_cluster *cluster = scenario->failures.cluster;
    char id[16];
    job_id(id, sizeof id, i);
    for (int attempt = 0; attempt < 200; attempt++) {
        struct ow_submission *submission = sim_job(id, 1 + (uint32_t)i % 4, 2);
        submission->rank = (enum ow_rank)(i % 4);
        submission->kind = i % 3 == 0 ? OW_KIND_GANG : OW_KIND_ARRAY;
        submission->one_zone = i % 2 == 0;
        uint64_t request = sim_submit(cluster, attempt % SIM_CONTROLLERS, submission);
        sim_run(cluster, 1);
        const struct sim_response *response = sim_response(cluster, request);
        if (response != NULL && (response->status == 200 || response->status == 201))
            return;
        if (g_rand_int_range(scenario->failures.rand, 0, 4) == 0)
            chaos_failures_inject(&scenario->failures);
        if (attempt > 60)
            chaos_failures_end(&scenario->failures);
    }
    fail_msg("job %s was not accepted in 200 attempts", id);
}

static void cancel_random_job(struct chaos_scenario *scenario)
{
    int i = g_rand_int_range(scenario->failures.rand, 0, JOBS);
    char id[16];
    job_id(id, sizeof id, i);
    scenario->cancelled[i] = true;
    sim_cancel(scenario->failures.cluster, g_rand_int_range(scenario->failures.rand, 0, SIM_CONTROLLERS), id);
}

/* After the failures have ended, every poll is answered with a state. */
static void check_all_known(struct chaos_scenario *scenario)
{
    for (int i = 0; i < JOBS; i++) {
        char id[16];
        job_id(id, sizeof id, i);
        if (sim_job_state(scenario->failures.cluster, id) < 0)
            fail_msg("job %s is unknown to the controllers, or no poll of it was answered", id);
    }
}

/* After the failures have ended, no job waits for 90 s while a machine has room for it. */
static void check_no_job_starves(struct chaos_scenario *scenario, guint32 seed, int seconds)
{
    int waiting_s[JOBS] = {0};
    for (int s = 0; s < seconds; s++) {
        sim_run(scenario->failures.cluster, 1);
        for (int i = 0; i < JOBS; i++) {
            char id[16];
            job_id(id, sizeof id, i);
            const struct sim_requirements *requirements =
                g_hash_table_lookup(scenario->failures.cluster->requirements, id);
            bool waits = !scenario->cancelled[i] && !sim_job_is_done(scenario->failures.cluster, id) &&
                         sim_count_running(scenario->failures.cluster, id) == 0 &&
                         sim_has_room_for(scenario->failures.cluster, requirements);
            waiting_s[i] = waits ? waiting_s[i] + 1 : 0;
            if (waiting_s[i] >= 90)
                fail_msg("seed %u: job %s has waited for 90 s although a machine has room for it", seed, id);
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

static struct sim_cluster *start_cluster(guint32 seed, bool sharded, const struct sim_observer *observer)
{
    struct sim_cluster *cluster = sim_new();
    if (observer != NULL)
        cluster->observer = *observer;
    cluster->provisionable_machines = 40;
    if (sharded)
        sim_enable_sharding(cluster);
    /* With even seeds the maximum size of a value is small, so that the records span many values. */
    for (int i = 0; i < SIM_CONTROLLERS && seed % 2 == 0; i++)
        cluster->settings[i].value_kb = cluster->value_kb = 0.5;
    sim_start_controllers(cluster);
    add_machines(cluster);
    sim_run(cluster, 5);
    return cluster;
}

static void submit_jobs_and_inject_failures(struct chaos_scenario *scenario)
{
    struct sim_cluster *cluster = scenario->failures.cluster;
    for (int i = 0; i < JOBS; i++) {
        submit_until_accepted(scenario, i);
        sim_run(cluster, g_rand_double_range(scenario->failures.rand, 0, 3));
        chaos_failures_inject(&scenario->failures);
    }
    for (int i = 0; i < 15; i++) {
        sim_run(cluster, g_rand_double_range(scenario->failures.rand, 0, 6));
        chaos_failures_inject(&scenario->failures);
        if (i % 5 == 0)
            cancel_random_job(scenario);
    }
}

/* Every job is done, or cancelled at a user's request, and no safety rule was broken. */
static void check_end(struct chaos_scenario *scenario, guint32 seed)
{
    struct sim_cluster *cluster = scenario->failures.cluster;
    for (int i = 0; i < JOBS; i++) {
        char id[16];
        job_id(id, sizeof id, i);
        int state = sim_job_state(cluster, id);
        if (state != OW_JOB_DONE && !(state == OW_JOB_CANCELLED && scenario->cancelled[i]))
            fail_msg("seed %u: job %s ended in state %d", seed, id, state);
    }
    if (cluster->violations->len > 0 || cluster->oversized_txns > 0)
        fail_msg("seed %u: %s", seed, cluster->violations->str);
}

void chaos_scenario_run(guint32 seed, bool sharded, const struct sim_observer *observer)
{
    struct chaos_scenario scenario = {0};
    chaos_failures_init(&scenario.failures, start_cluster(seed, sharded, observer), seed);
    submit_jobs_and_inject_failures(&scenario);
    chaos_failures_end(&scenario.failures);
    sim_run(scenario.failures.cluster, 25);
    check_all_known(&scenario);
    check_no_job_starves(&scenario, seed, 175);
    check_end(&scenario, seed);
    chaos_failures_clear(&scenario.failures);
    sim_free(scenario.failures.cluster);
}
