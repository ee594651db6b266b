/* Cancellations that race with the end of a job, with delayed launches and with leader changes
 * (docs/overlapping-failures.md). Guards against a job with two outcomes, and against tasks that run after
 * their cancellation was confirmed because a command or a record arrived late. */
#include "check.h"
#include "failure_setup.h"
#include "sim_cluster.h"
#include "model/submission.h"

static int setup_two_machines_with_long_tasks(void **state)
{
    *state = sim_with_long_tasks(2);
    return 0;
}

static int setup_one_machine_with_long_tasks(void **state)
{
    *state = sim_with_long_tasks(1);
    return 0;
}

static int setup_three_machines_with_long_tasks(void **state)
{
    *state = sim_with_long_tasks(3);
    return 0;
}

static void test_cancellation_racing_the_last_exit_has_one_outcome(void **state)
{
    (void)state;
    for (int offset = 0; offset < 40; offset++) {
        struct sim_cluster *cluster = sim_with_machines(2);
        cluster->run_time_s = 1;
        cluster->store_latency_s = offset % 2 == 0 ? 0 : 0.2;
        sim_submit(cluster, offset % SIM_CONTROLLERS, sim_job("run-1", 2, 1));
        sim_run(cluster, 1 + 0.1 * offset);
        uint64_t cancel_request = sim_cancel(cluster, (offset + 1) % SIM_CONTROLLERS, "run-1");
        uint64_t first_poll = sim_poll(cluster, (offset + 2) % SIM_CONTROLLERS, "run-1");
        sim_submit(cluster, offset % SIM_CONTROLLERS, sim_job("run-1", 2, 1));
        sim_run(cluster, 0.1);
        uint64_t second_poll = sim_poll(cluster, offset % SIM_CONTROLLERS, "run-1");
        sim_run(cluster, 6);
        assert_int_not_equal(sim_status(cluster, cancel_request), 0);
        assert_int_not_equal(sim_status(cluster, first_poll), 0);
        assert_int_not_equal(sim_status(cluster, second_poll), 0);
        int job_state = sim_job_state(cluster, "run-1");
        assert_true(job_state == OW_JOB_DONE || job_state == OW_JOB_CANCELLED);
        if (sim_status(cluster, cancel_request) == 200)
            assert_int_equal(sim_response(cluster, cancel_request)->state, job_state);
        sim_finish(cluster);
    }
}

/* A machine hangs while the job is cancelled, and resumes before its lease expires: it must not continue
 * the cancelled task. */
static void test_cancelled_task_ends_on_a_machine_that_hung(void **state)
{
    struct sim_cluster *cluster = *state;
    struct sim_machine *machine = sim_start_job_at_follower(cluster, sim_job("run-1", 2, 1));
    machine->hung = true;
    struct canceller canceller = {.id = "run-1", .controller = sim_follower(cluster)};
    sim_run_with_canceller(cluster, &canceller, 16);
    machine->hung = false;
    sim_run_with_canceller(cluster, &canceller, 4);
    assert_true(canceller.answered_at > 0);
    assert_int_equal(sim_count_running(cluster, "run-1"), 0);
    sim_check_safety(cluster);
}

/* A launch to a machine that does not send heartbeats is delayed, and is delivered only after the job has
 * been cancelled. */
static void test_delayed_launch_does_not_outlive_a_cancellation(void **state)
{
    struct sim_cluster *cluster = *state;
    struct sim_machine *machine = sim_machine(cluster, "m-0");
    cluster->delay_direct_commands = true;
    machine->next_heartbeat_at = cluster->now + 10;
    sim_submit(cluster, 0, sim_job("run-1", 1, 1));
    sim_run(cluster, 1);
    struct canceller canceller = {.id = "run-1", .controller = sim_follower(cluster)};
    sim_run_with_canceller(cluster, &canceller, 3);
    cluster->delay_direct_commands = false;
    sim_run_with_canceller(cluster, &canceller, 15);
    assert_true(canceller.answered_at > 0);
    assert_int_equal(sim_count_running(cluster, "run-1"), 0);
    sim_check_safety(cluster);
}

