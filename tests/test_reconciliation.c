/* Unresponsive machines, and reports that are duplicated, late or out of sequence. */
#include "check.h"
#include "world.h"

static void test_unresponsive_machine_is_avoided_and_deleted(void **state)
{
    (void)state;
    struct world *w = world_with_capacity(3, 6);
    struct world_machine *unresponsive = world_start_long_job(w);
    unresponsive->unresponsive = true;
    /* A gang that needs a whole machine may pick it before the fault shows: it must not wait for it. */
    w->run_time_s = 2;
    world_submit(w, 0, world_gang("run-2", 2, 16));
    assert_true(world_until(w, 40, world_is_gone, unresponsive));
    assert_true(world_until(w, 40, world_all_done, "run-2"));
    assert_true(world_until(w, 40, world_all_done, "run-1"));
    world_finish(w);
}

/* After the first command without a response it gets no new tasks, long before it is deleted. */
static void test_unresponsive_machine_gets_no_new_tasks(void **state)
{
    (void)state;
    struct world *w = world_with_capacity(2, 6);
    struct world_machine *unresponsive = world_start_long_job(w);
    unresponsive->unresponsive = true;
    w->run_time_s = 1;
    world_submit(w, 0, world_job("run-2", 1, 1)); /* fits best beside the other task */
    world_run(w, 5);
    assert_false(unresponsive->gone);
    world_submit(w, 0, world_job("run-3", 1, 1));
    assert_true(world_until(w, 4, world_all_done, "run-3"));
    assert_false(unresponsive->gone);
    world_finish(w);
}

static void test_unresponsive_machine_is_replaced_after_a_failover(void **state)
{
    (void)state;
    struct world *w = world_with_capacity(3, 6);
    struct world_machine *unresponsive = world_start_long_job(w);
    unresponsive->unresponsive = true;
    world_kill_controller(w, world_leader(w));
    /* Its reports under an old fencing token keep arriving: they are no sign of health. */
    assert_true(world_until(w, 60, world_runs_on_another, unresponsive));
    assert_true(world_until(w, 90, world_is_gone, unresponsive));
    world_finish(w);
}

static void test_unresponsive_machine_with_a_cancelled_task_is_deleted(void **state)
{
    (void)state;
    struct world *w = world_with_capacity(2, 6);
    struct world_machine *unresponsive = world_start_long_job(w);
    unresponsive->unresponsive = true;
    unresponsive->renewed_at = w->now + 1000; /* its lease does not end it */
    world_cancel(w, 0, "run-1");
    world_run(w, 39);
    assert_true(unresponsive->gone);
    world_run(w, 5);
    world_finish(w);
}

static void test_duplicate_heartbeat_renews_no_lease(void **state)
{
    (void)state;
    struct world *w = world_with_capacity(2, 6);
    w->cloud_down = true; /* no proof by deletion */
    struct world_machine *machine = world_start_long_job(w);
    enum { COPIES = 26 };
    struct ow_heartbeat *copies[COPIES];
    for (int i = 0; i < COPIES; i++)
        copies[i] = world_last_heartbeat(machine);
    machine->cut = true;
    for (int i = 0; i < COPIES; i++) {
        world_send_copy(w, world_leader(w), copies[i]);
        world_run(w, 1);
    }
    assert_true(world_runs_on_another(w, machine));
    machine->cut = false;
    world_run(w, 20);
    world_finish(w);
}

static void test_duplicate_heartbeat_frees_no_task_after_a_failover(void **state)
{
    (void)state;
    struct world *w = world_with_capacity(2, 6);
    w->cloud_down = true;
    struct world_machine *machine = world_machine(w, "m-0");
    struct ow_heartbeat *before = world_last_heartbeat(machine),
                        *other = world_last_heartbeat(world_machine(w, "m-1"));
    machine = world_start_long_job(w);
    ow_heartbeat_free(machine == world_machine(w, "m-0") ? other : before);
    struct ow_heartbeat *copy = machine == world_machine(w, "m-0") ? before : other;
    machine->cut = true;
    machine->renewed_at = w->now + 1000;
    world_kill_controller(w, world_leader(w));
    world_run(w, 8);
    /* It lists no task, and it is the first heartbeat of the machine that this leader receives. */
    world_send_copy(w, world_leader(w), copy);
    world_run(w, 15);
    assert_false(world_runs_on_another(w, machine));
    machine->cut = false;
    world_run(w, 10);
    assert_true(world_where(w, "run-1") == machine);
    world_finish(w);
}

static void test_duplicate_heartbeat_restores_no_deleted_machine(void **state)
{
    (void)state;
    struct world *w = world_with_capacity(1, 6);
    struct world_machine *machine = world_start_long_job(w);
    struct ow_heartbeat *copy = world_last_heartbeat(machine);
    copy->seq += 100; /* newer than every heartbeat received from it */
    g_array_set_size(copy->tasks, 0);
    machine->reclaim_notice_s = 1;
    machine->heartbeat_at = w->now;
    world_run(w, 1.5);
    world_delete_machine(machine);
    w->run_time_s = 1;
    assert_true(world_until(w, 40, world_all_done, "run-1"));
    world_send_copy(w, world_leader(w), copy);
    world_run(w, 0.5);
    world_submit(w, 0, world_job("run-2", 16, 2));
    assert_true(world_until(w, 20, world_all_done, "run-2"));
    world_finish(w);
}

/* Sequence numbers only grow, by the protocol. Reports of a worker that restarts them can't be distinguished
 * from late duplicates: they are ignored, and its machine is deleted like one that does not report. */
static void test_worker_with_reset_sequence_numbers_is_replaced(void **state)
{
    (void)state;
    struct world *w = world_with_capacity(1, 6);
    struct world_machine *machine = world_start_long_job(w);
    machine->incarnation = 3;
    machine->seq = 500;
    world_run(w, 10);
    struct ow_heartbeat *copy = world_last_heartbeat(machine);
    copy->seq += 100;
    w->run_time_s = 2;
    world_reboot(w, machine);
    assert_true(world_until(w, 60, world_all_done, "run-1"));
    world_send_copy(w, world_leader(w), copy);
    assert_true(world_until(w, 60, world_is_gone, machine));
    world_finish(w);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_unresponsive_machine_is_avoided_and_deleted),
        cmocka_unit_test(test_unresponsive_machine_gets_no_new_tasks),
        cmocka_unit_test(test_unresponsive_machine_is_replaced_after_a_failover),
        cmocka_unit_test(test_unresponsive_machine_with_a_cancelled_task_is_deleted),
        cmocka_unit_test(test_duplicate_heartbeat_renews_no_lease),
        cmocka_unit_test(test_duplicate_heartbeat_frees_no_task_after_a_failover),
        cmocka_unit_test(test_duplicate_heartbeat_restores_no_deleted_machine),
        cmocka_unit_test(test_worker_with_reset_sequence_numbers_is_replaced),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
