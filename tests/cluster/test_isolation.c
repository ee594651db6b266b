/* Isolated controllers, immediate restarts, and scarce machines or sockets. Guards against a controller
 * that keeps leading or answering without the key-value store, and against jobs that are never answered or
 * never complete. */
#include "check.h"
#include "sim_cluster.h"
#include "model/submission.h"

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

static int setup_four_machines_and_six_provisionable(void **state)
{
    *state = sim_with_provisionable_machines(4, 6);
    return 0;
}

static int setup_three_machines_and_six_provisionable(void **state)
{
    *state = sim_with_provisionable_machines(3, 6);
    return 0;
}

static int setup_two_machines(void **state)
{
    *state = sim_with_machines(2);
    return 0;
}

static void test_isolated_leader_steps_down(void **state)
{
    struct sim_cluster *cluster = *state;
    struct sim_machine *machine = sim_start_long_job(cluster);
    int old_leader = sim_leader(cluster);
    cluster->isolated_controller = old_leader;
    sim_run(cluster, 4);
    uint64_t poll = sim_poll(cluster, old_leader, "run-1");
    sim_submit(cluster, old_leader, sim_job("run-2", 1, 1));
    sim_run(cluster, 4);
    assert_false(ow_shard_manager_is_ready(cluster->controllers[old_leader]));
    const struct sim_response *response = sim_response(cluster, poll);
    assert_true(response != NULL && response->status == 503);
    assert_true(sim_run_until(cluster, 20, sim_job_is_running, "run-1"));
    sim_run(cluster, 10);
    assert_true(sim_leader(cluster) != old_leader && sim_fencing_token(cluster, old_leader) == 0);
    /* The task has kept running on its machine. */
    assert_true(sim_find_machine_of_job(cluster, "run-1") == machine);
    assert_int_equal(machine->launches, 1);
    cluster->run_time_s = 1;
    sim_submit(cluster, sim_leader(cluster), sim_job("run-3", 1, 1));
    assert_true(sim_run_until(cluster, 20, sim_job_is_done, "run-3"));
    assert_int_equal(sim_count_running(cluster, "run-2"), 0);
    cluster->isolated_controller = -1;
    sim_run(cluster, 10);
    assert_true(ow_shard_manager_is_ready(cluster->controllers[old_leader]));
    sim_check_safety(cluster);
}

static void test_isolated_follower_is_unhealthy(void **state)
{
    struct sim_cluster *cluster = *state;
    int isolated_follower = (sim_leader(cluster) + 1) % SIM_CONTROLLERS;
    cluster->isolated_controller = isolated_follower;
    sim_run(cluster, 8);
    assert_false(ow_shard_manager_is_ready(cluster->controllers[isolated_follower]));
    assert_true(ow_shard_manager_is_ready(cluster->controllers[sim_leader(cluster)]));
    cluster->isolated_controller = -1;
    sim_run(cluster, 8);
    assert_true(ow_shard_manager_is_ready(cluster->controllers[isolated_follower]));
    sim_check_safety(cluster);
}

/* A leader that no worker can reach steps down even while it reaches the key-value store. */
static void test_leader_without_workers_steps_down(void **state)
{
    struct sim_cluster *cluster = *state;
    struct sim_machine *machine = sim_start_long_job(cluster);
    int old_leader = sim_leader(cluster);
    cluster->controller_without_workers = old_leader;
    sim_run(cluster, 18);
    assert_true(sim_leader(cluster) >= 0 && sim_leader(cluster) != old_leader);
    assert_true(sim_find_machine_of_job(cluster, "run-1") == machine);
    sim_check_safety(cluster);
}

static void test_jobs_complete_after_immediate_restarts_during_an_election(void **state)
{
    (void)state;
    for (int step = 0; step < 30; step++) {
        struct sim_cluster *cluster = sim_with_provisionable_machines(2, 6);
        cluster->run_time_s = 4;
        sim_submit(cluster, 0, sim_job("run-1", 3, 1));
        sim_run(cluster, 0.1);
        /* The leader crashes, its successor crashes during the election, and each restarts at once. */
        int old_leader = sim_leader(cluster);
        int successor = (old_leader + 1) % SIM_CONTROLLERS;
        cluster->lose_txn_responses = step % 3 == 0;
        sim_kill_controller(cluster, old_leader);
        sim_break_peer_link(cluster, successor, old_leader);
        sim_start_controller(cluster, old_leader);
        sim_run(cluster, 0.05 * step);
        sim_kill_controller(cluster, successor);
        sim_start_controller(cluster, successor);
        cluster->lose_txn_responses = false;
        sim_run(cluster, 0.1);
        sim_submit(cluster, successor, sim_job("run-1", 3, 1));
        sim_submit(cluster, old_leader, sim_job("run-2", 2, 1));
        assert_true(sim_run_until(cluster, 60, sim_job_is_done, "run-1"));
        sim_submit(cluster, successor, sim_job("run-2", 2, 1));
        assert_true(sim_run_until(cluster, 60, sim_job_is_done, "run-2"));
        sim_finish(cluster);
    }
}

