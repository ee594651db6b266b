/* Rolling upgrades from the production version, also while limits of the key-value store fall. */
#include "check.h"
#include "world.h"

#include "core/records/records.h"

#include <string.h>

static void set_all_old(struct world *w, bool old)
{
    for (int i = 0; i < WORLD_CONTROLLERS; i++)
        w->old_controller[i] = old;
}

/* Announces lower limits, which only the new version can read. */
static void announce(struct world *w, double value_kb, unsigned txn_ops)
{
    for (int i = 0; i < WORLD_CONTROLLERS; i++) {
        w->settings[i].next_value_kb = w->old_controller[i] ? w->settings[i].value_kb : value_kb;
        w->settings[i].next_txn_ops = w->old_controller[i] ? w->settings[i].txn_ops : txn_ops;
    }
}

static void upgrade(struct world *w, int controller, double away_s)
{
    if (w->controllers[controller] != NULL)
        world_kill_controller(w, controller);
    world_run(w, away_s);
    w->old_controller[controller] = false;
    announce(w, 0.6, 4);
    world_start_controller(w, controller);
}

static struct world *world_of_old_controllers(int machines)
{
    struct world *w = world_new();
    set_all_old(w, true);
    world_start_controllers(w);
    world_add_machines(w, machines);
    world_run(w, 6);
    return w;
}

/* Running tasks end one after the other, so that progress is recorded repeatedly. */
static void end_tasks_gradually(struct world *w, double within_s)
{
    int ended = 0;
    for (guint i = 0; i < w->machines->len; i++) {
        struct world_machine *machine = world_machine_at(w, i);
        for (guint k = 0; k < machine->tasks->len; k++) {
            struct world_task *task = &g_array_index(machine->tasks, struct world_task, k);
            if (task->phase == OW_PHASE_RUNNING)
                task->phase_at = w->now + 1 + 0.01 * within_s * (ended++ % 100);
        }
    }
}

static bool format_gate_is_open(struct world *w, const void *what)
{
    (void)what;
    return world_value_text(w, OW_KEY_FORMAT) != NULL;
}

/* A complete rolling upgrade: three controllers, one after the other, then smaller values without notice.
 * Running tasks keep running and are not started twice; results are recorded in values that fit. */
static void run_rolling_upgrade(double away_s, int crash)
{
    struct world *w = world_of_old_controllers(6);
    w->run_time_s = 60;
    world_submit_interleaved(w, "run-1", 200);
    for (int i = 0; i < WORLD_CONTROLLERS; i++) {
        upgrade(w, i, away_s);
        world_run(w, 4);
        if (crash == i) {
            /* A controller that is not upgraded yet restarts with the old version, and may lead. */
            int controller = (i + 1) % WORLD_CONTROLLERS;
            world_kill_controller(w, controller);
            world_run(w, 1);
            world_start_controller(w, controller);
            world_run(w, 5);
        }
    }
    world_run(w, 12);
    assert_string_equal(world_value_text(w, OW_KEY_FORMAT), "{\"v\":2}");
    w->value_kb = 0.6;
    w->txn_ops = 4;
    world_run(w, 4);
    assert_int_equal(world_running(w, "run-1"), 100);
    end_tasks_gradually(w, 30);
    uint64_t more = world_submit(w, 1, world_job("run-2", 150, 0.4)), cancel = 0;
    world_run(w, 6);
    assert_int_equal(world_answer(w, more)->status, 201);
    cancel = world_cancel(w, 2, "run-2");
    world_run(w, 3);
    assert_int_equal(world_answer(w, cancel)->state, OW_JOB_CANCELLED);
    assert_true(world_until(w, 90, world_all_done, "run-1"));
    assert_true(world_total_starts(w) >= 200 && world_total_starts(w) <= 350);
    world_finish(w);
}

static void test_rolling_upgrade(void **state)
{
    (void)state;
    for (int crash = -1; crash < 2; crash++) {
        run_rolling_upgrade(0.3, crash);
        run_rolling_upgrade(5, crash);
    }
}

/* Of two running controllers one is upgraded: it takes over before the other is upgraded. */
static void test_leadership_moves_to_the_new_version_once(void **state)
{
    (void)state;
    struct world *w = world_of_old_controllers(4);
    int old = world_leader(w), first = (old + 1) % WORLD_CONTROLLERS, last = (old + 2) % WORLD_CONTROLLERS;
    upgrade(w, first, 0.3);
    world_run(w, 8);
    assert_int_equal(world_leader(w), first);
    upgrade(w, old, 0.3);
    world_run(w, 8);
    upgrade(w, last, 0.3);
    world_run(w, 8);
    assert_int_equal(world_leader(w), first);
    world_finish(w);
}

/* A controller that restarts with the old version does not change the leader. */
static void test_old_version_does_not_regain_leadership(void **state)
{
    (void)state;
    struct world *w = world_of_old_controllers(4);
    int first = (world_leader(w) + 1) % WORLD_CONTROLLERS, other = (first + 1) % WORLD_CONTROLLERS;
    upgrade(w, first, 0.3);
    world_run(w, 8);
    for (int i = 0; i < 3; i++) {
        world_kill_controller(w, other);
        world_run(w, 0.3);
        world_start_controller(w, other);
        world_run(w, 6);
        assert_int_equal(world_leader(w), first);
    }
    world_finish(w);
}

