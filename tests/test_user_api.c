/* Answers to users' requests: repeats, rejections, fresh reads, and outages of the key-value store. */
#include "check.h"
#include "world.h"

#include <string.h>

static void test_submissions_in_an_outage_are_answered_at_once(void **state)
{
    (void)state;
    struct world *w = world_with_controllers(3, 1);
    w->store_down = true;
    uint64_t request = world_submit(w, 1, world_job("run-1", 1, 1));
    world_run(w, 0.3);
    assert_int_equal(world_status(w, request), 503);
    assert_true(world_answer(w, request)->retry_after_s > 0);
    w->store_down = false;
    assert_int_equal(world_job_state(w, "run-1"), -404);
    world_finish(w);
}

static void test_repeated_submission_is_recognized_by_id(void **state)
{
    (void)state;
    struct world *w = world_with_controllers(3, 1);
    uint64_t first = world_submit(w, 0, world_job("run-1", 1, 1));
    world_run(w, 0.5);
    assert_int_equal(world_status(w, first), 201);
    /* At another controller, and with a size that can never run: still the same job. */
    uint64_t repeat = world_submit(w, 1, world_job("run-1", 1, 1000));
    world_run(w, 0.5);
    assert_int_equal(world_status(w, repeat), 200);
    uint64_t never = world_submit(w, 1, world_job("run-2", 1, 1000));
    world_run(w, 0.5);
    assert_int_equal(world_status(w, never), 422);
    world_finish(w);
}

static void test_repeat_accepted_by_another_controller_is_not_rejected(void **state)
{
    (void)state;
    struct world *w = world_with_controllers(3, 1);
    w->silent_watches = true;
    uint64_t first = world_submit(w, 0, world_job("run-1", 1, 1));
    /* Node 1 has not read the record yet, and the repeated submission can never run. */
    world_run(w, 0.1);
    uint64_t repeat = world_submit(w, 1, world_job("run-1", 1, 1000));
    world_run(w, 0.5);
    assert_int_equal(world_status(w, first), 201);
    assert_int_equal(world_status(w, repeat), 200);
    world_finish(w);
}

/* A malformed repeat is recognized as long as its id can be parsed. */
static void test_malformed_repeat_is_recognized_by_id(void **state)
{
    (void)state;
    struct world *w = world_with_controllers(3, 1);
    w->silent_watches = true;
    world_submit(w, 0, world_job("run-1", 1, 1));
    world_run(w, 0.1);
    uint64_t repeat = world_submit_malformed(w, 1, "run-1"), other = world_submit_malformed(w, 1, "run-2");
    world_run(w, 0.5);
    assert_int_equal(world_status(w, repeat), 200);
    assert_int_equal(world_status(w, other), 400);
    w->store_down = true; /* the controller can't know whether the job exists */
    repeat = world_submit_malformed(w, 2, "run-1");
    other = world_submit_malformed(w, 2, "run-2");
    world_run(w, 0.5);
    assert_int_equal(world_status(w, repeat), 503);
    assert_int_equal(world_status(w, other), 503);
    world_finish(w);
}

static void test_gang_with_contradictory_placement_is_rejected(void **state)
{
    (void)state;
    struct world *w = world_with_controllers(1, 1);
    struct ow_submission *gangs[] = {world_gang("run-1", 2, 1), world_gang("run-2", 2, 1),
                                     world_gang("run-3", 2, 1), world_gang("run-4", 1, 1)};
    uint64_t asked[4];
    for (int i = 0; i < 4; i++)
        gangs[i]->spread = true;
    gangs[0]->one_zone = gangs[3]->one_zone = true;
    gangs[1]->zone = g_strdup("east");
    for (int i = 0; i < 4; i++)
        asked[i] = world_submit(w, 0, gangs[i]);
    world_run(w, 0.5);
    for (int i = 0; i < 4; i++)
        assert_int_equal(world_status(w, asked[i]), i < 2 ? 422 : 201);
    world_finish(w);
}

static void test_submission_above_the_team_limit_is_rejected(void **state)
{
    (void)state;
    struct world *w = world_with_controllers(1, 1);
    struct ow_submission *gang = world_job("run-1", 3, 4), *array = world_job("run-2", 3, 4);
    struct ow_submission *stranger = world_job("run-3", 1, 1);
    world_set_team(gang, "tight");
    world_set_team(array, "tight");
    world_set_team(stranger, "strangers");
    gang->gang = true;
    gang->kind = OW_KIND_GANG;
    uint64_t gang_request = world_submit(w, 0, gang), array_request = world_submit(w, 0, array),
             stranger_request = world_submit(w, 0, stranger);
    world_run(w, 0.5);
    assert_int_equal(world_status(w, gang_request), 422);
    assert_int_equal(world_status(w, array_request), 201);
    assert_int_equal(world_status(w, stranger_request), 422);
    world_finish(w);
}

