/* Leader changes together with lost machines, expired leases and tasks that end (docs/meetings.md). */
#include "check.h"
#include "failure_setup.h"
#include "world.h"

/* A fencing token that was released is never reused: launches sent under it may still be in flight. */
static void test_returning_leader_takes_a_new_fencing_token(void **state)
{
    (void)state;
    struct world *w = failure_world(2);
    int old = world_leader(w);
    uint64_t before = world_fencing_token(w, old);
    w->isolated_controller = old;
    w->store_down = true; /* its key stays: leases don't expire in an outage */
    world_run(w, 30);
    assert_int_equal(world_fencing_token(w, old), 0);
    w->isolated_controller = -1;
    w->store_down = false;
    world_run(w, 8);
    assert_int_equal(world_leader(w), old);
    assert_true(world_fencing_token(w, old) > before);
    world_finish(w);
}

/* Its reports reach no controller, so its lease expires repeatedly although it answers commands. */
static void test_machine_that_stopped_reporting_gets_no_new_tasks(void **state)
{
    (void)state;
    struct world *w = failure_world(2);
    w->run_time_s = 15;
    struct world_machine *machine = failure_start_job(w, world_job("run-1", 1, 1));
    machine->stopped_reporting = true;
    /* A new leader queries it at its own address and gets responses to every command. */
    world_kill_controller(w, world_leader(w));
    world_run(w, 6);
    unsigned before = machine->starts;
    for (int i = 2; i < 32; i++) {
        char id[16];
        g_snprintf(id, sizeof id, "run-%d", i);
        world_submit(w, world_leader(w), world_job(id, 1, 0.5));
        world_run(w, 1);
        before = i == 10 ? machine->starts : before;
    }
    assert_int_equal(machine->starts, before);
    assert_true(world_until(w, 120, world_all_done, "run-31"));
    assert_true(world_until(w, 70, world_all_done, "run-1"));
    world_finish(w);
}

/* Tasks bound to one zone lose their machine during a failover: none starts in another zone before they have
 * ended. */
static void test_one_zone_array_survives_a_machine_loss(void **state)
{
    (void)state;
    struct world *w = failure_world(1);
    w->capacity = 4;
    world_add_machine(w, "w-0", "big", "west", false);
    world_add_machine(w, "w-1", "big", "west", false);
    struct ow_submission *job = world_job("run-1", 4, 8);
    job->one_zone = true;
    struct world_machine *machine = failure_start_job(w, job);
    machine->hangs = true;
    world_kill_controller(w, world_leader(w));
    world_run(w, 15);
    machine->hangs = false;
    w->run_time_s = 3;
    world_run(w, 5);
    world_start_controllers(w);
    world_delete_machine(machine);
    world_run(w, 60);
    w->run_time_s = 3;
    for (guint i = 0; i < w->machines->len; i++) {
        struct world_machine *other = world_machine_at(w, i);
        for (guint k = 0; k < other->tasks->len; k++)
            g_array_index(other->tasks, struct world_task, k).phase_at = w->now;
    }
    assert_true(world_until(w, 60, world_all_done, "run-1"));
    world_finish(w);
}

static void test_all_controllers_down_for_longer_than_a_lease(void **state)
{
    (void)state;
    struct world *w = failure_world(2);
    failure_start_job(w, world_job("run-1", 3, 1));
    world_kill_controllers(w);
    world_run(w, 30);
    assert_int_equal(world_running(w, "run-1"), 0);
    w->run_time_s = 3;
    world_start_controllers(w);
    assert_true(world_until(w, 30, world_all_done, "run-1"));
    world_finish(w);
}

/* Tasks that end far apart: a result recorded under one leader counts under the next, and no task runs twice.
 */
static void test_recorded_results_survive_leader_changes(void **state)
{
    (void)state;
    struct world *w = failure_world(3);
    failure_start_job(w, world_job("run-1", 3, 1));
    struct world_task *tasks[3];
    guint count = 0;
    for (guint i = 0; i < w->machines->len; i++) {
        struct world_machine *machine = world_machine_at(w, i);
        for (guint k = 0; k < machine->tasks->len; k++)
            tasks[count++] = &g_array_index(machine->tasks, struct world_task, k);
    }
    assert_int_equal(count, 3);
    for (guint i = 0; i < count; i++)
        tasks[i]->phase_at = w->now + 2 + 15 * i;
    for (int i = 0; i < 3; i++) {
        world_run(w, 9);
        int old = world_leader(w);
        world_kill_controller(w, old);
        world_run(w, 6);
        world_start_controller(w, old);
        assert_int_equal(world_job_state(w, "run-1") == OW_JOB_DONE, i == 2);
    }
    assert_int_equal(world_total_starts(w), 3);
    world_finish(w);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_returning_leader_takes_a_new_fencing_token),
        cmocka_unit_test(test_machine_that_stopped_reporting_gets_no_new_tasks),
        cmocka_unit_test(test_one_zone_array_survives_a_machine_loss),
        cmocka_unit_test(test_all_controllers_down_for_longer_than_a_lease),
        cmocka_unit_test(test_recorded_results_survive_leader_changes),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
