/* Rolling upgrades from the production version, also while limits of the key-value store fall. */
#include "check.h"
#include "sim_cluster.h"

#include "model/records.h"
#include "model/submission.h"
#include "model/worker.h"

#include <string.h>

static void set_all_old(struct sim_cluster *cluster, bool old)
{
    for (int i = 0; i < SIM_CONTROLLERS; i++)
        cluster->runs_old_version[i] = old;
}

/* Announces lower limits, which only the new version can read. */
static void announce(struct sim_cluster *cluster, double value_kb, unsigned txn_ops)
{
    for (int i = 0; i < SIM_CONTROLLERS; i++) {
        cluster->settings[i].next_value_kb =
            cluster->runs_old_version[i] ? cluster->settings[i].value_kb : value_kb;
        cluster->settings[i].next_txn_ops =
            cluster->runs_old_version[i] ? cluster->settings[i].txn_ops : txn_ops;
    }
}

static void upgrade(struct sim_cluster *cluster, int controller, double away_s)
{
    if (cluster->controllers[controller] != NULL)
        sim_kill_controller(cluster, controller);
    sim_run(cluster, away_s);
    cluster->runs_old_version[controller] = false;
    announce(cluster, 0.6, 4);
    sim_start_controller(cluster, controller);
}

static struct sim_cluster *sim_of_old_controllers(int machines)
{
    struct sim_cluster *cluster = sim_new();
    set_all_old(cluster, true);
    sim_start_controllers(cluster);
    sim_add_machines(cluster, machines);
    sim_run(cluster, 6);
    return cluster;
}

/* Running tasks end one after the other, so that progress is recorded repeatedly. */
static void end_tasks_gradually(struct sim_cluster *cluster, double within_s)
{
    int ended = 0;
    for (guint i = 0; i < cluster->machines->len; i++) {
        struct sim_machine *machine = sim_machine_at(cluster, i);
        for (guint k = 0; k < machine->tasks->len; k++) {
            struct sim_task *task = &g_array_index(machine->tasks, struct sim_task, k);
            if (task->phase == OW_PHASE_RUNNING)
                task->next_phase_at = cluster->now + 1 + 0.01 * within_s * (ended++ % 100);
        }
    }
}

static bool format_gate_is_open(struct sim_cluster *cluster, const void *what)
{
    (void)what;
    return sim_read_value(cluster, OW_KEY_FORMAT) != NULL;
}

/* A complete rolling upgrade: three controllers, one after the other, then smaller values without notice.
 * Running tasks keep running and are not started twice; results are recorded in values that fit. */
static void run_rolling_upgrade(double away_s, int crash)
{
    struct sim_cluster *cluster = sim_of_old_controllers(6);
    cluster->run_time_s = 60;
    sim_submit_interleaved(cluster, "run-1", 200);
    for (int i = 0; i < SIM_CONTROLLERS; i++) {
        upgrade(cluster, i, away_s);
        sim_run(cluster, 4);
        if (crash == i) {
            /* A controller that is not upgraded yet restarts with the old version, and may lead. */
            int controller = (i + 1) % SIM_CONTROLLERS;
            sim_kill_controller(cluster, controller);
            sim_run(cluster, 1);
            sim_start_controller(cluster, controller);
            sim_run(cluster, 5);
        }
    }
    sim_run(cluster, 12);
    assert_string_equal(sim_read_value(cluster, OW_KEY_FORMAT), "{\"v\":2}");
    cluster->value_kb = 0.6;
    cluster->txn_ops = 4;
    sim_run(cluster, 4);
    assert_int_equal(sim_count_running(cluster, "run-1"), 100);
    end_tasks_gradually(cluster, 30);
    uint64_t more = sim_submit(cluster, 1, sim_job("run-2", 150, 0.4));
    uint64_t cancel = 0;
    sim_run(cluster, 6);
    assert_int_equal(sim_response(cluster, more)->status, 201);
    cancel = sim_cancel(cluster, 2, "run-2");
    sim_run(cluster, 3);
    assert_int_equal(sim_response(cluster, cancel)->state, OW_JOB_CANCELLED);
    assert_true(sim_run_until(cluster, 90, sim_job_is_done, "run-1"));
    assert_true(sim_count_launches(cluster) >= 200 && sim_count_launches(cluster) <= 350);
    sim_finish(cluster);
}

