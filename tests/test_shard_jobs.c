/* A fleet divided into shards, on the simulated cluster: where jobs go, and what their users are told. */
#include "check.h"
#include "world.h"

#include <string.h>

enum { EAST, WEST };

static void test_any_controller_answers_about_any_job(void **state)
{
    (void)state;
    struct world *w = world_with_shards(2);
    w->run_time_s = 100;
    world_accept(w, 0, world_job_in("run-1", "east", 1));
    world_accept(w, 1, world_job_in("run-2", "west", 1));
    for (int i = 0; i < WORLD_CONTROLLERS; i++) {
        uint64_t east = world_poll(w, i, "run-1");
        uint64_t west = world_poll(w, i, "run-2");
        uint64_t nobody = world_poll(w, i, "run-3");
        world_run(w, 2);
        assert_int_equal(world_status(w, east), 200);
        assert_int_equal(world_status(w, west), 200);
        assert_int_equal(world_status(w, nobody), 404);
    }
    assert_string_equal(world_where(w, "run-1")->zone, "east");
    assert_string_equal(world_where(w, "run-2")->zone, "west");
    world_finish(w);
}

/* The same id goes to different shards at the same moment: one of them gets it. */
static void test_job_submitted_twice_is_in_one_shard(void **state)
{
    (void)state;
    struct world *w = world_with_shards(2);
    w->run_time_s = 100;
    uint64_t first = world_submit(w, 0, world_job_in("run-1", "east", 1));
    uint64_t second = world_submit(w, 1, world_job_in("run-1", "west", 1));
    world_run(w, 3);
    assert_int_equal(MIN(world_status(w, first), world_status(w, second)), 200);
    assert_int_equal(MAX(world_status(w, first), world_status(w, second)), 201);
    assert_int_equal(world_running(w, "run-1"), 1);
    unsigned records = (world_value_text(w, "shard/east/j/run-1") != NULL ? 1 : 0) +
                       (world_value_text(w, "shard/west/j/run-1") != NULL ? 1 : 0);
    assert_int_equal(records, 1);
    world_finish(w);
}

/* Repeats are known by their id alone, also where they would now go to another shard or could not run. */
static void test_repeats_reach_the_shard_that_has_the_job(void **state)
{
    (void)state;
    struct world *w = world_with_shards(2);
    w->run_time_s = 100;
    world_accept(w, 0, world_job_in("run-1", "east", 1));
    for (int i = 0; i < WORLD_CONTROLLERS; i++) {
        struct ow_submission *impossible = world_job("run-1", 1, 1e6);
        uint64_t other_zone = world_submit(w, i, world_job_in("run-1", "west", 1));
        uint64_t too_large = world_submit(w, i, impossible);
        uint64_t malformed = world_submit_malformed(w, i, "run-1");
        world_run(w, 3);
        assert_int_equal(world_status(w, other_zone), 200);
        assert_int_equal(world_status(w, too_large), 200);
        assert_int_equal(world_status(w, malformed), 200);
    }
    assert_int_equal(world_running(w, "run-1"), 1);
    world_finish(w);
}

/* A controller that has not read of the job yet refuses its repeat for what it says: other shards are asked
 * first. */
static void test_unread_job_is_not_refused(void **state)
{
    (void)state;
    struct world *w = world_with_shards(2);
    uint64_t accepted = world_submit(w, 0, world_job_in("run-1", "east", 1));
    world_run(w, 0.1);
    uint64_t repeat = world_submit(w, 1, world_job("run-1", 1, 1e6));
    uint64_t malformed = world_submit_malformed(w, 2, "run-1");
    world_run(w, 3);
    assert_int_equal(world_status(w, accepted), 201);
    assert_int_equal(world_status(w, repeat), 200);
    assert_int_equal(world_status(w, malformed), 200);
    world_finish(w);
}

