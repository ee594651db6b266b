/* Limits of the key-value store that fall without notice, and submissions that exceed them. */
#include "check.h"
#include "world.h"

static void test_unannounced_lower_limits(void **state)
{
    (void)state;
    struct world *w = world_with_machines(6);
    w->run_time_s = 20;
    world_submit_interleaved(w, "run-1", 200);
    w->value_kb = 0.8;
    w->txn_ops = 3;
    world_submit(w, 1, world_job("run-2", 40, 0.4));
    assert_true(world_until(w, 10, world_some_running, "run-2"));
    assert_true(world_until(w, 90, world_all_done, "run-1"));
    assert_true(world_until(w, 60, world_all_done, "run-2"));
    /* Each refusal halves the size of the next attempt, so that retries are bounded. */
    assert_true(w->too_large > 0 && w->too_large < 20);
    assert_string_equal(w->violations->str, "");
    world_free(w);
}

/* Transactions are refused for their number of changes; the limit of a single value has fallen less, and a
 * job's own record still fits. */
static void test_lower_txn_ops_does_not_lower_the_value_size(void **state)
{
    (void)state;
    struct world *w = world_new();
    for (int i = 0; i < WORLD_CONTROLLERS; i++) {
        w->settings[i].txn_ops = 64;
        world_start_controller(w, i);
    }
    world_add_machines(w, 6);
    world_run(w, 8);
    w->capacity = 4;
    w->txn_ops = 1;
    w->value_kb = 1;
    for (int i = 0; i < 40; i++) {
        char id[OW_ID_MAX + 1];
        g_snprintf(id, sizeof id, "run-%d", 100 + i);
        world_submit(w, world_leader(w), world_job(id, 1, 0.4));
    }
    world_run(w, 30);
    assert_true(w->too_large > 0);
    uint64_t asked = world_submit(w, world_leader(w), world_job("run-1", 2, 0.4));
    world_run(w, 2);
    assert_int_equal(world_status(w, asked), 201);
    assert_true(world_until(w, 30, world_all_done, "run-1"));
    assert_string_equal(w->violations->str, "");
    world_free(w);
}

/* A repeat of a job that another controller has accepted is recognized by its id, whatever the limit of this
 * controller. */
static void test_known_job_is_not_rejected_for_its_size(void **state)
{
    (void)state;
    struct world *w = world_with_machines(2);
    int here = (world_leader(w) + 1) % WORLD_CONTROLLERS;
    double value_kb = w->value_kb;
    w->value_kb = 0.1;
    world_submit(w, here, world_job("run-1", 1, 1));
    world_run(w, 2);
    w->value_kb = value_kb;
    w->silent_watches = true;
    w->peers_cut = true;
    uint64_t accepted = world_submit(w, world_leader(w), world_job("run-2", 1, 1));
    world_run(w, 1);
    assert_int_equal(world_status(w, accepted), 201);
    uint64_t repeated = world_submit(w, here, world_job("run-2", 1, 1));
    world_run(w, 2);
    assert_int_equal(world_status(w, repeated), 200);
    assert_string_equal(w->violations->str, "");
    world_free(w);
}

/* The limit has fallen below the size of a job's record, without notice: the submission is rejected at once.
 */
static void test_submission_refused_by_the_state_service_is_rejected(void **state)
{
    (void)state;
    struct world *w = world_with_machines(1);
    w->value_kb = 0.1;
    uint64_t asked = world_submit(w, 0, world_job("run-1", 1, 1));
    world_run(w, 2);
    assert_int_equal(world_status(w, asked), 422);
    world_free(w);
}

static void test_oversized_submission_is_rejected(void **state)
{
    (void)state;
    struct world *w = world_with_machines(1);
    struct ow_submission *submission = world_job("run-1", 1, 1);
    GPtrArray *types = g_ptr_array_new();
    for (int i = 0; i < 200; i++)
        g_ptr_array_add(types, g_strdup_printf("a-type-with-a-rather-long-name-and-a-number-%d", i));
    g_ptr_array_add(types, g_strdup("big"));
    g_ptr_array_add(types, NULL);
    submission->types = (char **)g_ptr_array_free(types, FALSE);
    uint64_t asked = world_submit(w, 0, submission);
    world_run(w, 1);
    assert_int_equal(world_answer(w, asked)->status, 422);
    world_finish(w);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_unannounced_lower_limits),
        cmocka_unit_test(test_oversized_submission_is_rejected),
        cmocka_unit_test(test_lower_txn_ops_does_not_lower_the_value_size),
        cmocka_unit_test(test_submission_refused_by_the_state_service_is_rejected),
        cmocka_unit_test(test_known_job_is_not_rejected_for_its_size),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
