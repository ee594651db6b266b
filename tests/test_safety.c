/* The safety rules of docs/design.md: each test fails without the guard that it names. */
#include "check.h"
#include "world.h"

#include <string.h>

/* Rule 1: no launch before its record has committed. */
static void test_no_launch_before_its_record(void **state)
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

/* Rule 2: silence alone proves nothing; the end of the lease does. */
static void test_a_silent_machine_keeps_its_task_for_its_lease(void **state)
{
    (void)state;
    struct world *w = world_with_machines(2);
    w->run_s = 100;
    w->cloud_down = true; /* no proof by deletion */
    world_submit(w, 0, world_job("run-1", 1, 1));
    assert_true(world_until(w, 10, world_some_running, "run-1"));
    world_run(w, 3);
    struct world_machine *m = world_where(w, "run-1");
    m->cut = true;
    world_run(w, 15);
    assert_false(world_runs_on_another(w, m));
    assert_true(world_until(w, 20, world_runs_on_another, m));
    /* When the cut ends, its packets arrive: nothing of them may count any more. */
    m->cut = false;
    world_run(w, 20);
    world_finish(w);
}

/* Rule 2: a deletion that was answered is proof at once. */
static void test_a_deleted_machine_frees_its_tasks(void **state)
{
    (void)state;
    struct world *w = world_with_machines(2);
    w->run_s = 100;
    world_submit(w, 0, world_job("run-1", 1, 1));
    assert_true(world_until(w, 10, world_some_running, "run-1"));
    world_run(w, 3);
    struct world_machine *m = world_where(w, "run-1");
    m->notice_s = 1;
    m->report_at = w->now;
    world_run(w, 1.5);
    m->gone = true;
    g_array_set_size(m->tasks, 0);
    assert_true(world_until(w, 12, world_runs_on_another, m));
    world_finish(w);
}

static bool job_runs(struct world *w, const void *job)
{
    return world_where(w, job) != NULL;
}

/* Tasks recorded on a machine that is gone when another leader takes over. */
static void test_a_machine_gone_before_a_take_over(void **state)
{
    (void)state;
    struct world *w = world_with_machines(2);
    w->run_s = 100;
    world_submit(w, 0, world_job("run-1", 1, 1));
    assert_true(world_until(w, 10, world_some_running, "run-1"));
    struct world_machine *m = world_where(w, "run-1");
    for (int i = 0; i < WORLD_CONTROLLERS; i++)
        world_kill_controller(w, i);
    m->gone = true;
    g_array_set_size(m->tasks, 0);
    for (int i = 0; i < WORLD_CONTROLLERS; i++)
        world_start_controller(w, i);
    assert_true(world_until(w, 22, job_runs, "run-1"));
    world_finish(w);
}

/* The same when the other controllers know the machine from the last leader. */
static void test_a_machine_gone_with_its_leader(void **state)
{
    (void)state;
    struct world *w = world_with_machines(2);
    w->run_s = 100;
    world_submit(w, 0, world_job("run-1", 1, 1));
    assert_true(world_until(w, 10, world_some_running, "run-1"));
    /* Work elsewhere, so that the machine with room is not returned as idle. */
    struct ow_submission *other = world_job("run-2", 1, 1);
    other->zone = g_strdup("west");
    world_add_machine(w, "m-9", "big", "west", false);
    world_submit(w, 0, other);
    world_run(w, 5);
    assert_int_equal(world_running(w, "run-2"), 1);
    struct world_machine *m = world_where(w, "run-1");
    world_kill_controller(w, world_leader(w));
    m->gone = true;
    g_array_set_size(m->tasks, 0);
    assert_true(world_until(w, 33, job_runs, "run-1"));
    world_finish(w);
}

/* Rule 2, fencing: a machine that a deposed leader may still feed is no man's until it has seen the
   new token. */
