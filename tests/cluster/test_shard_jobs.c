/* A fleet divided into shards: which shard a job goes to, and what users are answered. Guards against jobs
 * that run in two shards, and against retries, polls and cancellations that are answered wrongly because
 * another shard has the job. */
#include "check.h"
#include "sim_cluster.h"
#include "model/submission.h"

#include <string.h>

enum { EAST, WEST };

static int setup_two_shards_of_two_machines(void **state)
{
    *state = sim_with_shards(2);
    return 0;
}

static int setup_two_shards_of_one_machine(void **state)
{
    *state = sim_with_shards(1);
    return 0;
}

static void test_any_controller_answers_about_any_job(void **state)
{
    struct sim_cluster *cluster = *state;
    cluster->run_time_s = 100;
    sim_submit_accepted(cluster, 0, sim_job_in_zone("run-1", "east", 1));
    sim_submit_accepted(cluster, 1, sim_job_in_zone("run-2", "west", 1));
    for (int i = 0; i < SIM_CONTROLLERS; i++) {
        uint64_t east = sim_poll(cluster, i, "run-1");
        uint64_t west = sim_poll(cluster, i, "run-2");
        uint64_t unknown_job = sim_poll(cluster, i, "run-3");
        sim_run(cluster, 2);
        assert_int_equal(sim_status(cluster, east), 200);
        assert_int_equal(sim_status(cluster, west), 200);
        assert_int_equal(sim_status(cluster, unknown_job), 404);
    }
    assert_string_equal(sim_find_machine_of_job(cluster, "run-1")->zone, "east");
    assert_string_equal(sim_find_machine_of_job(cluster, "run-2")->zone, "west");
    sim_check_safety(cluster);
}

/* The same id is submitted to different shards at the same moment: only one of them may accept it. */
static void test_job_submitted_twice_is_in_one_shard(void **state)
{
    struct sim_cluster *cluster = *state;
    cluster->run_time_s = 100;
    uint64_t first = sim_submit(cluster, 0, sim_job_in_zone("run-1", "east", 1));
    uint64_t second = sim_submit(cluster, 1, sim_job_in_zone("run-1", "west", 1));
    sim_run(cluster, 3);
    assert_int_equal(MIN(sim_status(cluster, first), sim_status(cluster, second)), 200);
    assert_int_equal(MAX(sim_status(cluster, first), sim_status(cluster, second)), 201);
    assert_int_equal(sim_count_running(cluster, "run-1"), 1);
    unsigned records = (sim_read_value(cluster, "shard/east/j/run-1") != NULL ? 1 : 0) +
                       (sim_read_value(cluster, "shard/west/j/run-1") != NULL ? 1 : 0);
    assert_int_equal(records, 1);
    sim_check_safety(cluster);
}

/* Retries are recognized by their id alone, even if they would now go to another shard, need more CPUs
 * than any machine has, or are malformed. */
static void test_retries_reach_the_shard_that_has_the_job(void **state)
{
    struct sim_cluster *cluster = *state;
    cluster->run_time_s = 100;
    sim_submit_accepted(cluster, 0, sim_job_in_zone("run-1", "east", 1));
    for (int i = 0; i < SIM_CONTROLLERS; i++) {
        struct ow_submission *unrunnable_job = sim_job("run-1", 1, 1e6);
        uint64_t other_zone = sim_submit(cluster, i, sim_job_in_zone("run-1", "west", 1));
        uint64_t too_large = sim_submit(cluster, i, unrunnable_job);
        uint64_t malformed = sim_submit_malformed(cluster, i, "run-1");
        sim_run(cluster, 3);
        assert_int_equal(sim_status(cluster, other_zone), 200);
        assert_int_equal(sim_status(cluster, too_large), 200);
        assert_int_equal(sim_status(cluster, malformed), 200);
    }
    assert_int_equal(sim_count_running(cluster, "run-1"), 1);
    sim_check_safety(cluster);
}

/* A controller that has not read the record of the job yet would reject its retry for its contents: it
 * must ask the other shards first. */
static void test_retry_of_a_job_not_read_yet_is_not_rejected(void **state)
{
    struct sim_cluster *cluster = *state;
    uint64_t accepted = sim_submit(cluster, 0, sim_job_in_zone("run-1", "east", 1));
    sim_run(cluster, 0.1);
    uint64_t retry = sim_submit(cluster, 1, sim_job("run-1", 1, 1e6));
    uint64_t malformed = sim_submit_malformed(cluster, 2, "run-1");
    sim_run(cluster, 3);
    assert_int_equal(sim_status(cluster, accepted), 201);
    assert_int_equal(sim_status(cluster, retry), 200);
    assert_int_equal(sim_status(cluster, malformed), 200);
    sim_check_safety(cluster);
}

static void test_unrunnable_and_malformed_jobs_are_rejected(void **state)
{
    struct sim_cluster *cluster = *state;
    uint64_t too_large = sim_submit(cluster, 0, sim_job("run-1", 1, 1e6));
    uint64_t malformed = sim_submit_malformed(cluster, 1, "run-2");
    sim_run(cluster, 3);
    assert_int_equal(sim_status(cluster, too_large), 422);
    assert_int_equal(sim_status(cluster, malformed), 400);
    sim_check_safety(cluster);
}

