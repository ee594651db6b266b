/* Those that are half cut off, or back too soon, and messages that come too late: nothing of it may break a
 * rule, spoil other work for long or leave a job without an owner. */
#include "check.h"
#include "world.h"

#include <string.h>

static struct world *start_world(int machines)
{
    struct world *w = world_with_machines(machines);
    w->capacity = 6;
    return w;
}

static struct world_machine *start_long_job(struct world *w)
{
    w->run_s = 100;
    world_submit(w, 0, world_job("run-1", 1, 1));
    assert_true(world_until(w, 10, world_some_running, "run-1"));
    world_run(w, 3);
    return world_where(w, "run-1");
}

/* ---- a machine whose reports arrive, but which is unresponsive ---- */

static void test_an_unresponsive_machine_is_given_nothing_and_returned(void **state)
{
    (void)state;
    struct world *w = start_world(3);
    struct world_machine *unresponsive = start_long_job(w);
    unresponsive->unresponsive = true;
    /* A gang that needs a machine whole may pick it before anything shows: it must not wait for it. */
    w->run_s = 2;
    world_submit(w, 0, world_gang("run-2", 2, 16));
    assert_true(world_until(w, 40, world_is_gone, unresponsive));
    assert_true(world_until(w, 40, world_all_done, "run-2"));
    assert_true(world_until(w, 40, world_all_done, "run-1"));
    world_finish(w);
}

/* From the first command that finds no answer on, it gets nothing more, long before it is returned. */
static void test_an_unresponsive_machine_gets_nothing_more(void **state)
{
    (void)state;
    struct world *w = start_world(2);
    struct world_machine *unresponsive = start_long_job(w);
    unresponsive->unresponsive = true;
    w->run_s = 1;
    world_submit(w, 0, world_job("run-2", 1, 1)); /* fits best beside the other */
    world_run(w, 5);
    assert_false(unresponsive->gone);
    world_submit(w, 0, world_job("run-3", 1, 1));
    assert_true(world_until(w, 4, world_all_done, "run-3"));
    assert_false(unresponsive->gone);
    world_finish(w);
}

static void test_an_unresponsive_machine_at_a_take_over(void **state)
{
    (void)state;
    struct world *w = start_world(3);
    struct world_machine *unresponsive = start_long_job(w);
    unresponsive->unresponsive = true;
    world_kill_controller(w, world_leader(w));
    /* Its reports, under a token that is not ours, keep coming: they are no sign of health. */
    assert_true(world_until(w, 60, world_runs_on_another, unresponsive));
    assert_true(world_until(w, 90, world_is_gone, unresponsive));
    world_finish(w);
}

static void test_a_cancelled_task_on_an_unresponsive_machine(void **state)
{
    (void)state;
    struct world *w = start_world(2);
    struct world_machine *unresponsive = start_long_job(w);
    unresponsive->unresponsive = true;
    unresponsive->renewed_at = w->now + 1000; /* its lease does not end it */
    world_cancel(w, 0, "run-1");
    world_run(w, 39);
    assert_true(unresponsive->gone);
    world_run(w, 5);
    world_finish(w);
}

/* ---- copies of old reports ---- */

static void test_a_late_copy_renews_nothing(void **state)
{
    (void)state;
    struct world *w = start_world(2);
    w->cloud_down = true; /* no proof by deletion */
    struct world_machine *m = start_long_job(w);
    enum { COPIES = 26 };
    struct ow_report *copies[COPIES];
    for (int i = 0; i < COPIES; i++)
        copies[i] = world_last_report(m);
    m->cut = true;
    for (int i = 0; i < COPIES; i++) {
        world_send_copy(w, world_leader(w), copies[i]);
        world_run(w, 1);
    }
    assert_true(world_runs_on_another(w, m));
    m->cut = false;
    world_run(w, 20);
    world_finish(w);
}

