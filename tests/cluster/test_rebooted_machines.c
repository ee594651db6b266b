/* A machine that dies and is back within a second with its worker's next incarnation: its tasks run again,
 * once each, and no task runs that no controller knows of. */
#include "check.h"
#include "failure_setup.h"
#include "sim_cluster.h"
#include "model/submission.h"

#include <string.h>

static int setup(void **state)
{
    *state = sim_with_long_tasks(2);
    return 0;
}

static struct sim_machine *start_two_tasks(struct sim_cluster *cluster)
{
    cluster->run_time_s = 20;
    sim_submit(cluster, 0, sim_job("run-1", 2, 1));
    assert_true(sim_run_until(cluster, 10, sim_job_is_running, "run-1"));
    sim_run(cluster, 2);
    return sim_find_machine_of_job(cluster, "run-1");
}

static void assert_job_is_done_safely(struct sim_cluster *cluster)
{
    assert_true(sim_run_until(cluster, 180, sim_job_is_done, "run-1"));
    assert_int_equal(sim_count_running(cluster, "run-1"), 0);
    sim_check_safety(cluster);
}

static void test_tasks_of_a_rebooted_machine_run_again(void **state)
{
    struct sim_cluster *cluster = *state;
    struct sim_machine *machine = start_two_tasks(cluster);
    sim_reboot_machine(cluster, machine, machine->fencing_token);
    assert_job_is_done_safely(cluster);
}

static void test_tasks_of_a_rebooted_machine_that_forgot_its_token_run_again(void **state)
{
    struct sim_cluster *cluster = *state;
    sim_reboot_machine(cluster, start_two_tasks(cluster), 0);
    assert_job_is_done_safely(cluster);
}

/* The answer to its first report is lost, with the commands in it. */
static void test_lost_answer_to_the_first_heartbeat_after_a_reboot_loses_no_task(void **state)
{
    struct sim_cluster *cluster = *state;
    struct sim_machine *machine = start_two_tasks(cluster);
    sim_reboot_machine(cluster, machine, 0);
    machine->unresponsive = true;
    sim_run(cluster, 1);
    machine->unresponsive = false;
    assert_job_is_done_safely(cluster);
}

static void test_machine_that_reboots_again_and_again_runs_no_task_twice(void **state)
{
    struct sim_cluster *cluster = *state;
    struct sim_machine *machine = start_two_tasks(cluster);
    for (int i = 0; i < 20; i++) {
        sim_reboot_machine(cluster, machine, i % 2 == 0 ? machine->fencing_token : 0);
        sim_run(cluster, 0.3 + 0.1 * i);
    }
    assert_job_is_done_safely(cluster);
}

/* The leader that placed the tasks ends with the machine; its successor knows the machine from records and an
 * older list alone. */
static void test_machine_that_reboots_with_a_failover_runs_no_unknown_task(void **state)
{
    struct sim_cluster *cluster = *state;
    struct sim_machine *machine = start_two_tasks(cluster);
    cluster->listed_machines_max = 1;
    sim_kill_controller(cluster, sim_leader(cluster));
    machine->partitioned = true;
    sim_run(cluster, 8);
    sim_reboot_machine(cluster, machine, 0);
    machine->partitioned = false;
    assert_job_is_done_safely(cluster);
}

/* A launch that was sent to the incarnation before arrives after the reboot. */
static void test_launch_for_the_incarnation_before_a_reboot_does_not_start(void **state)
{
    struct sim_cluster *cluster = *state;
    cluster->run_time_s = 20;
    cluster->delay_direct_commands = true;
    for (guint i = 0; i < cluster->machines->len; i++)
        sim_machine_at(cluster, i)->next_heartbeat_at = cluster->now + 2;
    sim_submit(cluster, 0, sim_job("run-1", 2, 1));
    sim_run(cluster, 1);
    assert_true(cluster->delayed_commands->len > 0);
    for (guint i = 0; i < cluster->machines->len; i++)
        sim_reboot_machine(cluster, sim_machine_at(cluster, i), 0);
    sim_run(cluster, 5);
    cluster->delay_direct_commands = false;
    assert_job_is_done_safely(cluster);
}

