/* Placement of arrays and services: zones, machine types, team limits and guarantees, and the records of
 * large arrays. Guards against tasks outside the zones, types and limits that apply to them, and against
 * progress records that are lost when they outgrow their value. */
#include "check.h"
#include "sim_cluster.h"
#include "model/submission.h"

#include <string.h>

static int setup_one_controller_and_one_machine(void **state)
{
    *state = sim_with_one_controller_and_machines(1);
    return 0;
}

static int setup_one_controller(void **state)
{
    *state = sim_with_one_controller();
    return 0;
}

static int setup_one_controller_and_four_machines(void **state)
{
    *state = sim_with_one_controller_and_machines(4);
    return 0;
}

static int setup_two_machines_and_no_provisionable(void **state)
{
    *state = sim_with_provisionable_machines(2, 0);
    return 0;
}

/* Rule 6: a later task must start in the zone of the running ones, even if only another zone has room. */
static void test_one_zone_array_stays_in_its_zone(void **state)
{
    struct sim_cluster *cluster = *state;
    cluster->run_time_s = 30;
    struct ow_submission *submission = sim_job("run-1", 3, 8);
    submission->one_zone = true;
    sim_start_job(cluster, submission);
    sim_add_machine(cluster, "m-1", "big", "west", false);
    sim_run(cluster, 15);
    assert_int_equal(sim_machine(cluster, "m-1")->launches, 0);
    assert_true(sim_run_until(cluster, 120, sim_job_is_done, "run-1"));
    sim_check_safety(cluster);
}

static void test_spread_limits_tasks_per_zone(void **state)
{
    struct sim_cluster *cluster = *state;
    for (int i = 0; i < 3; i++) {
        char name[16];
        g_snprintf(name, sizeof name, "m-%d", i);
        sim_add_machine(cluster, name, "big", i < 2 ? "east" : "west", false);
    }
    sim_run(cluster, 6);
    cluster->run_time_s = 50;
    struct ow_submission *submission = sim_gang("run-1", 3, 4);
    struct ow_submission *array = sim_job("run-2", 4, 1);
    submission->spread = true;
    array->spread = true;
    sim_submit(cluster, 0, submission);
    sim_submit(cluster, 0, array);
    assert_true(sim_run_until(cluster, 10, sim_job_is_running, "run-1"));
    sim_run(cluster, 2);
    assert_int_equal(sim_count_running_in_zone(cluster, "run-1", "east"), 2);
    assert_int_equal(sim_count_running_in_zone(cluster, "run-1", "west"), 1);
    assert_int_equal(sim_count_running_in_zone(cluster, "run-2", "east"), 2);
    assert_int_equal(sim_count_running_in_zone(cluster, "run-2", "west"), 2);
    sim_check_safety(cluster);
}

static void test_placement_respects_type_zone_and_spot(void **state)
{
    struct sim_cluster *cluster = *state;
    sim_add_machine(cluster, "m-0", "big", "east", true);
    sim_add_machine(cluster, "m-1", "gpu", "east", false);
    sim_add_machine(cluster, "m-2", "big", "west", false);
    sim_add_machine(cluster, "m-3", "big", "east", false);
    sim_run(cluster, 6);
    cluster->run_time_s = 50;
    struct ow_submission *submission = sim_job("run-1", 1, 8);
    submission->spot = false;
    submission->zone = g_strdup("east");
    submission->types = g_strsplit("big", ",", 0);
    sim_start_job(cluster, submission);
    assert_int_equal(sim_machine(cluster, "m-3")->launches, 1);
    sim_check_safety(cluster);
}

static void set_guarantee(struct sim_cluster *cluster, guint team, double cpus)
{
    for (int i = 0; i < SIM_CONTROLLERS; i++)
        g_array_index(cluster->settings[i].teams, struct ow_team_settings, team).cpus = cpus;
}

/* Capacity that a team has borrowed is returned to a team within its guarantee by preemption, and no more
 * than that. */
