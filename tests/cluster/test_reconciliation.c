/* Unresponsive machines, and heartbeats that are duplicated, late or out of sequence. Guards against jobs
 * that wait for a machine which no command reaches, and against leases renewed, tasks freed or machines
 * restored by a heartbeat that no longer describes its machine. */
#include "check.h"
#include "sim_cluster.h"
#include "model/worker.h"

static int setup_three_machines_and_six_provisionable(void **state)
{
    *state = sim_with_provisionable_machines(3, 6);
    return 0;
}

static int setup_two_machines_and_six_provisionable(void **state)
{
    *state = sim_with_provisionable_machines(2, 6);
    return 0;
}

static int setup_one_machine_and_six_provisionable(void **state)
{
    *state = sim_with_provisionable_machines(1, 6);
    return 0;
}

static void test_unresponsive_machine_is_avoided_and_deleted(void **state)
{
    struct sim_cluster *cluster = *state;
    struct sim_machine *unresponsive = sim_start_long_job(cluster);
    unresponsive->unresponsive = true;
    /* A gang that needs whole machines may choose this one before the failure is detected: the gang must
     * not wait for it indefinitely. */
    cluster->run_time_s = 2;
    sim_submit(cluster, 0, sim_gang("run-2", 2, 16));
    assert_true(sim_run_until(cluster, 40, sim_machine_is_deleted, unresponsive));
    assert_true(sim_run_until(cluster, 40, sim_job_is_done, "run-2"));
    assert_true(sim_run_until(cluster, 40, sim_job_is_done, "run-1"));
    sim_check_safety(cluster);
}

/* After the first command without a response the machine gets no new tasks, long before it is deleted. */
static void test_unresponsive_machine_gets_no_new_tasks(void **state)
{
    struct sim_cluster *cluster = *state;
    struct sim_machine *unresponsive = sim_start_long_job(cluster);
    unresponsive->unresponsive = true;
    cluster->run_time_s = 1;
    sim_submit(cluster, 0, sim_job("run-2", 1, 1)); /* the best fit is the unresponsive machine */
    sim_run(cluster, 5);
    assert_false(unresponsive->deleted);
    sim_submit(cluster, 0, sim_job("run-3", 1, 1));
    assert_true(sim_run_until(cluster, 4, sim_job_is_done, "run-3"));
    assert_false(unresponsive->deleted);
    sim_check_safety(cluster);
}

static void test_unresponsive_machine_is_replaced_after_a_failover(void **state)
{
    struct sim_cluster *cluster = *state;
    struct sim_machine *unresponsive = sim_start_long_job(cluster);
    unresponsive->unresponsive = true;
    sim_kill_controller(cluster, sim_leader(cluster));
    /* Its heartbeats keep arriving under the old fencing token: they do not prove that commands reach it. */
    assert_true(sim_run_until(cluster, 60, sim_job_runs_on_another, unresponsive));
    assert_true(sim_run_until(cluster, 90, sim_machine_is_deleted, unresponsive));
    sim_check_safety(cluster);
}

static void test_unresponsive_machine_with_a_cancelled_task_is_deleted(void **state)
{
    struct sim_cluster *cluster = *state;
    struct sim_machine *unresponsive = sim_start_long_job(cluster);
    unresponsive->unresponsive = true;
    unresponsive->lease_renewed_at =
        cluster->now + 1000; /* the task is not ended by the expiry of the lease */
    sim_cancel(cluster, 0, "run-1");
    sim_run(cluster, 39);
    assert_true(unresponsive->deleted);
    sim_run(cluster, 5);
    sim_check_safety(cluster);
}

static void test_duplicate_heartbeat_renews_no_lease(void **state)
{
    struct sim_cluster *cluster = *state;
    cluster->cloud_down = true; /* no deletion can prove the end of a task */
    struct sim_machine *machine = sim_start_long_job(cluster);
    enum { DUPLICATES = 26 };
    struct ow_heartbeat *duplicates[DUPLICATES];
    for (int i = 0; i < DUPLICATES; i++)
        duplicates[i] = sim_copy_last_heartbeat(machine);
    machine->partitioned = true;
    for (int i = 0; i < DUPLICATES; i++) {
        sim_send_heartbeat(cluster, sim_leader(cluster), duplicates[i]);
        sim_run(cluster, 1);
    }
    assert_true(sim_job_runs_on_another(cluster, machine));
    machine->partitioned = false;
    sim_run(cluster, 20);
    sim_check_safety(cluster);
}

