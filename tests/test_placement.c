/* Placement of arrays and services: zones, machine types, team limits and guarantees, and the records of
 * large arrays. */
#include "check.h"
#include "world.h"

#include <string.h>

/* Rule 6: a later task must join the zone of the running ones, even if only another zone has room. */
static void test_one_zone_array_stays_in_its_zone(void **state)
{
    (void)state;
    struct world *w = world_with_one_controller_and_machines(1);
    w->run_time_s = 30;
    struct ow_submission *submission = world_job("run-1", 3, 8);
    submission->one_zone = true;
    world_start_job(w, submission);
    world_add_machine(w, "m-1", "big", "west", false);
    world_run(w, 15);
    assert_int_equal(world_machine(w, "m-1")->starts, 0);
    assert_true(world_until(w, 120, world_all_done, "run-1"));
    world_finish(w);
}

static void test_spread_limits_tasks_per_zone(void **state)
{
    (void)state;
    struct world *w = world_with_one_controller();
    for (int i = 0; i < 3; i++) {
        char name[16];
        g_snprintf(name, sizeof name, "m-%d", i);
        world_add_machine(w, name, "big", i < 2 ? "east" : "west", false);
    }
    world_run(w, 6);
    w->run_time_s = 50;
    struct ow_submission *submission = world_gang("run-1", 3, 4), *array = world_job("run-2", 4, 1);
    submission->spread = true;
    array->spread = true;
    world_submit(w, 0, submission);
    world_submit(w, 0, array);
    assert_true(world_until(w, 10, world_some_running, "run-1"));
    world_run(w, 2);
    assert_int_equal(world_running_in(w, "run-1", "east"), 2);
    assert_int_equal(world_running_in(w, "run-1", "west"), 1);
    assert_int_equal(world_running_in(w, "run-2", "east"), 2);
    assert_int_equal(world_running_in(w, "run-2", "west"), 2);
    world_finish(w);
}

static void test_placement_respects_type_zone_and_spot(void **state)
{
    (void)state;
    struct world *w = world_with_one_controller();
    world_add_machine(w, "m-0", "big", "east", true);
    world_add_machine(w, "m-1", "gpu", "east", false);
    world_add_machine(w, "m-2", "big", "west", false);
    world_add_machine(w, "m-3", "big", "east", false);
    world_run(w, 6);
    w->run_time_s = 50;
    struct ow_submission *submission = world_job("run-1", 1, 8);
    submission->spot = false;
    submission->zone = g_strdup("east");
    submission->types = g_strsplit("big", ",", 0);
    world_start_job(w, submission);
    assert_int_equal(world_machine(w, "m-3")->starts, 1);
    world_finish(w);
}

static void give_guarantee(struct world *w, guint team, double cpus)
{
    for (int i = 0; i < WORLD_CONTROLLERS; i++)
        g_array_index(w->settings[i].teams, struct ow_team_settings, team).cpus = cpus;
}

/* Capacity that a team has borrowed returns to a team within its guarantee, and no more than that. */
static void test_guarantee_is_reclaimed_by_preemption(void **state)
{
    (void)state;
    struct world *w = world_with_one_controller();
    give_guarantee(w, 0, 4);
    give_guarantee(w, 1, 8);
    world_add_machine(w, "m-0", "big", "east", false);
    world_run(w, 6);
    w->run_time_s = 300;
    world_start_job(w, world_job("run-1", 16, 1)); /* team open, 12 CPUs beyond its guarantee */
    struct ow_submission *submission = world_job("run-2", 8, 1);
    world_set_team(submission, "tight");
    world_submit(w, 0, submission);
    assert_true(world_until(w, 60, world_some_running, "run-2"));
    world_run(w, 5);
    assert_int_equal(world_running(w, "run-2"), 8);
    assert_int_equal(world_running(w, "run-1"), 8);
    world_finish(w);
}

static void test_team_limit_holds_for_arrays(void **state)
{
    (void)state;
    struct world *w = world_with_one_controller_and_machines(1);
    w->run_time_s = 50;
    struct ow_submission *submission = world_job("run-1", 12, 1);
    world_set_team(submission, "tight");
    world_start_job(w, submission);
    world_run(w, 5);
    assert_int_equal(world_running(w, "run-1"), 8);
    world_finish(w);
}

static void test_large_array_completes(void **state)
{
    (void)state;
    struct world *w = world_with_one_controller_and_machines(4);
    w->run_time_s = 0.5;
    world_submit(w, 0, world_job("run-1", 700, 0.1));
    assert_true(world_until(w, 120, world_all_done, "run-1"));
    /* The progress records are deleted with the job. */
    world_run(w, 3);
    assert_null(world_progress(w, "run-1/0"));
    assert_null(world_progress(w, "run-1/2"));
    world_finish(w);
}

