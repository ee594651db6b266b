/* Responses to users' requests: retries, rejections, fresh reads, and outages of the key-value store.
 * Guards against a retry that creates or rejects a job twice, and against an answer that a later one
 * contradicts. */
#include "check.h"
#include "sim_cluster.h"
#include "model/submission.h"

#include <string.h>

static int setup_three_controllers_and_one_machine(void **state)
{
    *state = sim_with_controllers(3, 1);
    return 0;
}

static int setup_one_controller_and_one_machine(void **state)
{
    *state = sim_with_controllers(1, 1);
    return 0;
}

static int setup_two_controllers_and_one_machine(void **state)
{
    *state = sim_with_controllers(2, 1);
    return 0;
}

static int setup_one_controller(void **state)
{
    *state = sim_with_one_controller();
    return 0;
}

static void test_submission_in_an_outage_is_answered_503_at_once(void **state)
{
    struct sim_cluster *cluster = *state;
    cluster->store_down = true;
    uint64_t request = sim_submit(cluster, 1, sim_job("run-1", 1, 1));
    sim_run(cluster, 0.3);
    assert_int_equal(sim_status(cluster, request), 503);
    assert_true(sim_response(cluster, request)->retry_after_s > 0);
    cluster->store_down = false;
    assert_int_equal(sim_job_state(cluster, "run-1"), -404);
    sim_check_safety(cluster);
}

static void test_retried_submission_is_recognized_by_id(void **state)
{
    struct sim_cluster *cluster = *state;
    uint64_t first = sim_submit(cluster, 0, sim_job("run-1", 1, 1));
    sim_run(cluster, 0.5);
    assert_int_equal(sim_status(cluster, first), 201);
    /* The retry goes to another controller and asks for more CPUs than any machine has: its id decides. */
    uint64_t retry = sim_submit(cluster, 1, sim_job("run-1", 1, 1000));
    sim_run(cluster, 0.5);
    assert_int_equal(sim_status(cluster, retry), 200);
    uint64_t unrunnable_request = sim_submit(cluster, 1, sim_job("run-2", 1, 1000));
    sim_run(cluster, 0.5);
    assert_int_equal(sim_status(cluster, unrunnable_request), 422);
    sim_check_safety(cluster);
}

static void test_retry_accepted_by_another_controller_is_not_rejected(void **state)
{
    struct sim_cluster *cluster = *state;
    cluster->silent_watches = true;
    uint64_t first = sim_submit(cluster, 0, sim_job("run-1", 1, 1));
    /* Controller 1 has not read the record yet, and as a new job the retry would be rejected: no machine has
     * that many CPUs. */
    sim_run(cluster, 0.1);
    uint64_t retry = sim_submit(cluster, 1, sim_job("run-1", 1, 1000));
    sim_run(cluster, 0.5);
    assert_int_equal(sim_status(cluster, first), 201);
    assert_int_equal(sim_status(cluster, retry), 200);
    sim_check_safety(cluster);
}

/* A malformed retry is recognized if its id can be parsed. */
static void test_malformed_retry_is_recognized_by_id(void **state)
{
    struct sim_cluster *cluster = *state;
    cluster->silent_watches = true;
    sim_submit(cluster, 0, sim_job("run-1", 1, 1));
    sim_run(cluster, 0.1);
    uint64_t retry = sim_submit_malformed(cluster, 1, "run-1");
    uint64_t other = sim_submit_malformed(cluster, 1, "run-2");
    sim_run(cluster, 0.5);
    assert_int_equal(sim_status(cluster, retry), 200);
    assert_int_equal(sim_status(cluster, other), 400);
    cluster->store_down = true; /* the controller can't know whether the job exists */
    retry = sim_submit_malformed(cluster, 2, "run-1");
    other = sim_submit_malformed(cluster, 2, "run-2");
    sim_run(cluster, 0.5);
    assert_int_equal(sim_status(cluster, retry), 503);
    assert_int_equal(sim_status(cluster, other), 503);
    sim_check_safety(cluster);
}

