/* Limits of the key-value store that fall during an upgrade: large values are split once every controller
 * can read the new format. Guards against records that are lost in a split, that an old controller drops,
 * or that block other writes because they are too large. */
#include "check.h"
#include "upgrade_setup.h"

#include "model/records.h"
#include "model/submission.h"

#include <string.h>

static int setup_old_controllers_and_six_machines(void **state)
{
    *state = sim_with_old_controllers(6);
    return 0;
}

static int setup_old_controllers_and_four_machines(void **state)
{
    *state = sim_with_old_controllers(4);
    return 0;
}

/* Records in chunks that are too large are split in several steps: none may be lost, whenever the leader
 * crashes. */
static void test_interrupted_record_split_loses_nothing(void **state)
{
    (void)state;
    for (int step = 0; step < 30; step++) {
        struct sim_cluster *cluster = sim_with_old_controllers(6);
        cluster->run_time_s = 60;
        sim_submit_interleaved(cluster, "run-1", 200);
        for (int i = 0; i < SIM_CONTROLLERS; i++)
            upgrade_controller(cluster, i, 0.3);
        assert_true(sim_run_until(cluster, 20, format_gate_is_open, NULL));
        end_tasks_gradually(cluster, 40);
        sim_run(cluster, 1 + 0.1 * step);
        int leader = sim_leader(cluster);
        if (leader >= 0) {
            sim_kill_controller(cluster, leader);
            sim_run(cluster, 0.3);
            sim_start_controller(cluster, leader);
        }
        sim_run(cluster, 14);
        lower_limits(cluster);
        assert_true(sim_count_running(cluster, "run-1") > 20);
        assert_true(sim_run_until(cluster, 90, sim_job_is_done, "run-1"));
        assert_int_equal(sim_count_launches(cluster), 200);
        sim_finish(cluster);
    }
}

static size_t largest_progress_value_bytes(struct sim_cluster *cluster)
{
    size_t largest_bytes = 0;
    for (int i = 0; i < 200; i++) {
        char *key = g_strdup_printf("%s%d", OW_KEY_PROGRESS, i);
        const char *text = sim_read_value(cluster, key);
        largest_bytes = MAX(largest_bytes, text != NULL ? strlen(text) : 0);
        g_free(key);
    }
    return largest_bytes;
}

/* A new leader splits stored values above the announced limit (0.6 kB, 614 bytes) even if their records do
 * not change. */
static void test_oversized_values_are_split_after_a_failover(void **state)
{
    struct sim_cluster *cluster = *state;
    cluster->run_time_s = 200;
    sim_submit_interleaved(cluster, "run-1", 200);
    assert_true(largest_progress_value_bytes(cluster) > 614);
    for (int i = 0; i < SIM_CONTROLLERS; i++)
        upgrade_controller(cluster, i, 0.3);
    assert_true(sim_run_until(cluster, 20, format_gate_is_open, NULL));
    int leader = sim_leader(cluster);
    sim_kill_controller(cluster, leader);
    sim_run(cluster, 6);
    sim_start_controller(cluster, leader);
    sim_run(cluster, 20);
    assert_true(largest_progress_value_bytes(cluster) <= 614);
    assert_int_equal(sim_count_running(cluster, "run-1"), 100);
    sim_check_safety(cluster);
}

/* While one controller knows only the first format, no leader may write records that it would drop. */
static void test_format_gate_stays_closed_beside_an_old_controller(void **state)
{
    struct sim_cluster *cluster = *state;
    cluster->run_time_s = 20;
    upgrade_controller(cluster, 0, 0.3);
    upgrade_controller(cluster, 1, 0.3);
    sim_run(cluster, 10);
    sim_submit(cluster, 0, sim_job("run-1", 100, 0.4));
    sim_run(cluster, 8);
    assert_null(sim_read_value(cluster, OW_KEY_FORMAT));
    /* The gate also stays closed while that controller is down: it would restart with the old version. */
    sim_kill_controller(cluster, 2);
    sim_run(cluster, 20);
    assert_null(sim_read_value(cluster, OW_KEY_FORMAT));
    sim_start_controller(cluster, 2);
    assert_true(sim_run_until(cluster, 60, sim_job_is_done, "run-1"));
    sim_check_safety(cluster);
}

/* The limits fall before every controller is known to read smaller records: values that can't be split yet
 * wait, and must not delay other writes. */
static void test_oversized_value_delays_no_other_write(void **state)
{
    struct sim_cluster *cluster = *state;
    cluster->run_time_s = 60;
    sim_submit_interleaved(cluster, "run-1", 200);
    for (int i = 0; i < SIM_CONTROLLERS; i++)
        upgrade_controller(cluster, i, 0.3);
    cluster->peers_partitioned = true;
    sim_run(cluster, 3);
    assert_false(format_gate_is_open(cluster, NULL));
    lower_limits(cluster);
    end_tasks_gradually(cluster, 40);
    cluster->run_time_s = 10;
    for (int i = 0; i < 10; i++) {
        char id[OW_ID_MAX + 1];
        g_snprintf(id, sizeof id, "run-%d", 100 + i);
        struct ow_submission *job = sim_job(id, 2, 0.4);
        g_free(job->class_name);
        job->class_name = g_strdup("other");
        sim_submit(cluster, sim_leader(cluster), job);
        sim_run(cluster, 2.5);
        assert_int_equal(sim_count_running(cluster, id), 2);
    }
    assert_true(cluster->oversized_txns > 0);
    cluster->peers_partitioned = false;
    assert_true(sim_run_until(cluster, 90, sim_job_is_done, "run-1"));
    assert_string_equal(cluster->violations->str, "");
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_interrupted_record_split_loses_nothing),
        cmocka_unit_test_setup_teardown(test_oversized_values_are_split_after_a_failover,
                                        setup_old_controllers_and_six_machines, sim_teardown),
        cmocka_unit_test_setup_teardown(test_format_gate_stays_closed_beside_an_old_controller,
                                        setup_old_controllers_and_four_machines, sim_teardown),
        cmocka_unit_test_setup_teardown(test_oversized_value_delays_no_other_write,
                                        setup_old_controllers_and_six_machines, sim_teardown),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
