/* Random overlapping failures of a simulated cluster, from a fixed seed. */
#include "chaos_day.h"
#include "chaos_failures.h"

#include "check.h"
#include "model/submission.h"

enum { MACHINES = 6, JOBS = 14 };

/* The state of one day. */
struct chaos_day {
    struct chaos_failures failures;
    bool cancelled[JOBS];
};

static void job_id(char *id, size_t size, int i)
{
    g_snprintf(id, size, "run-%d", i + 1);
}

/* Users retry until their submission is accepted. */
static void submit_until_accepted(struct chaos_day *day, int i)
{
    struct sim_cluster *cluster = day->failures.cluster;
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
        if (g_rand_int_range(day->failures.rand, 0, 4) == 0)
            chaos_failures_disturb(&day->failures);
        if (attempt > 60)
            chaos_failures_end(&day->failures);
    }
    fail_msg("%s was never accepted", id);
}

static void cancel_some(struct chaos_day *day)
{
    int i = g_rand_int_range(day->failures.rand, 0, JOBS);
    char id[16];
    job_id(id, sizeof id, i);
    day->cancelled[i] = true;
    sim_cancel(day->failures.cluster, g_rand_int_range(day->failures.rand, 0, SIM_CONTROLLERS), id);
}

/* Once the failures are over, every poll is answered. */
static void poll_all(struct chaos_day *day)
{
    for (int i = 0; i < JOBS; i++) {
        char id[16];
        job_id(id, sizeof id, i);
        if (sim_job_state(day->failures.cluster, id) < 0)
            fail_msg("no controller knows %s", id);
    }
}

/* Once the failures are over, no job waits for 90 s while a machine has room for it. */
static void watch_waiting(struct chaos_day *day, guint32 seed, int seconds)
{
    int waited[JOBS] = {0};
    for (int s = 0; s < seconds; s++) {
        sim_run(day->failures.cluster, 1);
        for (int i = 0; i < JOBS; i++) {
            char id[16];
            job_id(id, sizeof id, i);
            const struct sim_requirements *requirements =
                g_hash_table_lookup(day->failures.cluster->requirements, id);
            bool waits = !day->cancelled[i] && !sim_job_is_done(day->failures.cluster, id) &&
                         sim_count_running(day->failures.cluster, id) == 0 &&
                         sim_has_room_for(day->failures.cluster, requirements);
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

static void play_failures(struct chaos_day *day)
{
    struct sim_cluster *cluster = day->failures.cluster;
    for (int i = 0; i < JOBS; i++) {
        submit_until_accepted(day, i);
        sim_run(cluster, g_rand_double_range(day->failures.rand, 0, 3));
        chaos_failures_disturb(&day->failures);
    }
    for (int i = 0; i < 15; i++) {
        sim_run(cluster, g_rand_double_range(day->failures.rand, 0, 6));
        chaos_failures_disturb(&day->failures);
        if (i % 5 == 0)
            cancel_some(day);
    }
}

/* Every job has completed or was cancelled, and no safety rule was broken. */
static void check_end(struct chaos_day *day, guint32 seed)
{
    struct sim_cluster *cluster = day->failures.cluster;
    for (int i = 0; i < JOBS; i++) {
        char id[16];
        job_id(id, sizeof id, i);
        int state = sim_job_state(cluster, id);
        if (state != OW_JOB_DONE && !(state == OW_JOB_CANCELLED && day->cancelled[i]))
            fail_msg("seed %u: %s ends as %d", seed, id, state);
    }
    if (cluster->violations->len > 0 || cluster->oversized_txns > 0)
        fail_msg("seed %u: %s", seed, cluster->violations->str);
}

void chaos_day_play(guint32 seed, bool sharded, const struct sim_observer *observer)
{
    struct chaos_day day = {0};
    chaos_failures_init(&day.failures, start_sim(seed, sharded, observer), seed);
    play_failures(&day);
    chaos_failures_end(&day.failures);
    sim_run(day.failures.cluster, 25);
    poll_all(&day);
    watch_waiting(&day, seed, 175);
    check_end(&day, seed);
    chaos_failures_clear(&day.failures);
    sim_free(day.failures.cluster);
}
