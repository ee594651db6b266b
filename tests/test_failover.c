/* The safety rules of docs/design.md on failovers and fencing tokens: each test fails without the guard that
 * it names. */
#include "check.h"
#include "world.h"

#include <string.h>

static bool job_runs(struct world *w, const void *job)
{
    return world_where(w, job) != NULL;
}

/* Tasks recorded on a machine that is deleted before another leader takes over. */
static void test_failover_recovers_tasks_of_a_deleted_machine(void **state)
{
    (void)state;
    struct world *w = world_with_machines(2);
    w->run_time_s = 100;
    world_start_job(w, world_job("run-1", 1, 1));
    struct world_machine *machine = world_where(w, "run-1");
    world_kill_controllers(w);
    world_delete_machine(machine);
    world_start_controllers(w);
    assert_true(world_until(w, 22, job_runs, "run-1"));
    world_finish(w);
}

/* The same when the other controllers know the machine from the previous leader. */
static void test_tasks_recover_when_machine_and_leader_fail_together(void **state)
{
    (void)state;
    struct world *w = world_with_machines(2);
    w->run_time_s = 100;
    world_start_job(w, world_job("run-1", 1, 1));
    /* Work elsewhere, so that the machine with room is not returned as idle. */
    struct ow_submission *other = world_job("run-2", 1, 1);
    other->zone = g_strdup("west");
    world_add_machine(w, "m-9", "big", "west", false);
    world_submit(w, 0, other);
    world_run(w, 5);
    assert_int_equal(world_running(w, "run-2"), 1);
    struct world_machine *machine = world_where(w, "run-1");
    world_kill_controller(w, world_leader(w));
    world_delete_machine(machine);
    assert_true(world_until(w, 33, job_runs, "run-1"));
    world_finish(w);
}

/* Rule 2, fencing: a deposed leader may still renew the machine's lease until the machine has seen the new
 * fencing token; its tasks count as running. */
static void test_machine_with_a_stale_fencing_token_keeps_its_tasks(void **state)
{
    (void)state;
    struct world *w = world_with_machines(2);
    w->run_time_s = 200;
    w->cloud_down = true;
    struct world_machine *machine = world_start_settled_job(w, world_job("run-1", 1, 1));
    int old = world_leader(w);
    machine->cut = true;
    world_kill_controller(w, old);
    /* No controller renews the machine's lease here, but the new leader can't know: an isolated old leader
     * might. */
    machine->renewed_at = w->now + 1000;
    world_run(w, 60);
    assert_true(world_leader(w) != old);
    assert_false(world_runs_on_another(w, machine));
    machine->cut = false;
    world_run(w, 10);
    assert_true(world_where(w, "run-1") == machine);
    world_finish(w);
}

/* Rules 2 and 4: after a heartbeat from before the new fencing token an older leader may still change the
 * machine. It frees no task and allows no launch. */
static void test_heartbeat_with_a_stale_fencing_token_frees_no_task(void **state)
{
    (void)state;
    struct world *w = world_with_machines(2);
    w->run_time_s = 200;
    w->cloud_down = true;
    struct world_machine *machine = world_start_settled_job(w, world_job("run-1", 1, 1));
    uint64_t fencing_token = machine->fencing_token;
    for (guint i = 0; i < w->machines->len; i++)
        world_machine_at(w, i)->cut = true;
    machine->renewed_at = w->now + 1000;
    world_kill_controller(w, world_leader(w));
    world_run(w, 8);
    int controller = world_leader(w);
    world_heartbeat(w, controller, machine, machine->seq + 1, fencing_token);
    world_submit(w, controller, world_job("run-2", 1, 1));
    world_run(w, 3);
    char *first = world_progress(w, "run-1/0");
    assert_non_null(first);
    assert_non_null(strstr(first, machine->name));
    assert_null(world_progress(w, "run-2/0"));
    g_free(first);
    world_finish(w);
}

/* A delayed transaction of a leader that was deposed meanwhile is rejected. */
static void test_write_of_a_deposed_leader_is_rejected(void **state)
{
    (void)state;
    struct world *w = world_with_machines(1);
    int old = world_leader(w);
    w->keep_held = true;
    w->hold_next = 1;
    w->hold_controller = old;
    world_submit(w, (old + 1) % WORLD_CONTROLLERS, world_job("run-1", 1, 1));
    world_run(w, 0.4);
    assert_int_equal(w->held->len, 1);
    w->denied_controller = old;
    world_machine(w, "m-0")->cut = true; /* so that the new leader has nothing to write */
    world_run(w, 12);
    assert_true(world_leader(w) != old);
    w->keep_held = false;
    world_run(w, 1);
    assert_int_equal(w->held->len, 0);
    assert_null(world_progress(w, "run-1/0"));
    world_finish(w);
}

