/* The safety rules of docs/design/safety.md on failovers and fencing tokens: each test fails without the
 * guard that it names. */
#include "check.h"
#include "sim_cluster.h"
#include "model/submission.h"

#include <string.h>

static bool job_runs(struct sim_cluster *cluster, const void *job)
{
    return sim_find_machine_of_job(cluster, job) != NULL;
}

static int setup_two_machines(void **state)
{
    *state = sim_with_machines(2);
    return 0;
}

static int setup_one_machine(void **state)
{
    *state = sim_with_machines(1);
    return 0;
}

/* Tasks recorded on a machine that is deleted before another leader takes over. */
static void test_failover_recovers_tasks_of_a_deleted_machine(void **state)
{
    struct sim_cluster *cluster = *state;
    cluster->run_time_s = 100;
    sim_start_job(cluster, sim_job("run-1", 1, 1));
    struct sim_machine *machine = sim_find_machine_of_job(cluster, "run-1");
    sim_kill_controllers(cluster);
    sim_delete_machine(machine);
    sim_start_controllers(cluster);
    assert_true(sim_run_until(cluster, 22, job_runs, "run-1"));
    sim_check_safety(cluster);
}

/* The same when the other controllers know the machine from the previous leader. */
static void test_tasks_recover_when_machine_and_leader_fail_together(void **state)
{
    struct sim_cluster *cluster = *state;
    cluster->run_time_s = 100;
    sim_start_job(cluster, sim_job("run-1", 1, 1));
    /* Work elsewhere, so that the machine with room is not terminated as idle. */
    struct ow_submission *other = sim_job("run-2", 1, 1);
    other->zone = g_strdup("west");
    sim_add_machine(cluster, "m-9", "big", "west", false);
    sim_submit(cluster, 0, other);
    sim_run(cluster, 5);
    assert_int_equal(sim_count_running(cluster, "run-2"), 1);
    struct sim_machine *machine = sim_find_machine_of_job(cluster, "run-1");
    sim_kill_controller(cluster, sim_leader(cluster));
    sim_delete_machine(machine);
    assert_true(sim_run_until(cluster, 33, job_runs, "run-1"));
    sim_check_safety(cluster);
}

/* Rule 2, fencing: a deposed leader may still renew the machine's lease until the machine has seen the new
 * fencing token; its tasks count as running. */
static void test_machine_with_a_stale_fencing_token_keeps_its_tasks(void **state)
{
    struct sim_cluster *cluster = *state;
    cluster->run_time_s = 200;
    cluster->cloud_down = true;
    struct sim_machine *machine = sim_start_and_settle_job(cluster, sim_job("run-1", 1, 1));
    int old = sim_leader(cluster);
    machine->partitioned = true;
    sim_kill_controller(cluster, old);
    /* No controller renews the machine's lease here, but the new leader can't know: an isolated old leader
     * might. */
    machine->lease_renewed_at = cluster->now + 1000;
    sim_run(cluster, 60);
    assert_true(sim_leader(cluster) != old);
    assert_false(sim_job_runs_on_another(cluster, machine));
    machine->partitioned = false;
    sim_run(cluster, 10);
    assert_true(sim_find_machine_of_job(cluster, "run-1") == machine);
    sim_check_safety(cluster);
}

/* Rules 2 and 4: after a heartbeat from before the new fencing token an older leader may still change the
 * machine. It frees no task and allows no launch. */
static void test_heartbeat_with_a_stale_fencing_token_frees_no_task(void **state)
{
    struct sim_cluster *cluster = *state;
    cluster->run_time_s = 200;
    cluster->cloud_down = true;
    struct sim_machine *machine = sim_start_and_settle_job(cluster, sim_job("run-1", 1, 1));
    uint64_t fencing_token = machine->fencing_token;
    for (guint i = 0; i < cluster->machines->len; i++)
        sim_machine_at(cluster, i)->partitioned = true;
    machine->lease_renewed_at = cluster->now + 1000;
    sim_kill_controller(cluster, sim_leader(cluster));
    sim_run(cluster, 8);
    int controller = sim_leader(cluster);
    sim_send_empty_heartbeat(cluster, controller, machine, machine->sequence + 1, fencing_token);
    sim_submit(cluster, controller, sim_job("run-2", 1, 1));
    sim_run(cluster, 3);
    char *first = sim_read_progress_record(cluster, "run-1/0");
    assert_non_null(first);
    assert_non_null(strstr(first, machine->name));
    assert_null(sim_read_progress_record(cluster, "run-2/0"));
    g_free(first);
    sim_check_safety(cluster);
}

/* A delayed transaction of a leader that was deposed meanwhile is rejected. */
static void test_write_of_a_deposed_leader_is_rejected(void **state)
{
    struct sim_cluster *cluster = *state;
    int old = sim_leader(cluster);
    cluster->keep_txns_delayed = true;
    cluster->delay_next_txns = 1;
    cluster->delay_next_controller = old;
    sim_submit(cluster, (old + 1) % SIM_CONTROLLERS, sim_job("run-1", 1, 1));
    sim_run(cluster, 0.4);
    assert_int_equal(cluster->delayed_txns->len, 1);
    cluster->controller_without_store = old;
    sim_machine(cluster, "m-0")->partitioned = true; /* so that the new leader has nothing to write */
    sim_run(cluster, 12);
    assert_true(sim_leader(cluster) != old);
    cluster->keep_txns_delayed = false;
    sim_run(cluster, 1);
    assert_int_equal(cluster->delayed_txns->len, 0);
    assert_null(sim_read_progress_record(cluster, "run-1/0"));
    sim_check_safety(cluster);
}

/* Rule 4: a new leader starts nothing on a machine before it has its heartbeat under the new fencing token.
 */