static void test_every_poll_after_leader_changes_is_answered(void **state)
{
    enum { JOBS = 300 };
    struct sim_cluster *cluster = *state;
    uint64_t polls[JOBS];
    char id[16];
    cluster->run_time_s = 1;
    for (int i = 0; i < JOBS; i++) {
        g_snprintf(id, sizeof id, "run-%d", i);
        sim_submit(cluster, i % SIM_CONTROLLERS, sim_job(id, 1, 0.2));
        if (i % 20 == 19)
            sim_run(cluster, 0.5);
    }
    sim_run(cluster, 20);
    for (int round = 0; round < SIM_CONTROLLERS; round++) {
        int controller = sim_leader(cluster);
        sim_kill_controller(cluster, controller);
        sim_run(cluster, 2);
        sim_start_controller(cluster, controller);
        sim_run(cluster, 8);
    }
    for (int i = 0; i < JOBS; i++) {
        g_snprintf(id, sizeof id, "run-%d", i);
        polls[i] = sim_poll(cluster, i % SIM_CONTROLLERS, id);
    }
    sim_run(cluster, 2);
    for (int i = 0; i < JOBS; i++) {
        const struct sim_response *response = sim_response(cluster, polls[i]);
        assert_true(response != NULL && response->status == 200 && response->state == OW_JOB_DONE);
    }
    sim_check_safety(cluster);
}

/* Each of the few machines has failed the job: it must be retried on them, as there are no others. */
static void test_job_is_retried_on_machines_that_failed_it(void **state)
{
    struct sim_cluster *cluster = *state;
    cluster->provisionable_machines = 0;
    cluster->cloud_down = true; /* no machine can be deleted or provisioned */
    for (guint i = 0; i < cluster->machines->len; i++)
        sim_machine_at(cluster, i)->fails_tasks = true;
    cluster->run_time_s = 1;
    sim_submit(cluster, 0, sim_job("run-1", 1, 1));
    sim_run(cluster, 20);
    for (guint i = 0; i < cluster->machines->len; i++)
        sim_machine_at(cluster, i)->fails_tasks = false;
    assert_true(sim_run_until(cluster, 75, sim_job_is_done, "run-1"));
    sim_check_safety(cluster);
}

/* Without free sockets the commands go out with the responses to heartbeats, and no machine counts as
 * unresponsive. */
static void test_work_continues_without_free_sockets(void **state)
{
    struct sim_cluster *cluster = *state;
    cluster->no_sockets = true;
    sim_submit(cluster, 0, sim_gang("run-1", 3, 16));
    assert_true(sim_run_until(cluster, 40, sim_job_is_done, "run-1"));
    sim_run(cluster, 15);
    for (guint i = 0; i < cluster->machines->len; i++)
        assert_int_equal(sim_machine_at(cluster, i)->incarnation, 1);
    sim_submit(cluster, 0, sim_job("run-2", 4, 1));
    assert_true(sim_run_until(cluster, 40, sim_job_is_done, "run-2"));
    sim_check_safety(cluster);
}

/* A controller that was isolated for a long time has missed more changes than one response of the
 * key-value store may hold. It must read the table again, page by page, instead of requesting the same
 * changes indefinitely. */
static void test_follower_with_too_many_missed_changes_rereads_the_table(void **state)
{
    struct sim_cluster *cluster = *state;
    int follower = sim_follower(cluster);
    cluster->isolated_controller = follower;
    cluster->watch_changes_max = 5;
    char id[16];
    for (int n = 1; n <= 12; n++) {
        g_snprintf(id, sizeof id, "run-%d", n);
        sim_submit(cluster, sim_leader(cluster), sim_job(id, 1, 1));
        sim_run(cluster, 1);
    }
    cluster->isolated_controller = -1;
    sim_run(cluster, 20);
    uint64_t request = sim_poll(cluster, follower, id);
    sim_run(cluster, 3);
    assert_int_equal(sim_status(cluster, request), 200);
    sim_check_safety(cluster);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(test_isolated_leader_steps_down,
                                        setup_two_machines_and_six_provisionable, sim_teardown),
        cmocka_unit_test_setup_teardown(test_isolated_follower_is_unhealthy,
                                        setup_one_machine_and_six_provisionable, sim_teardown),
        cmocka_unit_test_setup_teardown(test_leader_without_workers_steps_down,
                                        setup_two_machines_and_six_provisionable, sim_teardown),
        cmocka_unit_test(test_jobs_complete_after_immediate_restarts_during_an_election),
        cmocka_unit_test_setup_teardown(test_every_poll_after_leader_changes_is_answered,
                                        setup_four_machines_and_six_provisionable, sim_teardown),
        cmocka_unit_test_setup_teardown(test_job_is_retried_on_machines_that_failed_it,
                                        setup_two_machines_and_six_provisionable, sim_teardown),
        cmocka_unit_test_setup_teardown(test_work_continues_without_free_sockets,
                                        setup_three_machines_and_six_provisionable, sim_teardown),
        cmocka_unit_test_setup_teardown(test_follower_with_too_many_missed_changes_rereads_the_table,
                                        setup_two_machines, sim_teardown),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