static void test_gang_with_contradictory_placement_is_rejected(void **state)
{
    struct sim_cluster *cluster = *state;
    struct ow_submission *gangs[] = {sim_gang("run-1", 2, 1), sim_gang("run-2", 2, 1),
                                     sim_gang("run-3", 2, 1), sim_gang("run-4", 1, 1)};
    uint64_t requests[4];
    for (int i = 0; i < 4; i++)
        gangs[i]->spread = true;
    gangs[0]->one_zone = gangs[3]->one_zone = true;
    gangs[1]->zone = g_strdup("east");
    for (int i = 0; i < 4; i++)
        requests[i] = sim_submit(cluster, 0, gangs[i]);
    sim_run(cluster, 0.5);
    for (int i = 0; i < 4; i++)
        assert_int_equal(sim_status(cluster, requests[i]), i < 2 ? 422 : 201);
    sim_check_safety(cluster);
}

static void test_submission_above_the_team_limit_is_rejected(void **state)
{
    struct sim_cluster *cluster = *state;
    struct ow_submission *gang = sim_job("run-1", 3, 4);
    struct ow_submission *array = sim_job("run-2", 3, 4);
    struct ow_submission *unknown_team_job = sim_job("run-3", 1, 1);
    sim_set_team(gang, "tight");
    sim_set_team(array, "tight");
    sim_set_team(unknown_team_job, "strangers");
    gang->kind = OW_KIND_GANG;
    uint64_t gang_request = sim_submit(cluster, 0, gang);
    uint64_t array_request = sim_submit(cluster, 0, array);
    uint64_t unknown_team_request = sim_submit(cluster, 0, unknown_team_job);
    sim_run(cluster, 0.5);
    assert_int_equal(sim_status(cluster, gang_request), 422);
    assert_int_equal(sim_status(cluster, array_request), 201);
    assert_int_equal(sim_status(cluster, unknown_team_request), 422);
    sim_check_safety(cluster);
}

static void test_live_job_is_answered_from_a_fresh_read(void **state)
{
    struct sim_cluster *cluster = *state;
    cluster->run_time_s = 100;
    sim_submit(cluster, 0, sim_job("run-1", 1, 1));
    sim_run(cluster, 3);
    int asked_controller = (sim_leader(cluster) + 1) % SIM_CONTROLLERS;
    int other = (sim_leader(cluster) + 2) % SIM_CONTROLLERS;
    uint64_t poll = sim_poll(cluster, asked_controller, "run-1");
    sim_run(cluster, 0.3);
    assert_int_equal(sim_status(cluster, poll), 200);
    cluster->silent_watches = true;
    uint64_t cancellation = sim_cancel(cluster, other, "run-1");
    sim_run(cluster, 0.3);
    assert_int_equal(sim_status(cluster, cancellation), 200);
    /* Rule 5: the controller learns of the cancellation only by a read. */
    poll = sim_poll(cluster, asked_controller, "run-1");
    sim_run(cluster, 0.3);
    assert_int_equal(sim_status(cluster, poll), 200);
    assert_int_equal(sim_response(cluster, poll)->state, OW_JOB_CANCELLED);
    cluster->store_down = true;
    uint64_t unknown_job_poll = sim_poll(cluster, other, "run-9");
    uint64_t final_state_poll = sim_poll(cluster, asked_controller, "run-1");
    sim_run(cluster, 0.5);
    assert_int_equal(sim_status(cluster, unknown_job_poll), 503);
    assert_int_equal(sim_status(cluster, final_state_poll), 200);
    sim_check_safety(cluster);
}

static void test_done_is_answered_only_after_commit(void **state)
{
    struct sim_cluster *cluster = *state;
    cluster->run_time_s = 2;
    sim_start_job(cluster, sim_job("run-1", 1, 1));
    cluster->delay_txns = true;
    sim_run(cluster, 4);
    assert_true(sim_job_is_not_running(cluster, "run-1"));
    for (int controller = 0; controller < SIM_CONTROLLERS; controller++) {
        uint64_t poll = sim_poll(cluster, controller, "run-1");
        sim_run(cluster, 0.3);
        assert_true(sim_status(cluster, poll) == 200 && sim_response(cluster, poll)->state != OW_JOB_DONE);
    }
    cluster->delay_txns = false;
    assert_true(sim_run_until(cluster, 10, sim_job_is_done, "run-1"));
    assert_int_equal(sim_job_state(cluster, "run-1"), OW_JOB_DONE);
    sim_check_safety(cluster);
}