/* Makes another controller the leader, which alone is heard by the machine; the old leader is cut off and
 * does not notice. Returns the new leader. */
static int depose_leader_unnoticed(struct sim_cluster *cluster, struct sim_machine *machine)
{
    int old_leader = sim_leader(cluster);
    int new_leader = sim_follower(cluster);
    uint64_t old_token = machine->fencing_token;
    sim_kill_controller(cluster, SIM_CONTROLLERS - old_leader - new_leader);
    cluster->isolated_controller = old_leader;
    machine->only_reachable_controller = machine->controller = new_leader;
    for (int i = 0; i < 200 && machine->fencing_token == old_token; i++)
        sim_run(cluster, 0.1);
    assert_true(machine->fencing_token > old_token);
    sim_run(cluster, 1);
    return new_leader;
}

/* The machine forgets the fencing token, the answer to its first heartbeat is lost, and from then on another
 * controller alone hears it. */
static void reboot_towards(struct sim_cluster *cluster, struct sim_machine *machine, int controller)
{
    sim_reboot_machine(cluster, machine, 0);
    machine->unresponsive = true;
    sim_run(cluster, 0.2);
    machine->unresponsive = machine->awaits_response = false;
    machine->only_reachable_controller = machine->controller = controller;
    machine->next_heartbeat_at = cluster->now;
}

/* The old leader renews the lease of the machine, which has forgotten the new leader's fencing token. So
 * silence towards the new leader does not prove that the lease has expired, and a launch of its own that is
 * held up may still start. */
static void test_silence_of_a_machine_that_forgot_its_token_proves_nothing(void **state)
{
    struct sim_cluster *cluster = *state;
    struct sim_machine *machine = sim_machine(cluster, "m-0");
    int old_leader = sim_leader(cluster);
    sim_delete_machine(sim_machine(cluster, "m-1"));
    int new_leader = depose_leader_unnoticed(cluster, machine);
    reboot_towards(cluster, machine, old_leader);
    cluster->delay_direct_commands = true;
    sim_submit(cluster, new_leader, sim_job("run-1", 1, 1));
    sim_run(cluster, 3);
    cluster->keep_commands_delayed = true;
    cluster->delay_direct_commands = false;
    sim_add_machine(cluster, "m-2", "big", "east", false);
    sim_run_until(cluster, 40, sim_job_is_running, "run-1");
    cluster->keep_commands_delayed = false;
    sim_run(cluster, 30);
    assert_int_equal(sim_count_running(cluster, "run-1"), 1);
    sim_check_safety(cluster);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(test_tasks_of_a_rebooted_machine_run_again, setup, sim_teardown),
        cmocka_unit_test_setup_teardown(test_tasks_of_a_rebooted_machine_that_forgot_its_token_run_again,
                                        setup, sim_teardown),
        cmocka_unit_test_setup_teardown(test_lost_answer_to_the_first_heartbeat_after_a_reboot_loses_no_task,
                                        setup, sim_teardown),
        cmocka_unit_test_setup_teardown(test_machine_that_reboots_again_and_again_runs_no_task_twice, setup,
                                        sim_teardown),
        cmocka_unit_test_setup_teardown(test_machine_that_reboots_with_a_failover_runs_no_unknown_task, setup,
                                        sim_teardown),
        cmocka_unit_test_setup_teardown(test_silence_of_a_machine_that_forgot_its_token_proves_nothing, setup,
                                        sim_teardown),
        cmocka_unit_test_setup_teardown(test_launch_for_the_incarnation_before_a_reboot_does_not_start, setup,
                                        sim_teardown),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