static void test_duplicate_heartbeat_frees_no_task_after_a_failover(void **state)
{
    struct sim_cluster *cluster = *state;
    cluster->cloud_down = true;
    struct sim_machine *machine = sim_machine(cluster, "m-0");
    struct ow_heartbeat *duplicate_of_m_0 = sim_copy_last_heartbeat(machine);
    struct ow_heartbeat *duplicate_of_m_1 = sim_copy_last_heartbeat(sim_machine(cluster, "m-1"));
    machine = sim_start_long_job(cluster);
    ow_heartbeat_free(machine == sim_machine(cluster, "m-0") ? duplicate_of_m_1 : duplicate_of_m_0);
    struct ow_heartbeat *duplicate =
        machine == sim_machine(cluster, "m-0") ? duplicate_of_m_0 : duplicate_of_m_1;
    machine->partitioned = true;
    machine->lease_renewed_at = cluster->now + 1000;
    sim_kill_controller(cluster, sim_leader(cluster));
    sim_run(cluster, 8);
    /* The duplicate lists no task, and it is the first heartbeat of the machine that this leader receives. */
    sim_send_heartbeat(cluster, sim_leader(cluster), duplicate);
    sim_run(cluster, 15);
    assert_false(sim_job_runs_on_another(cluster, machine));
    machine->partitioned = false;
    sim_run(cluster, 10);
    assert_true(sim_find_machine_of_job(cluster, "run-1") == machine);
    sim_check_safety(cluster);
}

static void test_duplicate_heartbeat_restores_no_deleted_machine(void **state)
{
    struct sim_cluster *cluster = *state;
    struct sim_machine *machine = sim_start_long_job(cluster);
    struct ow_heartbeat *duplicate = sim_copy_last_heartbeat(machine);
    duplicate->sequence += 100; /* newer than every heartbeat received from the machine */
    g_array_set_size(duplicate->tasks, 0);
    machine->reclaim_notice_s = 1;
    machine->next_heartbeat_at = cluster->now;
    sim_run(cluster, 1.5);
    sim_delete_machine(machine);
    cluster->run_time_s = 1;
    assert_true(sim_run_until(cluster, 40, sim_job_is_done, "run-1"));
    sim_send_heartbeat(cluster, sim_leader(cluster), duplicate);
    sim_run(cluster, 0.5);
    sim_submit(cluster, 0, sim_job("run-2", 16, 2));
    assert_true(sim_run_until(cluster, 20, sim_job_is_done, "run-2"));
    sim_check_safety(cluster);
}

/* By the protocol, sequence numbers only grow. Heartbeats of a worker that restarts them can't be
 * distinguished from late duplicates: they are ignored, and its machine is deleted like one that sends no
 * heartbeats. */
static void test_worker_with_reset_sequence_numbers_is_replaced(void **state)
{
    struct sim_cluster *cluster = *state;
    struct sim_machine *machine = sim_start_long_job(cluster);
    machine->incarnation = 3;
    machine->sequence = 500;
    sim_run(cluster, 10);
    struct ow_heartbeat *duplicate = sim_copy_last_heartbeat(machine);
    duplicate->sequence += 100;
    cluster->run_time_s = 2;
    sim_restart_worker(cluster, machine);
    assert_true(sim_run_until(cluster, 60, sim_job_is_done, "run-1"));
    sim_send_heartbeat(cluster, sim_leader(cluster), duplicate);
    assert_true(sim_run_until(cluster, 60, sim_machine_is_deleted, machine));
    sim_check_safety(cluster);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(test_unresponsive_machine_is_avoided_and_deleted,
                                        setup_three_machines_and_six_provisionable, sim_teardown),
        cmocka_unit_test_setup_teardown(test_unresponsive_machine_gets_no_new_tasks,
                                        setup_two_machines_and_six_provisionable, sim_teardown),
        cmocka_unit_test_setup_teardown(test_unresponsive_machine_is_replaced_after_a_failover,
                                        setup_three_machines_and_six_provisionable, sim_teardown),
        cmocka_unit_test_setup_teardown(test_unresponsive_machine_with_a_cancelled_task_is_deleted,
                                        setup_two_machines_and_six_provisionable, sim_teardown),
        cmocka_unit_test_setup_teardown(test_duplicate_heartbeat_renews_no_lease,
                                        setup_two_machines_and_six_provisionable, sim_teardown),
        cmocka_unit_test_setup_teardown(test_duplicate_heartbeat_frees_no_task_after_a_failover,
                                        setup_two_machines_and_six_provisionable, sim_teardown),
        cmocka_unit_test_setup_teardown(test_duplicate_heartbeat_restores_no_deleted_machine,
                                        setup_one_machine_and_six_provisionable, sim_teardown),
        cmocka_unit_test_setup_teardown(test_worker_with_reset_sequence_numbers_is_replaced,
                                        setup_one_machine_and_six_provisionable, sim_teardown),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