/* Rule 4: a new leader starts nothing on a machine before it has its report under the new fencing token. */
static void test_no_launch_before_the_machine_heartbeats_the_new_fencing_token(void **state)
{
    (void)state;
    struct world *w = world_with_machines(1);
    w->cloud_down = true;
    struct world_machine *machine = world_machine(w, "m-0");
    uint64_t before = machine->fencing_token;
    machine->cut = true;
    world_kill_controller(w, world_leader(w));
    world_run(w, 8);
    int controller = world_leader(w);
    world_submit(w, controller, world_job("run-1", 1, 1));
    world_run(w, 5);
    assert_int_equal(machine->starts, 0);
    machine->cut = false;
    assert_true(world_until(w, 15, world_some_running, "run-1"));
    assert_true(machine->fencing_token > before);
    world_finish(w);
}

/* Rule 4: attempts of an earlier leader count against the team's limit until they are accounted for. */
static void test_inherited_attempts_count_against_the_limit(void **state)
{
    (void)state;
    struct world *w = world_with_machines(2);
    w->run_time_s = 200;
    w->cloud_down = true;
    struct ow_submission *first = world_job("run-1", 2, 4), *second = world_job("run-2", 1, 4);
    world_set_team(first, "tight");
    world_set_team(second, "tight");
    struct world_machine *machine = world_start_settled_job(w, first);
    machine->cut = true;
    machine->renewed_at = w->now + 1000;
    world_kill_controller(w, world_leader(w));
    world_run(w, 8);
    world_submit(w, world_leader(w), second);
    world_run(w, 20);
    assert_int_equal(world_running(w, "run-2"), 0);
    world_finish(w);
}

/* A leader that sees a higher fencing token steps down. */
static void test_higher_fencing_token_deposes_the_leader(void **state)
{
    (void)state;
    struct world *w = world_with_machines(1);
    int leader = world_leader(w);
    w->store_down = true; /* it can't read who leads */
    world_machine(w, "m-0")->fencing_token = 1000000;
    world_run(w, 5);
    assert_true(world_fencing_token(w, leader) == 0);
    world_free(w);
}

/* The successor of a leader whose fleet boots: it asks the machines that are up, and none of the others. */
static void test_successor_does_not_ask_machines_that_boot(void **state)
{
    (void)state;
    struct world *w = world_with_machines(2);
    w->run_time_s = 200;
    world_submit(w, 0, world_job("run-1", 2, 16)); /* machines with work are not returned as idle */
    for (int i = 0; i < 3; i++) {
        char name[16];
        g_snprintf(name, sizeof name, "booting-%d", i);
        world_add_machine(w, name, "big", "east", false)->up_at = w->now + 100;
    }
    world_run(w, 20); /* the cloud's list tells their addresses, and the leader its peers */
    w->cloud_down = true;
    w->directs = 0;
    world_kill_controller(w, world_leader(w));
    world_run(w, 10);
    assert_true(world_leader(w) >= 0);
    assert_int_equal(w->directs, 2);
    world_finish(w);
}

/* A machine that boots for longer than an unresponsive one is left alone is not returned when it reports at
 * last. */
static void test_slow_boot_is_not_taken_for_unresponsive(void **state)
{
    (void)state;
    struct world *w = world_new();
    for (int i = 0; i < WORLD_CONTROLLERS; i++)
        w->settings[i].lease_s = 6; /* an unresponsive machine without tasks is left alone for three leases */
    world_start_controllers(w);
    world_add_machines(w, 1);
    struct world_machine *slow = world_add_machine(w, "slow", "big", "east", false);
    slow->up_at = slow->renewed_at = w->now + 24;
    world_run(w, 4);
    w->run_time_s = 300;
    world_submit(w, 0, world_job("run-1", 2, 16));
    world_run(w, 40);
    assert_false(slow->gone);
    assert_int_equal(slow->starts, 1);
    world_finish(w);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_failover_recovers_tasks_of_a_deleted_machine),
        cmocka_unit_test(test_tasks_recover_when_machine_and_leader_fail_together),
        cmocka_unit_test(test_machine_with_a_stale_fencing_token_keeps_its_tasks),
        cmocka_unit_test(test_heartbeat_with_a_stale_fencing_token_frees_no_task),
        cmocka_unit_test(test_write_of_a_deposed_leader_is_rejected),
        cmocka_unit_test(test_no_launch_before_the_machine_heartbeats_the_new_fencing_token),
        cmocka_unit_test(test_inherited_attempts_count_against_the_limit),
        cmocka_unit_test(test_higher_fencing_token_deposes_the_leader),
        cmocka_unit_test(test_successor_does_not_ask_machines_that_boot),
        cmocka_unit_test(test_slow_boot_is_not_taken_for_unresponsive),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
