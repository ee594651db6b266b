/* The safety rules of docs/design/safety.md on launches, results, records and cancellations. Guards
 * against tasks that run twice and results that are lost when messages are delayed, lost or duplicated.
 * Each test fails without the check that it covers. */
#include "check.h"
#include "sim_cluster.h"
#include "model/submission.h"

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

/* Rule 1: an attempt is launched only after its record has committed. */
static void test_no_launch_before_its_record_commits(void **state)
{
    struct sim_cluster *cluster = *state;
    cluster->delay_next_controller = sim_leader(cluster);
    cluster->delay_next_txns = 1000;
    cluster->keep_txns_delayed = true;
    sim_submit(cluster, (cluster->delay_next_controller + 1) % SIM_CONTROLLERS, sim_job("run-1", 2, 1));
    for (int i = 0; i < 60; i++) {
        sim_run(cluster, 0.1);
        assert_int_equal(sim_count_running(cluster, "run-1"), 0);
    }
    assert_true(cluster->delayed_txns->len > 0);
    cluster->delay_next_txns = 0;
    cluster->keep_txns_delayed = false;
    assert_true(sim_run_until(cluster, 10, sim_job_is_running, "run-1"));
    sim_check_safety(cluster);
}

/* Rule 2: missing heartbeats do not prove that a task has ended; the expiry of the machine's lease does. */
static void test_unreachable_machine_keeps_its_task_until_its_lease_expires(void **state)
{
    struct sim_cluster *cluster = *state;
    cluster->run_time_s = 100;
    cluster->cloud_down = true; /* no deletion can prove the end of the task */
    struct sim_machine *machine = sim_start_and_settle_job(cluster, sim_job("run-1", 1, 1));
    machine->partitioned = true;
    sim_run(cluster, 15);
    assert_false(sim_job_runs_on_another(cluster, machine));
    assert_true(sim_run_until(cluster, 20, sim_job_runs_on_another, machine));
    /* When the partition ends, delayed messages arrive: they must be ignored. */
    machine->partitioned = false;
    sim_run(cluster, 20);
    sim_check_safety(cluster);
}

/* Rule 2: the acknowledged deletion of a machine proves at once that its tasks have ended. */
static void test_deleted_machine_frees_its_tasks(void **state)
{
    struct sim_cluster *cluster = *state;
    cluster->run_time_s = 100;
    struct sim_machine *machine = sim_start_and_settle_job(cluster, sim_job("run-1", 1, 1));
    machine->reclaim_notice_s = 1;
    machine->next_heartbeat_at = cluster->now;
    sim_run(cluster, 1.5);
    sim_delete_machine(machine);
    assert_true(sim_run_until(cluster, 12, sim_job_runs_on_another, machine));
    sim_check_safety(cluster);
}

/* Rule 3: a launch without a response may still be delivered. The result of its task is not cleared, so
 * that a late duplicate of the launch finds it and starts nothing. */
static void test_unacknowledged_launch_is_not_cleared(void **state)
{
    struct sim_cluster *cluster = *state;
    struct sim_machine *machine = sim_machine(cluster, "m-0");
    cluster->delay_direct_commands = true; /* direct commands are delayed; responses to heartbeats arrive */
    cluster->run_time_s = 1;
    sim_submit(cluster, 0, sim_job("run-1", 1, 1));
    assert_true(sim_run_until(cluster, 30, sim_job_is_done, "run-1"));
    sim_run(cluster, 10);
    assert_int_equal(machine->launches, 1);
    assert_int_equal(machine->cleared_results, 0);
    cluster->delay_direct_commands = false;
    sim_run(cluster, 5);
    assert_int_equal(machine->launches, 1);
    sim_check_safety(cluster);
}