static void test_no_launch_before_the_machine_heartbeats_the_new_fencing_token(void **state)
{
    struct sim_cluster *cluster = *state;
    cluster->cloud_down = true;
    struct sim_machine *machine = sim_machine(cluster, "m-0");
    uint64_t before = machine->fencing_token;
    machine->partitioned = true;
    sim_kill_controller(cluster, sim_leader(cluster));
    sim_run(cluster, 8);
    int controller = sim_leader(cluster);
    sim_submit(cluster, controller, sim_job("run-1", 1, 1));
    sim_run(cluster, 5);
    assert_int_equal(machine->launches, 0);
    machine->partitioned = false;
    assert_true(sim_run_until(cluster, 15, sim_job_is_running, "run-1"));
    assert_true(machine->fencing_token > before);
    sim_check_safety(cluster);
}

/* Rule 4: attempts of an earlier leader count against the team's limit until they are accounted for. */
static void test_inherited_attempts_count_against_the_limit(void **state)
{
    struct sim_cluster *cluster = *state;
    cluster->run_time_s = 200;
    cluster->cloud_down = true;
    struct ow_submission *first = sim_job("run-1", 2, 4);
    struct ow_submission *second = sim_job("run-2", 1, 4);
    sim_set_team(first, "tight");
    sim_set_team(second, "tight");
    struct sim_machine *machine = sim_start_and_settle_job(cluster, first);
    machine->partitioned = true;
    machine->lease_renewed_at = cluster->now + 1000;
    sim_kill_controller(cluster, sim_leader(cluster));
    sim_run(cluster, 8);
    sim_submit(cluster, sim_leader(cluster), second);
    sim_run(cluster, 20);
    assert_int_equal(sim_count_running(cluster, "run-2"), 0);
    sim_check_safety(cluster);
}

/* A leader that sees a higher fencing token steps down. */
static void test_higher_fencing_token_deposes_the_leader(void **state)
{
    struct sim_cluster *cluster = *state;
    int leader = sim_leader(cluster);
    cluster->store_down = true; /* it can't read who leads */
    sim_machine(cluster, "m-0")->fencing_token = 1000000;
    sim_run(cluster, 5);
    assert_true(sim_fencing_token(cluster, leader) == 0);
}

/* The successor of a leader whose fleet boots: it asks the machines that are up, and none of the others. */
static void test_successor_does_not_ask_machines_that_boot(void **state)
{
    struct sim_cluster *cluster = *state;
    cluster->run_time_s = 200;
    sim_submit(cluster, 0, sim_job("run-1", 2, 16)); /* machines with work are not terminated as idle */
    for (int i = 0; i < 3; i++) {
        char name[16];
        g_snprintf(name, sizeof name, "booting-%d", i);
        sim_add_machine(cluster, name, "big", "east", false)->booted_at = cluster->now + 100;
    }
    sim_run(cluster, 20); /* the cloud's list tells their addresses, and the leader its peers */
    cluster->cloud_down = true;
    cluster->direct_commands_sent = 0;
    sim_kill_controller(cluster, sim_leader(cluster));
    sim_run(cluster, 10);
    assert_true(sim_leader(cluster) >= 0);
    assert_int_equal(cluster->direct_commands_sent, 2);
    sim_check_safety(cluster);
}

/* A machine that boots for longer than an unresponsive one is left alone is not terminated when it sends
 * heartbeats at last. */
static void test_slow_boot_is_not_taken_for_unresponsive(void **state)
{
    (void)state;
    struct sim_cluster *cluster = sim_new();
    for (int i = 0; i < SIM_CONTROLLERS; i++)
        cluster->settings[i].lease_s =
            6; /* an unresponsive machine without tasks is left alone for three leases */
    sim_start_controllers(cluster);
    sim_add_machines(cluster, 1);
    struct sim_machine *slow = sim_add_machine(cluster, "slow", "big", "east", false);
    slow->booted_at = slow->lease_renewed_at = cluster->now + 24;
    sim_run(cluster, 4);
    cluster->run_time_s = 300;
    sim_submit(cluster, 0, sim_job("run-1", 2, 16));
    sim_run(cluster, 40);
    assert_false(slow->deleted);
    assert_int_equal(slow->launches, 1);
    sim_finish(cluster);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(test_failover_recovers_tasks_of_a_deleted_machine, setup_two_machines,
                                        sim_teardown),
        cmocka_unit_test_setup_teardown(test_tasks_recover_when_machine_and_leader_fail_together,
                                        setup_two_machines, sim_teardown),
        cmocka_unit_test_setup_teardown(test_machine_with_a_stale_fencing_token_keeps_its_tasks,
                                        setup_two_machines, sim_teardown),
        cmocka_unit_test_setup_teardown(test_heartbeat_with_a_stale_fencing_token_frees_no_task,
                                        setup_two_machines, sim_teardown),
        cmocka_unit_test_setup_teardown(test_write_of_a_deposed_leader_is_rejected, setup_one_machine,
                                        sim_teardown),
        cmocka_unit_test_setup_teardown(test_no_launch_before_the_machine_heartbeats_the_new_fencing_token,
                                        setup_one_machine, sim_teardown),
        cmocka_unit_test_setup_teardown(test_inherited_attempts_count_against_the_limit, setup_two_machines,
                                        sim_teardown),
        cmocka_unit_test_setup_teardown(test_higher_fencing_token_deposes_the_leader, setup_one_machine,
                                        sim_teardown),
        cmocka_unit_test_setup_teardown(test_successor_does_not_ask_machines_that_boot, setup_two_machines,
                                        sim_teardown),
        cmocka_unit_test(test_slow_boot_is_not_taken_for_unresponsive),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