static void test_cancellation_reaches_the_shard_that_has_the_job(void **state)
{
    struct sim_cluster *cluster = *state;
    cluster->run_time_s = 100;
    sim_submit_accepted(cluster, 0, sim_job_in_zone("run-1", "west", 2));
    int other_shard_leader = sim_shard_leader(cluster, EAST);
    uint64_t request = sim_cancel(cluster, other_shard_leader, "run-1");
    uint64_t unknown_job = sim_cancel(cluster, other_shard_leader, "run-9");
    sim_run(cluster, 4);
    assert_int_equal(sim_status(cluster, request), 200);
    assert_int_equal(sim_response(cluster, request)->state, OW_JOB_CANCELLED);
    assert_int_equal(sim_status(cluster, unknown_job), 404);
    assert_int_equal(sim_count_running(cluster, "run-1"), 0);
    sim_check_safety(cluster);
}

/* A job without a zone goes to the shard where less work waits. */
static void test_job_without_a_zone_goes_to_the_shard_with_less_waiting_work(void **state)
{
    struct sim_cluster *cluster = *state;
    cluster->run_time_s = 200;
    sim_submit_accepted(cluster, 0, sim_job_in_zone("run-1", "east", 60));
    for (int i = 2; i <= 4; i++) {
        char id[16];
        g_snprintf(id, sizeof id, "run-%d", i);
        sim_submit_accepted(cluster, i % SIM_CONTROLLERS, sim_job(id, 1, 1));
        assert_int_equal(sim_count_running_in_zone(cluster, id, "west"), 1);
    }
    sim_check_safety(cluster);
}

/* A team's limit is divided among the shards: together they stay within it. */
static void test_team_limit_holds_across_shards(void **state)
{
    struct sim_cluster *cluster = *state;
    cluster->run_time_s = 100;
    for (int i = 0; i < 2; i++) {
        struct ow_submission *job = sim_job_in_zone(i == 0 ? "run-1" : "run-2", i == 0 ? "east" : "west", 8);
        sim_set_team(job, "tight");
        sim_submit_accepted(cluster, i, job);
    }
    sim_run(cluster, 10);
    /* The limit is 8 CPUs, half of them in each shard. */
    assert_int_equal(sim_count_running(cluster, "run-1"), 4);
    assert_int_equal(sim_count_running(cluster, "run-2"), 4);
    sim_check_safety(cluster);
}

static bool any_poll_answers_reason(struct sim_cluster *cluster, const char *id, const char *expected_reason)
{
    for (int i = 0; i < SIM_CONTROLLERS; i++) {
        if (cluster->controllers[i] == NULL || cluster->frozen[i])
            continue;
        uint64_t request = sim_poll(cluster, i, id);
        sim_run(cluster, 0.3);
        const struct sim_response *response = sim_response(cluster, request);
        if (response != NULL && response->reason != NULL && strstr(response->reason, expected_reason) != NULL)
            return true;
    }
    return false;
}

static void test_poll_during_a_handover_answers_the_reason(void **state)
{
    struct sim_cluster *cluster = *state;
    cluster->run_time_s = 200;
    sim_run(cluster, 20);
    sim_submit_accepted(cluster, 0, sim_job_in_zone("run-1", "east", 60));
    sim_submit_accepted(cluster, 0, sim_job_in_zone("run-2", "east", 60));
    sim_freeze_controller(cluster, sim_shard_leader(cluster, EAST));
    bool was_answered = false;
    for (int i = 0; i < 20 && !was_answered; i++)
        was_answered = any_poll_answers_reason(cluster, "run-2", "handover of shard east");
    assert_true(was_answered);
    sim_check_safety(cluster);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(test_any_controller_answers_about_any_job,
                                        setup_two_shards_of_two_machines, sim_teardown),
        cmocka_unit_test_setup_teardown(test_job_submitted_twice_is_in_one_shard,
                                        setup_two_shards_of_two_machines, sim_teardown),
        cmocka_unit_test_setup_teardown(test_retries_reach_the_shard_that_has_the_job,
                                        setup_two_shards_of_two_machines, sim_teardown),
        cmocka_unit_test_setup_teardown(test_retry_of_a_job_not_read_yet_is_not_rejected,
                                        setup_two_shards_of_two_machines, sim_teardown),
        cmocka_unit_test_setup_teardown(test_unrunnable_and_malformed_jobs_are_rejected,
                                        setup_two_shards_of_two_machines, sim_teardown),
        cmocka_unit_test_setup_teardown(test_cancellation_reaches_the_shard_that_has_the_job,
                                        setup_two_shards_of_two_machines, sim_teardown),
        cmocka_unit_test_setup_teardown(test_job_without_a_zone_goes_to_the_shard_with_less_waiting_work,
                                        setup_two_shards_of_one_machine, sim_teardown),
        cmocka_unit_test_setup_teardown(test_team_limit_holds_across_shards, setup_two_shards_of_two_machines,
                                        sim_teardown),
        cmocka_unit_test_setup_teardown(test_poll_during_a_handover_answers_the_reason,
                                        setup_two_shards_of_one_machine, sim_teardown),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
