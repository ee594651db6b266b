/* Guards against starvation: every job must start eventually, whatever is submitted after it. Jobs that
 * fit the capacity that becomes free, or that rank higher, would otherwise pass a large or low-ranked job
 * indefinitely. */
#include "check.h"
#include "sim_cluster.h"
#include "model/submission.h"

#include <string.h>

/* Submits a job every `interval_s`, more than there is capacity for, until a task of `id` runs or
 * `seconds` have passed. The jobs are numbered from `n`. Returns whether a task of `id` runs. */
static bool starts_within(struct sim_cluster *cluster, const char *id, double seconds, double interval_s,
                          struct ow_submission *(*new_submission)(int n), int n)
{
    for (double end = cluster->now + seconds; cluster->now < end && sim_count_running(cluster, id) == 0;
         n++) {
        sim_submit(cluster, 0, new_submission(n));
        sim_run(cluster, interval_s);
    }
    return sim_count_running(cluster, id) > 0;
}

static bool starts_under_load(struct sim_cluster *cluster, const char *id, double interval_s,
                              struct ow_submission *(*new_submission)(int n))
{
    return starts_within(cluster, id, 240, interval_s, new_submission, 100);
}

static struct ow_submission *numbered_job(int n, uint32_t tasks, double cpus, bool is_gang, enum ow_rank rank)
{
    char id[16];
    g_snprintf(id, sizeof id, "run-%d", n);
    struct ow_submission *submission = sim_job(id, tasks, cpus);
    submission->kind = is_gang ? OW_KIND_GANG : OW_KIND_ARRAY;
    submission->one_zone = is_gang;
    submission->rank = rank;
    return submission;
}

static struct ow_submission *small_gang(int n)
{
    return numbered_job(n, 1, 16, true, OW_RANK_URGENT);
}

static struct ow_submission *small_array(int n)
{
    return numbered_job(n, 2, 8, false, OW_RANK_STANDARD);
}

static struct ow_submission *urgent_array(int n)
{
    return numbered_job(n, 2, 8, false, OW_RANK_URGENT);
}

/* Small gangs that end one after the other: one machine becomes free at a time, and a job that fits it is
 * always waiting. */
static struct sim_cluster *sim_with_staggered_gangs(void)
{
    struct sim_cluster *cluster = sim_with_one_controller_and_machines(4);
    cluster->run_time_s = 10;
    for (int n = 50; n < 56; n++) {
        sim_submit(cluster, 0, small_gang(n));
        sim_run(cluster, 2.4);
    }
    return cluster;
}

/* Submits more of these arrays than two machines have room for. */
static struct sim_cluster *sim_with_waiting_arrays(struct ow_submission *(*new_submission)(int n))
{
    struct sim_cluster *cluster = sim_with_one_controller_and_machines(2);
    cluster->run_time_s = 5;
    for (int n = 50; n < 60; n++)
        sim_submit(cluster, 0, new_submission(n));
    sim_run(cluster, 1);
    return cluster;
}

static int setup_staggered_gangs(void **state)
{
    *state = sim_with_staggered_gangs();
    return 0;
}

static int setup_one_controller_and_four_machines(void **state)
{
    *state = sim_with_one_controller_and_machines(4);
    return 0;
}

static int setup_one_controller_and_two_machines(void **state)
{
    *state = sim_with_one_controller_and_machines(2);
    return 0;
}

/* A gang needs the whole zone, among small gangs that fit whenever a machine becomes free. */
static void test_largest_gang_starts_under_load(void **state)
{
    struct sim_cluster *cluster = *state;
    sim_submit(cluster, 0, numbered_job(1, 4, 16, true, OW_RANK_URGENT));
    assert_true(starts_under_load(cluster, "run-1", 2.4, small_gang));
    sim_check_safety(cluster);
}

/* There is capacity for all jobs within the SLO, but small gangs that fit would pass the large one for as
 * long as they are submitted. */
static void test_largest_gang_starts_within_its_slo(void **state)
{
    struct sim_cluster *cluster = *state;
    static char class_name[] = "class";
    struct ow_slo wait_slo = {.kind = OW_SLO_WAIT, .class_name = class_name, .within_s = 80, .share = 1};
    g_array_append_val(cluster->settings[0].slos, wait_slo);
    sim_submit(cluster, 0, numbered_job(1, 4, 16, true, OW_RANK_URGENT));
    assert_true(starts_within(cluster, "run-1", 80, 2.6, small_gang, 100));
    sim_check_safety(cluster);
}

/* Under a load that starves all gangs, the reservation of one must not pass to the next. */
static void test_largest_gang_starts_among_starved_gangs(void **state)
{
    struct sim_cluster *cluster = *state;
    for (int n = 56; n < 90; n++)
        sim_submit(cluster, 0, small_gang(n));
    sim_run(cluster, 1);
    sim_submit(cluster, 0, numbered_job(1, 4, 16, true, OW_RANK_URGENT));
    assert_true(starts_under_load(cluster, "run-1", 1, small_gang));
    sim_check_safety(cluster);
}