/* Rule 3: a result is cleared only after it has been recorded. */
static void test_result_is_kept_until_recorded(void **state)
{
    struct sim_cluster *cluster = *state;
    cluster->run_time_s = 1;
    sim_start_job(cluster, sim_job("run-1", 1, 1));
    cluster->delay_txns = true;
    sim_run(cluster, 8);
    assert_true(sim_job_is_not_running(cluster, "run-1"));
    assert_int_equal(sim_machine(cluster, "m-0")->cleared_results, 0);
    /* All controllers crash before the result is recorded: it must still be on the machine. */
    sim_kill_controllers(cluster);
    cluster->delay_txns = false;
    sim_start_controllers(cluster);
    assert_true(sim_run_until(cluster, 20, sim_job_is_done, "run-1"));
    assert_int_equal(sim_machine(cluster, "m-0")->launches, 1);
    sim_run(cluster, 10);
    assert_int_equal(sim_machine(cluster, "m-0")->cleared_results, 1);
    sim_check_safety(cluster);
}

/* A delayed transaction of the current leader must be rejected once a newer one has committed. */
static void test_stale_record_write_is_rejected(void **state)
{
    struct sim_cluster *cluster = *state;
    cluster->run_time_s = 200;
    cluster->provisionable_machines = 2;
    int leader = sim_leader(cluster);
    cluster->keep_txns_delayed = true;
    cluster->delay_next_txns = 1;
    cluster->delay_next_controller = leader;
    sim_submit(cluster, (leader + 1) % SIM_CONTROLLERS, sim_job("run-1", 1, 1));
    assert_true(sim_run_until(cluster, 10, sim_job_is_running, "run-1"));
    assert_int_equal(cluster->delayed_txns->len, 1);
    struct sim_machine *machine = sim_find_machine_of_job(cluster, "run-1");
    sim_delete_machine(machine);
    assert_true(sim_run_until(cluster, 60, sim_job_runs_on_another, machine));
    char *record_before = sim_read_progress_record(cluster, "run-1/0");
    cluster->keep_txns_delayed = false;
    sim_run(cluster, 0.2);
    assert_int_equal(cluster->delayed_txns->len, 0);
    char *record_after = sim_read_progress_record(cluster, "run-1/0");
    assert_string_equal(record_after, record_before);
    g_free(record_after);
    g_free(record_before);
    sim_check_safety(cluster);
}

/* Rule 7: a cancellation ends every attempt, including one whose launch is still in flight. */
static void test_cancellation_ends_a_launch_in_flight(void **state)
{
    struct sim_cluster *cluster = *state;
    struct sim_machine *machine = sim_machine(cluster, "m-0");
    cluster->run_time_s = 200;
    machine->partitioned = true;
    sim_submit(cluster, 0, sim_job("run-1", 2, 1));
    sim_run(cluster, 2);
    uint64_t cancel_request = sim_cancel(cluster, 1, "run-1");
    sim_run(cluster, 4);
    /* While the launch may still be delivered, the cancellation is not confirmed. */
    assert_int_equal(sim_response(cluster, cancel_request)->status, 503);
    assert_true(sim_response(cluster, cancel_request)->retry_after_s > 0);
    machine->partitioned = false; /* the launch is delivered now */
    sim_run(cluster, 6);
    assert_int_equal(sim_count_running(cluster, "run-1"), 0);
    cancel_request = sim_cancel(cluster, 1, "run-1");
    sim_run(cluster, 0.3);
    assert_int_equal(sim_response(cluster, cancel_request)->status, 200);
    assert_int_equal(sim_response(cluster, cancel_request)->state, OW_JOB_CANCELLED);
    sim_run(cluster, 60);
    sim_check_safety(cluster);
}

/* Rule 7: a cancelled task that is unreachable is ended in time by deleting its machine. */
static void test_machine_with_an_unreachable_cancelled_task_is_deleted(void **state)
{
    struct sim_cluster *cluster = *state;
    cluster->run_time_s = 200;
    sim_start_job(cluster, sim_job("run-1", 1, 1));
    struct sim_machine *machine = sim_machine(cluster, "m-0");
    machine->partitioned = true;
    machine->lease_renewed_at = cluster->now + 1000; /* as if an isolated leader kept renewing the lease */
    int old_leader = sim_leader(cluster);
    sim_cancel(cluster, (old_leader + 1) % SIM_CONTROLLERS, "run-1");
    sim_run(cluster, 0.2);
    sim_kill_controller(cluster, old_leader);
    sim_run(cluster, 38);
    assert_true(machine->deleted);
    sim_run(cluster, 10);
    sim_check_safety(cluster);
}