static void test_a_machine_with_an_old_token_is_not_given_up(void **state)
{
    (void)state;
    struct world *w = world_with_machines(2);
    w->run_s = 200;
    w->cloud_down = true;
    world_submit(w, 0, world_job("run-1", 1, 1));
    assert_true(world_until(w, 10, world_some_running, "run-1"));
    world_run(w, 3);
    struct world_machine *m = world_where(w, "run-1");
    int old = world_leader(w);
    m->cut = true;
    world_kill_controller(w, old);
    /* The machine is fed by nobody here, but the new leader can't know that: a cut-off old one might. */
    m->renewed_at = w->now + 1000;
    world_run(w, 60);
    assert_true(world_leader(w) != old);
    assert_false(world_runs_on_another(w, m));
    m->cut = false;
    world_run(w, 10);
    assert_true(world_where(w, "run-1") == m);
    world_finish(w);
}

/* Rule 3: a launch whose command got no answer may still be carried out: what it left is not cleared, so a
   late copy finds it there. */
static void test_a_floating_launch_is_not_cleared(void **state)
{
    (void)state;
    struct world *w = world_with_machines(1);
    struct world_machine *m = world_machine(w, "m-0");
    w->hold_directs = true; /* direct commands hang; answers to reports get through */
    w->run_s = 1;
    world_submit(w, 0, world_job("run-1", 1, 1));
    assert_true(world_until(w, 30, world_all_done, "run-1"));
    world_run(w, 10);
    assert_int_equal(m->starts, 1);
    assert_int_equal(m->forgets, 0);
    w->hold_directs = false;
    world_run(w, 5);
    assert_int_equal(m->starts, 1);
    world_finish(w);
}

/* Rule 3: a result is cleared only after it has been recorded. */
static void test_a_result_is_kept_until_recorded(void **state)
{
    (void)state;
    struct world *w = world_with_machines(1);
    w->run_s = 1;
    world_submit(w, 0, world_job("run-1", 1, 1));
    assert_true(world_until(w, 10, world_some_running, "run-1"));
    w->hold_txns = true;
    world_run(w, 8);
    assert_true(world_none_running(w, "run-1"));
    assert_int_equal(world_machine(w, "m-0")->forgets, 0);
    /* Everybody dies with the result unrecorded: it is still on the machine. */
    for (int i = 0; i < WORLD_CONTROLLERS; i++)
        world_kill_controller(w, i);
    w->hold_txns = false;
    for (int i = 0; i < WORLD_CONTROLLERS; i++)
        world_start_controller(w, i);
    assert_true(world_until(w, 20, world_all_done, "run-1"));
    assert_int_equal(world_machine(w, "m-0")->starts, 1);
    world_run(w, 10);
    assert_int_equal(world_machine(w, "m-0")->forgets, 1);
    world_finish(w);
}

/* Rules 2 and 4: what a worker says before it has seen the new token, an older leader may still change.
   It frees no task and invites none. */
static void test_a_report_under_an_old_token_proves_nothing(void **state)
{
    (void)state;
    struct world *w = world_with_machines(2);
    w->run_s = 200;
    w->cloud_down = true;
    world_submit(w, 0, world_job("run-1", 1, 1));
    assert_true(world_until(w, 10, world_some_running, "run-1"));
    world_run(w, 3);
    struct world_machine *m = world_where(w, "run-1");
    uint64_t token = m->token;
    for (guint i = 0; i < w->machines->len; i++)
        ((struct world_machine *)g_ptr_array_index(w->machines, i))->cut = true;
    m->renewed_at = w->now + 1000;
    world_kill_controller(w, world_leader(w));
    world_run(w, 8);
    int controller = world_leader(w);
    world_report(w, controller, m, m->seq + 1, token);
    world_submit(w, controller, world_job("run-2", 1, 1));
    world_run(w, 3);
    char *first = world_progress(w, "run-1/0");
    assert_non_null(first);
    assert_non_null(strstr(first, m->name));
    assert_null(world_progress(w, "run-2/0"));
    g_free(first);
    world_finish(w);
}

/* A transaction of a leader that has been deposed meanwhile decides nothing, however late it comes. */
static void test_a_deposed_leader_writes_nothing(void **state)
{
    (void)state;
    struct world *w = world_with_machines(1);
    int old = world_leader(w);
    w->keep_held = true;
    w->hold_next = 1;
    w->hold_controller = old;
    world_submit(w, (old + 1) % WORLD_CONTROLLERS, world_job("run-1", 1, 1));
    world_run(w, 0.4);
    assert_int_equal(w->held->len, 1);
    w->denied_controller = old;
    world_machine(w, "m-0")->cut = true; /* so that the new one has nothing to write */
    world_run(w, 12);
    assert_true(world_leader(w) != old);
    w->keep_held = false;
    world_run(w, 1);
    assert_int_equal(w->held->len, 0);
    assert_null(world_progress(w, "run-1/0"));
    world_finish(w);
}

