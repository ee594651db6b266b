/* Starvation: every job starts in the end, whatever else is submitted. */
#include "check.h"
#include "world.h"

#include <string.h>

/* Submits a job every `gap` seconds, more than there is capacity for, until a task of `id` runs or the time
 * is over. The jobs are numbered from `n` on. */
static bool starts_within(struct world *w, const char *id, double seconds, double gap,
                          struct ow_submission *(*next)(int n), int n)
{
    for (double end = w->now + seconds; w->now < end && world_running(w, id) == 0; n++) {
        world_submit(w, 0, next(n));
        world_run(w, gap);
    }
    return world_running(w, id) > 0;
}

static bool starts_under_load(struct world *w, const char *id, double gap,
                              struct ow_submission *(*next)(int n))
{
    return starts_within(w, id, 240, gap, next, 100);
}

static struct ow_submission *numbered(int n, uint32_t tasks, double cpus, bool is_gang, enum ow_rank rank)
{
    char id[16];
    g_snprintf(id, sizeof id, "run-%d", n);
    struct ow_submission *submission = world_job(id, tasks, cpus);
    submission->gang = is_gang;
    submission->kind = is_gang ? OW_KIND_GANG : OW_KIND_ARRAY;
    submission->one_zone = is_gang;
    submission->rank = rank;
    return submission;
}

static struct ow_submission *small_gang(int n)
{
    return numbered(n, 1, 16, true, OW_RANK_URGENT);
}

static struct ow_submission *small_array(int n)
{
    return numbered(n, 2, 8, false, OW_RANK_STANDARD);
}

static struct ow_submission *urgent_array(int n)
{
    return numbered(n, 2, 8, false, OW_RANK_URGENT);
}

/* Small gangs that end one after the other: one machine becomes free at a time, and there is always a job
 * that fits it. */
static struct world *world_with_staggered_gangs(void)
{
    struct world *w = world_with_one_controller_and_machines(4);
    w->run_time_s = 10;
    for (int n = 50; n < 56; n++) {
        world_submit(w, 0, small_gang(n));
        world_run(w, 2.4);
    }
    return w;
}

/* More of these arrays than two machines have room for. */
static struct world *world_with_waiting_arrays(struct ow_submission *(*next)(int n))
{
    struct world *w = world_with_one_controller_and_machines(2);
    w->run_time_s = 5;
    for (int n = 50; n < 60; n++)
        world_submit(w, 0, next(n));
    world_run(w, 1);
    return w;
}

/* No starvation: a gang that needs the whole zone, among small ones that always fit before it. */
static void test_largest_gang_starts_under_load(void **state)
{
    (void)state;
    struct world *w = world_with_staggered_gangs();
    world_submit(w, 0, numbered(1, 4, 16, true, OW_RANK_URGENT));
    assert_true(starts_under_load(w, "run-1", 2.4, small_gang));
    world_finish(w);
}

/* There is capacity for all within the SLO, but small gangs that fit would pass the large one for as
 * long as they come. */
static void test_largest_gang_starts_within_its_objective(void **state)
{
    (void)state;
    struct world *w = world_with_staggered_gangs();
    static char class_name[] = "class";
    struct ow_slo start = {.kind = OW_SLO_WAIT, .class_name = class_name, .within_s = 80, .share = 1};
    g_array_append_val(w->settings[0].slos, start);
    world_submit(w, 0, numbered(1, 4, 16, true, OW_RANK_URGENT));
    assert_true(starts_within(w, "run-1", 80, 2.6, small_gang, 100));
    world_finish(w);
}

/* Under a load that starves all of them: the reservation of one does not pass to the next. */
static void test_largest_gang_starts_among_starved_gangs(void **state)
{
    (void)state;
    struct world *w = world_with_staggered_gangs();
    for (int n = 56; n < 90; n++)
        world_submit(w, 0, small_gang(n));
    world_run(w, 1);
    world_submit(w, 0, numbered(1, 4, 16, true, OW_RANK_URGENT));
    assert_true(starts_under_load(w, "run-1", 1, small_gang));
    world_finish(w);
}