/* Starved jobs take at most every other placement, so that a new job still starts. */
static void test_new_gang_starts_among_starved_gangs(void **state)
{
    struct sim_cluster *cluster = *state;
    cluster->run_time_s = 10;
    for (int n = 100; n < 220; n++)
        sim_submit(cluster, 0, small_gang(n));
    sim_run(cluster, 165);
    sim_submit(cluster, 0, small_gang(1));
    assert_true(sim_run_until(cluster, 30, sim_job_is_running, "run-1"));
    sim_check_safety(cluster);
}

static int setup_waiting_urgent_arrays(void **state)
{
    *state = sim_with_waiting_arrays(urgent_array);
    return 0;
}

static int setup_waiting_small_arrays(void **state)
{
    *state = sim_with_waiting_arrays(small_array);
    return 0;
}

/* A large array is delayed by its size, but must complete. */
static void test_large_array_completes_under_load(void **state)
{
    struct sim_cluster *cluster = *state;
    sim_submit(cluster, 0, numbered_job(1, 60, 8, false, OW_RANK_STANDARD));
    assert_true(starts_under_load(cluster, "run-1", 1, small_array));
    for (int n = 1000; n < 1250 && !sim_job_is_done(cluster, "run-1"); n++) {
        sim_submit(cluster, 0, small_array(n));
        sim_run(cluster, 1);
    }
    assert_true(sim_job_is_done(cluster, "run-1"));
    sim_check_safety(cluster);
}

static void test_lowest_rank_starts_under_load(void **state)
{
    struct sim_cluster *cluster = *state;
    sim_submit(cluster, 0, numbered_job(1, 4, 8, false, OW_RANK_LOW));
    assert_true(starts_under_load(cluster, "run-1", 1, urgent_array));
    sim_check_safety(cluster);
}

/* Only jobs of low rank without an SLO wait for cheap machines. */
static void test_only_low_rank_without_slo_waits_for_cheap_machines(void **state)
{
    struct sim_cluster *cluster = *state;
    static char other_class[] = "another";
    struct ow_slo slo = {.kind = OW_SLO_WAIT, .class_name = other_class, .within_s = 30, .share = 1};
    g_array_append_val(cluster->settings[0].slos, slo);
    cluster->run_time_s = 1000;
    sim_submit(cluster, 0, numbered_job(1, 1, 4, false, OW_RANK_LOW));
    sim_submit(cluster, 0, numbered_job(2, 2, 10, false, OW_RANK_STANDARD));
    assert_true(sim_run_until(cluster, 10, sim_job_is_running, "run-2"));
    assert_int_equal(sim_count_running(cluster, "run-1"), 0);
    uint64_t request = sim_poll(cluster, 0, "run-1");
    sim_run(cluster, 1);
    assert_non_null(strstr(sim_response(cluster, request)->reason, "cheap"));
    /* The wait for cheap machines ends, although the controller restarts repeatedly. */
    for (int i = 0; i < 4; i++) {
        sim_run(cluster, 60);
        sim_kill_controller(cluster, 0);
        sim_start_controller(cluster, 0);
    }
    assert_true(sim_run_until(cluster, 20, sim_job_is_running, "run-1"));
    sim_check_safety(cluster);
}

/* A job keeps its waiting time when all controllers restart, here twice. */
static void test_waiting_time_survives_restarts(void **state)
{
    struct sim_cluster *cluster = *state;
    sim_submit(cluster, 0, numbered_job(1, 4, 8, false, OW_RANK_LOW));
    for (int i = 0; i < 2; i++) {
        assert_false(starts_within(cluster, "run-1", 55, 1, urgent_array, 100 + 100 * i));
        sim_kill_controller(cluster, 0); /* the only controller in this test */
        sim_start_controller(cluster, 0);
    }
    assert_true(starts_within(cluster, "run-1", 90, 1, urgent_array, 300));
    sim_check_safety(cluster);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(test_largest_gang_starts_under_load, setup_staggered_gangs,
                                        sim_teardown),
        cmocka_unit_test_setup_teardown(test_largest_gang_starts_within_its_slo, setup_staggered_gangs,
                                        sim_teardown),
        cmocka_unit_test_setup_teardown(test_largest_gang_starts_among_starved_gangs, setup_staggered_gangs,
                                        sim_teardown),
        cmocka_unit_test_setup_teardown(test_new_gang_starts_among_starved_gangs,
                                        setup_one_controller_and_four_machines, sim_teardown),
        cmocka_unit_test_setup_teardown(test_large_array_completes_under_load, setup_waiting_small_arrays,
                                        sim_teardown),
        cmocka_unit_test_setup_teardown(test_lowest_rank_starts_under_load, setup_waiting_urgent_arrays,
                                        sim_teardown),
        cmocka_unit_test_setup_teardown(test_only_low_rank_without_slo_waits_for_cheap_machines,
                                        setup_one_controller_and_two_machines, sim_teardown),
        cmocka_unit_test_setup_teardown(test_waiting_time_survives_restarts, setup_waiting_urgent_arrays,
                                        sim_teardown),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