static void test_a_late_copy_proves_nothing_after_a_take_over(void **state)
{
    (void)state;
    struct world *w = start_world(2);
    w->cloud_down = true;
    struct world_machine *m = world_machine(w, "m-0");
    struct ow_report *before = world_last_report(m), *other = world_last_report(world_machine(w, "m-1"));
    m = start_long_job(w);
    ow_report_free(m == world_machine(w, "m-0") ? other : before);
    struct ow_report *copy = m == world_machine(w, "m-0") ? before : other;
    m->cut = true;
    m->renewed_at = w->now + 1000;
    world_kill_controller(w, world_leader(w));
    world_run(w, 8);
    /* It names no task, and it is the first that this leader hears of the machine. */
    world_send_copy(w, world_leader(w), copy);
    world_run(w, 15);
    assert_false(world_runs_on_another(w, m));
    m->cut = false;
    world_run(w, 10);
    assert_true(world_where(w, "run-1") == m);
    world_finish(w);
}

static void test_a_late_copy_brings_no_deleted_machine_back(void **state)
{
    (void)state;
    struct world *w = start_world(1);
    struct world_machine *m = start_long_job(w);
    struct ow_report *copy = world_last_report(m);
    copy->seq += 100; /* newer than all that came of it */
    g_array_set_size(copy->tasks, 0);
    m->notice_s = 1;
    m->report_at = w->now;
    world_run(w, 1.5);
    m->gone = true;
    g_array_set_size(m->tasks, 0);
    w->run_s = 1;
    assert_true(world_until(w, 40, world_all_done, "run-1"));
    world_send_copy(w, world_leader(w), copy);
    world_run(w, 0.5);
    world_submit(w, 0, world_job("run-2", 16, 2));
    assert_true(world_until(w, 20, world_all_done, "run-2"));
    world_finish(w);
}

/* ---- a leader without state service and peers, but with its workers ---- */

static void test_an_isolated_leader_gives_way(void **state)
{
    (void)state;
    struct world *w = start_world(2);
    struct world_machine *m = start_long_job(w);
    int old = world_leader(w);
    w->isolated_controller = old;
    world_run(w, 4);
    uint64_t poll = world_poll(w, old, "run-1");
    world_submit(w, old, world_job("run-2", 1, 1));
    world_run(w, 4);
    assert_false(ow_core_healthy(w->cores[old]));
    const struct world_answer *a = world_answer(w, poll);
    assert_true(a != NULL && a->status == 503);
    assert_true(world_until(w, 20, world_some_running, "run-1"));
    world_run(w, 10);
    assert_true(world_leader(w) != old && ow_core_token(w->cores[old]) == 0);
    /* The task has lived through it, where it was. */
    assert_true(world_where(w, "run-1") == m);
    assert_int_equal(m->starts, 1);
    w->run_s = 1;
    world_submit(w, world_leader(w), world_job("run-3", 1, 1));
    assert_true(world_until(w, 20, world_all_done, "run-3"));
    assert_int_equal(world_running(w, "run-2"), 0);
    w->isolated_controller = -1;
    world_run(w, 10);
    assert_true(ow_core_healthy(w->cores[old]));
    world_finish(w);
}

static void test_an_isolated_follower_is_left_out(void **state)
{
    (void)state;
    struct world *w = start_world(1);
    int other = (world_leader(w) + 1) % WORLD_CONTROLLERS;
    w->isolated_controller = other;
    world_run(w, 8);
    assert_false(ow_core_healthy(w->cores[other]));
    assert_true(ow_core_healthy(w->cores[world_leader(w)]));
    w->isolated_controller = -1;
    world_run(w, 8);
    assert_true(ow_core_healthy(w->cores[other]));
    world_finish(w);
}

/* One that workers can't reach is no leader, however well it stands with the state service. */
static void test_a_leader_without_workers_gives_way(void **state)
{
    (void)state;
    struct world *w = start_world(2);
    struct world_machine *m = start_long_job(w);
    int old = world_leader(w);
    w->lonely_controller = old;
    world_run(w, 18);
    assert_true(world_leader(w) >= 0 && world_leader(w) != old);
    assert_true(world_where(w, "run-1") == m);
    world_finish(w);
}

/* ---- back within a fraction of a second ---- */

