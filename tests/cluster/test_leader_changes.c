/* Leader changes together with lost machines, expired leases and tasks that end
 * (docs/overlapping-failures.md). Guards against tasks that run twice, and against jobs that never
 * complete because the successor lacks what its predecessor knew. */
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

/* A fencing token that was released must not be reused: launches sent under it may still be in flight. */
static void test_returning_leader_takes_a_new_fencing_token(void **state)
{
    struct sim_cluster *cluster = *state;
    int old_leader = sim_leader(cluster);
    uint64_t before = sim_fencing_token(cluster, old_leader);
    cluster->isolated_controller = old_leader;
    cluster->store_down = true; /* its leader key stays: the store's leases don't expire in an outage */
    sim_run(cluster, 30);
    assert_int_equal(sim_fencing_token(cluster, old_leader), 0);
    cluster->isolated_controller = -1;
    cluster->store_down = false;
    sim_run(cluster, 8);
    assert_int_equal(sim_leader(cluster), old_leader);
    assert_true(sim_fencing_token(cluster, old_leader) > before);
    sim_check_safety(cluster);
}

/* A machine's heartbeats reach no controller, so its lease expires repeatedly, although it answers
 * commands: it must get no new tasks. */
static void test_machine_without_heartbeats_gets_no_new_tasks(void **state)
{
    struct sim_cluster *cluster = *state;
    cluster->run_time_s = 15;
    struct sim_machine *machine = sim_start_job_at_follower(cluster, sim_job("run-1", 1, 1));
    machine->heartbeats_lost = true;
    /* A new leader queries the machine directly and gets a response to every command. */
    sim_kill_controller(cluster, sim_leader(cluster));
    sim_run(cluster, 6);
    unsigned before = machine->launches;
    for (int i = 2; i < 32; i++) {
        char id[16];
        g_snprintf(id, sizeof id, "run-%d", i);
        sim_submit(cluster, sim_leader(cluster), sim_job(id, 1, 0.5));
        sim_run(cluster, 1);
        before = i == 10 ? machine->launches : before;
    }
    assert_int_equal(machine->launches, before);
    assert_true(sim_run_until(cluster, 120, sim_job_is_done, "run-31"));
    assert_true(sim_run_until(cluster, 70, sim_job_is_done, "run-1"));
    sim_check_safety(cluster);
}

/* Tasks that must stay in one zone lose their machine during a failover: none may start in another zone
 * before they have ended. */
static void test_one_zone_array_survives_a_machine_loss(void **state)
{
    struct sim_cluster *cluster = *state;
    cluster->provisionable_machines = 4;
    sim_add_machine(cluster, "w-0", "big", "west", false);
    sim_add_machine(cluster, "w-1", "big", "west", false);
    struct ow_submission *job = sim_job("run-1", 4, 8);
    job->one_zone = true;
    struct sim_machine *machine = sim_start_job_at_follower(cluster, job);
    machine->hung = true;
    sim_kill_controller(cluster, sim_leader(cluster));
    sim_run(cluster, 15);
    machine->hung = false;
    cluster->run_time_s = 3;
    sim_run(cluster, 5);
    sim_start_controllers(cluster);
    sim_delete_machine(machine);
    sim_run(cluster, 60);
    cluster->run_time_s = 3;
    for (guint i = 0; i < cluster->machines->len; i++) {
        struct sim_machine *other = sim_machine_at(cluster, i);
        for (guint k = 0; k < other->tasks->len; k++)
            g_array_index(other->tasks, struct sim_task, k).next_phase_at = cluster->now;
    }
    assert_true(sim_run_until(cluster, 60, sim_job_is_done, "run-1"));
    sim_check_safety(cluster);
}

static void test_job_completes_after_controllers_were_down_past_a_lease(void **state)
{
    struct sim_cluster *cluster = *state;
    sim_start_job_at_follower(cluster, sim_job("run-1", 3, 1));
    sim_kill_controllers(cluster);
    sim_run(cluster, 30);
    assert_int_equal(sim_count_running(cluster, "run-1"), 0);
    cluster->run_time_s = 3;
    sim_start_controllers(cluster);
    assert_true(sim_run_until(cluster, 30, sim_job_is_done, "run-1"));
    sim_check_safety(cluster);
}

/* The tasks of a job end far apart, with a leader change after each: a result recorded under one leader
 * must count under the next, and no task runs twice. */
static void test_recorded_results_survive_leader_changes(void **state)
{
    struct sim_cluster *cluster = *state;
    sim_start_job_at_follower(cluster, sim_job("run-1", 3, 1));
    struct sim_task *tasks[3];
    guint count = 0;
    for (guint i = 0; i < cluster->machines->len; i++) {
        struct sim_machine *machine = sim_machine_at(cluster, i);
        for (guint k = 0; k < machine->tasks->len; k++)
            tasks[count++] = &g_array_index(machine->tasks, struct sim_task, k);
    }
    assert_int_equal(count, 3);
    for (guint i = 0; i < count; i++)
        tasks[i]->next_phase_at = cluster->now + 2 + 15 * i;
    for (int i = 0; i < 3; i++) {
        sim_run(cluster, 9);
        int old_leader = sim_leader(cluster);
        sim_kill_controller(cluster, old_leader);
        sim_run(cluster, 6);
        sim_start_controller(cluster, old_leader);
        assert_int_equal(sim_job_state(cluster, "run-1") == OW_JOB_DONE, i == 2);
    }
    assert_int_equal(sim_count_launches(cluster), 3);
    sim_check_safety(cluster);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(test_returning_leader_takes_a_new_fencing_token,
                                        setup_two_machines_with_long_tasks, sim_teardown),
        cmocka_unit_test_setup_teardown(test_machine_without_heartbeats_gets_no_new_tasks,
                                        setup_two_machines_with_long_tasks, sim_teardown),
        cmocka_unit_test_setup_teardown(test_one_zone_array_survives_a_machine_loss,
                                        setup_one_machine_with_long_tasks, sim_teardown),
        cmocka_unit_test_setup_teardown(test_job_completes_after_controllers_were_down_past_a_lease,
                                        setup_two_machines_with_long_tasks, sim_teardown),
        cmocka_unit_test_setup_teardown(test_recorded_results_survive_leader_changes,
                                        setup_three_machines_with_long_tasks, sim_teardown),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
