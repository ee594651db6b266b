/* The periodic log lines: evidence for incidents that must be there, and must not grow with the load. */
#include "check.h"
#include "log_capture.h"
#include "sim_cluster.h"

static int setup(void **state)
{
    log_capture_clear();
    *state = sim_with_machines(2);
    return 0;
}

static void test_log_does_not_grow_with_the_number_of_questions(void **state)
{
    enum { INTERVALS = 2, QUESTIONS = 200 };
    struct sim_cluster *cluster = *state;
    sim_start_long_job(cluster);
    log_capture_clear();
    for (int i = 0; i < QUESTIONS; i++) {
        sim_poll(cluster, i % SIM_CONTROLLERS, "run-1");
        sim_run(cluster, 0.1);
    }
    unsigned lines = log_capture_count("user requests answered: state=");
    assert_in_range(lines, 1, SIM_CONTROLLERS * (INTERVALS + 1));
    sim_check_safety(cluster);
}

/* The machine can't be reached by the new leader, so its attempt may not have begun yet. */
static void test_log_names_the_attempt_that_holds_up_a_cancellation(void **state)
{
    struct sim_cluster *cluster = *state;
    struct sim_machine *machine = sim_start_long_job(cluster);
    machine->partitioned = true;
    sim_kill_controller(cluster, sim_leader(cluster));
    sim_run(cluster, 8);
    sim_cancel(cluster, sim_leader(cluster), "run-1");
    sim_run(cluster, 11);
    const char *phrase = "cancellation waits for an attempt that may still start: job=run-1 wait_s=";
    assert_in_range(log_capture_count(phrase), 1, 2);
    assert_true(log_capture_count("cancellations not acknowledged: count=1 ") >= 1);
    sim_check_safety(cluster);
}

int main(void)
{
    log_capture_start();
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(test_log_does_not_grow_with_the_number_of_questions, setup,
                                        sim_teardown),
        cmocka_unit_test_setup_teardown(test_log_names_the_attempt_that_holds_up_a_cancellation, setup,
                                        sim_teardown),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
