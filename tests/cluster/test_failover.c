/* The safety rules of docs/design/safety.md on failovers and fencing tokens. Guards against tasks that run
 * twice, are lost or exceed a limit because a deposed leader still acts, or because its successor knows
 * less than it did. Each test fails without the check that it covers. */
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

/* A machine with recorded tasks is deleted while no controller runs: the next leader must restart its
 * tasks elsewhere. */
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

/* As above, while the other controllers know the machine from the previous leader. */
static void test_tasks_recover_when_machine_and_leader_fail_together(void **state)
{
    struct sim_cluster *cluster = *state;
    cluster->run_time_s = 100;
    sim_start_job(cluster, sim_job("run-1", 1, 1));
    /* A job in the other zone, so that the machine with room is not terminated as idle. */
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

/* Rule 2, fencing: a deposed leader may keep renewing the lease of a machine until the machine has seen
 * the new fencing token. Its tasks count as running until then. */
static void test_machine_with_a_stale_fencing_token_keeps_its_tasks(void **state)
{
    struct sim_cluster *cluster = *state;
    cluster->run_time_s = 200;
    cluster->cloud_down = true;
    struct sim_machine *machine = sim_start_and_settle_job(cluster, sim_job("run-1", 1, 1));
    int old_leader = sim_leader(cluster);
    machine->partitioned = true;
    sim_kill_controller(cluster, old_leader);
    /* No controller renews the machine's lease in this test, but the new leader can't know that: an
     * isolated old leader might. */
    machine->lease_renewed_at = cluster->now + 1000;
    sim_run(cluster, 60);
    assert_true(sim_leader(cluster) != old_leader);
    assert_false(sim_job_runs_on_another(cluster, machine));
    machine->partitioned = false;
    sim_run(cluster, 10);
    assert_true(sim_find_machine_of_job(cluster, "run-1") == machine);
    sim_check_safety(cluster);
}

/* Rules 2 and 4: a machine that reports an older fencing token can still be commanded by the older leader.
 * Its heartbeat must free no task and allow no launch. */
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
    char *record = sim_read_progress_record(cluster, "run-1/0");
    assert_non_null(record);
    assert_non_null(strstr(record, machine->name));
    assert_null(sim_read_progress_record(cluster, "run-2/0"));
    g_free(record);
    sim_check_safety(cluster);
}

/* A transaction of a leader is delayed until another one has taken over: the key-value store must reject
 * it. */
static void test_write_of_a_deposed_leader_is_rejected(void **state)
{
    struct sim_cluster *cluster = *state;
    int old_leader = sim_leader(cluster);
    cluster->keep_txns_delayed = true;
    cluster->delay_next_txns = 1;
    cluster->delay_next_controller = old_leader;
    sim_submit(cluster, (old_leader + 1) % SIM_CONTROLLERS, sim_job("run-1", 1, 1));
    sim_run(cluster, 0.4);
    assert_int_equal(cluster->delayed_txns->len, 1);
    cluster->controller_without_store = old_leader;
    sim_machine(cluster, "m-0")->partitioned = true; /* the new leader has nothing to write */
    sim_run(cluster, 12);
    assert_true(sim_leader(cluster) != old_leader);
    cluster->keep_txns_delayed = false;
    sim_run(cluster, 1);
    assert_int_equal(cluster->delayed_txns->len, 0);
    assert_null(sim_read_progress_record(cluster, "run-1/0"));
    sim_check_safety(cluster);
}

/* Rule 4: a new leader launches nothing on a machine before it has received its heartbeat under the new
 * fencing token. */
static void test_no_launch_before_the_machine_heartbeats_the_new_fencing_token(void **state)
{
    struct sim_cluster *cluster = *state;
    cluster->cloud_down = true;
    struct sim_machine *machine = sim_machine(cluster, "m-0");
    uint64_t old_fencing_token = machine->fencing_token;
    machine->partitioned = true;
    sim_kill_controller(cluster, sim_leader(cluster));
    sim_run(cluster, 8);
    int controller = sim_leader(cluster);
    sim_submit(cluster, controller, sim_job("run-1", 1, 1));
    sim_run(cluster, 5);
    assert_int_equal(machine->launches, 0);
    machine->partitioned = false;
    assert_true(sim_run_until(cluster, 15, sim_job_is_running, "run-1"));
    assert_true(machine->fencing_token > old_fencing_token);
    sim_check_safety(cluster);
}

/* Rule 4: attempts that an earlier leader started count against the team's limit until their end is
 * proven. */
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

/* A leader that sees a higher fencing token steps down, even if it cannot read the leader key. */
static void test_higher_fencing_token_deposes_the_leader(void **state)
{
    struct sim_cluster *cluster = *state;
    int leader = sim_leader(cluster);
    cluster->store_down = true; /* it can't read the leader key */
    sim_machine(cluster, "m-0")->fencing_token = 1000000;
    sim_run(cluster, 5);
    assert_true(sim_fencing_token(cluster, leader) == 0);
}

/* Most of the fleet is booting when the leader crashes: the successor queries the machines that are up and
 * sends nothing to the others. */
static void test_successor_does_not_query_booting_machines(void **state)
{
    struct sim_cluster *cluster = *state;
    cluster->run_time_s = 200;
    sim_submit(cluster, 0, sim_job("run-1", 2, 16)); /* machines with work are not terminated as idle */
    for (int i = 0; i < 3; i++) {
        char name[16];
        g_snprintf(name, sizeof name, "booting-%d", i);
        sim_add_machine(cluster, name, "big", "east", false)->booted_at = cluster->now + 100;
    }
    sim_run(cluster, 20); /* the cloud lists their addresses, and the leader sends them to its peers */
    cluster->cloud_down = true;
    cluster->direct_commands_sent = 0;
    sim_kill_controller(cluster, sim_leader(cluster));
    sim_run(cluster, 10);
    assert_true(sim_leader(cluster) >= 0);
    assert_int_equal(cluster->direct_commands_sent, 2);
    sim_check_safety(cluster);
}

/* A machine boots for longer than the time after which an unresponsive machine is deleted. It must not be
 * deleted when its first heartbeat arrives. */
static void test_slowly_booting_machine_is_not_deleted_as_unresponsive(void **state)
{
    (void)state;
    struct sim_cluster *cluster = sim_new();
    for (int i = 0; i < SIM_CONTROLLERS; i++)
        cluster->settings[i].lease_s = 6; /* an unresponsive machine without tasks is kept for three leases */
    sim_start_controllers(cluster);
    sim_add_machines(cluster, 1);
    struct sim_machine *booting_machine = sim_add_machine(cluster, "slow", "big", "east", false);
    booting_machine->booted_at = booting_machine->lease_renewed_at = cluster->now + 24;
    sim_run(cluster, 4);
    cluster->run_time_s = 300;
    sim_submit(cluster, 0, sim_job("run-1", 2, 16));
    sim_run(cluster, 40);
    assert_false(booting_machine->deleted);
    assert_int_equal(booting_machine->launches, 1);
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
        cmocka_unit_test_setup_teardown(test_successor_does_not_query_booting_machines, setup_two_machines,
                                        sim_teardown),
        cmocka_unit_test(test_slowly_booting_machine_is_not_deleted_as_unresponsive),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