/* A transaction that is applied late must not undo a newer one. */
static void test_late_transaction_causes_no_second_launch(void **state)
{
    struct sim_cluster *cluster = *state;
    cluster->run_time_s = 3;
    sim_submit(cluster, 0, sim_job("run-1", 4, 1));
    sim_run(cluster, 0.1);
    cluster->delay_txns = true;
    sim_run(cluster, 3); /* the transactions have timed out at the controller, and are still in flight */
    cluster->delay_txns = false;
    assert_true(sim_run_until(cluster, 30, sim_job_is_done, "run-1"));
    unsigned launch_count = sim_machine(cluster, "m-0")->launches + sim_machine(cluster, "m-1")->launches;
    assert_int_equal(launch_count, 4);
    sim_check_safety(cluster);
}

/* Responses to writes are lost: the outcome is read back, and no write takes effect twice. */
static void test_lost_write_responses_are_resolved_without_duplicates(void **state)
{
    struct sim_cluster *cluster = *state;
    cluster->run_time_s = 2;
    sim_submit(cluster, 0, sim_job("run-1", 3, 1));
    sim_run(cluster, 0.3);
    cluster->lose_txn_responses = true;
    sim_run(cluster, 3);
    cluster->lose_txn_responses = false;
    assert_true(sim_run_until(cluster, 30, sim_job_is_done, "run-1"));
    cluster->lose_txn_responses = true;
    sim_submit(cluster, 1, sim_job("run-2", 1, 1));
    sim_run(cluster, 2);
    cluster->lose_txn_responses = false;
    assert_true(sim_run_until(cluster, 30, sim_job_is_done, "run-2"));
    assert_int_equal(sim_job_state(cluster, "run-2"), OW_JOB_DONE);
    sim_check_safety(cluster);
}

static bool machine_has_launched(struct sim_cluster *cluster, const void *faulty)
{
    (void)cluster;
    return ((const struct sim_machine *)faulty)->launches >= 1;
}

/* A machine on which every task fails gets no new tasks after a few failures. */
static void test_failing_machine_is_avoided(void **state)
{
    struct sim_cluster *cluster = *state;
    struct sim_machine *faulty = sim_machine(cluster, "m-0");
    faulty->fails_tasks = true;
    cluster->run_time_s = 1;
    for (int i = 1; i <= 6; i++) {
        char id[16];
        g_snprintf(id, sizeof id, "run-%d", i);
        sim_submit(cluster, 0, sim_job(id, 4, 2));
    }
    assert_true(sim_run_until(cluster, 20, machine_has_launched, faulty));
    assert_true(sim_run_until(cluster, 60, sim_job_is_done, "run-6"));
    assert_true(faulty->launches < 24);
    sim_check_safety(cluster);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(test_no_launch_before_its_record_commits, setup_two_machines,
                                        sim_teardown),
        cmocka_unit_test_setup_teardown(test_unreachable_machine_keeps_its_task_until_its_lease_expires,
                                        setup_two_machines, sim_teardown),
        cmocka_unit_test_setup_teardown(test_deleted_machine_frees_its_tasks, setup_two_machines,
                                        sim_teardown),
        cmocka_unit_test_setup_teardown(test_unacknowledged_launch_is_not_cleared, setup_one_machine,
                                        sim_teardown),
        cmocka_unit_test_setup_teardown(test_result_is_kept_until_recorded, setup_one_machine, sim_teardown),
        cmocka_unit_test_setup_teardown(test_stale_record_write_is_rejected, setup_two_machines,
                                        sim_teardown),
        cmocka_unit_test_setup_teardown(test_cancellation_ends_a_launch_in_flight, setup_one_machine,
                                        sim_teardown),
        cmocka_unit_test_setup_teardown(test_machine_with_an_unreachable_cancelled_task_is_deleted,
                                        setup_one_machine, sim_teardown),
        cmocka_unit_test_setup_teardown(test_late_transaction_causes_no_second_launch, setup_two_machines,
                                        sim_teardown),
        cmocka_unit_test_setup_teardown(test_lost_write_responses_are_resolved_without_duplicates,
                                        setup_two_machines, sim_teardown),
        cmocka_unit_test_setup_teardown(test_failing_machine_is_avoided, setup_two_machines, sim_teardown),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