/* A team is at its limit when the leader crashes and a machine with its tasks becomes unreachable. The
 * unreachable tasks count against the limit until their end is proven; the next job of the team starts
 * only then. */
static void test_team_limit_holds_across_a_leader_change(void **state)
{
    struct sim_cluster *cluster = *state;
    cluster->cloud_down = true;
    const char *ids[] = {"run-1", "run-2"};
    for (int i = 0; i < 2; i++) {
        struct ow_submission *job = sim_job(ids[i], 2, 4);
        sim_set_team(job, "tight");
        sim_submit(cluster, 0, job);
        sim_run(cluster, 4);
    }
    assert_int_equal(sim_count_running(cluster, "run-1"), 2);
    struct sim_machine *machine = sim_find_machine_of_job(cluster, "run-1");
    machine->partitioned = true;
    sim_kill_controller(cluster, sim_leader(cluster));
    struct canceller canceller = {.id = "run-1", .controller = sim_leader(cluster) == 0 ? 1 : 0};
    for (int i = 0; i < SIM_CONTROLLERS; i++)
        canceller.controller = cluster->controllers[i] != NULL ? i : canceller.controller;
    sim_run_with_canceller(cluster, &canceller, 50);
    machine->partitioned = false;
    sim_run_with_canceller(cluster, &canceller, 20);
    assert_true(canceller.answered_at > 0);
    assert_true(sim_run_until(cluster, 20, sim_job_is_running, "run-2"));
    sim_check_safety(cluster);
}

static void test_jobs_complete_across_ten_leader_changes(void **state)
{
    struct sim_cluster *cluster = *state;
    cluster->run_time_s = 8;
    struct canceller canceller = {.id = "run-3", .controller = 0};
    for (int i = 1; i <= 6; i++) {
        char id[16];
        g_snprintf(id, sizeof id, "run-%d", i);
        sim_submit(cluster, i % SIM_CONTROLLERS, i % 2 == 0 ? sim_gang(id, 3, 6) : sim_job(id, 20, 4));
    }
    sim_run(cluster, 2);
    for (int change = 0; change < 10; change++) {
        int old_leader = sim_leader(cluster);
        if (old_leader >= 0)
            sim_kill_controller(cluster, old_leader);
        sim_run_with_canceller(cluster, &canceller, 1);
        if (old_leader >= 0)
            sim_start_controller(cluster, old_leader);
        canceller.controller = change % SIM_CONTROLLERS;
        cluster->store_down = change == 4 || change == 5;
        sim_run_with_canceller(cluster, &canceller, 10);
    }
    sim_run_with_canceller(cluster, &canceller, 5);
    assert_true(canceller.answered_at > 0);
    for (int i = 1; i <= 6; i++) {
        char id[16];
        g_snprintf(id, sizeof id, "run-%d", i);
        if (i != 3)
            assert_true(sim_run_until(cluster, 90, sim_job_is_done, id));
    }
    sim_check_safety(cluster);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_cancellation_racing_the_last_exit_has_one_outcome),
        cmocka_unit_test_setup_teardown(test_cancelled_task_ends_on_a_machine_that_hung,
                                        setup_two_machines_with_long_tasks, sim_teardown),
        cmocka_unit_test_setup_teardown(test_delayed_launch_does_not_outlive_a_cancellation,
                                        setup_one_machine_with_long_tasks, sim_teardown),
        cmocka_unit_test_setup_teardown(test_team_limit_holds_across_a_leader_change,
                                        setup_two_machines_with_long_tasks, sim_teardown),
        cmocka_unit_test_setup_teardown(test_jobs_complete_across_ten_leader_changes,
                                        setup_three_machines_with_long_tasks, sim_teardown),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