/* Records in chunks that are too large are split in steps: none is lost whenever the leader crashes. */
static void test_interrupted_record_split_loses_nothing(void **state)
{
    (void)state;
    for (int step = 0; step < 30; step++) {
        struct world *w = world_of_old_controllers(6);
        w->run_time_s = 60;
        world_submit_interleaved(w, "run-1", 200);
        for (int i = 0; i < WORLD_CONTROLLERS; i++)
            upgrade(w, i, 0.3);
        assert_true(world_until(w, 20, format_gate_is_open, NULL));
        end_tasks_gradually(w, 40);
        world_run(w, 1 + 0.1 * step);
        int leader = world_leader(w);
        if (leader >= 0) {
            world_kill_controller(w, leader);
            world_run(w, 0.3);
            world_start_controller(w, leader);
        }
        world_run(w, 14);
        w->value_kb = 0.6;
        w->txn_ops = 4;
        assert_true(world_running(w, "run-1") > 20);
        assert_true(world_until(w, 90, world_all_done, "run-1"));
        assert_int_equal(world_total_starts(w), 200);
        world_finish(w);
    }
}

static size_t largest_progress(struct world *w)
{
    size_t largest = 0;
    for (int i = 0; i < 200; i++) {
        char *key = g_strdup_printf("%s%d", OW_KEY_PROGRESS, i);
        const char *text = world_value_text(w, key);
        largest = MAX(largest, text != NULL ? strlen(text) : 0);
        g_free(key);
    }
    return largest;
}

/* A new leader splits stored values above the announced limit, even if their records don't change.
 */
static void test_oversized_values_are_split_after_a_failover(void **state)
{
    (void)state;
    struct world *w = world_of_old_controllers(6);
    w->run_time_s = 200;
    world_submit_interleaved(w, "run-1", 200);
    assert_true(largest_progress(w) > 614);
    for (int i = 0; i < WORLD_CONTROLLERS; i++)
        upgrade(w, i, 0.3);
    assert_true(world_until(w, 20, format_gate_is_open, NULL));
    int leader = world_leader(w);
    world_kill_controller(w, leader);
    world_run(w, 6);
    world_start_controller(w, leader);
    world_run(w, 20);
    assert_true(largest_progress(w) <= 614);
    assert_int_equal(world_running(w, "run-1"), 100);
    world_finish(w);
}

/* While one controller knows only the first format, no leader writes what it would drop. */
static void test_format_gate_stays_closed_beside_an_old_controller(void **state)
{
    (void)state;
    struct world *w = world_of_old_controllers(4);
    w->run_time_s = 20;
    upgrade(w, 0, 0.3);
    upgrade(w, 1, 0.3);
    world_run(w, 10);
    world_submit(w, 0, world_job("run-1", 100, 0.4));
    world_run(w, 8);
    assert_null(world_value_text(w, OW_KEY_FORMAT));
    /* Nor while it is down: it would restart with the old version. */
    world_kill_controller(w, 2);
    world_run(w, 20);
    assert_null(world_value_text(w, OW_KEY_FORMAT));
    world_start_controller(w, 2);
    assert_true(world_until(w, 60, world_all_done, "run-1"));
    world_finish(w);
}

/* Cancellations confirmed with mixed versions hold under either version's leader. */
static void test_cancellations_across_versions(void **state)
{
    (void)state;
    for (int first = 0; first < WORLD_CONTROLLERS; first++) {
        struct world *w = world_of_old_controllers(3);
        w->run_time_s = 300;
        world_submit(w, 0, world_job("run-1", 6, 1));
        world_run(w, 6);
        upgrade(w, first, 0.3);
        world_run(w, 10);
        w->denied_controller = world_leader(w);
        uint64_t cancel = world_cancel(w, (world_leader(w) + 1) % WORLD_CONTROLLERS, "run-1");
        world_run(w, 1);
        assert_int_equal(world_answer(w, cancel)->state, OW_JOB_CANCELLED);
        w->store_down = true;
        world_run(w, 60);
        assert_int_equal(world_running(w, "run-1"), 0);
        world_finish(w);
    }
}

/* Limits fall before every controller is known to read smaller records: values that can't be split yet
 * wait, and all other writes go on. */
static void test_oversized_value_delays_no_other_write(void **state)
{
    (void)state;
    struct world *w = world_of_old_controllers(6);
    w->run_time_s = 60;
    world_submit_interleaved(w, "run-1", 200);
    for (int i = 0; i < WORLD_CONTROLLERS; i++)
        upgrade(w, i, 0.3);
    w->peers_cut = true;
    world_run(w, 3);
    assert_false(format_gate_is_open(w, NULL));
    w->value_kb = 0.6;
    w->txn_ops = 4;
    end_tasks_gradually(w, 40);
    w->run_time_s = 10;
    for (int i = 0; i < 10; i++) {
        char id[OW_ID_MAX + 1];
        g_snprintf(id, sizeof id, "run-%d", 100 + i);
        struct ow_submission *job = world_job(id, 2, 0.4);
        g_free(job->class_name);
        job->class_name = g_strdup("other");
        world_submit(w, world_leader(w), job);
        world_run(w, 2.5);
        assert_int_equal(world_running(w, id), 2);
    }
    assert_true(w->too_large > 0);
    w->peers_cut = false;
    assert_true(world_until(w, 90, world_all_done, "run-1"));
    assert_string_equal(w->violations->str, "");
    world_free(w);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_rolling_upgrade),
        cmocka_unit_test(test_leadership_moves_to_the_new_version_once),
        cmocka_unit_test(test_old_version_does_not_regain_leadership),
        cmocka_unit_test(test_interrupted_record_split_loses_nothing),
        cmocka_unit_test(test_oversized_values_are_split_after_a_failover),
        cmocka_unit_test(test_format_gate_stays_closed_beside_an_old_controller),
        cmocka_unit_test(test_cancellations_across_versions),
        cmocka_unit_test(test_oversized_value_delays_no_other_write),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