static void run_growing_records(double kill_after_s)
{
    struct world *w = world_with_one_controller_and_machines(4);
    char id[16];
    for (int i = 0; i < WORLD_CONTROLLERS; i++) {
        w->settings[i].value_kb = 0.6;
        w->settings[i].txn_ops = 1; /* so that a value and its overflow are written one by one */
    }
    w->value_kb = 0.6;
    w->txn_ops = 1;
    world_kill_controller(w, 0); /* settings are read at the start */
    world_start_controller(w, 0);
    world_run(w, 6);
    w->run_time_s = 20;
    for (int i = 0; i < 8; i++) {
        g_snprintf(id, sizeof id, "run-%d", i);
        world_submit(w, 0, world_job(id, 12, 0.5));
        world_run(w, 0.5);
    }
    world_run(w, 6);
    /* Results arrive at different times, so that the ranges split. */
    for (guint i = 0; i < w->machines->len; i++) {
        const struct world_machine *machine = world_machine_at(w, i);
        for (guint k = 0; k < machine->tasks->len; k += 2)
            g_array_index(machine->tasks, struct world_task, k).phase_at = w->now + 1 + 0.3 * (k % 5);
    }
    world_run(w, kill_after_s);
    /* The next leader knows every attempt: none is started twice, none is lost. */
    world_kill_controller(w, 0);
    world_start_controller(w, 0);
    for (int i = 0; i < 8; i++) {
        g_snprintf(id, sizeof id, "run-%d", i);
        assert_true(world_until(w, 90, world_all_done, id));
    }
    assert_int_equal(world_total_starts(w), 96);
    world_finish(w);
}

/* Records that share a value move to another one before it grows too large, and none is lost whenever the
 * leader crashes. */
static void test_growing_records_move_to_another_value(void **state)
{
    (void)state;
    for (int step = 0; step < 40; step++)
        run_growing_records(0.1 * step);
}

/* Services are submitted one after the other, and several machines have their image: no machine gets all of
 * them. */
static void test_services_spread_over_machines(void **state)
{
    (void)state;
    struct world *w = world_with_capacity(2, 0);
    w->run_time_s = 300;
    world_submit(w, 0, world_job("run-9", 2, 11));
    world_run(w, 6);
    for (int i = 0; i < 6; i++) {
        char id[OW_ID_MAX + 1];
        g_snprintf(id, sizeof id, "run-%d", 10 + i);
        world_submit(w, 0, world_service(id, 1, 1));
        world_run(w, 4);
    }
    unsigned most = 0;
    for (guint i = 0; i < w->machines->len; i++) {
        const struct world_machine *machine = world_machine_at(w, i);
        unsigned services = 0;
        for (guint k = 0; k < machine->tasks->len; k++)
            services += strcmp(g_array_index(machine->tasks, struct world_task, k).job, "run-9") != 0 ? 1 : 0;
        most = MAX(most, services);
    }
    assert_int_equal(most, 3);
    world_finish(w);
}

/* Machines that are up after a class had run on six of them and its last job ended `seconds` ago; `busy` says
 * that another job of it comes every ten seconds, and ends at once. */
static unsigned machines_kept(double seconds, bool busy)
{
    struct world *w = world_with_one_controller();
    static char class_name[] = "class";
    struct ow_slo start = {.kind = OW_SLO_WAIT, .class_name = class_name, .within_s = 5, .share = 1};
    g_array_append_val(w->settings[0].slos, start);
    world_add_machines(w, 6);
    world_run(w, 6);
    w->run_time_s = 20;
    world_submit(w, 0, world_job("run-1", 6, 16));
    assert_true(world_until(w, 60, world_all_done, "run-1"));
    w->run_time_s = 1;
    for (double end = w->now + seconds; w->now < end;) {
        char id[16];
        g_snprintf(id, sizeof id, "run-%d", 100 + (int)w->now);
        if (busy)
            world_submit(w, 0, world_job(id, 1, 16));
        world_run(w, 10);
    }
    unsigned kept = 0;
    for (guint i = 0; i < w->machines->len; i++)
        kept += world_machine_at(w, i)->gone ? 0 : 1;
    world_finish(w);
    return kept;
}

/* Headroom follows a peak that fades for minutes: a class of which no job comes any more needs none of it. */
static void test_quiet_class_keeps_no_machines(void **state)
{
    (void)state;
    assert_int_equal(machines_kept(160, false), 0);
    assert_true(machines_kept(160, true) >= 3);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_one_zone_array_stays_in_its_zone),
        cmocka_unit_test(test_spread_limits_tasks_per_zone),
        cmocka_unit_test(test_placement_respects_type_zone_and_spot),
        cmocka_unit_test(test_guarantee_is_reclaimed_by_preemption),
        cmocka_unit_test(test_team_limit_holds_for_arrays),
        cmocka_unit_test(test_large_array_completes),
        cmocka_unit_test(test_growing_records_move_to_another_value),
        cmocka_unit_test(test_services_spread_over_machines),
        cmocka_unit_test(test_quiet_class_keeps_no_machines),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
