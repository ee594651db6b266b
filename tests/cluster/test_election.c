/* Election of a leader, its term, and the health of controllers while the key-value store fails. Guards
 * against a cluster that stays without a leader, against controllers that depose each other in turn, and
 * against a leader that loses its term or its health to an outage of the store. */
#include "check.h"
#include "sim_cluster.h"

static int setup_three_controllers_and_one_machine(void **state)
{
    *state = sim_with_controllers(3, 1);
    return 0;
}

static int setup_one_controller_and_one_machine(void **state)
{
    *state = sim_with_controllers(1, 1);
    return 0;
}

static int setup_three_controllers_and_two_machines(void **state)
{
    *state = sim_with_controllers(3, 2);
    return 0;
}

static void test_new_leader_is_elected_after_a_crash(void **state)
{
    struct sim_cluster *cluster = *state;
    int first_leader = sim_leader(cluster);
    assert_true(first_leader >= 0);
    uint64_t fencing_token = sim_fencing_token(cluster, first_leader);
    for (int i = 0; i < SIM_CONTROLLERS; i++)
        assert_true(i == first_leader || sim_fencing_token(cluster, i) == 0);
    sim_kill_controller(cluster, first_leader);
    sim_run(cluster, 8);
    int second_leader = sim_leader(cluster);
    assert_true(second_leader >= 0 && second_leader != first_leader);
    assert_true(sim_fencing_token(cluster, second_leader) > fencing_token);
    sim_check_safety(cluster);
}

static void test_lost_link_to_the_leader_triggers_an_election(void **state)
{
    struct sim_cluster *cluster = *state;
    sim_run(cluster, 8);
    int first_leader = sim_leader(cluster);
    int other_controller = (first_leader + 1) % SIM_CONTROLLERS;
    sim_kill_controller(cluster, first_leader);
    sim_break_peer_link(cluster, other_controller, first_leader);
    sim_run(cluster, 0.5);
    assert_int_equal(sim_leader(cluster), other_controller);
    /* Controllers without a link between them must not depose each other in turn. */
    sim_start_controller(cluster, first_leader);
    sim_run(cluster, 2);
    uint64_t fencing_token = sim_fencing_token(cluster, other_controller);
    sim_break_peer_link(cluster, first_leader, other_controller);
    sim_run(cluster, 1);
    assert_true(sim_fencing_token(cluster, other_controller) == fencing_token);
    sim_check_safety(cluster);
}

static void test_restarted_leader_is_elected_at_once(void **state)
{
    struct sim_cluster *cluster = *state;
    uint64_t fencing_token = sim_fencing_token(cluster, 0);
    sim_kill_controller(cluster, 0);
    sim_start_controller(cluster, 0);
    sim_run(cluster, 1);
    assert_true(sim_fencing_token(cluster, 0) > fencing_token);
    sim_check_safety(cluster);
}

static void test_lost_election_response_is_read_back(void **state)
{
    (void)state;
    struct sim_cluster *cluster = sim_new();
    cluster->lose_txn_responses = true;
    sim_start_controller(cluster, 0);
    sim_run(cluster, 2);
    cluster->lose_txn_responses = false;
    sim_run(cluster, 2);
    assert_true(sim_fencing_token(cluster, 0) > 0);
    sim_finish(cluster);
}

static void test_leader_keeps_its_term_through_an_outage(void **state)
{
    struct sim_cluster *cluster = *state;
    int leader = sim_leader(cluster);
    uint64_t fencing_token = sim_fencing_token(cluster, leader);
    sim_submit(cluster, 0, sim_job("run-1", 2, 1));
    cluster->run_time_s = 60;
    assert_true(sim_run_until(cluster, 10, sim_job_is_running, "run-1"));
    cluster->store_down = true;
    sim_run(cluster, 45);
    /* Rule 8: the leader answers workers throughout the outage, so that their tasks outlive it. */
    assert_int_equal(sim_count_running(cluster, "run-1"), 2);
    cluster->store_down = false;
    sim_run(cluster, 2);
    assert_true(sim_fencing_token(cluster, leader) == fencing_token);
    sim_check_safety(cluster);
}

static void test_health_distinguishes_an_outage_from_a_controller_without_store(void **state)
{
    struct sim_cluster *cluster = *state;
    cluster->controller_without_store = 2;
    sim_poll(cluster, 2, "run-1"); /* its read fails, so it learns that the store is unavailable to it */
    sim_run(cluster, 5);
    assert_false(ow_shard_manager_is_ready(cluster->controllers[2]));
    assert_true(ow_shard_manager_is_ready(cluster->controllers[0]) &&
                ow_shard_manager_is_ready(cluster->controllers[1]));
    cluster->controller_without_store = -1;
    cluster->store_down = true;
    sim_run(cluster, 18);
    sim_kill_controller(cluster, 0);
    sim_start_controller(cluster, 0);
    sim_run(cluster, 2);
    for (int i = 0; i < SIM_CONTROLLERS; i++)
        assert_true(ow_shard_manager_is_ready(cluster->controllers[i]));
    sim_check_safety(cluster);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(test_new_leader_is_elected_after_a_crash,
                                        setup_three_controllers_and_one_machine, sim_teardown),
        cmocka_unit_test_setup_teardown(test_lost_link_to_the_leader_triggers_an_election,
                                        setup_three_controllers_and_one_machine, sim_teardown),
        cmocka_unit_test_setup_teardown(test_restarted_leader_is_elected_at_once,
                                        setup_one_controller_and_one_machine, sim_teardown),
        cmocka_unit_test(test_lost_election_response_is_read_back),
        cmocka_unit_test_setup_teardown(test_leader_keeps_its_term_through_an_outage,
                                        setup_three_controllers_and_two_machines, sim_teardown),
        cmocka_unit_test_setup_teardown(test_health_distinguishes_an_outage_from_a_controller_without_store,
                                        setup_three_controllers_and_one_machine, sim_teardown),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
