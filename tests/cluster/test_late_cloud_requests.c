/* Requests to the cloud whose answers were lost, and which are carried out minutes later: machines that
 * nobody expects are used or returned, and no task that ran on a machine deleted late is lost. */
#include "check.h"
#include "failure_setup.h"
#include "sim_cluster.h"
#include "model/submission.h"

#include <string.h>

/* Longer than an idle machine is kept, with the minutes that a machine is paid for anyway. */
static const double RETURN_S = 150;

static unsigned count_machines(const struct sim_cluster *cluster)
{
    unsigned count = 0;
    for (guint i = 0; i < cluster->machines->len; i++)
        count += sim_machine_at(cluster, i)->deleted ? 0 : 1;
    return count;
}

static int setup_without_machines(void **state)
{
    *state = sim_with_provisionable_machines(0, 20);
    return 0;
}

static int setup_with_machine(void **state)
{
    *state = sim_with_provisionable_machines(1, 20);
    return 0;
}

/* A job that needs two machines, and no answer to any request to provision some. */
static void ask_in_vain(struct sim_cluster *cluster, double seconds)
{
    cluster->delay_provisions = true;
    sim_submit(cluster, 0, sim_job("run-1", 2, 16));
    sim_run(cluster, seconds);
    assert_true(cluster->delayed_cloud_requests->len > 0);
    assert_int_equal(count_machines(cluster), 0);
}

static void assert_surplus_is_returned(struct sim_cluster *cluster)
{
    assert_true(sim_run_until(cluster, 120, sim_job_is_done, "run-1"));
    sim_run(cluster, RETURN_S);
    assert_int_equal(count_machines(cluster), 0);
    sim_check_safety(cluster);
}

static void test_machines_provisioned_late_are_used_or_returned(void **state)
{
    struct sim_cluster *cluster = *state;
    ask_in_vain(cluster, 60);
    cluster->delay_provisions = false;
    assert_surplus_is_returned(cluster);
}

static void test_machines_provisioned_late_under_the_next_leader_are_used_or_returned(void **state)
{
    struct sim_cluster *cluster = *state;
    ask_in_vain(cluster, 60);
    sim_kill_controller(cluster, sim_leader(cluster));
    sim_run(cluster, 30);
    cluster->delay_provisions = false;
    assert_surplus_is_returned(cluster);
}

/* All that was asked for arrives only after the job is done: nobody needs it any more. */
static void test_machines_provisioned_after_the_job_are_returned(void **state)
{
    struct sim_cluster *cluster = *state;
    ask_in_vain(cluster, 30);
    sim_add_machines(cluster, 2);
    assert_true(sim_run_until(cluster, 60, sim_job_is_done, "run-1"));
    sim_kill_controller(cluster, sim_leader(cluster));
    sim_run(cluster, 60);
    cluster->delay_provisions = false;
    assert_surplus_is_returned(cluster);
}

/* Two machines of 16 CPUs arrive late beside those that were provisioned meanwhile; the team's limit admits
 * one. */
static void test_machines_provisioned_late_do_not_break_a_limit(void **state)
{
    struct sim_cluster *cluster = *state;
    struct ow_submission *job = sim_job("run-1", 8, 4);
    sim_set_team(job, "tight");
    cluster->delay_provisions = true;
    cluster->run_time_s = 20;
    sim_submit(cluster, 0, job);
    sim_run(cluster, 40);
    sim_kill_controller(cluster, sim_leader(cluster));
    sim_run(cluster, 10);
    cluster->delay_provisions = false;
    assert_true(sim_run_until(cluster, 300, sim_job_is_done, "run-1"));
    sim_check_safety(cluster);
}

/* The leader asks to delete the idle machine, gets no answer and gives it no more work. */
static struct sim_machine *delete_in_vain(struct sim_cluster *cluster)
{
    struct sim_machine *machine = sim_machine(cluster, "m-0");
    cluster->delay_terminations = true;
    for (int i = 0; i < 200 && cluster->delayed_cloud_requests->len == 0; i++)
        sim_run(cluster, 1);
    assert_true(cluster->delayed_cloud_requests->len > 0);
    assert_false(machine->deleted);
    return machine;
}

static void test_machine_whose_deletion_is_unanswered_gets_no_work(void **state)
{
    struct sim_cluster *cluster = *state;
    struct sim_machine *machine = delete_in_vain(cluster);
    sim_submit(cluster, 0, sim_job("run-1", 2, 1));
    sim_run(cluster, 30);
    assert_int_equal(sim_count_running_on(machine, "run-1"), 0);
    cluster->delay_terminations = false;
    sim_run(cluster, 1);
    assert_true(machine->deleted);
    assert_true(sim_run_until(cluster, 60, sim_job_is_done, "run-1"));
    sim_check_safety(cluster);
}

/* The next leader does not know of the deletion and uses the machine; its tasks run again elsewhere, once
 * each. */
static void test_tasks_on_a_machine_deleted_late_run_again(void **state)
{
    struct sim_cluster *cluster = *state;
    struct sim_machine *machine = delete_in_vain(cluster);
    cluster->run_time_s = 20;
    int follower = sim_follower(cluster);
    sim_kill_controller(cluster, sim_leader(cluster));
    sim_run(cluster, 8);
    sim_submit(cluster, follower, sim_job("run-1", 2, 1));
    assert_true(sim_run_until(cluster, 30, sim_job_is_running, "run-1"));
    assert_int_equal(sim_count_running_on(machine, "run-1"), 2);
    cluster->delay_terminations = false;
    sim_run(cluster, 1);
    assert_true(machine->deleted);
    assert_true(sim_run_until(cluster, 180, sim_job_is_done, "run-1"));
    sim_check_safety(cluster);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(test_machines_provisioned_late_are_used_or_returned,
                                        setup_without_machines, sim_teardown),
        cmocka_unit_test_setup_teardown(
            test_machines_provisioned_late_under_the_next_leader_are_used_or_returned, setup_without_machines,
            sim_teardown),
        cmocka_unit_test_setup_teardown(test_machines_provisioned_after_the_job_are_returned,
                                        setup_without_machines, sim_teardown),
        cmocka_unit_test_setup_teardown(test_machines_provisioned_late_do_not_break_a_limit,
                                        setup_without_machines, sim_teardown),
        cmocka_unit_test_setup_teardown(test_machine_whose_deletion_is_unanswered_gets_no_work,
                                        setup_with_machine, sim_teardown),
        cmocka_unit_test_setup_teardown(test_tasks_on_a_machine_deleted_late_run_again, setup_with_machine,
                                        sim_teardown),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
