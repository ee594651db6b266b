/* Services: replicas run on separate machines until their job is cancelled, and restart elsewhere when
 * they exit. Guards against replicas that stay down after an exit, a dead machine or a leader change, and
 * against machines that are deleted although they work. */
#include "check.h"
#include "sim_cluster.h"
#include "model/submission.h"

#include <string.h>

static int setup_three_replicas_on_three_machines(void **state)
{
    *state = sim_with_service(3, 3);
    return 0;
}

static int setup_three_replicas_on_four_machines(void **state)
{
    *state = sim_with_service(4, 3);
    return 0;
}

static int setup_six_replicas_on_eight_machines(void **state)
{
    *state = sim_with_service(8, 6);
    return 0;
}

static int setup_two_machines_and_four_provisionable(void **state)
{
    *state = sim_with_provisionable_machines(2, 4);
    return 0;
}

static int setup_four_machines_and_four_provisionable(void **state)
{
    *state = sim_with_provisionable_machines(4, 4);
    return 0;
}

static void test_replicas_run_on_separate_machines_and_never_complete(void **state)
{
    struct sim_cluster *cluster = *state;
    for (guint i = 0; i < 3; i++)
        assert_int_equal(sim_count_running_on(sim_machine_at(cluster, i), "run-1"), 1);
    sim_run(cluster, 60);
    assert_int_equal(sim_count_running(cluster, "run-1"), 3);
    assert_int_equal(sim_job_state(cluster, "run-1"), OW_JOB_RUNNING);
    uint64_t cancel_request = sim_cancel(cluster, 1, "run-1");
    sim_run(cluster, 2);
    assert_int_equal(sim_response(cluster, cancel_request)->state, OW_JOB_CANCELLED);
    assert_int_equal(sim_count_running(cluster, "run-1"), 0);
    sim_check_safety(cluster);
}

/* A replica restarts whether it succeeds or fails, on a machine that does not hold the result of its last
 * attempt. */
static void test_exited_replica_restarts_on_another_machine(void **state)
{
    (void)state;
    for (int cause = 0; cause < 2; cause++) {
        struct sim_cluster *cluster = sim_with_service(4, 3);
        struct sim_machine *machine = sim_find_machine_of_job(cluster, "run-1");
        machine->fails_tasks = cause == 1;
        unsigned launches_before = machine->launches;
        g_array_index(machine->tasks, struct sim_task, 0).next_phase_at = cluster->now;
        sim_run(cluster, 1);
        assert_true(sim_run_until(cluster, 6, sim_job_runs_three_tasks, "run-1"));
        assert_int_equal(machine->launches, launches_before);
        assert_int_equal(sim_job_state(cluster, "run-1"), OW_JOB_RUNNING);
        sim_finish(cluster);
    }
}

/* A single machine that stops sending heartbeats is deleted, so that its replicas restart long before its
 * lease expires. */
static void test_replicas_of_a_dead_machine_restart_before_its_lease_expires(void **state)
{
    struct sim_cluster *cluster = *state;
    struct sim_machine *machine = sim_find_machine_of_job(cluster, "run-1");
    machine->hung = true;
    assert_true(sim_run_until(cluster, 14, sim_machine_is_deleted, machine));
    assert_true(sim_run_until(cluster, 4, sim_job_runs_three_tasks, "run-1"));
    sim_check_safety(cluster);
}

/* Many machines that stop sending heartbeats at once may be partitioned: their replicas keep running, and
 * none of the machines may be deleted. */
static void test_replicas_behind_a_partition_keep_running(void **state)
{
    struct sim_cluster *cluster = *state;
    for (guint i = 0; i < 5; i++)
        sim_machine_at(cluster, i)->partitioned = true;
    sim_run(cluster, 14);
    for (guint i = 0; i < 5; i++)
        assert_false(sim_machine_at(cluster, i)->deleted);
    assert_int_equal(sim_count_running(cluster, "run-1"), 6);
    for (guint i = 0; i < 5; i++)
        sim_machine_at(cluster, i)->partitioned = false;
    sim_run(cluster, 20);
    assert_int_equal(sim_count_running(cluster, "run-1"), 6);
    sim_check_safety(cluster);
}

static void test_services_respect_spread_and_team_limits(void **state)
{
    struct sim_cluster *cluster = *state;
    sim_add_machine(cluster, "w-0", "big", "west", false);
    sim_run(cluster, 4);
    struct ow_submission *service = sim_service("run-1", 4, 1);
    struct ow_submission *oversized_service = sim_service("run-2", 9, 1);
    service->spread = true;
    sim_set_team(oversized_service, "tight");
    uint64_t service_request = sim_submit(cluster, 0, service);
    uint64_t oversized_request = sim_submit(cluster, 0, oversized_service);
    sim_run(cluster, 8);
    assert_int_equal(sim_response(cluster, service_request)->status, 201);
    assert_int_equal(sim_response(cluster, oversized_request)->status, 422);
    assert_int_equal(sim_count_running(cluster, "run-1"), 4);
    assert_int_equal(sim_count_running_on(sim_machine(cluster, "w-0"), "run-1"), 2);
    sim_check_safety(cluster);
}