static void test_preemption_returns_guaranteed_capacity(void **state)
{
    struct sim_cluster *cluster = *state;
    set_guarantee(cluster, 0, 4);
    set_guarantee(cluster, 1, 8);
    sim_add_machine(cluster, "m-0", "big", "east", false);
    sim_run(cluster, 6);
    cluster->run_time_s = 300;
    sim_start_job(cluster, sim_job("run-1", 16, 1)); /* of team open, 12 CPUs above its guarantee */
    struct ow_submission *submission = sim_job("run-2", 8, 1);
    sim_set_team(submission, "tight");
    sim_submit(cluster, 0, submission);
    assert_true(sim_run_until(cluster, 60, sim_job_is_running, "run-2"));
    sim_run(cluster, 5);
    assert_int_equal(sim_count_running(cluster, "run-2"), 8);
    assert_int_equal(sim_count_running(cluster, "run-1"), 8);
    sim_check_safety(cluster);
}

static void test_team_limit_holds_for_arrays(void **state)
{
    struct sim_cluster *cluster = *state;
    cluster->run_time_s = 50;
    struct ow_submission *submission = sim_job("run-1", 12, 1);
    sim_set_team(submission, "tight");
    sim_start_job(cluster, submission);
    sim_run(cluster, 5);
    assert_int_equal(sim_count_running(cluster, "run-1"), 8);
    sim_check_safety(cluster);
}

static void test_large_array_completes(void **state)
{
    struct sim_cluster *cluster = *state;
    cluster->run_time_s = 0.5;
    sim_submit(cluster, 0, sim_job("run-1", 700, 0.1));
    assert_true(sim_run_until(cluster, 120, sim_job_is_done, "run-1"));
    /* The progress records are deleted with the job. */
    sim_run(cluster, 3);
    assert_null(sim_read_progress_record(cluster, "run-1/0"));
    assert_null(sim_read_progress_record(cluster, "run-1/2"));
    sim_check_safety(cluster);
}

static void run_growing_records_with_a_crash(double crash_after_s)
{
    struct sim_cluster *cluster = sim_with_one_controller_and_machines(4);
    char id[16];
    for (int i = 0; i < SIM_CONTROLLERS; i++) {
        cluster->settings[i].value_kb = 0.6;
        cluster->settings[i].txn_ops = 1; /* a value and its overflow are written one by one */
    }
    cluster->value_kb = 0.6;
    cluster->txn_ops = 1;
    sim_kill_controller(cluster, 0); /* a controller reads its settings when it starts */
    sim_start_controller(cluster, 0);
    sim_run(cluster, 6);
    cluster->run_time_s = 20;
    for (int i = 0; i < 8; i++) {
        g_snprintf(id, sizeof id, "run-%d", i);
        sim_submit(cluster, 0, sim_job(id, 12, 0.5));
        sim_run(cluster, 0.5);
    }
    sim_run(cluster, 6);
    /* Results arrive at different times, so that the ranges of the progress records split. */
    for (guint i = 0; i < cluster->machines->len; i++) {
        const struct sim_machine *machine = sim_machine_at(cluster, i);
        for (guint k = 0; k < machine->tasks->len; k += 2)
            g_array_index(machine->tasks, struct sim_task, k).next_phase_at =
                cluster->now + 1 + 0.3 * (k % 5);
    }
    sim_run(cluster, crash_after_s);
    /* The next leader must know every attempt: none is started twice, and none is lost. */
    sim_kill_controller(cluster, 0);
    sim_start_controller(cluster, 0);
    for (int i = 0; i < 8; i++) {
        g_snprintf(id, sizeof id, "run-%d", i);
        assert_true(sim_run_until(cluster, 90, sim_job_is_done, id));
    }
    assert_int_equal(sim_count_launches(cluster), 96);
    sim_finish(cluster);
}

/* Records that share a value move to another value before it exceeds its limit. None may be lost, whenever
 * the leader crashes. */
static void test_growing_records_move_to_another_value(void **state)
{
    (void)state;
    for (int step = 0; step < 40; step++)
        run_growing_records_with_a_crash(0.1 * step);
}

