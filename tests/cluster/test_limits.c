/* Limits of the key-value store that fall without notice, and submissions that exceed them. Guards against
 * records that are never written because a transaction is retried at a size that the store rejects, and
 * against submissions that are accepted but can never be recorded. */
#include "check.h"
#include "sim_cluster.h"
#include "model/submission.h"

static int setup_six_machines(void **state)
{
    *state = sim_with_machines(6);
    return 0;
}

static int setup_two_machines(void **state)
{
    *state = sim_with_machines(2);
    return 0;
}

static int setup_one_machine(void **state)
{
    *state = sim_with_machines(1);
    return 0;
}

static void test_jobs_complete_under_unannounced_lower_limits(void **state)
{
    struct sim_cluster *cluster = *state;
    cluster->run_time_s = 20;
    sim_submit_interleaved(cluster, "run-1", 200);
    cluster->value_kb = 0.8;
    cluster->txn_ops = 3;
    sim_submit(cluster, 1, sim_job("run-2", 40, 0.4));
    assert_true(sim_run_until(cluster, 10, sim_job_is_running, "run-2"));
    assert_true(sim_run_until(cluster, 90, sim_job_is_done, "run-1"));
    assert_true(sim_run_until(cluster, 60, sim_job_is_done, "run-2"));
    /* Each rejection halves the size of the next attempt, so the number of retries is bounded. */
    assert_true(cluster->oversized_txns > 0 && cluster->oversized_txns < 20);
    assert_string_equal(cluster->violations->str, "");
}

/* Transactions are rejected for their number of changes, while the limit of a single value has fallen
 * less: a job's own record still fits and must be accepted. */
static void test_lower_txn_ops_does_not_lower_the_value_size(void **state)
{
    (void)state;
    struct sim_cluster *cluster = sim_new();
    for (int i = 0; i < SIM_CONTROLLERS; i++) {
        cluster->settings[i].txn_ops = 64;
        sim_start_controller(cluster, i);
    }
    sim_add_machines(cluster, 6);
    sim_run(cluster, 8);
    cluster->provisionable_machines = 4;
    cluster->txn_ops = 1;
    cluster->value_kb = 1;
    for (int i = 0; i < 40; i++) {
        char id[OW_ID_MAX + 1];
        g_snprintf(id, sizeof id, "run-%d", 100 + i);
        sim_submit(cluster, sim_leader(cluster), sim_job(id, 1, 0.4));
    }
    sim_run(cluster, 30);
    assert_true(cluster->oversized_txns > 0);
    uint64_t request = sim_submit(cluster, sim_leader(cluster), sim_job("run-1", 2, 0.4));
    sim_run(cluster, 2);
    assert_int_equal(sim_status(cluster, request), 201);
    assert_true(sim_run_until(cluster, 30, sim_job_is_done, "run-1"));
    assert_string_equal(cluster->violations->str, "");
    sim_free(cluster);
}

/* Another controller has accepted the job. Its retry is recognized by the id, although the record would
 * exceed the limit that this controller knows. */
static void test_known_job_is_not_rejected_for_its_size(void **state)
{
    struct sim_cluster *cluster = *state;
    int follower = (sim_leader(cluster) + 1) % SIM_CONTROLLERS;
    double value_kb = cluster->value_kb;
    cluster->value_kb = 0.1;
    sim_submit(cluster, follower, sim_job("run-1", 1, 1));
    sim_run(cluster, 2);
    cluster->value_kb = value_kb;
    cluster->silent_watches = true;
    cluster->peers_partitioned = true;
    uint64_t accepted_request = sim_submit(cluster, sim_leader(cluster), sim_job("run-2", 1, 1));
    sim_run(cluster, 1);
    assert_int_equal(sim_status(cluster, accepted_request), 201);
    uint64_t retry_request = sim_submit(cluster, follower, sim_job("run-2", 1, 1));
    sim_run(cluster, 2);
    assert_int_equal(sim_status(cluster, retry_request), 200);
    assert_string_equal(cluster->violations->str, "");
}

/* The limit has fallen below the size of a job's record without notice: the submission is rejected at once
 * instead of being retried. */
static void test_submission_refused_by_the_store_is_rejected(void **state)
{
    struct sim_cluster *cluster = *state;
    cluster->value_kb = 0.1;
    uint64_t request = sim_submit(cluster, 0, sim_job("run-1", 1, 1));
    sim_run(cluster, 2);
    assert_int_equal(sim_status(cluster, request), 422);
}

static void test_oversized_submission_is_rejected(void **state)
{
    struct sim_cluster *cluster = *state;
    struct ow_submission *submission = sim_job("run-1", 1, 1);
    GPtrArray *types = g_ptr_array_new();
    for (int i = 0; i < 200; i++)
        g_ptr_array_add(types, g_strdup_printf("a-type-with-a-rather-long-name-and-a-number-%d", i));
    g_ptr_array_add(types, g_strdup("big"));
    g_ptr_array_add(types, NULL);
    submission->types = (char **)g_ptr_array_free(types, FALSE);
    uint64_t request = sim_submit(cluster, 0, submission);
    sim_run(cluster, 1);
    assert_int_equal(sim_response(cluster, request)->status, 422);
    sim_check_safety(cluster);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(test_jobs_complete_under_unannounced_lower_limits, setup_six_machines,
                                        sim_teardown),
        cmocka_unit_test_setup_teardown(test_oversized_submission_is_rejected, setup_one_machine,
                                        sim_teardown),
        cmocka_unit_test(test_lower_txn_ops_does_not_lower_the_value_size),
        cmocka_unit_test_setup_teardown(test_submission_refused_by_the_store_is_rejected, setup_one_machine,
                                        sim_teardown),
        cmocka_unit_test_setup_teardown(test_known_job_is_not_rejected_for_its_size, setup_two_machines,
                                        sim_teardown),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
