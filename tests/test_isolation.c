/* Isolated controllers, immediate restarts and scarce machines or sockets: every job is answered and
 * completes. */
#include "check.h"
#include "world.h"

static void test_isolated_leader_steps_down(void **state)
{
    (void)state;
    struct world *w = world_with_capacity(2, 6);
    struct world_machine *machine = world_start_long_job(w);
    int old = world_leader(w);
    w->isolated_controller = old;
    world_run(w, 4);
    uint64_t poll = world_poll(w, old, "run-1");
    world_submit(w, old, world_job("run-2", 1, 1));
    world_run(w, 4);
    assert_false(ow_shard_manager_is_ready(w->controllers[old]));
    const struct world_answer *answer = world_answer(w, poll);
    assert_true(answer != NULL && answer->status == 503);
    assert_true(world_until(w, 20, world_some_running, "run-1"));
    world_run(w, 10);
    assert_true(world_leader(w) != old && world_fencing_token(w, old) == 0);
    /* The task has survived on its machine. */
    assert_true(world_where(w, "run-1") == machine);
    assert_int_equal(machine->starts, 1);
    w->run_time_s = 1;
    world_submit(w, world_leader(w), world_job("run-3", 1, 1));
    assert_true(world_until(w, 20, world_all_done, "run-3"));
    assert_int_equal(world_running(w, "run-2"), 0);
    w->isolated_controller = -1;
    world_run(w, 10);
    assert_true(ow_shard_manager_is_ready(w->controllers[old]));
    world_finish(w);
}

static void test_isolated_follower_is_unhealthy(void **state)
{
    (void)state;
    struct world *w = world_with_capacity(1, 6);
    int other = (world_leader(w) + 1) % WORLD_CONTROLLERS;
    w->isolated_controller = other;
    world_run(w, 8);
    assert_false(ow_shard_manager_is_ready(w->controllers[other]));
    assert_true(ow_shard_manager_is_ready(w->controllers[world_leader(w)]));
    w->isolated_controller = -1;
    world_run(w, 8);
    assert_true(ow_shard_manager_is_ready(w->controllers[other]));
    world_finish(w);
}

/* A leader that no worker can reach steps down even if the key-value store is available to it. */
static void test_leader_without_workers_steps_down(void **state)
{
    (void)state;
    struct world *w = world_with_capacity(2, 6);
    struct world_machine *machine = world_start_long_job(w);
    int old = world_leader(w);
    w->workerless_controller = old;
    world_run(w, 18);
    assert_true(world_leader(w) >= 0 && world_leader(w) != old);
    assert_true(world_where(w, "run-1") == machine);
    world_finish(w);
}

static void test_immediate_restarts_during_an_election(void **state)
{
    (void)state;
    for (int step = 0; step < 30; step++) {
        struct world *w = world_with_capacity(2, 6);
        w->run_time_s = 4;
        world_submit(w, 0, world_job("run-1", 3, 1));
        world_run(w, 0.1);
        /* The leader crashes, its successor crashes during the election, and both restart at once. */
        int old = world_leader(w), next = (old + 1) % WORLD_CONTROLLERS;
        w->lose_txn_answers = step % 3 == 0;
        world_kill_controller(w, old);
        world_lose_link(w, next, old);
        world_start_controller(w, old);
        world_run(w, 0.05 * step);
        world_kill_controller(w, next);
        world_start_controller(w, next);
        w->lose_txn_answers = false;
        world_run(w, 0.1);
        world_submit(w, next, world_job("run-1", 3, 1));
        world_submit(w, old, world_job("run-2", 2, 1));
        assert_true(world_until(w, 60, world_all_done, "run-1"));
        world_submit(w, next, world_job("run-2", 2, 1));
        assert_true(world_until(w, 60, world_all_done, "run-2"));
        world_finish(w);
    }
}

