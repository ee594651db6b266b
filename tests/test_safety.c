/* The safety rules of docs/design.md on launches, results, records and cancellations: each test fails without
 * the guard that it names. */
#include "check.h"
#include "world.h"

/* Rule 1: no launch before its record has committed. */
static void test_no_launch_before_its_record_commits(void **state)
{
    (void)state;
    struct world *w = world_with_machines(2);
    w->hold_controller = world_leader(w);
    w->hold_next = 1000;
    w->keep_held = true;
    world_submit(w, (w->hold_controller + 1) % WORLD_CONTROLLERS, world_job("run-1", 2, 1));
    for (int i = 0; i < 60; i++) {
        world_run(w, 0.1);
        assert_int_equal(world_running(w, "run-1"), 0);
    }
    assert_true(w->held->len > 0);
    w->hold_next = 0;
    w->keep_held = false;
    assert_true(world_until(w, 10, world_some_running, "run-1"));
    world_finish(w);
}

/* Rule 2: missing reports do not prove that a task has ended; the expiry of the machine's lease does. */
static void test_unreachable_machine_keeps_its_task_until_its_lease_expires(void **state)
{
    (void)state;
    struct world *w = world_with_machines(2);
    w->run_time_s = 100;
    w->cloud_down = true; /* no proof by deletion */
    struct world_machine *machine = world_start_settled_job(w, world_job("run-1", 1, 1));
    machine->cut = true;
    world_run(w, 15);
    assert_false(world_runs_on_another(w, machine));
    assert_true(world_until(w, 20, world_runs_on_another, machine));
    /* When the partition heals, delayed packets arrive: they must be ignored. */
    machine->cut = false;
    world_run(w, 20);
    world_finish(w);
}

/* Rule 2: an acknowledged deletion proves it at once. */
static void test_deleted_machine_frees_its_tasks(void **state)
{
    (void)state;
    struct world *w = world_with_machines(2);
    w->run_time_s = 100;
    struct world_machine *machine = world_start_settled_job(w, world_job("run-1", 1, 1));
    machine->reclaim_notice_s = 1;
    machine->heartbeat_at = w->now;
    world_run(w, 1.5);
    world_delete_machine(machine);
    assert_true(world_until(w, 12, world_runs_on_another, machine));
    world_finish(w);
}

/* Rule 3: a launch without a response may still be delivered: its result is not cleared, so that a late
 * duplicate finds it. */
static void test_unacknowledged_launch_is_not_cleared(void **state)
{
    (void)state;
    struct world *w = world_with_machines(1);
    struct world_machine *machine = world_machine(w, "m-0");
    w->hold_directs = true; /* direct commands are delayed; responses to reports arrive */
    w->run_time_s = 1;
    world_submit(w, 0, world_job("run-1", 1, 1));
    assert_true(world_until(w, 30, world_all_done, "run-1"));
    world_run(w, 10);
    assert_int_equal(machine->starts, 1);
    assert_int_equal(machine->clears, 0);
    w->hold_directs = false;
    world_run(w, 5);
    assert_int_equal(machine->starts, 1);
    world_finish(w);
}

/* Rule 3: a result is cleared only after it has been recorded. */
static void test_result_is_kept_until_recorded(void **state)
{
    (void)state;
    struct world *w = world_with_machines(1);
    w->run_time_s = 1;
    world_start_job(w, world_job("run-1", 1, 1));
    w->hold_txns = true;
    world_run(w, 8);
    assert_true(world_none_running(w, "run-1"));
    assert_int_equal(world_machine(w, "m-0")->clears, 0);
    /* All controllers crash with the result unrecorded: it is still on the machine. */
    world_kill_controllers(w);
    w->hold_txns = false;
    world_start_controllers(w);
    assert_true(world_until(w, 20, world_all_done, "run-1"));
    assert_int_equal(world_machine(w, "m-0")->starts, 1);
    world_run(w, 10);
    assert_int_equal(world_machine(w, "m-0")->clears, 1);
    world_finish(w);
}

/* A delayed transaction of the current leader is rejected once a newer one has committed. */
static void test_stale_record_write_is_rejected(void **state)
{
    (void)state;
    struct world *w = world_with_machines(2);
    w->run_time_s = 200;
    w->capacity = 2;
    int leader = world_leader(w);
    w->keep_held = true;
    w->hold_next = 1;
    w->hold_controller = leader;
    world_submit(w, (leader + 1) % WORLD_CONTROLLERS, world_job("run-1", 1, 1));
    assert_true(world_until(w, 10, world_some_running, "run-1"));
    assert_int_equal(w->held->len, 1);
    struct world_machine *machine = world_where(w, "run-1");
    world_delete_machine(machine);
    assert_true(world_until(w, 60, world_runs_on_another, machine));
    char *before = world_progress(w, "run-1/0");
    w->keep_held = false;
    world_run(w, 0.2);
    assert_int_equal(w->held->len, 0);
    char *after = world_progress(w, "run-1/0");
    assert_string_equal(after, before);
    g_free(after);
    g_free(before);
    world_finish(w);
}