/* Nor does one of its own that newer ones have overtaken. */
static void test_an_overtaken_record_is_not_written(void **state)
{
    (void)state;
    struct world *w = world_with_machines(2);
    w->run_s = 200;
    w->capacity = 2;
    int leader = world_leader(w);
    w->keep_held = true;
    w->hold_next = 1;
    w->hold_controller = leader;
    world_submit(w, (leader + 1) % WORLD_CONTROLLERS, world_job("run-1", 1, 1));
    assert_true(world_until(w, 10, world_some_running, "run-1"));
    assert_int_equal(w->held->len, 1);
    struct world_machine *m = world_where(w, "run-1");
    m->gone = true;
    g_array_set_size(m->tasks, 0);
    assert_true(world_until(w, 60, world_runs_on_another, m));
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

/* Rule 4: a new leader starts nothing on a machine before it has its report under the new token. */
static void test_nothing_starts_before_the_new_token_is_seen(void **state)
{
    (void)state;
    struct world *w = world_with_machines(1);
    w->cloud_down = true;
    struct world_machine *m = world_machine(w, "m-0");
    uint64_t before = m->token;
    m->cut = true;
    world_kill_controller(w, world_leader(w));
    world_run(w, 8);
    int controller = world_leader(w);
    world_submit(w, controller, world_job("run-1", 1, 1));
    world_run(w, 5);
    assert_int_equal(m->starts, 0);
    m->cut = false;
    assert_true(world_until(w, 15, world_some_running, "run-1"));
    assert_true(m->token > before);
    world_finish(w);
}

/* Rule 4: attempts of an earlier leader count against the team's limit until they are accounted for. */
static void test_inherited_attempts_count_against_the_limit(void **state)
{
    (void)state;
    struct world *w = world_with_machines(2);
    w->run_s = 200;
    w->cloud_down = true;
    struct ow_submission *first = world_job("run-1", 2, 4), *second = world_job("run-2", 1, 4);
    world_set_team(first, "tight");
    world_set_team(second, "tight");
    world_submit(w, 0, first);
    assert_true(world_until(w, 10, world_some_running, "run-1"));
    world_run(w, 3);
    struct world_machine *m = world_where(w, "run-1");
    m->cut = true;
    m->renewed_at = w->now + 1000;
    world_kill_controller(w, world_leader(w));
    world_run(w, 8);
    world_submit(w, world_leader(w), second);
    world_run(w, 20);
    assert_int_equal(world_running(w, "run-2"), 0);
    world_finish(w);
}

/* Rule 7: a cancellation ends every attempt, those whose launch is still on its way included. */
static void test_a_cancellation_ends_a_launch_in_flight(void **state)
{
    (void)state;
    struct world *w = world_with_machines(1);
    struct world_machine *m = world_machine(w, "m-0");
    w->run_s = 200;
    m->cut = true;
    world_submit(w, 0, world_job("run-1", 2, 1));
    world_run(w, 2);
    uint64_t cancellation = world_cancel(w, 1, "run-1");
    world_run(w, 4);
    /* While the launch may still be carried out nobody is told that it won't. */
    assert_int_equal(world_answer(w, cancellation)->status, 503);
    assert_true(world_answer(w, cancellation)->retry_after_s > 0);
    m->cut = false; /* the held launch is carried out now */
    world_run(w, 6);
    assert_int_equal(world_running(w, "run-1"), 0);
    cancellation = world_cancel(w, 1, "run-1");
    world_run(w, 0.3);
    assert_int_equal(world_answer(w, cancellation)->status, 200);
    assert_int_equal(world_answer(w, cancellation)->state, OW_JOB_CANCELLED);
    world_run(w, 60);
    world_finish(w);
}

/* Rule 7: one that can't be reached is ended by returning its machine in time. */
static void test_a_cancelled_task_out_of_reach_loses_its_machine(void **state)
{
    (void)state;
    struct world *w = world_with_machines(1);
    w->run_s = 200;
    world_submit(w, 0, world_job("run-1", 1, 1));
    assert_true(world_until(w, 10, world_some_running, "run-1"));
    struct world_machine *m = world_machine(w, "m-0");
    m->cut = true;
    m->renewed_at = w->now + 1000; /* the leader that is cut off with it keeps it alive */
    int old = world_leader(w);
    world_cancel(w, (old + 1) % WORLD_CONTROLLERS, "run-1");
    world_run(w, 0.2);
    world_kill_controller(w, old);
    world_run(w, 38);
    assert_true(m->gone);
    world_run(w, 10);
    world_finish(w);
}

/* A leader that meets a higher token is none any more, and says so. */
static void test_a_higher_token_deposes(void **state)
{
    (void)state;
    struct world *w = world_with_machines(1);
    int leader = world_leader(w);
    w->state_down = true; /* it can't read who leads */
    world_machine(w, "m-0")->token = 1000000;
    world_run(w, 5);
    assert_true(ow_core_token(w->cores[leader]) == 0);
    world_free(w);
}

/* A transaction that is applied late must not undo what came after it. */
static void test_a_late_transaction_changes_nothing(void **state)
{
    (void)state;
    struct world *w = world_with_machines(2);
    w->run_s = 3;
    world_submit(w, 0, world_job("run-1", 4, 1));
    world_run(w, 0.1);
    w->hold_txns = true;
    world_run(w, 3); /* given up by their askers, still on their way */
    w->hold_txns = false;
    assert_true(world_until(w, 30, world_all_done, "run-1"));
    unsigned starts = world_machine(w, "m-0")->starts + world_machine(w, "m-1")->starts;
    assert_int_equal(starts, 4);
    world_finish(w);
}

/* Answers to writes that get lost: what was carried out is found out, not done twice. */
static void test_lost_answers_to_writes(void **state)
{
    (void)state;
    struct world *w = world_with_machines(2);
    w->run_s = 2;
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

static bool one_machine_avoided(struct world *w, const void *sick)
{
    (void)w;
    return ((const struct world_machine *)sick)->starts >= 1;
}

/* A machine that fails whatever it starts is left alone after a few. */
static void test_a_sick_machine_is_left_alone(void **state)
{
    (void)state;
    struct world *w = world_with_machines(2);
    struct world_machine *sick = world_machine(w, "m-0");
    sick->sick = true;
    w->run_s = 1;
    for (int i = 1; i <= 6; i++) {
        char id[16];
        g_snprintf(id, sizeof id, "run-%d", i);
        world_submit(w, 0, world_job(id, 4, 2));
    }
    assert_true(world_until(w, 20, one_machine_avoided, sick));
    assert_true(world_until(w, 60, world_all_done, "run-6"));
    assert_true(sick->starts < 24);
    world_finish(w);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_no_launch_before_its_record),
        cmocka_unit_test(test_a_silent_machine_keeps_its_task_for_its_lease),
        cmocka_unit_test(test_a_deleted_machine_frees_its_tasks),
        cmocka_unit_test(test_a_machine_gone_before_a_take_over),
        cmocka_unit_test(test_a_machine_gone_with_its_leader),
        cmocka_unit_test(test_a_machine_with_an_old_token_is_not_given_up),
        cmocka_unit_test(test_a_floating_launch_is_not_cleared),
        cmocka_unit_test(test_a_result_is_kept_until_recorded),
        cmocka_unit_test(test_a_report_under_an_old_token_proves_nothing),
        cmocka_unit_test(test_a_deposed_leader_writes_nothing),
        cmocka_unit_test(test_an_overtaken_record_is_not_written),
        cmocka_unit_test(test_nothing_starts_before_the_new_token_is_seen),
        cmocka_unit_test(test_inherited_attempts_count_against_the_limit),
        cmocka_unit_test(test_a_cancellation_ends_a_launch_in_flight),
        cmocka_unit_test(test_a_cancelled_task_out_of_reach_loses_its_machine),
        cmocka_unit_test(test_a_higher_token_deposes),
        cmocka_unit_test(test_a_late_transaction_changes_nothing),
        cmocka_unit_test(test_lost_answers_to_writes),
        cmocka_unit_test(test_a_sick_machine_is_left_alone),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
