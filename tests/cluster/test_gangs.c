/* Scheduling of gangs: reservations, queue order, zones and preemption. Guards against a gang of which
 * only some members run, and against gangs that wait or hold capacity indefinitely. */
#include "check.h"
#include "sim_cluster.h"
#include "model/submission.h"
#include "model/worker.h"

static int setup_one_controller(void **state)
{
    *state = sim_with_one_controller();
    return 0;
}

static int setup_one_controller_and_one_machine(void **state)
{
    *state = sim_with_one_controller_and_machines(1);
    return 0;
}

static int setup_one_controller_and_two_machines(void **state)
{
    *state = sim_with_one_controller_and_machines(2);
    return 0;
}

static void test_gang_members_start_together_with_one_attempt(void **state)
{
    struct sim_cluster *cluster = *state;
    sim_add_machine(cluster, "m-0", "big", "east", false);
    sim_add_machine(cluster, "m-1", "big", "east", false);
    sim_run(cluster, 3);
    cluster->run_time_s = 50;
    sim_start_job(cluster, sim_gang("run-1", 2, 10));
    sim_run(cluster, 0.2);
    assert_int_equal(sim_count_running(cluster, "run-1"), 2);
    const struct sim_task *first = &g_array_index(sim_machine(cluster, "m-0")->tasks, struct sim_task, 0);
    const struct sim_task *second = &g_array_index(sim_machine(cluster, "m-1")->tasks, struct sim_task, 0);
    assert_true(first->attempt == second->attempt);
    sim_check_safety(cluster);
}

static void test_waiting_gang_keeps_its_reservation_and_queue_position(void **state)
{
    struct sim_cluster *cluster = *state;
    cluster->cloud_down = true; /* no machine can be provisioned */
    sim_add_machine(cluster, "m-0", "big", "east", false);
    sim_add_machine(cluster, "m-1", "big", "east", false);
    sim_run(cluster, 3);
    cluster->cloud_down = false;
    sim_run(cluster, 4);
    cluster->run_time_s = 20;
    sim_start_job(cluster, sim_job("run-1", 1, 16));  /* fills one of the two machines */
    sim_submit(cluster, 0, sim_gang("run-2", 2, 16)); /* needs both machines */
    sim_run(cluster, 1);
    cluster->run_time_s = 200;
    sim_submit(cluster, 0, sim_job("run-3", 16, 1)); /* fits the free machine, but was submitted later */
    sim_run(cluster, 10);
    assert_int_equal(sim_count_running(cluster, "run-2"), 0);
    assert_int_equal(sim_count_running(cluster, "run-3"), 0);
    assert_true(sim_run_until(cluster, 20, sim_job_is_running, "run-2"));
    sim_run(cluster, 1);
    assert_int_equal(sim_count_running(cluster, "run-2"), 2);
    sim_check_safety(cluster);
}

static void test_reservation_expires_after_the_waiting_limit(void **state)
{
    struct sim_cluster *cluster = *state;
    cluster->tuning.waiting_limit_s = 8;
    sim_add_machine(cluster, "m-0", "big", "east", false);
    sim_add_machine(cluster, "m-1", "big", "east", false);
    sim_run(cluster, 6);
    cluster->run_time_s = 300;
    sim_start_job(cluster, sim_job("run-1", 1, 16));
    sim_submit(cluster, 0, sim_gang("run-2", 2, 16));
    sim_run(cluster, 1);
    sim_submit(cluster, 0, sim_job("run-3", 1, 4));
    sim_run(cluster, 10);
    assert_int_equal(sim_count_running(cluster, "run-3"), 0);
    /* The reservation window of 5 s, then the waiting limit. */
    assert_true(sim_run_until(cluster, 10, sim_job_is_running, "run-3"));
    sim_check_safety(cluster);
}

static void test_one_zone_gang_starts_in_one_zone(void **state)
{
    struct sim_cluster *cluster = *state;
    sim_add_machine(cluster, "m-0", "big", "east", false);
    sim_add_machine(cluster, "m-1", "big", "west", false);
    sim_add_machine(cluster, "m-2", "big", "west", false);
    sim_run(cluster, 6);
    cluster->run_time_s = 50;
    struct ow_submission *submission = sim_gang("run-1", 2, 16);
    submission->one_zone = true;
    sim_start_job(cluster, submission);
    sim_run(cluster, 1);
    assert_int_equal(sim_count_running_in_zone(cluster, "run-1", "west"), 2);
    sim_check_safety(cluster);
}

static void test_urgent_gang_preempts_lower_rank(void **state)
{
    struct sim_cluster *cluster = *state;
    cluster->run_time_s = 300;
    struct ow_submission *low = sim_job("run-1", 16, 1);
    struct ow_submission *low_gang = sim_gang("run-2", 1, 12);
    struct ow_submission *urgent = sim_gang("run-3", 1, 12);
    low->rank = OW_RANK_LOW;
    low_gang->rank = OW_RANK_LOW;
    urgent->rank = OW_RANK_URGENT;
    sim_start_job(cluster, low);
    sim_submit(cluster, 0, low_gang); /* equal rank: it must not preempt */
    sim_run(cluster, 5);
    assert_int_equal(sim_count_running(cluster, "run-1"), 16);
    sim_start_job(cluster, urgent);
    assert_int_equal(sim_count_running(cluster, "run-1"), 4);
    sim_check_safety(cluster);
}

static void test_failed_member_ends_the_gang_attempt(void **state)
{
    struct sim_cluster *cluster = *state;
    cluster->run_time_s = 100;
    sim_start_job(cluster, sim_gang("run-1", 2, 16));
    sim_run(cluster, 2);
    struct sim_machine *machine = sim_machine(cluster, "m-0");
    struct sim_task *task = &g_array_index(machine->tasks, struct sim_task, 0);
    uint64_t attempt = task->attempt;
    task->phase = OW_PHASE_EXITED;
    task->cause = OW_CAUSE_FULL; /* rejected by the worker: the member that did start is stopped */
    machine->next_heartbeat_at = cluster->now;
    sim_run(cluster, 6);
    assert_int_equal(sim_count_running(cluster, "run-1"), 2);
    task = &g_array_index(machine->tasks, struct sim_task, machine->tasks->len - 1);
    assert_true(task->attempt > attempt);
    sim_check_safety(cluster);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(test_gang_members_start_together_with_one_attempt,
                                        setup_one_controller, sim_teardown),
        cmocka_unit_test_setup_teardown(test_waiting_gang_keeps_its_reservation_and_queue_position,
                                        setup_one_controller, sim_teardown),
        cmocka_unit_test_setup_teardown(test_reservation_expires_after_the_waiting_limit,
                                        setup_one_controller, sim_teardown),
        cmocka_unit_test_setup_teardown(test_one_zone_gang_starts_in_one_zone, setup_one_controller,
                                        sim_teardown),
        cmocka_unit_test_setup_teardown(test_urgent_gang_preempts_lower_rank,
                                        setup_one_controller_and_one_machine, sim_teardown),
        cmocka_unit_test_setup_teardown(test_failed_member_ends_the_gang_attempt,
                                        setup_one_controller_and_two_machines, sim_teardown),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