static void test_live_job_is_answered_from_a_fresh_read(void **state)
{
    (void)state;
    struct world *w = world_with_controllers(3, 1);
    w->run_time_s = 100;
    world_submit(w, 0, world_job("run-1", 1, 1));
    world_run(w, 3);
    int asked = (world_leader(w) + 1) % WORLD_CONTROLLERS, other = (world_leader(w) + 2) % WORLD_CONTROLLERS;
    uint64_t poll = world_poll(w, asked, "run-1");
    world_run(w, 0.3);
    assert_int_equal(world_status(w, poll), 200);
    w->silent_watches = true;
    uint64_t cancellation = world_cancel(w, other, "run-1");
    world_run(w, 0.3);
    assert_int_equal(world_status(w, cancellation), 200);
    /* Rule 5: the controller learns of it only by a read. */
    poll = world_poll(w, asked, "run-1");
    world_run(w, 0.3);
    assert_int_equal(world_status(w, poll), 200);
    assert_int_equal(world_answer(w, poll)->state, OW_JOB_CANCELLED);
    w->store_down = true;
    uint64_t blind = world_poll(w, other, "run-9"), sure = world_poll(w, asked, "run-1");
    world_run(w, 0.5);
    assert_int_equal(world_status(w, blind), 503);
    assert_int_equal(world_status(w, sure), 200);
    world_finish(w);
}

static void test_done_is_answered_only_after_commit(void **state)
{
    (void)state;
    struct world *w = world_with_controllers(3, 1);
    w->run_time_s = 2;
    world_start_job(w, world_job("run-1", 1, 1));
    w->hold_txns = true;
    world_run(w, 4);
    assert_true(world_none_running(w, "run-1"));
    for (int controller = 0; controller < WORLD_CONTROLLERS; controller++) {
        uint64_t poll = world_poll(w, controller, "run-1");
        world_run(w, 0.3);
        assert_true(world_status(w, poll) == 200 && world_answer(w, poll)->state != OW_JOB_DONE);
    }
    w->hold_txns = false;
    assert_true(world_until(w, 10, world_all_done, "run-1"));
    assert_int_equal(world_job_state(w, "run-1"), OW_JOB_DONE);
    world_finish(w);
}

static void test_cancellation_and_completion_are_exclusive(void **state)
{
    (void)state;
    struct world *w = world_with_controllers(3, 1);
    w->run_time_s = 2;
    world_start_job(w, world_job("run-1", 1, 1));
    assert_true(world_until(w, 10, world_none_running, "run-1"));
    uint64_t late = world_cancel(w, 1, "run-1");
    world_run(w, 5);
    assert_int_equal(world_status(w, late), 200);
    enum ow_job_state announced_state = world_answer(w, late)->state;
    assert_true(announced_state == OW_JOB_DONE || announced_state == OW_JOB_CANCELLED);
    assert_int_equal(world_job_state(w, "run-1"), announced_state);
    world_finish(w);
}

static void test_poll_answers_the_waiting_reason(void **state)
{
    (void)state;
    struct world *w = world_with_controllers(2, 1);
    w->cloud_down = true;
    world_submit(w, 0, world_job("run-1", 1, 16));
    world_run(w, 2);
    world_submit(w, 0, world_job("run-2", 1, 16));
    world_run(w, 4);
    for (int controller = 0; controller < 2; controller++) {
        uint64_t poll = world_poll(w, controller, "run-2");
        world_run(w, 0.3);
        const struct world_answer *answer = world_answer(w, poll);
        assert_int_equal(answer->status, 200);
        assert_non_null(answer->reason);
        assert_non_null(strstr(answer->reason, "wait"));
    }
    world_finish(w);
}

/* A new user on an empty fleet is told that machines are provisioned and boot, and can cancel meanwhile. */
static void test_empty_fleet_tells_why_a_job_waits(void **state)
{
    (void)state;
    struct world *w = world_with_one_controller();
    world_run(w, 3);
    world_submit(w, 0, world_job("run-1", 1, 16));
    world_run(w, 1);
    uint64_t request = world_poll(w, 0, "run-1");
    world_run(w, 1);
    assert_non_null(strstr(world_answer(w, request)->reason, "rented yet"));
    w->capacity = 1;
    /* The cloud's refusals are remembered for a minute; then the machine boots for five seconds. */
    const char *reason = NULL;
    for (int i = 0; i < 200 && (reason == NULL || strstr(reason, "booting") == NULL); i++) {
        request = world_poll(w, 0, "run-1");
        world_run(w, 0.5);
        reason = world_answer(w, request)->reason;
    }
    assert_non_null(reason);
    assert_non_null(strstr(reason, "booting"));
    request = world_cancel(w, 0, "run-1");
    world_run(w, 2);
    assert_int_equal(world_answer(w, request)->state, OW_JOB_CANCELLED);
    world_finish(w);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_submissions_in_an_outage_are_answered_at_once),
        cmocka_unit_test(test_repeated_submission_is_recognized_by_id),
        cmocka_unit_test(test_repeat_accepted_by_another_controller_is_not_rejected),
        cmocka_unit_test(test_malformed_repeat_is_recognized_by_id),
        cmocka_unit_test(test_gang_with_contradictory_placement_is_rejected),
        cmocka_unit_test(test_submission_above_the_team_limit_is_rejected),
        cmocka_unit_test(test_live_job_is_answered_from_a_fresh_read),
        cmocka_unit_test(test_done_is_answered_only_after_commit),
        cmocka_unit_test(test_cancellation_and_completion_are_exclusive),
        cmocka_unit_test(test_poll_answers_the_waiting_reason),
        cmocka_unit_test(test_empty_fleet_tells_why_a_job_waits),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
