/* Services and preemption: of lower ranks, by more urgent work, in one zone, and within the spread limit.
 * Guards against services that wait behind less urgent work, and against preemption that frees capacity
 * which the service may not use. */
#include "check.h"
#include "sim_cluster.h"
#include "model/submission.h"

static int setup_two_machines(void **state)
{
    *state = sim_with_machines(2);
    return 0;
}

static int setup_two_machines_and_four_provisionable(void **state)
{
    *state = sim_with_provisionable_machines(2, 4);
    return 0;
}

static int setup_one_machine_and_four_provisionable(void **state)
{
    *state = sim_with_provisionable_machines(1, 4);
    return 0;
}

static int setup_four_machines_and_four_provisionable(void **state)
{
    *state = sim_with_provisionable_machines(4, 4);
    return 0;
}

/* All machines are full of low-rank work: some of it must be preempted at once. */
static void test_service_preempts_lower_rank(void **state)
{
    struct sim_cluster *cluster = *state;
    cluster->run_time_s = 200;
    struct ow_submission *low_job = sim_job("run-9", 32, 1);
    low_job->rank = OW_RANK_LOW;
    sim_submit(cluster, 0, low_job);
    sim_run(cluster, 8);
    assert_int_equal(sim_count_running(cluster, "run-9"), 32);
    struct ow_submission *service = sim_service("run-1", 3, 1);
    sim_submit(cluster, 0, service);
    sim_run(cluster, 5);
    assert_int_equal(sim_count_running(cluster, "run-1"), 3);
    sim_check_safety(cluster);
}

/* A service never completes: the time since its submission must not count as waiting time, which would
 * protect it from preemption. */
static void test_old_service_is_preempted_by_more_urgent_work(void **state)
{
    struct sim_cluster *cluster = *state;
    cluster->provisionable_machines = 0;
    struct ow_submission *low_job = sim_service("run-1", 1, 16);
    low_job->rank = OW_RANK_LOW;
    sim_submit(cluster, 0, low_job);
    sim_run(cluster, 230);
    struct sim_machine *machine = sim_machine(cluster, "m-0");
    machine->fails_tasks = true;
    g_array_index(machine->tasks, struct sim_task, 0).next_phase_at = cluster->now;
    sim_run(cluster, 2);
    machine->fails_tasks = false;
    assert_true(sim_run_until(cluster, 90, sim_job_is_running, "run-1"));
    sim_start_job(cluster, sim_service("run-2", 1, 16));
    sim_check_safety(cluster);
}

/* Replicas that must run in one zone preempt lower-rank work as well, and only in that zone. */
static void test_preemption_frees_capacity_in_one_zone(void **state)
{
    struct sim_cluster *cluster = *state;
    cluster->provisionable_machines = 0;
    cluster->run_time_s = 200;
    sim_add_machine(cluster, "w-0", "big", "west", false);
    struct ow_submission *low_job = sim_job("run-9", 48, 1);
    low_job->rank = OW_RANK_LOW;
    sim_submit(cluster, 0, low_job);
    sim_run(cluster, 8);
    struct ow_submission *service = sim_service("run-1", 2, 16);
    service->one_zone = true;
    sim_submit(cluster, 0, service);
    sim_run(cluster, 6);
    assert_int_equal(sim_count_running(cluster, "run-1"), 2);
    assert_int_equal(sim_count_running_on(sim_machine(cluster, "w-0"), "run-9"), 16);
    sim_check_safety(cluster);
}

/* At most half of the replicas may run in one zone: no more than that share may be preempted there. */
static void test_preemption_respects_the_spread_limit(void **state)
{
    struct sim_cluster *cluster = *state;
    cluster->provisionable_machines = 0;
    cluster->run_time_s = 200;
    sim_add_group(cluster, "w", 4, "west", false);
    struct ow_submission *low_job = sim_job("run-9", 128, 1);
    low_job->rank = OW_RANK_LOW;
    sim_submit(cluster, 0, low_job);
    sim_run(cluster, 8);
    struct ow_submission *service = sim_service("run-1", 4, 16);
    service->spread = true;
    sim_submit(cluster, 0, service);
    sim_run(cluster, 8);
    assert_int_equal(sim_count_running(cluster, "run-1"), 4);
    assert_int_equal(sim_count_launches(cluster), 128 + 4);
    sim_check_safety(cluster);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(test_service_preempts_lower_rank, setup_two_machines, sim_teardown),
        cmocka_unit_test_setup_teardown(test_old_service_is_preempted_by_more_urgent_work,
                                        setup_one_machine_and_four_provisionable, sim_teardown),
        cmocka_unit_test_setup_teardown(test_preemption_frees_capacity_in_one_zone,
                                        setup_two_machines_and_four_provisionable, sim_teardown),
        cmocka_unit_test_setup_teardown(test_preemption_respects_the_spread_limit,
                                        setup_four_machines_and_four_provisionable, sim_teardown),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