/* Across leader changes the replicas keep running, and none is launched twice. */
static void test_services_survive_leader_changes(void **state)
{
    struct sim_cluster *cluster = *state;
    for (int i = 0; i < 4; i++) {
        int old_leader = sim_leader(cluster);
        sim_kill_controller(cluster, old_leader);
        sim_run(cluster, 8);
        sim_start_controller(cluster, old_leader);
        sim_run(cluster, 4);
        assert_int_equal(sim_count_running(cluster, "run-1"), 3);
    }
    assert_int_equal(sim_count_launches(cluster), 3);
    sim_check_safety(cluster);
}

/* Only direct commands are delayed; responses to heartbeats arrive and carry the same commands. No machine
 * may be deleted as unresponsive, and new replicas must start. */
static void test_delayed_direct_commands_delete_no_machine(void **state)
{
    struct sim_cluster *cluster = *state;
    cluster->run_time_s = 200;
    sim_submit(cluster, 0, sim_job("run-9", 4, 12));
    sim_run(cluster, 6);
    cluster->delay_direct_commands = true;
    sim_submit(cluster, 0, sim_service("run-2", 2, 1));
    sim_run(cluster, 25);
    for (guint i = 0; i < 4; i++)
        assert_false(sim_machine_at(cluster, i)->deleted);
    assert_int_equal(sim_count_running(cluster, "run-1"), 3);
    assert_int_equal(sim_count_running(cluster, "run-2"), 2);
    cluster->delay_direct_commands = false;
    sim_run(cluster, 10);
    sim_check_safety(cluster);
}

/* Makes every task on the machine reach the end of its phase now. */
static void end_tasks(struct sim_cluster *cluster, struct sim_machine *machine)
{
    for (guint i = 0; i < machine->tasks->len; i++)
        g_array_index(machine->tasks, struct sim_task, i).next_phase_at = cluster->now;
}

/* On most machines every task fails for a while. A replica that keeps running shows that the service is
 * healthy: the failures of the others must not lengthen its back-off. */
static void test_failures_of_a_healthy_service_do_not_accumulate(void **state)
{
    (void)state;
    enum { REPLICAS = 5 };
    struct sim_cluster *cluster = sim_with_provisionable_machines(REPLICAS, 4);
    cluster->provisionable_machines = 0;
    sim_submit(cluster, 0, sim_service("run-1", REPLICAS, 16));
    sim_run(cluster, 30);
    assert_int_equal(sim_count_running(cluster, "run-1"), REPLICAS);
    for (int i = 0; i < 180; i++) {
        for (guint k = 1; k < REPLICAS; k++) {
            struct sim_machine *machine = sim_machine_at(cluster, k);
            machine->fails_tasks = true;
            end_tasks(cluster, machine);
        }
        sim_run(cluster, 0.5);
    }
    for (guint k = 1; k < REPLICAS; k++)
        sim_machine_at(cluster, k)->fails_tasks = false;
    sim_run(cluster, 25);
    /* One machine may still be excluded for the service: the one on which it failed last, for a minute. */
    assert_in_range(sim_count_running(cluster, "run-1"), REPLICAS - 1, REPLICAS);
    sim_finish(cluster);
}

/* A faulty job fails on every machine and is paused: polls must answer the reason meanwhile. */
static void test_poll_of_a_paused_service_answers_the_reason(void **state)
{
    struct sim_cluster *cluster = *state;
    cluster->provisionable_machines = 0;
    for (guint i = 0; i < 4; i++)
        sim_machine_at(cluster, i)->fails_tasks = true;
    sim_submit(cluster, 0, sim_service("run-1", 2, 1));
    bool was_answered = false;
    for (int i = 0; i < 60 && !was_answered; i++) {
        uint64_t request = sim_poll(cluster, sim_leader(cluster), "run-1");
        sim_run(cluster, 1);
        const struct sim_response *response = sim_response(cluster, request);
        was_answered =
            response != NULL && response->reason != NULL && strstr(response->reason, "paused") != NULL;
    }
    assert_true(was_answered);
    assert_int_not_equal(sim_job_state(cluster, "run-1"), OW_JOB_DONE);
    sim_check_safety(cluster);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(test_replicas_run_on_separate_machines_and_never_complete,
                                        setup_three_replicas_on_three_machines, sim_teardown),
        cmocka_unit_test(test_exited_replica_restarts_on_another_machine),
        cmocka_unit_test_setup_teardown(test_replicas_of_a_dead_machine_restart_before_its_lease_expires,
                                        setup_three_replicas_on_four_machines, sim_teardown),
        cmocka_unit_test_setup_teardown(test_replicas_behind_a_partition_keep_running,
                                        setup_six_replicas_on_eight_machines, sim_teardown),
        cmocka_unit_test_setup_teardown(test_services_respect_spread_and_team_limits,
                                        setup_two_machines_and_four_provisionable, sim_teardown),
        cmocka_unit_test_setup_teardown(test_services_survive_leader_changes,
                                        setup_three_replicas_on_four_machines, sim_teardown),
        cmocka_unit_test_setup_teardown(test_delayed_direct_commands_delete_no_machine,
                                        setup_three_replicas_on_four_machines, sim_teardown),
        cmocka_unit_test(test_failures_of_a_healthy_service_do_not_accumulate),
        cmocka_unit_test_setup_teardown(test_poll_of_a_paused_service_answers_the_reason,
                                        setup_four_machines_and_four_provisionable, sim_teardown),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