static void test_every_poll_is_answered(void **state)
{
    (void)state;
    enum { JOBS = 300 };
    struct world *w = world_with_capacity(4, 6);
    uint64_t polls[JOBS];
    char id[16];
    w->run_time_s = 1;
    for (int i = 0; i < JOBS; i++) {
        g_snprintf(id, sizeof id, "run-%d", i);
        world_submit(w, i % WORLD_CONTROLLERS, world_job(id, 1, 0.2));
        if (i % 20 == 19)
            world_run(w, 0.5);
    }
    world_run(w, 20);
    for (int round = 0; round < WORLD_CONTROLLERS; round++) {
        int controller = world_leader(w);
        world_kill_controller(w, controller);
        world_run(w, 2);
        world_start_controller(w, controller);
        world_run(w, 8);
    }
    for (int i = 0; i < JOBS; i++) {
        g_snprintf(id, sizeof id, "run-%d", i);
        polls[i] = world_poll(w, i % WORLD_CONTROLLERS, id);
    }
    world_run(w, 2);
    for (int i = 0; i < JOBS; i++) {
        const struct world_answer *answer = world_answer(w, polls[i]);
        assert_true(answer != NULL && answer->status == 200 && answer->state == OW_JOB_DONE);
    }
    world_finish(w);
}

/* A job that has failed on each of the few machines is retried on them. */
static void test_job_is_retried_on_machines_that_failed_it(void **state)
{
    (void)state;
    struct world *w = world_with_capacity(2, 6);
    w->capacity = 0;
    w->cloud_down = true; /* no machine is deleted or provisioned */
    for (guint i = 0; i < w->machines->len; i++)
        world_machine_at(w, i)->faulty = true;
    w->run_time_s = 1;
    world_submit(w, 0, world_job("run-1", 1, 1));
    world_run(w, 20);
    for (guint i = 0; i < w->machines->len; i++)
        world_machine_at(w, i)->faulty = false;
    assert_true(world_until(w, 75, world_all_done, "run-1"));
    world_finish(w);
}

/* Without free sockets, commands are sent with the responses to reports, and no machine counts as
 * unresponsive. */
static void test_work_continues_without_free_sockets(void **state)
{
    (void)state;
    struct world *w = world_with_capacity(3, 6);
    w->no_sockets = true;
    world_submit(w, 0, world_gang("run-1", 3, 16));
    assert_true(world_until(w, 40, world_all_done, "run-1"));
    world_run(w, 15);
    for (guint i = 0; i < w->machines->len; i++)
        assert_int_equal(world_machine_at(w, i)->incarnation, 1);
    world_submit(w, 0, world_job("run-2", 4, 1));
    assert_true(world_until(w, 40, world_all_done, "run-2"));
    world_finish(w);
}

/* A controller that was cut off for long has missed more changes than it takes in at once: it reads the table
 * again, page by page, and does not ask for the same changes for ever. */
static void test_too_many_missed_changes_are_read_by_pages(void **state)
{
    (void)state;
    struct world *w = world_with_machines(2);
    int follower = world_follower(w);
    w->isolated_controller = follower;
    w->changes_most = 5;
    char id[16];
    for (int n = 1; n <= 12; n++) {
        g_snprintf(id, sizeof id, "run-%d", n);
        world_submit(w, world_leader(w), world_job(id, 1, 1));
        world_run(w, 1);
    }
    w->isolated_controller = -1;
    world_run(w, 20);
    uint64_t request = world_poll(w, follower, id);
    world_run(w, 3);
    assert_int_equal(world_status(w, request), 200);
    world_finish(w);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_isolated_leader_steps_down),
        cmocka_unit_test(test_isolated_follower_is_unhealthy),
        cmocka_unit_test(test_leader_without_workers_steps_down),
        cmocka_unit_test(test_immediate_restarts_during_an_election),
        cmocka_unit_test(test_every_poll_is_answered),
        cmocka_unit_test(test_job_is_retried_on_machines_that_failed_it),
        cmocka_unit_test(test_work_continues_without_free_sockets),
        cmocka_unit_test(test_too_many_missed_changes_are_read_by_pages),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
