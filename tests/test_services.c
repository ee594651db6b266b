/* Services: replicas run until their job is withdrawn, apart from one another, and again elsewhere when they
 * end. */
#include "check.h"
#include "world.h"

#include <string.h>

static struct world *start_world(int machines)
{
    struct world *w = world_with_machines(machines);
    w->capacity = 4;
    return w;
}

static struct world *with_service(int machines, uint32_t replicas)
{
    struct world *w = start_world(machines);
    uint64_t asked = world_submit(w, 0, world_service("run-1", replicas, 1));
    world_run(w, 6);
    assert_int_equal(world_answer(w, asked)->status, 201);
    assert_int_equal(world_running(w, "run-1"), replicas);
    return w;
}

static unsigned replicas_on(const struct world_machine *m, const char *job)
{
    unsigned count = 0;
    for (guint k = 0; k < m->tasks->len; k++) {
        const struct world_task *t = &g_array_index(m->tasks, struct world_task, k);
        count += t->phase != OW_EXITED && strcmp(t->job, job) == 0 ? 1 : 0;
    }
    return count;
}

static bool three_run(struct world *w, const void *job)
{
    return world_running(w, job) == 3;
}

static void test_replicas_stand_apart_and_are_never_done(void **state)
{
    (void)state;
    struct world *w = with_service(3, 3);
    for (guint i = 0; i < 3; i++)
        assert_int_equal(replicas_on(g_ptr_array_index(w->machines, i), "run-1"), 1);
    world_run(w, 60);
    assert_int_equal(world_running(w, "run-1"), 3);
    assert_int_equal(world_stance(w, "run-1"), OW_ACTIVE);
    uint64_t cancel = world_withdraw(w, 1, "run-1");
    world_run(w, 2);
    assert_int_equal(world_answer(w, cancel)->stance, OW_CANCELLED);
    assert_int_equal(world_running(w, "run-1"), 0);
    world_finish(w);
}

/* However a replica ends, it runs again, and not where its result would end it at once. */
static void test_a_replica_that_ends_runs_again_elsewhere(void **state)
{
    (void)state;
    for (int cause = 0; cause < 2; cause++) {
        struct world *w = with_service(4, 3);
        struct world_machine *m = world_where(w, "run-1");
        m->sick = cause == 1;
        unsigned before = m->starts;
        g_array_index(m->tasks, struct world_task, 0).phase_at = w->now;
        world_run(w, 1);
        assert_true(world_until(w, 6, three_run, "run-1"));
        assert_int_equal(m->starts, before);
        assert_int_equal(world_stance(w, "run-1"), OW_ACTIVE);
        world_finish(w);
    }
}

/* A machine that alone falls silent is returned for the sake of its replicas, long before its lease has run
 * out. */
static void test_replicas_of_a_dead_machine_run_again_soon(void **state)
{
    (void)state;
    struct world *w = with_service(4, 3);
    struct world_machine *m = world_where(w, "run-1");
    m->hangs = true;
    assert_true(world_until(w, 14, world_is_gone, m));
    assert_true(world_until(w, 4, three_run, "run-1"));
    world_finish(w);
}

/* Many that are silent at once may be cut off: their replicas serve on, and nothing is returned. */
static void test_replicas_behind_a_cut_serve_on(void **state)
{
    (void)state;
    struct world *w = with_service(8, 6);
    for (guint i = 0; i < 5; i++)
        ((struct world_machine *)g_ptr_array_index(w->machines, i))->cut = true;
    world_run(w, 14);
    for (guint i = 0; i < 5; i++)
        assert_false(((struct world_machine *)g_ptr_array_index(w->machines, i))->gone);
    assert_int_equal(world_running(w, "run-1"), 6);
    for (guint i = 0; i < 5; i++)
        ((struct world_machine *)g_ptr_array_index(w->machines, i))->cut = false;
    world_run(w, 20);
    assert_int_equal(world_running(w, "run-1"), 6);
    world_finish(w);
}

/* A machine that will be taken: its replica moves while it still could serve, once there is a place for it.
 */
static void test_a_replica_moves_off_a_machine_that_goes(void **state)
{
    (void)state;
    struct world *w = start_world(0);
    world_add_machine(w, "s-0", "big", "east", true);
    struct ow_submission *service = world_service("run-1", 1, 1);
    service->spot = true;
    world_submit(w, 0, service);
    assert_true(world_until(w, 10, world_some_running, "run-1"));
    struct world_machine *old = world_where(w, "run-1");
    /* Another machine that has the image. */
    world_add_machine(w, "m-0", "big", "east", false);
    struct ow_submission *other = world_job("run-2", 16, 1);
    w->run_s = 2;
    world_submit(w, 0, other);
    world_run(w, 12);
    old->notice_s = 12;
    old->report_at = w->now;
    world_run(w, 4);
    assert_true(world_where(w, "run-1") != NULL && world_where(w, "run-1") != old);
    world_finish(w);
}

/* All machines are full of low work: some of it makes room at once. */
static void test_a_service_does_not_wait_behind_lower_work(void **state)
{
    (void)state;
    struct world *w = world_with_machines(2);
    w->run_s = 200;
    struct ow_submission *low = world_job("run-9", 32, 1);
    low->rank = OW_RANK_LOW;
    world_submit(w, 0, low);
    world_run(w, 8);
    assert_int_equal(world_running(w, "run-9"), 32);
    struct ow_submission *service = world_service("run-1", 3, 1);
    world_submit(w, 0, service);
    world_run(w, 5);
    assert_int_equal(world_running(w, "run-1"), 3);
    world_finish(w);
}

static void test_spread_and_limits(void **state)
{
    (void)state;
    struct world *w = start_world(2);
    world_add_machine(w, "w-0", "big", "west", false);
    world_run(w, 4);
    struct ow_submission *service = world_service("run-1", 4, 1), *large = world_service("run-2", 9, 1);
    service->spread = true;
    world_set_team(large, "tight");
    uint64_t a = world_submit(w, 0, service), b = world_submit(w, 0, large);
    world_run(w, 8);
    assert_int_equal(world_answer(w, a)->status, 201);
    assert_int_equal(world_answer(w, b)->status, 422);
    assert_int_equal(world_running(w, "run-1"), 4);
    assert_int_equal(replicas_on(world_machine(w, "w-0"), "run-1"), 2);
    world_finish(w);
}

/* Leaders come and go: replicas run on, none twice. */
static void test_services_across_leaders(void **state)
{
    (void)state;
    struct world *w = with_service(4, 3);
    unsigned starts = 0;
    for (int i = 0; i < 4; i++) {
        int old = world_leader(w);
        world_kill_node(w, old);
        world_run(w, 8);
        world_start_node(w, old);
        world_run(w, 4);
        assert_int_equal(world_running(w, "run-1"), 3);
    }
    for (guint i = 0; i < w->machines->len; i++)
        starts += ((struct world_machine *)g_ptr_array_index(w->machines, i))->starts;
    assert_int_equal(starts, 3);
    world_finish(w);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_replicas_stand_apart_and_are_never_done),
        cmocka_unit_test(test_a_replica_that_ends_runs_again_elsewhere),
        cmocka_unit_test(test_replicas_of_a_dead_machine_run_again_soon),
        cmocka_unit_test(test_replicas_behind_a_cut_serve_on),
        cmocka_unit_test(test_a_replica_moves_off_a_machine_that_goes),
        cmocka_unit_test(test_a_service_does_not_wait_behind_lower_work),
        cmocka_unit_test(test_spread_and_limits),
        cmocka_unit_test(test_services_across_leaders),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