static void test_cancellation_and_completion_are_exclusive(void **state)
{
    struct sim_cluster *cluster = *state;
    cluster->run_time_s = 2;
    sim_start_job(cluster, sim_job("run-1", 1, 1));
    assert_true(sim_run_until(cluster, 10, sim_job_is_not_running, "run-1"));
    uint64_t cancel_request = sim_cancel(cluster, 1, "run-1");
    sim_run(cluster, 5);
    assert_int_equal(sim_status(cluster, cancel_request), 200);
    enum ow_job_state announced_state = sim_response(cluster, cancel_request)->state;
    assert_true(announced_state == OW_JOB_DONE || announced_state == OW_JOB_CANCELLED);
    assert_int_equal(sim_job_state(cluster, "run-1"), announced_state);
    sim_check_safety(cluster);
}

static void test_poll_answers_the_waiting_reason(void **state)
{
    struct sim_cluster *cluster = *state;
    cluster->cloud_down = true;
    sim_submit(cluster, 0, sim_job("run-1", 1, 16));
    sim_run(cluster, 2);
    sim_submit(cluster, 0, sim_job("run-2", 1, 16));
    sim_run(cluster, 4);
    for (int controller = 0; controller < 2; controller++) {
        uint64_t poll = sim_poll(cluster, controller, "run-2");
        sim_run(cluster, 0.3);
        const struct sim_response *response = sim_response(cluster, poll);
        assert_int_equal(response->status, 200);
        assert_non_null(response->reason);
        assert_non_null(strstr(response->reason, "wait"));
    }
    sim_check_safety(cluster);
}

/* On an empty fleet the user is told that machines are being provisioned and are booting, and can cancel
 * the job meanwhile. */
static void test_poll_on_an_empty_fleet_answers_the_waiting_reason(void **state)
{
    struct sim_cluster *cluster = *state;
    sim_run(cluster, 3);
    sim_submit(cluster, 0, sim_job("run-1", 1, 16));
    sim_run(cluster, 1);
    uint64_t request = sim_poll(cluster, 0, "run-1");
    sim_run(cluster, 1);
    assert_non_null(strstr(sim_response(cluster, request)->reason, "rented yet"));
    cluster->provisionable_machines = 1;
    /* Rejections by the cloud are remembered for a minute; then the machine boots for 5 s. */
    const char *reason = NULL;
    for (int i = 0; i < 200 && (reason == NULL || strstr(reason, "booting") == NULL); i++) {
        request = sim_poll(cluster, 0, "run-1");
        sim_run(cluster, 0.5);
        reason = sim_response(cluster, request)->reason;
    }
    assert_non_null(reason);
    assert_non_null(strstr(reason, "booting"));
    request = sim_cancel(cluster, 0, "run-1");
    sim_run(cluster, 2);
    assert_int_equal(sim_response(cluster, request)->state, OW_JOB_CANCELLED);
    sim_check_safety(cluster);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(test_submission_in_an_outage_is_answered_503_at_once,
                                        setup_three_controllers_and_one_machine, sim_teardown),
        cmocka_unit_test_setup_teardown(test_retried_submission_is_recognized_by_id,
                                        setup_three_controllers_and_one_machine, sim_teardown),
        cmocka_unit_test_setup_teardown(test_retry_accepted_by_another_controller_is_not_rejected,
                                        setup_three_controllers_and_one_machine, sim_teardown),
        cmocka_unit_test_setup_teardown(test_malformed_retry_is_recognized_by_id,
                                        setup_three_controllers_and_one_machine, sim_teardown),
        cmocka_unit_test_setup_teardown(test_gang_with_contradictory_placement_is_rejected,
                                        setup_one_controller_and_one_machine, sim_teardown),
        cmocka_unit_test_setup_teardown(test_submission_above_the_team_limit_is_rejected,
                                        setup_one_controller_and_one_machine, sim_teardown),
        cmocka_unit_test_setup_teardown(test_live_job_is_answered_from_a_fresh_read,
                                        setup_three_controllers_and_one_machine, sim_teardown),
        cmocka_unit_test_setup_teardown(test_done_is_answered_only_after_commit,
                                        setup_three_controllers_and_one_machine, sim_teardown),
        cmocka_unit_test_setup_teardown(test_cancellation_and_completion_are_exclusive,
                                        setup_three_controllers_and_one_machine, sim_teardown),
        cmocka_unit_test_setup_teardown(test_poll_answers_the_waiting_reason,
                                        setup_two_controllers_and_one_machine, sim_teardown),
        cmocka_unit_test_setup_teardown(test_poll_on_an_empty_fleet_answers_the_waiting_reason,
                                        setup_one_controller, sim_teardown),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
