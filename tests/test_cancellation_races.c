/* Cancellations that race with the end of a job, with delayed launches and with leader changes
 * (docs/meetings.md). */
#include "check.h"
#include "failure_setup.h"
#include "world.h"

static void test_cancellation_races_with_the_last_task_exit(void **state)
{
    (void)state;
    for (int offset = 0; offset < 40; offset++) {
        struct world *w = world_with_machines(2);
        w->run_time_s = 1;
        w->store_slow_s = offset % 2 == 0 ? 0 : 0.2;
        world_submit(w, offset % WORLD_CONTROLLERS, world_job("run-1", 2, 1));
        world_run(w, 1 + 0.1 * offset);
        uint64_t cancel = world_cancel(w, (offset + 1) % WORLD_CONTROLLERS, "run-1");
        uint64_t poll = world_poll(w, (offset + 2) % WORLD_CONTROLLERS, "run-1");
        world_submit(w, offset % WORLD_CONTROLLERS, world_job("run-1", 2, 1));
        world_run(w, 0.1);
        uint64_t again = world_poll(w, offset % WORLD_CONTROLLERS, "run-1");
        world_run(w, 6);
        assert_int_not_equal(world_status(w, cancel), 0);
        assert_int_not_equal(world_status(w, poll), 0);
        assert_int_not_equal(world_status(w, again), 0);
        int end = world_job_state(w, "run-1");
        assert_true(end == OW_JOB_DONE || end == OW_JOB_CANCELLED);
        if (world_status(w, cancel) == 200)
            assert_int_equal(world_answer(w, cancel)->state, end);
        world_finish(w);
    }
}

/* A machine hangs while the job is cancelled, and resumes before its lease expires. */
static void test_cancelled_task_ends_on_a_machine_that_hung(void **state)
{
    (void)state;
    struct world *w = failure_world(2);
    struct world_machine *machine = failure_start_job(w, world_job("run-1", 2, 1));
    machine->hangs = true;
    struct canceller canceller = {.id = "run-1", .controller = world_follower(w)};
    run_cancelling(w, &canceller, 16);
    machine->hangs = false;
    run_cancelling(w, &canceller, 4);
    assert_true(canceller.answered_at > 0);
    assert_int_equal(world_running(w, "run-1"), 0);
    world_finish(w);
}

/* A launch to a hanging machine is delayed; the job is cancelled, and then the machine resumes. */
static void test_delayed_launch_does_not_outlive_a_cancellation(void **state)
{
    (void)state;
    struct world *w = failure_world(1);
    struct world_machine *machine = world_machine(w, "m-0");
    w->hold_directs = true;
    machine->heartbeat_at = w->now + 10;
    world_submit(w, 0, world_job("run-1", 1, 1));
    world_run(w, 1);
    struct canceller canceller = {.id = "run-1", .controller = world_follower(w)};
    run_cancelling(w, &canceller, 3);
    w->hold_directs = false;
    run_cancelling(w, &canceller, 15);
    assert_true(canceller.answered_at > 0);
    assert_int_equal(world_running(w, "run-1"), 0);
    world_finish(w);
}

/* A team at its limit, a leader change, an unreachable machine, and a cancellation. */
static void test_team_limit_holds_across_a_leader_change(void **state)
{
    (void)state;
    struct world *w = failure_world(2);
    w->cloud_down = true;
    const char *ids[] = {"run-1", "run-2"};
    for (int i = 0; i < 2; i++) {
        struct ow_submission *job = world_job(ids[i], 2, 4);
        world_set_team(job, "tight");
        world_submit(w, 0, job);
        world_run(w, 4);
    }
    assert_int_equal(world_running(w, "run-1"), 2);
    struct world_machine *machine = world_where(w, "run-1");
    machine->cut = true;
    world_kill_controller(w, world_leader(w));
    struct canceller canceller = {.id = "run-1", .controller = world_leader(w) == 0 ? 1 : 0};
    for (int i = 0; i < WORLD_CONTROLLERS; i++)
        canceller.controller = w->controllers[i] != NULL ? i : canceller.controller;
    run_cancelling(w, &canceller, 50);
    machine->cut = false;
    run_cancelling(w, &canceller, 20);
    assert_true(canceller.answered_at > 0);
    assert_true(world_until(w, 20, world_some_running, "run-2"));
    world_finish(w);
}

static void test_ten_leader_changes(void **state)
{
    (void)state;
    struct world *w = failure_world(3);
    w->run_time_s = 8;
    struct canceller canceller = {.id = "run-3", .controller = 0};
    for (int i = 1; i <= 6; i++) {
        char id[16];
        g_snprintf(id, sizeof id, "run-%d", i);
        world_submit(w, i % WORLD_CONTROLLERS, i % 2 == 0 ? world_gang(id, 3, 6) : world_job(id, 20, 4));
    }
    world_run(w, 2);
    for (int change = 0; change < 10; change++) {
        int old = world_leader(w);
        if (old >= 0)
            world_kill_controller(w, old);
        run_cancelling(w, &canceller, 1);
        if (old >= 0)
            world_start_controller(w, old);
        canceller.controller = change % WORLD_CONTROLLERS;
        w->store_down = change == 4 || change == 5;
        run_cancelling(w, &canceller, 10);
    }
    run_cancelling(w, &canceller, 5);
    assert_true(canceller.answered_at > 0);
    for (int i = 1; i <= 6; i++) {
        char id[16];
        g_snprintf(id, sizeof id, "run-%d", i);
        if (i != 3)
            assert_true(world_until(w, 90, world_all_done, id));
    }
    world_finish(w);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_cancellation_races_with_the_last_task_exit),
        cmocka_unit_test(test_cancelled_task_ends_on_a_machine_that_hung),
        cmocka_unit_test(test_delayed_launch_does_not_outlive_a_cancellation),
        cmocka_unit_test(test_team_limit_holds_across_a_leader_change),
        cmocka_unit_test(test_ten_leader_changes),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
