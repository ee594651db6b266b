/* Deadlines in the order of the queue: a job that can still meet its deadline starts before one that
 * can't. Guards against deadlines that delay other work for nothing, and against jobs that starve behind
 * jobs with deadlines. */
#include "check.h"
#include "sim_cluster.h"
#include "model/submission.h"

enum { MACHINE_CPUS = 16 };

static struct ow_submission *array_with_deadline(int n, double estimate_s, double deadline_s)
{
    char id[16];
    g_snprintf(id, sizeof id, "run-%d", n);
    struct ow_submission *submission = sim_job(id, 1, MACHINE_CPUS);
    submission->estimate_s = estimate_s;
    submission->deadline_s = deadline_s;
    return submission;
}

static int setup_machine_busy_for_20_s(void **state)
{
    struct sim_cluster *cluster = sim_with_one_controller_and_machines(1);
    *state = cluster;
    cluster->run_time_s = 20;
    sim_start_job(cluster, array_with_deadline(1, 5, 0));
    return 0;
}

static void assert_starts_first(struct sim_cluster *cluster, const char *first, const char *second)
{
    assert_true(sim_run_until(cluster, 40, sim_job_is_running, first));
    assert_int_equal(sim_count_running(cluster, second), 0);
}

static void test_job_with_a_feasible_deadline_starts_before_an_overdue_one(void **state)
{
    struct sim_cluster *cluster = *state;
    sim_submit(cluster, 0, array_with_deadline(2, 20, 15)); /* it needs 20 s, and has 15 s */
    sim_run(cluster, 1);
    sim_submit(cluster, 0, array_with_deadline(3, 20, 90));
    assert_starts_first(cluster, "run-3", "run-2");
    assert_true(sim_run_until(cluster, 60, sim_job_is_done, "run-2"));
    sim_check_safety(cluster);
}

/* Without deadlines the order is that of arrival: the order in the test above comes from the deadline
 * alone. */
static void test_jobs_without_deadlines_start_in_order_of_arrival(void **state)
{
    struct sim_cluster *cluster = *state;
    sim_submit(cluster, 0, array_with_deadline(2, 20, 0));
    sim_run(cluster, 1);
    sim_submit(cluster, 0, array_with_deadline(3, 20, 0));
    assert_starts_first(cluster, "run-2", "run-3");
    sim_check_safety(cluster);
}

/* Of two jobs that can meet their deadlines, the one with less work starts before the one with time to
 * spare. */
static void test_short_job_starts_before_one_with_time_to_spare(void **state)
{
    struct sim_cluster *cluster = *state;
    sim_submit(cluster, 0, array_with_deadline(2, 40, 2000));
    sim_run(cluster, 1);
    sim_submit(cluster, 0, array_with_deadline(3, 5, 100));
    assert_starts_first(cluster, "run-3", "run-2");
    sim_check_safety(cluster);
}

/* Submits a job with a feasible deadline every 8 s, each of which occupies the machine for 10 s, until the
 * job `id` runs. Returns whether it does within `seconds`. */
static bool starts_under_feasible_load(struct sim_cluster *cluster, const char *id, double seconds)
{
    cluster->run_time_s = 10;
    double end = cluster->now + seconds;
    for (int n = 100; cluster->now < end && sim_count_running(cluster, id) == 0; n++) {
        sim_submit(cluster, 0, array_with_deadline(n, 5, 1000));
        sim_run(cluster, 8);
    }
    return sim_count_running(cluster, id) > 0;
}

static void test_overdue_job_starts_under_feasible_load(void **state)
{
    struct sim_cluster *cluster = *state;
    sim_submit(cluster, 0, array_with_deadline(2, 30, 10));
    assert_true(starts_under_feasible_load(cluster, "run-2", 240));
    sim_check_safety(cluster);
}

static void test_job_with_a_distant_deadline_starts_under_feasible_load(void **state)
{
    struct sim_cluster *cluster = *state;
    sim_submit(cluster, 0, array_with_deadline(2, 1000, 1e9));
    assert_true(starts_under_feasible_load(cluster, "run-2", 240));
    sim_check_safety(cluster);
}

/* Starts "run-1", which can meet its deadline, and submits an urgent job. Returns whether run-1 keeps
 * running. */
static bool feasible_job_survives_urgent_job(double urgent_deadline_s)
{
    struct sim_cluster *cluster = sim_with_one_controller_and_machines(1);
    cluster->run_time_s = 60;
    sim_start_and_settle_job(cluster, array_with_deadline(1, 60, 500));
    struct ow_submission *urgent = array_with_deadline(2, 20, urgent_deadline_s);
    urgent->rank = OW_RANK_URGENT;
    sim_submit(cluster, 0, urgent);
    sim_run(cluster, 15);
    bool survives = sim_count_running(cluster, "run-1") == 1;
    sim_finish(cluster);
    return survives;
}

/* A job that can't meet its deadline any more preempts none that can. */
static void test_overdue_job_preempts_no_feasible_job(void **state)
{
    (void)state;
    assert_true(feasible_job_survives_urgent_job(5));
    assert_false(feasible_job_survives_urgent_job(0));
    assert_false(feasible_job_survives_urgent_job(300));
}

/* Returns the name of the machine that a job starts on, of a spot machine and an ordinary one, while all
 * other spot machines have reclaim notices. */
static const char *choose_machine_under_reclaim_notices(struct sim_cluster *cluster, double deadline_s)
{
    sim_add_group(cluster, "taken", 4, "east", true);
    sim_run(cluster, 6);
    for (int i = 0; i < 4; i++)
        sim_machine_at(cluster, (guint)i)->reclaim_notice_s = 1000;
    sim_add_machine(cluster, "spot", "big", "east", true);
    sim_add_machine(cluster, "ordinary", "big", "east", false);
    sim_run(cluster, 6);
    cluster->run_time_s = 60;
    return sim_start_job(cluster, array_with_deadline(1, 60, deadline_s))->name;
}

static void test_job_with_a_deadline_avoids_spot_machines_reclaimed_often(void **state)
{
    (void)state;
    struct sim_cluster *cluster = sim_with_one_controller();
    assert_string_equal(choose_machine_under_reclaim_notices(cluster, 100), "ordinary");
    sim_finish(cluster);
    cluster = sim_with_one_controller();
    assert_string_equal(choose_machine_under_reclaim_notices(cluster, 0), "spot");
    sim_finish(cluster);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(test_job_with_a_feasible_deadline_starts_before_an_overdue_one,
                                        setup_machine_busy_for_20_s, sim_teardown),
        cmocka_unit_test_setup_teardown(test_jobs_without_deadlines_start_in_order_of_arrival,
                                        setup_machine_busy_for_20_s, sim_teardown),
        cmocka_unit_test_setup_teardown(test_short_job_starts_before_one_with_time_to_spare,
                                        setup_machine_busy_for_20_s, sim_teardown),
        cmocka_unit_test_setup_teardown(test_overdue_job_starts_under_feasible_load,
                                        setup_machine_busy_for_20_s, sim_teardown),
        cmocka_unit_test_setup_teardown(test_job_with_a_distant_deadline_starts_under_feasible_load,
                                        setup_machine_busy_for_20_s, sim_teardown),
        cmocka_unit_test(test_overdue_job_preempts_no_feasible_job),
        cmocka_unit_test(test_job_with_a_deadline_avoids_spot_machines_reclaimed_often),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
