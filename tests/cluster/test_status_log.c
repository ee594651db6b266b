/* The periodic log lines: evidence for incidents that must be there, and must not grow with the load. */
#include "check.h"
#include "sim_cluster.h"

#include <string.h>

static GString *log_lines;

static GLogWriterOutput capture_line(GLogLevelFlags level, const GLogField *fields, gsize count,
                                     gpointer owner)
{
    (void)level;
    (void)owner;
    for (gsize i = 0; i < count; i++)
        if (strcmp(fields[i].key, "MESSAGE") == 0)
            g_string_append_printf(log_lines, "%s\n", (const char *)fields[i].value);
    return G_LOG_WRITER_HANDLED;
}

static unsigned count_lines(const char *phrase)
{
    unsigned count = 0;
    for (const char *at = strstr(log_lines->str, phrase); at != NULL; at = strstr(at + 1, phrase))
        count++;
    return count;
}

static int setup(void **state)
{
    log_lines = g_string_new(NULL);
    *state = sim_with_machines(2);
    return 0;
}

static int teardown(void **state)
{
    sim_teardown(state);
    g_string_free(log_lines, TRUE);
    return 0;
}

static void test_log_does_not_grow_with_the_number_of_questions(void **state)
{
    enum { INTERVALS = 2, QUESTIONS = 200 };
    struct sim_cluster *cluster = *state;
    sim_start_long_job(cluster);
    g_string_truncate(log_lines, 0);
    for (int i = 0; i < QUESTIONS; i++) {
        sim_poll(cluster, i % SIM_CONTROLLERS, "run-1");
        sim_run(cluster, 0.1);
    }
    unsigned lines = count_lines("user requests answered: state=");
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
    assert_in_range(count_lines(phrase), 1, 2);
    assert_true(count_lines("cancellations not acknowledged: count=1 ") >= 1);
    sim_check_safety(cluster);
}

int main(void)
{
    g_log_set_writer_func(capture_line, NULL, NULL);
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(test_log_does_not_grow_with_the_number_of_questions, setup, teardown),
        cmocka_unit_test_setup_teardown(test_log_names_the_attempt_that_holds_up_a_cancellation, setup,
                                        teardown),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
