/* A fleet of 5,000 machines: no list may be cut, and the work and the messages grow with the machines alone.
 */
#include "check.h"
#include "sim_cluster.h"
#include "model/submission.h"

enum { MACHINES = 5000 };
/* Direct commands to each machine in a phase of a test, on average. */
static const double DIRECT_COMMANDS_MAX = 4;

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

/* One task on every machine. */
static void fill_all_machines(struct sim_cluster *cluster)
{
    sim_submit(cluster, 0, sim_job("run-1", MACHINES, 16));
    sim_run(cluster, 25);
    assert_int_equal(sim_count_running(cluster, "run-1"), MACHINES);
    for (int i = 0; i < MACHINES; i++)
        assert_int_equal(sim_machine_at(cluster, (guint)i)->launches, 1);
}

/* The cloud's list has ten pages, and the array a task for every machine; the cancellation ends them all. */
static void test_array_on_all_machines_is_cancelled(void **state)
{
    struct sim_cluster *cluster = *state;
    fill_all_machines(cluster);
    cluster->direct_commands_sent = 0;
    uint64_t request = sim_cancel(cluster, 1, "run-1");
    assert_true(sim_run_until(cluster, 20, sim_job_is_not_running, "run-1"));
    sim_run(cluster, 2);
    assert_int_equal(sim_response(cluster, request)->state, OW_JOB_CANCELLED);
    assert_true(cluster->direct_commands_sent <= DIRECT_COMMANDS_MAX * MACHINES);
    sim_check_safety(cluster);
}

static void set_heartbeats_lost(struct sim_cluster *cluster, bool lost)
{
    for (int i = 0; i < MACHINES; i++)
        sim_machine_at(cluster, (guint)i)->heartbeats_lost = lost;
}

/* The successor reaches every machine with what the leader told it alone: no heartbeat comes, and no list of
   the cloud. Of a list that was cut it would reach the first machines only, and the others' tasks would end
   with their leases. */
static void test_successor_reaches_all_machines_by_the_leaders_list(void **state)
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
    assert_true(cluster->direct_commands_sent <= DIRECT_COMMANDS_MAX * MACHINES);
    sim_check_safety(cluster);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(test_array_on_all_machines_is_cancelled, setup_large_fleet,
                                        sim_teardown),
        cmocka_unit_test_setup_teardown(test_successor_reaches_all_machines_by_the_leaders_list,
                                        setup_large_fleet, sim_teardown),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