static void test_back_at_once_at_any_moment(void **state)
{
    (void)state;
    for (int step = 0; step < 30; step++) {
        struct world *w = start_world(2);
        w->run_s = 4;
        world_submit(w, 0, world_job("run-1", 3, 1));
        world_run(w, 0.1);
        /* The leader ends, one that takes over ends in mid-election, and both are back at once. */
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

/* Numbers only grow, by the protocol. A worker whose numbers begin again can't be told from late copies: its
   word proves nothing, and it is returned like one that is silent. */
static void test_a_worker_whose_numbers_go_back(void **state)
{
    (void)state;
    struct world *w = start_world(1);
    struct world_machine *m = start_long_job(w);
    m->session = 3;
    m->seq = 500;
    world_run(w, 10);
    struct ow_report *copy = world_last_report(m);
    copy->seq += 100;
    w->run_s = 2;
    world_reboot(w, m);
    assert_true(world_until(w, 60, world_all_done, "run-1"));
    world_send_copy(w, world_leader(w), copy);
    assert_true(world_until(w, 60, world_is_gone, m));
    world_finish(w);
}

/* ---- no job without an answer ---- */

static void test_every_poll_is_answered(void **state)
{
    (void)state;
    enum { JOBS = 300 };
    struct world *w = start_world(4);
    uint64_t polls[JOBS];
    char id[16];
    w->run_s = 1;
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
        const struct world_answer *a = world_answer(w, polls[i]);
        assert_true(a != NULL && a->status == 200 && a->state == OW_JOB_DONE);
    }
    world_finish(w);
}

/* A job that has failed once on each of the few machines there are is tried on them again. */
static void test_a_job_does_not_run_out_of_machines(void **state)
{
    (void)state;
    struct world *w = start_world(2);
    w->capacity = 0;
    w->cloud_down = true; /* nobody is returned, nothing comes */
    for (guint i = 0; i < w->machines->len; i++)
        ((struct world_machine *)g_ptr_array_index(w->machines, i))->sick = true;
    w->run_s = 1;
    world_submit(w, 0, world_job("run-1", 1, 1));
    world_run(w, 20);
    for (guint i = 0; i < w->machines->len; i++)
        ((struct world_machine *)g_ptr_array_index(w->machines, i))->sick = false;
    assert_true(world_until(w, 75, world_all_done, "run-1"));
    world_finish(w);
}

/* Without a socket to spare, commands go with the answers to reports, and no machine is blamed for that. */
static void test_without_sockets_work_goes_on(void **state)
{
    (void)state;
    struct world *w = start_world(3);
    w->no_sockets = true;
    world_submit(w, 0, world_gang("run-1", 3, 16));
    assert_true(world_until(w, 40, world_all_done, "run-1"));
    world_run(w, 15);
    for (guint i = 0; i < w->machines->len; i++)
        assert_int_equal(((struct world_machine *)g_ptr_array_index(w->machines, i))->session, 1);
    world_submit(w, 0, world_job("run-2", 4, 1));
    assert_true(world_until(w, 40, world_all_done, "run-2"));
    world_finish(w);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_an_unresponsive_machine_is_given_nothing_and_returned),
        cmocka_unit_test(test_an_unresponsive_machine_gets_nothing_more),
        cmocka_unit_test(test_an_unresponsive_machine_at_a_take_over),
        cmocka_unit_test(test_a_cancelled_task_on_an_unresponsive_machine),
        cmocka_unit_test(test_a_late_copy_renews_nothing),
        cmocka_unit_test(test_a_late_copy_proves_nothing_after_a_take_over),
        cmocka_unit_test(test_a_late_copy_brings_no_deleted_machine_back),
        cmocka_unit_test(test_an_isolated_leader_gives_way),
        cmocka_unit_test(test_an_isolated_follower_is_left_out),
        cmocka_unit_test(test_a_leader_without_workers_gives_way),
        cmocka_unit_test(test_back_at_once_at_any_moment),
        cmocka_unit_test(test_a_worker_whose_numbers_go_back),
        cmocka_unit_test(test_every_poll_is_answered),
        cmocka_unit_test(test_a_job_does_not_run_out_of_machines),
        cmocka_unit_test(test_without_sockets_work_goes_on),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
