/* Rolling upgrades from the production version, and mixed versions. Guards against leaders of the old
 * version that drop what the new one has recorded, and against answers to users that do not hold after the
 * upgrade. */
#include "check.h"
#include "upgrade_setup.h"

#include "model/records.h"
#include "model/submission.h"

/* Upgrades three controllers one after the other, then lowers the value limit without notice. Running
 * tasks must keep running and are not started twice; results must be recorded in values that fit. */
static void run_rolling_upgrade(double downtime_s, int crash_after)
{
    struct sim_cluster *cluster = sim_with_old_controllers(6);
    cluster->run_time_s = 60;
    sim_submit_interleaved(cluster, "run-1", 200);
    for (int i = 0; i < SIM_CONTROLLERS; i++) {
        upgrade_controller(cluster, i, downtime_s);
        sim_run(cluster, 4);
        if (crash_after == i) {
            /* A controller that is not upgraded yet restarts with the old version, and may be elected. */
            int controller = (i + 1) % SIM_CONTROLLERS;
            sim_kill_controller(cluster, controller);
            sim_run(cluster, 1);
            sim_start_controller(cluster, controller);
            sim_run(cluster, 5);
        }
    }
    sim_run(cluster, 12);
    assert_string_equal(sim_read_value(cluster, OW_KEY_FORMAT), "{\"v\":2}");
    lower_limits(cluster);
    sim_run(cluster, 4);
    assert_int_equal(sim_count_running(cluster, "run-1"), 100);
    end_tasks_gradually(cluster, 30);
    uint64_t submit_request = sim_submit(cluster, 1, sim_job("run-2", 150, 0.4));
    uint64_t cancel_request = 0;
    sim_run(cluster, 6);
    assert_int_equal(sim_response(cluster, submit_request)->status, 201);
    cancel_request = sim_cancel(cluster, 2, "run-2");
    sim_run(cluster, 3);
    assert_int_equal(sim_response(cluster, cancel_request)->state, OW_JOB_CANCELLED);
    assert_true(sim_run_until(cluster, 90, sim_job_is_done, "run-1"));
    assert_true(sim_count_launches(cluster) >= 200 && sim_count_launches(cluster) <= 350);
    sim_finish(cluster);
}

static int setup_old_controllers_and_four_machines(void **state)
{
    *state = sim_with_old_controllers(4);
    return 0;
}

static void test_job_completes_through_a_rolling_upgrade(void **state)
{
    (void)state;
    for (int crash_after = -1; crash_after < 2; crash_after++) {
        run_rolling_upgrade(0.3, crash_after);
        run_rolling_upgrade(5, crash_after);
    }
}

/* A controller is upgraded: it takes over before another one is upgraded, and keeps the leadership. */
static void test_leadership_moves_to_the_new_version_once(void **state)
{
    struct sim_cluster *cluster = *state;
    int old_leader = sim_leader(cluster);
    int first_upgraded = (old_leader + 1) % SIM_CONTROLLERS;
    int last_upgraded = (old_leader + 2) % SIM_CONTROLLERS;
    upgrade_controller(cluster, first_upgraded, 0.3);
    sim_run(cluster, 8);
    assert_int_equal(sim_leader(cluster), first_upgraded);
    upgrade_controller(cluster, old_leader, 0.3);
    sim_run(cluster, 8);
    upgrade_controller(cluster, last_upgraded, 0.3);
    sim_run(cluster, 8);
    assert_int_equal(sim_leader(cluster), first_upgraded);
    sim_check_safety(cluster);
}

/* A controller that restarts with the old version must not replace the leader of the new version. */
static void test_old_version_does_not_regain_leadership(void **state)
{
    struct sim_cluster *cluster = *state;
    int first_upgraded = (sim_leader(cluster) + 1) % SIM_CONTROLLERS;
    int other = (first_upgraded + 1) % SIM_CONTROLLERS;
    upgrade_controller(cluster, first_upgraded, 0.3);
    sim_run(cluster, 8);
    for (int i = 0; i < 3; i++) {
        sim_kill_controller(cluster, other);
        sim_run(cluster, 0.3);
        sim_start_controller(cluster, other);
        sim_run(cluster, 6);
        assert_int_equal(sim_leader(cluster), first_upgraded);
    }
    sim_check_safety(cluster);
}

/* A cancellation confirmed while versions are mixed holds, whichever version leads. */
static void test_cancellation_holds_across_versions(void **state)
{
    (void)state;
    for (int first_upgraded = 0; first_upgraded < SIM_CONTROLLERS; first_upgraded++) {
        struct sim_cluster *cluster = sim_with_old_controllers(3);
        cluster->run_time_s = 300;
        sim_submit(cluster, 0, sim_job("run-1", 6, 1));
        sim_run(cluster, 6);
        upgrade_controller(cluster, first_upgraded, 0.3);
        sim_run(cluster, 10);
        cluster->controller_without_store = sim_leader(cluster);
        uint64_t cancel_request = sim_cancel(cluster, (sim_leader(cluster) + 1) % SIM_CONTROLLERS, "run-1");
        sim_run(cluster, 1);
        assert_int_equal(sim_response(cluster, cancel_request)->state, OW_JOB_CANCELLED);
        cluster->store_down = true;
        sim_run(cluster, 60);
        assert_int_equal(sim_count_running(cluster, "run-1"), 0);
        sim_finish(cluster);
    }
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_job_completes_through_a_rolling_upgrade),
        cmocka_unit_test_setup_teardown(test_leadership_moves_to_the_new_version_once,
                                        setup_old_controllers_and_four_machines, sim_teardown),
        cmocka_unit_test_setup_teardown(test_old_version_does_not_regain_leadership,
                                        setup_old_controllers_and_four_machines, sim_teardown),
        cmocka_unit_test(test_cancellation_holds_across_versions),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
