/* A fleet of 5,000 machines. Guards against lists that are truncated, so that the machines beyond the
 * limit lose their tasks, and against work and messages that grow faster than the number of machines. */
#include "check.h"
#include "sim_cluster.h"
#include "model/submission.h"

enum { MACHINES = 5000 };
/* The limit for one phase of a test, averaged over the machines. */
static const double DIRECT_COMMANDS_PER_MACHINE_MAX = 4;

static int setup_large_fleet(void **state)
{
    struct sim_cluster *cluster = sim_new();
    *state = cluster;
    sim_set_largest_limits(cluster);
    for (int i = 0; i < SIM_CONTROLLERS; i++)
        cluster->settings[i].sockets = 2 * MACHINES;
    sim_start_controllers(cluster);
    for (int i = 0; i < MACHINES; i++) {
        char name[16];
        g_snprintf(name, sizeof name, "m-%05d", i);
        sim_add_machine(cluster, name, "big", "east", false);
    }
    sim_run(cluster, 20);
    cluster->run_time_s = 600;
    return 0;
}

/* Runs one task on every machine. */
static void fill_all_machines(struct sim_cluster *cluster)
{
    sim_submit(cluster, 0, sim_job("run-1", MACHINES, 16));
    sim_run(cluster, 25);
    assert_int_equal(sim_count_running(cluster, "run-1"), MACHINES);
    for (int i = 0; i < MACHINES; i++)
        assert_int_equal(sim_machine_at(cluster, (guint)i)->launches, 1);
}

/* The cloud's list has ten pages, and the array has a task for every machine: the cancellation must end
 * all of them. */
static void test_cancellation_ends_an_array_on_all_machines(void **state)
{
    struct sim_cluster *cluster = *state;
    fill_all_machines(cluster);
    cluster->direct_commands_sent = 0;
    uint64_t request = sim_cancel(cluster, 1, "run-1");
    assert_true(sim_run_until(cluster, 20, sim_job_is_not_running, "run-1"));
    sim_run(cluster, 2);
    assert_int_equal(sim_response(cluster, request)->state, OW_JOB_CANCELLED);
    assert_true(cluster->direct_commands_sent <= DIRECT_COMMANDS_PER_MACHINE_MAX * MACHINES);
    sim_check_safety(cluster);
}

static void set_heartbeats_lost(struct sim_cluster *cluster, bool lost)
{
    for (int i = 0; i < MACHINES; i++)
        sim_machine_at(cluster, (guint)i)->heartbeats_lost = lost;
}

/* The successor knows the machines only from the list that the leader has sent to its peers: no heartbeat
 * arrives, and the cloud doesn't answer. If that list were truncated, the tasks on the missing machines
 * would end with their leases. */
static void test_successor_reaches_all_machines_by_the_list_of_its_predecessor(void **state)
{
    struct sim_cluster *cluster = *state;
    fill_all_machines(cluster);
    cluster->cloud_down = true;
    cluster->direct_commands_sent = 0;
    set_heartbeats_lost(cluster, true);
    uint64_t old_fencing_token = sim_machine_at(cluster, 0)->fencing_token;
    sim_kill_controller(cluster, sim_leader(cluster));
    sim_run(cluster, 15);
    assert_true(sim_leader(cluster) >= 0);
    for (int i = 0; i < MACHINES; i++)
        assert_true(sim_machine_at(cluster, (guint)i)->fencing_token > old_fencing_token);
    set_heartbeats_lost(cluster, false);
    sim_run(cluster, 20);
    assert_int_equal(sim_count_running(cluster, "run-1"), MACHINES);
    assert_int_equal(sim_count_launches(cluster), MACHINES);
    assert_true(cluster->direct_commands_sent <= DIRECT_COMMANDS_PER_MACHINE_MAX * MACHINES);
    sim_check_safety(cluster);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(test_cancellation_ends_an_array_on_all_machines, setup_large_fleet,
                                        sim_teardown),
        cmocka_unit_test_setup_teardown(test_successor_reaches_all_machines_by_the_list_of_its_predecessor,
                                        setup_large_fleet, sim_teardown),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