static void test_impossible_jobs_are_refused(void **state)
{
    (void)state;
    struct world *w = world_with_shards(2);
    uint64_t too_large = world_submit(w, 0, world_job("run-1", 1, 1e6));
    uint64_t malformed = world_submit_malformed(w, 1, "run-2");
    world_run(w, 3);
    assert_int_equal(world_status(w, too_large), 422);
    assert_int_equal(world_status(w, malformed), 400);
    world_finish(w);
}

static void test_cancellation_reaches_the_shard_that_has_the_job(void **state)
{
    (void)state;
    struct world *w = world_with_shards(2);
    w->run_time_s = 100;
    world_accept(w, 0, world_job_in("run-1", "west", 2));
    int elsewhere = world_shard_leader(w, EAST);
    uint64_t request = world_cancel(w, elsewhere, "run-1");
    uint64_t nobody = world_cancel(w, elsewhere, "run-9");
    world_run(w, 4);
    assert_int_equal(world_status(w, request), 200);
    assert_int_equal(world_answer(w, request)->state, OW_JOB_CANCELLED);
    assert_int_equal(world_status(w, nobody), 404);
    assert_int_equal(world_running(w, "run-1"), 0);
    world_finish(w);
}

/* Without a zone a job goes where less work waits. */
static void test_new_jobs_go_where_less_waits(void **state)
{
    (void)state;
    struct world *w = world_with_shards(1);
    w->run_time_s = 200;
    world_accept(w, 0, world_job_in("run-1", "east", 60));
    for (int i = 2; i <= 4; i++) {
        char id[16];
        g_snprintf(id, sizeof id, "run-%d", i);
        world_accept(w, i % WORLD_CONTROLLERS, world_job(id, 1, 1));
        assert_int_equal(world_running_in(w, id, "west"), 1);
    }
    world_finish(w);
}

/* The limit of a team is divided: both shards together stay within it. */
static void test_team_limit_holds_across_shards(void **state)
{
    (void)state;
    struct world *w = world_with_shards(2);
    w->run_time_s = 100;
    for (int i = 0; i < 2; i++) {
        struct ow_submission *job = world_job_in(i == 0 ? "run-1" : "run-2", i == 0 ? "east" : "west", 8);
        world_set_team(job, "tight");
        world_accept(w, i, job);
    }
    world_run(w, 10);
    /* 8 CPUs at most, half of them in each shard. */
    assert_int_equal(world_running(w, "run-1"), 4);
    assert_int_equal(world_running(w, "run-2"), 4);
    world_finish(w);
}

static bool shows_reason(struct world *w, const char *id, const char *text)
{
    for (int i = 0; i < WORLD_CONTROLLERS; i++) {
        if (w->controllers[i] == NULL || w->frozen[i])
            continue;
        uint64_t request = world_poll(w, i, id);
        world_run(w, 0.3);
        const struct world_answer *answer = world_answer(w, request);
        if (answer != NULL && answer->reason != NULL && strstr(answer->reason, text) != NULL)
            return true;
    }
    return false;
}

static void test_users_are_told_of_a_handover(void **state)
{
    (void)state;
    struct world *w = world_with_shards(1);
    w->run_time_s = 200;
    world_run(w, 20);
    world_accept(w, 0, world_job_in("run-1", "east", 60));
    world_accept(w, 0, world_job_in("run-2", "east", 60));
    world_freeze(w, world_shard_leader(w, EAST));
    bool told = false;
    for (int i = 0; i < 20 && !told; i++)
        told = shows_reason(w, "run-2", "handover of shard east");
    assert_true(told);
    world_finish(w);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_any_controller_answers_about_any_job),
        cmocka_unit_test(test_job_submitted_twice_is_in_one_shard),
        cmocka_unit_test(test_repeats_reach_the_shard_that_has_the_job),
        cmocka_unit_test(test_unread_job_is_not_refused),
        cmocka_unit_test(test_impossible_jobs_are_refused),
        cmocka_unit_test(test_cancellation_reaches_the_shard_that_has_the_job),
        cmocka_unit_test(test_new_jobs_go_where_less_waits),
        cmocka_unit_test(test_team_limit_holds_across_shards),
        cmocka_unit_test(test_users_are_told_of_a_handover),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
