/* Election of a leader, its term, and the health of controllers while the key-value store fails. */
#include "check.h"
#include "world.h"

static void test_new_leader_is_elected_after_a_crash(void **state)
{
    (void)state;
    struct world *w = world_with_controllers(3, 1);
    int first = world_leader(w);
    assert_true(first >= 0);
    uint64_t fencing_token = world_fencing_token(w, first);
    for (int i = 0; i < WORLD_CONTROLLERS; i++)
        assert_true(i == first || world_fencing_token(w, i) == 0);
    world_kill_controller(w, first);
    world_run(w, 8);
    int second = world_leader(w);
    assert_true(second >= 0 && second != first);
    assert_true(world_fencing_token(w, second) > fencing_token);
    world_finish(w);
}

static void test_lost_link_to_the_leader_triggers_an_election(void **state)
{
    (void)state;
    struct world *w = world_with_controllers(3, 1);
    world_run(w, 8);
    int first = world_leader(w), other = (first + 1) % WORLD_CONTROLLERS;
    world_kill_controller(w, first);
    world_lose_link(w, other, first);
    world_run(w, 0.5);
    assert_int_equal(world_leader(w), other);
    /* Two controllers without a link must not depose each other in turn. */
    world_start_controller(w, first);
    world_run(w, 2);
    uint64_t fencing_token = world_fencing_token(w, other);
    world_lose_link(w, first, other);
    world_run(w, 1);
    assert_true(world_fencing_token(w, other) == fencing_token);
    world_finish(w);
}

static void test_restarted_leader_is_elected_at_once(void **state)
{
    (void)state;
    struct world *w = world_with_controllers(1, 1);
    uint64_t fencing_token = world_fencing_token(w, 0);
    world_kill_controller(w, 0);
    world_start_controller(w, 0);
    world_run(w, 1);
    assert_true(world_fencing_token(w, 0) > fencing_token);
    world_finish(w);
}

static void test_lost_election_response_is_read_back(void **state)
{
    (void)state;
    struct world *w = world_new();
    w->lose_txn_answers = true;
    world_start_controller(w, 0);
    world_run(w, 2);
    w->lose_txn_answers = false;
    world_run(w, 2);
    assert_true(world_fencing_token(w, 0) > 0);
    world_finish(w);
}

static void test_leader_keeps_its_term_through_an_outage(void **state)
{
    (void)state;
    struct world *w = world_with_controllers(3, 2);
    int leader = world_leader(w);
    uint64_t fencing_token = world_fencing_token(w, leader);
    world_submit(w, 0, world_job("run-1", 2, 1));
    w->run_time_s = 60;
    assert_true(world_until(w, 10, world_some_running, "run-1"));
    w->store_down = true;
    world_run(w, 45);
    /* Rule 8: workers are answered all along, so their tasks outlive the outage. */
    assert_int_equal(world_running(w, "run-1"), 2);
    w->store_down = false;
    world_run(w, 2);
    assert_true(world_fencing_token(w, leader) == fencing_token);
    world_finish(w);
}

static void test_health_distinguishes_an_outage_from_a_denied_controller(void **state)
{
    (void)state;
    struct world *w = world_with_controllers(3, 1);
    w->denied_controller = 2;
    world_poll(w, 2, "run-1"); /* so that it notices */
    world_run(w, 5);
    assert_false(ow_shard_manager_is_ready(w->controllers[2]));
    assert_true(ow_shard_manager_is_ready(w->controllers[0]) && ow_shard_manager_is_ready(w->controllers[1]));
    w->denied_controller = -1;
    w->store_down = true;
    world_run(w, 18);
    world_kill_controller(w, 0);
    world_start_controller(w, 0);
    world_run(w, 2);
    for (int i = 0; i < WORLD_CONTROLLERS; i++)
        assert_true(ow_shard_manager_is_ready(w->controllers[i]));
    world_finish(w);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_new_leader_is_elected_after_a_crash),
        cmocka_unit_test(test_lost_link_to_the_leader_triggers_an_election),
        cmocka_unit_test(test_restarted_leader_is_elected_at_once),
        cmocka_unit_test(test_lost_election_response_is_read_back),
        cmocka_unit_test(test_leader_keeps_its_term_through_an_outage),
        cmocka_unit_test(test_health_distinguishes_an_outage_from_a_denied_controller),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