static void test_rolling_upgrade(void **state)
{
    (void)state;
    for (int crash = -1; crash < 2; crash++) {
        run_rolling_upgrade(0.3, crash);
        run_rolling_upgrade(5, crash);
    }
}

/* Of two running controllers one is upgraded: it takes over before the other is upgraded. */
static void test_leadership_moves_to_the_new_version_once(void **state)
{
    (void)state;
    struct sim_cluster *cluster = sim_of_old_controllers(4);
    int old = sim_leader(cluster);
    int first = (old + 1) % SIM_CONTROLLERS;
    int last = (old + 2) % SIM_CONTROLLERS;
    upgrade(cluster, first, 0.3);
    sim_run(cluster, 8);
    assert_int_equal(sim_leader(cluster), first);
    upgrade(cluster, old, 0.3);
    sim_run(cluster, 8);
    upgrade(cluster, last, 0.3);
    sim_run(cluster, 8);
    assert_int_equal(sim_leader(cluster), first);
    sim_finish(cluster);
}

/* A controller that restarts with the old version does not change the leader. */
static void test_old_version_does_not_regain_leadership(void **state)
{
    (void)state;
    struct sim_cluster *cluster = sim_of_old_controllers(4);
    int first = (sim_leader(cluster) + 1) % SIM_CONTROLLERS;
    int other = (first + 1) % SIM_CONTROLLERS;
    upgrade(cluster, first, 0.3);
    sim_run(cluster, 8);
    for (int i = 0; i < 3; i++) {
        sim_kill_controller(cluster, other);
        sim_run(cluster, 0.3);
        sim_start_controller(cluster, other);
        sim_run(cluster, 6);
        assert_int_equal(sim_leader(cluster), first);
    }
    sim_finish(cluster);
}

/* Records in chunks that are too large are split in steps: none is lost whenever the leader crashes. */
static void test_interrupted_record_split_loses_nothing(void **state)
{
    (void)state;
    for (int step = 0; step < 30; step++) {
        struct sim_cluster *cluster = sim_of_old_controllers(6);
        cluster->run_time_s = 60;
        sim_submit_interleaved(cluster, "run-1", 200);
        for (int i = 0; i < SIM_CONTROLLERS; i++)
            upgrade(cluster, i, 0.3);
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
        cluster->value_kb = 0.6;
        cluster->txn_ops = 4;
        assert_true(sim_count_running(cluster, "run-1") > 20);
        assert_true(sim_run_until(cluster, 90, sim_job_is_done, "run-1"));
        assert_int_equal(sim_count_launches(cluster), 200);
        sim_finish(cluster);
    }
}

static size_t largest_progress(struct sim_cluster *cluster)
{
    size_t largest = 0;
    for (int i = 0; i < 200; i++) {
        char *key = g_strdup_printf("%s%d", OW_KEY_PROGRESS, i);
        const char *text = sim_read_value(cluster, key);
        largest = MAX(largest, text != NULL ? strlen(text) : 0);
        g_free(key);
    }
    return largest;
}

/* A new leader splits stored values above the announced limit, even if their records don't change.
 */