/* Starved jobs take at most every other slot, so that a new job still starts. */
static void test_new_gang_starts_among_starved_gangs(void **state)
{
    (void)state;
    struct world *w = world_with_one_controller_and_machines(4);
    w->run_time_s = 10;
    for (int n = 100; n < 220; n++)
        world_submit(w, 0, small_gang(n));
    world_run(w, 165);
    world_submit(w, 0, small_gang(1));
    assert_true(world_until(w, 30, world_some_running, "run-1"));
    world_finish(w);
}

/* A large array is delayed by its size, but completes. */
static void test_large_array_completes_under_load(void **state)
{
    (void)state;
    struct world *w = world_with_waiting_arrays(small_array);
    world_submit(w, 0, numbered(1, 60, 8, false, OW_RANK_STANDARD));
    assert_true(starts_under_load(w, "run-1", 1, small_array));
    for (int n = 1000; n < 1250 && !world_all_done(w, "run-1"); n++) {
        world_submit(w, 0, small_array(n));
        world_run(w, 1);
    }
    assert_true(world_all_done(w, "run-1"));
    world_finish(w);
}

static void test_lowest_rank_starts_under_load(void **state)
{
    (void)state;
    struct world *w = world_with_waiting_arrays(urgent_array);
    world_submit(w, 0, numbered(1, 4, 8, false, OW_RANK_LOW));
    assert_true(starts_under_load(w, "run-1", 1, urgent_array));
    world_finish(w);
}

/* Only jobs of low rank without an SLO wait for cheap machines. */
static void test_only_low_work_waits_for_cheap_machines(void **state)
{
    (void)state;
    struct world *w = world_with_one_controller_and_machines(2);
    static char another[] = "another";
    struct ow_slo slo = {.kind = OW_SLO_WAIT, .class_name = another, .within_s = 30, .share = 1};
    g_array_append_val(w->settings[0].slos, slo);
    w->run_time_s = 1000;
    world_submit(w, 0, numbered(1, 1, 4, false, OW_RANK_LOW));
    world_submit(w, 0, numbered(2, 2, 10, false, OW_RANK_STANDARD));
    assert_true(world_until(w, 10, world_some_running, "run-2"));
    assert_int_equal(world_running(w, "run-1"), 0);
    uint64_t request = world_poll(w, 0, "run-1");
    world_run(w, 1);
    assert_non_null(strstr(world_answer(w, request)->reason, "cheap"));
    /* They don't wait for ever either, although the controller restarts repeatedly. */
    for (int i = 0; i < 4; i++) {
        world_run(w, 60);
        world_kill_controller(w, 0);
        world_start_controller(w, 0);
    }
    assert_true(world_until(w, 20, world_some_running, "run-1"));
    world_finish(w);
}

/* A waiting job keeps its age when every controller restarts, twice. */
static void test_waiting_time_survives_restarts(void **state)
{
    (void)state;
    struct world *w = world_with_waiting_arrays(urgent_array);
    world_submit(w, 0, numbered(1, 4, 8, false, OW_RANK_LOW));
    for (int i = 0; i < 2; i++) {
        assert_false(starts_within(w, "run-1", 55, 1, urgent_array, 100 + 100 * i));
        world_kill_controller(w, 0); /* the only controller in this test */
        world_start_controller(w, 0);
    }
    assert_true(starts_within(w, "run-1", 90, 1, urgent_array, 300));
    world_finish(w);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_largest_gang_starts_under_load),
        cmocka_unit_test(test_largest_gang_starts_within_its_objective),
        cmocka_unit_test(test_largest_gang_starts_among_starved_gangs),
        cmocka_unit_test(test_new_gang_starts_among_starved_gangs),
        cmocka_unit_test(test_large_array_completes_under_load),
        cmocka_unit_test(test_lowest_rank_starts_under_load),
        cmocka_unit_test(test_only_low_work_waits_for_cheap_machines),
        cmocka_unit_test(test_waiting_time_survives_restarts),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