/* Services are submitted one after the other while several machines have their image: no machine may get
 * all of them. */
static void test_services_spread_over_machines(void **state)
{
    struct sim_cluster *cluster = *state;
    cluster->run_time_s = 300;
    sim_submit(cluster, 0, sim_job("run-9", 2, 11));
    sim_run(cluster, 6);
    for (int i = 0; i < 6; i++) {
        char id[OW_ID_MAX + 1];
        g_snprintf(id, sizeof id, "run-%d", 10 + i);
        sim_submit(cluster, 0, sim_service(id, 1, 1));
        sim_run(cluster, 4);
    }
    unsigned most_services = 0;
    for (guint i = 0; i < cluster->machines->len; i++) {
        const struct sim_machine *machine = sim_machine_at(cluster, i);
        unsigned services = 0;
        for (guint k = 0; k < machine->tasks->len; k++)
            services += strcmp(g_array_index(machine->tasks, struct sim_task, k).job, "run-9") != 0 ? 1 : 0;
        most_services = MAX(most_services, services);
    }
    assert_int_equal(most_services, 3);
    sim_check_safety(cluster);
}

/* Returns the number of machines that are still up `seconds` after the only job of a class, which ran on
 * six of them, has ended. With `has_new_jobs`, another job of the class that ends at once is submitted
 * every 10 s. */
static unsigned count_machines_kept(double seconds, bool has_new_jobs)
{
    struct sim_cluster *cluster = sim_with_one_controller();
    static char class_name[] = "class";
    struct ow_slo wait_slo = {.kind = OW_SLO_WAIT, .class_name = class_name, .within_s = 5, .share = 1};
    g_array_append_val(cluster->settings[0].slos, wait_slo);
    sim_add_machines(cluster, 6);
    sim_run(cluster, 6);
    cluster->run_time_s = 20;
    sim_submit(cluster, 0, sim_job("run-1", 6, 16));
    assert_true(sim_run_until(cluster, 60, sim_job_is_done, "run-1"));
    cluster->run_time_s = 1;
    for (double end = cluster->now + seconds; cluster->now < end;) {
        char id[16];
        g_snprintf(id, sizeof id, "run-%d", 100 + (int)cluster->now);
        if (has_new_jobs)
            sim_submit(cluster, 0, sim_job(id, 1, 16));
        sim_run(cluster, 10);
    }
    unsigned kept = 0;
    for (guint i = 0; i < cluster->machines->len; i++)
        kept += sim_machine_at(cluster, i)->deleted ? 0 : 1;
    sim_finish(cluster);
    return kept;
}

/* Headroom follows a peak that decays for minutes: a class without new jobs must not keep machines for it. */
static void test_class_without_new_jobs_keeps_no_machines(void **state)
{
    (void)state;
    assert_int_equal(count_machines_kept(160, false), 0);
    assert_true(count_machines_kept(160, true) >= 3);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(test_one_zone_array_stays_in_its_zone,
                                        setup_one_controller_and_one_machine, sim_teardown),
        cmocka_unit_test_setup_teardown(test_spread_limits_tasks_per_zone, setup_one_controller,
                                        sim_teardown),
        cmocka_unit_test_setup_teardown(test_placement_respects_type_zone_and_spot, setup_one_controller,
                                        sim_teardown),
        cmocka_unit_test_setup_teardown(test_preemption_returns_guaranteed_capacity, setup_one_controller,
                                        sim_teardown),
        cmocka_unit_test_setup_teardown(test_team_limit_holds_for_arrays,
                                        setup_one_controller_and_one_machine, sim_teardown),
        cmocka_unit_test_setup_teardown(test_large_array_completes, setup_one_controller_and_four_machines,
                                        sim_teardown),
        cmocka_unit_test(test_growing_records_move_to_another_value),
        cmocka_unit_test_setup_teardown(test_services_spread_over_machines,
                                        setup_two_machines_and_no_provisionable, sim_teardown),
        cmocka_unit_test(test_class_without_new_jobs_keeps_no_machines),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