static void test_oversized_values_are_split_after_a_failover(void **state)
{
    (void)state;
    struct sim_cluster *cluster = sim_of_old_controllers(6);
    cluster->run_time_s = 200;
    sim_submit_interleaved(cluster, "run-1", 200);
    assert_true(largest_progress(cluster) > 614);
    for (int i = 0; i < SIM_CONTROLLERS; i++)
        upgrade(cluster, i, 0.3);
    assert_true(sim_run_until(cluster, 20, format_gate_is_open, NULL));
    int leader = sim_leader(cluster);
    sim_kill_controller(cluster, leader);
    sim_run(cluster, 6);
    sim_start_controller(cluster, leader);
    sim_run(cluster, 20);
    assert_true(largest_progress(cluster) <= 614);
    assert_int_equal(sim_count_running(cluster, "run-1"), 100);
    sim_finish(cluster);
}

/* While one controller knows only the first format, no leader writes what it would drop. */
static void test_format_gate_stays_closed_beside_an_old_controller(void **state)
{
    (void)state;
    struct sim_cluster *cluster = sim_of_old_controllers(4);
    cluster->run_time_s = 20;
    upgrade(cluster, 0, 0.3);
    upgrade(cluster, 1, 0.3);
    sim_run(cluster, 10);
    sim_submit(cluster, 0, sim_job("run-1", 100, 0.4));
    sim_run(cluster, 8);
    assert_null(sim_read_value(cluster, OW_KEY_FORMAT));
    /* Nor while it is down: it would restart with the old version. */
    sim_kill_controller(cluster, 2);
    sim_run(cluster, 20);
    assert_null(sim_read_value(cluster, OW_KEY_FORMAT));
    sim_start_controller(cluster, 2);
    assert_true(sim_run_until(cluster, 60, sim_job_is_done, "run-1"));
    sim_finish(cluster);
}

/* Cancellations confirmed with mixed versions hold under either version's leader. */
static void test_cancellations_across_versions(void **state)
{
    (void)state;
    for (int first = 0; first < SIM_CONTROLLERS; first++) {
        struct sim_cluster *cluster = sim_of_old_controllers(3);
        cluster->run_time_s = 300;
        sim_submit(cluster, 0, sim_job("run-1", 6, 1));
        sim_run(cluster, 6);
        upgrade(cluster, first, 0.3);
        sim_run(cluster, 10);
        cluster->controller_without_store = sim_leader(cluster);
        uint64_t cancel = sim_cancel(cluster, (sim_leader(cluster) + 1) % SIM_CONTROLLERS, "run-1");
        sim_run(cluster, 1);
        assert_int_equal(sim_response(cluster, cancel)->state, OW_JOB_CANCELLED);
        cluster->store_down = true;
        sim_run(cluster, 60);
        assert_int_equal(sim_count_running(cluster, "run-1"), 0);
        sim_finish(cluster);
    }
}

/* Limits fall before every controller is known to read smaller records: values that can't be split yet
 * wait, and all other writes go on. */
static void test_oversized_value_delays_no_other_write(void **state)
{
    (void)state;
    struct sim_cluster *cluster = sim_of_old_controllers(6);
    cluster->run_time_s = 60;
    sim_submit_interleaved(cluster, "run-1", 200);
    for (int i = 0; i < SIM_CONTROLLERS; i++)
        upgrade(cluster, i, 0.3);
    cluster->peers_partitioned = true;
    sim_run(cluster, 3);
    assert_false(format_gate_is_open(cluster, NULL));
    cluster->value_kb = 0.6;
    cluster->txn_ops = 4;
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
    sim_free(cluster);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_rolling_upgrade),
        cmocka_unit_test(test_leadership_moves_to_the_new_version_once),
        cmocka_unit_test(test_old_version_does_not_regain_leadership),
        cmocka_unit_test(test_interrupted_record_split_loses_nothing),
        cmocka_unit_test(test_oversized_values_are_split_after_a_failover),
        cmocka_unit_test(test_format_gate_stays_closed_beside_an_old_controller),
        cmocka_unit_test(test_cancellations_across_versions),
        cmocka_unit_test(test_oversized_value_delays_no_other_write),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