/* Rule 7: a cancellation ends every attempt, including those whose launch is still in flight. */
static void test_cancellation_ends_a_launch_in_flight(void **state)
{
    (void)state;
    struct world *w = world_with_machines(1);
    struct world_machine *machine = world_machine(w, "m-0");
    w->run_time_s = 200;
    machine->cut = true;
    world_submit(w, 0, world_job("run-1", 2, 1));
    world_run(w, 2);
    uint64_t cancellation = world_cancel(w, 1, "run-1");
    world_run(w, 4);
    /* While the launch may still be delivered, the cancellation is not confirmed. */
    assert_int_equal(world_answer(w, cancellation)->status, 503);
    assert_true(world_answer(w, cancellation)->retry_after_s > 0);
    machine->cut = false; /* the delayed launch is delivered now */
    world_run(w, 6);
    assert_int_equal(world_running(w, "run-1"), 0);
    cancellation = world_cancel(w, 1, "run-1");
    world_run(w, 0.3);
    assert_int_equal(world_answer(w, cancellation)->status, 200);
    assert_int_equal(world_answer(w, cancellation)->state, OW_JOB_CANCELLED);
    world_run(w, 60);
    world_finish(w);
}

/* Rule 7: an unreachable task is ended by deleting its machine in time. */
static void test_machine_with_an_unreachable_cancelled_task_is_deleted(void **state)
{
    (void)state;
    struct world *w = world_with_machines(1);
    w->run_time_s = 200;
    world_start_job(w, world_job("run-1", 1, 1));
    struct world_machine *machine = world_machine(w, "m-0");
    machine->cut = true;
    machine->renewed_at = w->now + 1000; /* the isolated leader keeps its lease alive */
    int old = world_leader(w);
    world_cancel(w, (old + 1) % WORLD_CONTROLLERS, "run-1");
    world_run(w, 0.2);
    world_kill_controller(w, old);
    world_run(w, 38);
    assert_true(machine->gone);
    world_run(w, 10);
    world_finish(w);
}

/* A transaction that is applied late must not undo what came after it. */
static void test_late_transaction_changes_nothing(void **state)
{
    (void)state;
    struct world *w = world_with_machines(2);
    w->run_time_s = 3;
    world_submit(w, 0, world_job("run-1", 4, 1));
    world_run(w, 0.1);
    w->hold_txns = true;
    world_run(w, 3); /* timed out at the controller, still in flight */
    w->hold_txns = false;
    assert_true(world_until(w, 30, world_all_done, "run-1"));
    unsigned starts = world_machine(w, "m-0")->starts + world_machine(w, "m-1")->starts;
    assert_int_equal(starts, 4);
    world_finish(w);
}

/* Responses to writes are lost: the outcome is read back, and nothing is done twice. */
static void test_lost_write_responses_are_resolved_without_duplicates(void **state)
{
    (void)state;
    struct world *w = world_with_machines(2);
    w->run_time_s = 2;
    world_submit(w, 0, world_job("run-1", 3, 1));
    world_run(w, 0.3);
    w->lose_txn_answers = true;
    world_run(w, 3);
    w->lose_txn_answers = false;
    assert_true(world_until(w, 30, world_all_done, "run-1"));
    w->lose_txn_answers = true;
    world_submit(w, 1, world_job("run-2", 1, 1));
    world_run(w, 2);
    w->lose_txn_answers = false;
    assert_true(world_until(w, 30, world_all_done, "run-2"));
    assert_int_equal(world_job_state(w, "run-2"), OW_JOB_DONE);
    world_finish(w);
}

static bool one_task_started(struct world *w, const void *faulty)
{
    (void)w;
    return ((const struct world_machine *)faulty)->starts >= 1;
}

/* A machine on which every task fails is avoided after a few failures. */
static void test_failing_machine_is_avoided(void **state)
{
    (void)state;
    struct world *w = world_with_machines(2);
    struct world_machine *faulty = world_machine(w, "m-0");
    faulty->faulty = true;
    w->run_time_s = 1;
    for (int i = 1; i <= 6; i++) {
        char id[16];
        g_snprintf(id, sizeof id, "run-%d", i);
        world_submit(w, 0, world_job(id, 4, 2));
    }
    assert_true(world_until(w, 20, one_task_started, faulty));
    assert_true(world_until(w, 60, world_all_done, "run-6"));
    assert_true(faulty->starts < 24);
    world_finish(w);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_no_launch_before_its_record_commits),
        cmocka_unit_test(test_unreachable_machine_keeps_its_task_until_its_lease_expires),
        cmocka_unit_test(test_deleted_machine_frees_its_tasks),
        cmocka_unit_test(test_unacknowledged_launch_is_not_cleared),
        cmocka_unit_test(test_result_is_kept_until_recorded),
        cmocka_unit_test(test_stale_record_write_is_rejected),
        cmocka_unit_test(test_cancellation_ends_a_launch_in_flight),
        cmocka_unit_test(test_machine_with_an_unreachable_cancelled_task_is_deleted),
        cmocka_unit_test(test_late_transaction_changes_nothing),
        cmocka_unit_test(test_lost_write_responses_are_resolved_without_duplicates),
        cmocka_unit_test(test_failing_machine_is_avoided),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
