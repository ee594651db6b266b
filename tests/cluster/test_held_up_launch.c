/* A launch that is held up on its way until its job's time for cancelling is over must not start the task:
 * PROTOCOL counts a start after cancel_s at once, however soon it is stopped. */
#include "check.h"
#include "failure_setup.h"
#include "sim_cluster.h"
#include "model/submission.h"

#include <string.h>

/* A service keeps the machine from being terminated as idle. */
static int setup(void **state)
{
    struct sim_cluster *cluster = sim_with_long_tasks(1);
    *state = cluster;
    sim_submit(cluster, 0, sim_service("run-9", 1, 1));
    assert_true(sim_run_until(cluster, 10, sim_job_is_running, "run-9"));
    return 0;
}

/* Submits a job whose first launch goes to the machine directly, and is held up there; later commands are
 * not. */
static struct sim_machine *hold_launch(struct sim_cluster *cluster)
{
    struct sim_machine *machine = sim_machine(cluster, "m-0");
    cluster->delay_direct_commands = true;
    machine->next_heartbeat_at = cluster->now + 4;
    sim_submit(cluster, 0, sim_job("run-1", 1, 1));
    sim_run(cluster, 1);
    assert_true(cluster->delayed_commands->len > 0);
    cluster->delay_direct_commands = false;
    cluster->keep_commands_delayed = true;
    return machine;
}

static void assert_told(const struct canceller *canceller)
{
    assert_true(canceller->answered_at > 0);
}

/* Delivers what is held up after the user was told and cancel_s is over. The users' checks of the simulated
 * cluster record a start after that as a violation. */
static void release_after_cancel_time(struct sim_cluster *cluster, struct canceller *canceller)
{
    sim_run_with_canceller(cluster, canceller, 60);
    assert_told(canceller);
    sim_run(cluster, cluster->settings[0].cancel_s + 5);
    cluster->keep_commands_delayed = false;
    sim_run(cluster, 30);
    assert_int_equal(cluster->delayed_commands->len, 0);
    assert_int_equal(sim_count_running(cluster, "run-1"), 0);
    sim_check_safety(cluster);
}

static void test_launch_held_up_past_its_cancellation_does_not_start(void **state)
{
    struct sim_cluster *cluster = *state;
    hold_launch(cluster);
    struct canceller canceller = {.id = "run-1", .controller = sim_follower(cluster)};
    release_after_cancel_time(cluster, &canceller);
    assert_false(sim_machine(cluster, "m-0")->deleted);
}

static void test_launch_held_up_across_a_failover_does_not_start(void **state)
{
    struct sim_cluster *cluster = *state;
    hold_launch(cluster);
    struct canceller canceller = {.id = "run-1", .controller = sim_follower(cluster)};
    int old_leader = sim_leader(cluster);
    sim_run_with_canceller(cluster, &canceller, 0.5);
    sim_kill_controller(cluster, old_leader);
    release_after_cancel_time(cluster, &canceller);
}

static void test_launch_held_up_at_a_hung_machine_does_not_start(void **state)
{
    struct sim_cluster *cluster = *state;
    struct sim_machine *machine = sim_machine(cluster, "m-0");
    machine->next_heartbeat_at = cluster->now + 4;
    machine->hung = true;
    sim_submit(cluster, 0, sim_job("run-1", 1, 1));
    sim_run(cluster, 1);
    assert_true(cluster->delayed_commands->len > 0);
    cluster->keep_commands_delayed = true;
    struct canceller canceller = {.id = "run-1", .controller = sim_follower(cluster)};
    sim_run_with_canceller(cluster, &canceller, 10);
    machine->hung = false;
    release_after_cancel_time(cluster, &canceller);
}

/* The launch is held up twice: the first copy, and the one that is sent with the stop. */
static void test_resent_launches_held_up_do_not_start(void **state)
{
    struct sim_cluster *cluster = *state;
    struct sim_machine *machine = hold_launch(cluster);
    cluster->delay_direct_commands = true;
    machine->heartbeats_lost = true;
    sim_run(cluster, 6);
    cluster->delay_direct_commands = false;
    assert_true(cluster->delayed_commands->len > 1);
    struct canceller canceller = {.id = "run-1", .controller = sim_follower(cluster)};
    sim_run_with_canceller(cluster, &canceller, 3);
    machine->heartbeats_lost = false;
    release_after_cancel_time(cluster, &canceller);
}

/* One copy of the launch is held up, another one starts the task, and the job is cancelled. */
static struct canceller hold_launch_and_cancel(struct sim_cluster *cluster)
{
    hold_launch(cluster);
    assert_true(sim_run_until(cluster, 10, sim_job_is_running, "run-1"));
    struct canceller canceller = {.id = "run-1", .controller = sim_follower(cluster)};
    sim_run_with_canceller(cluster, &canceller, 10);
    assert_told(&canceller);
    return canceller;
}

/* The task is stopped by its cancellation, the job's final record is written, and only then the first copy of
 * the launch arrives, at a worker that must still know the attempt. */
static void test_launch_held_up_past_the_final_record_does_not_start(void **state)
{
    struct sim_cluster *cluster = *state;
    struct canceller canceller = hold_launch_and_cancel(cluster);
    assert_int_equal(sim_job_state(cluster, "run-1"), OW_JOB_CANCELLED);
    release_after_cancel_time(cluster, &canceller);
    assert_false(sim_machine(cluster, "m-0")->deleted);
}

/* The same with a failover after the final record: the new leader does not know of the launch. */
static void test_launch_held_up_past_the_final_record_and_a_failover_does_not_start(void **state)
{
    struct sim_cluster *cluster = *state;
    struct canceller canceller = hold_launch_and_cancel(cluster);
    sim_kill_controller(cluster, sim_leader(cluster));
    release_after_cancel_time(cluster, &canceller);
}

/* The job ends by itself, its result is recorded and may be cleared, and then a copy of the launch arrives.
 */
static void test_launch_held_up_past_the_result_does_not_start(void **state)
{
    struct sim_cluster *cluster = *state;
    cluster->run_time_s = 2;
    hold_launch(cluster);
    assert_true(sim_run_until(cluster, 30, sim_job_is_done, "run-1"));
    sim_run(cluster, 30);
    struct sim_machine *machine = sim_machine(cluster, "m-0");
    assert_false(machine->deleted);
    unsigned launches = machine->launches;
    cluster->keep_commands_delayed = false;
    sim_run(cluster, 20);
    assert_int_equal(machine->launches, launches);
    sim_check_safety(cluster);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(test_launch_held_up_past_its_cancellation_does_not_start, setup,
                                        sim_teardown),
        cmocka_unit_test_setup_teardown(test_launch_held_up_across_a_failover_does_not_start, setup,
                                        sim_teardown),
        cmocka_unit_test_setup_teardown(test_launch_held_up_at_a_hung_machine_does_not_start, setup,
                                        sim_teardown),
        cmocka_unit_test_setup_teardown(test_resent_launches_held_up_do_not_start, setup, sim_teardown),
        cmocka_unit_test_setup_teardown(test_launch_held_up_past_the_final_record_does_not_start, setup,
                                        sim_teardown),
        cmocka_unit_test_setup_teardown(
            test_launch_held_up_past_the_final_record_and_a_failover_does_not_start, setup, sim_teardown),
        cmocka_unit_test_setup_teardown(test_launch_held_up_past_the_result_does_not_start, setup,
                                        sim_teardown),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
