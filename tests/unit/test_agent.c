/* The thin agent: when and where its heartbeats go, and what it says and reads. */
#include "agent/heartbeat_schedule.h"
#include "agent_setup.h"
#include "check.h"
#include "model/worker.h"
#include "wire/worker_json.h"

#include <string.h>

/* ---- the schedule of heartbeats ---- */

static void test_heartbeats_follow_the_interval_and_changes(void **state)
{
    (void)state;
    struct agent_options options = agent_setup_options();
    struct agent_heartbeat_schedule schedule;
    agent_heartbeat_schedule_init(&schedule, &options, 100);
    assert_true(agent_heartbeat_schedule_is_due(&schedule, 100));
    agent_heartbeat_schedule_record_sent(&schedule, 100, 1);
    assert_false(agent_heartbeat_schedule_is_due(&schedule, 200)); /* one at a time */
    agent_heartbeat_schedule_record_accepted(&schedule);
    assert_false(agent_heartbeat_schedule_is_due(&schedule, 103.7));
    assert_true(agent_heartbeat_schedule_is_due(&schedule, 103.8));
    agent_heartbeat_schedule_record_change(&schedule);
    assert_false(agent_heartbeat_schedule_is_due(&schedule, 100.4));
    assert_true(agent_heartbeat_schedule_is_due(&schedule, 100.5));
    g_array_free(options.controllers, TRUE);
}

static void test_higher_fencing_token_counts_as_a_change_now_and_then(void **state)
{
    (void)state;
    struct agent_options options = agent_setup_options();
    struct agent_heartbeat_schedule schedule;
    agent_heartbeat_schedule_init(&schedule, &options, 100);
    agent_heartbeat_schedule_record_sent(&schedule, 100, 0);
    agent_heartbeat_schedule_record_accepted(&schedule);
    agent_heartbeat_schedule_record_fencing_token(&schedule, 100.1);
    assert_true(agent_heartbeat_schedule_is_due(&schedule, 100.6));
    agent_heartbeat_schedule_record_sent(&schedule, 100.6, 0);
    agent_heartbeat_schedule_record_accepted(&schedule);
    agent_heartbeat_schedule_record_fencing_token(&schedule, 101);
    assert_false(agent_heartbeat_schedule_is_due(&schedule, 101.5));
    agent_heartbeat_schedule_record_fencing_token(&schedule, 110.2);
    assert_true(agent_heartbeat_schedule_is_due(&schedule, 110.2));
    g_array_free(options.controllers, TRUE);
}

static void test_other_controllers_are_tried(void **state)
{
    (void)state;
    struct agent_options options = agent_setup_options();
    struct agent_heartbeat_schedule schedule;
    agent_heartbeat_schedule_init(&schedule, &options, 100);
    agent_heartbeat_schedule_record_sent(&schedule, 100, 0);
    agent_heartbeat_schedule_record_redirect(&schedule, "three", 100, 0.25);
    assert_string_equal(agent_heartbeat_schedule_controller(&schedule)->name, "three");
    assert_false(agent_heartbeat_schedule_is_due(&schedule, 100.2));
    assert_true(agent_heartbeat_schedule_is_due(&schedule, 100.25));
    /* Its own name, an unknown one or none: the next controller, a second later, whatever changes. */
    static const char *const useless[] = {"three", "nobody", NULL};
    static const char *const next[] = {"one", "two", "three"};
    for (int i = 0; i < 3; i++) {
        agent_heartbeat_schedule_record_sent(&schedule, 200, 0);
        agent_heartbeat_schedule_record_redirect(&schedule, useless[i], 200, 0);
        assert_string_equal(agent_heartbeat_schedule_controller(&schedule)->name, next[i]);
        agent_heartbeat_schedule_record_change(&schedule);
        assert_false(agent_heartbeat_schedule_is_due(&schedule, 200.9));
        assert_true(agent_heartbeat_schedule_is_due(&schedule, 201));
    }
    agent_heartbeat_schedule_record_sent(&schedule, 300, 0);
    agent_heartbeat_schedule_record_failure(&schedule, 304);
    assert_string_equal(agent_heartbeat_schedule_controller(&schedule)->name, "one");
    assert_false(agent_heartbeat_schedule_is_due(&schedule, 304.9));
    g_array_free(options.controllers, TRUE);
}

/* ---- messages ---- */

static void test_heartbeat_is_read_by_controllers(void **state)
{
    (void)state;
    static char machine[] = "m-1";
    static char type[] = "m8";
    static char zone[] = "a";
    static char address[] = "127.0.0.1:1";
    struct ow_heartbeat heartbeat = {.machine = machine,
                                     .addr = address,
                                     .type = type,
                                     .zone = zone,
                                     .spot = true,
                                     .incarnation = 3,
                                     .sequence = 8,
                                     .fencing_token = 41,
                                     .reclaim_notice_s = -1,
                                     .tasks = g_array_new(FALSE, FALSE, sizeof(struct ow_task_status))};
    struct ow_task_status running = {"run-1", 3, 2, OW_PHASE_RUNNING, OW_CAUSE_NONE, false};
    struct ow_task_status stopped = {"run-2", 0, 1, OW_PHASE_EXITED, OW_CAUSE_STOPPED, true};
    g_array_append_val(heartbeat.tasks, running);
    g_array_append_val(heartbeat.tasks, stopped);
    char *text = wire_heartbeat_encode(&heartbeat);
    struct ow_heartbeat *read = wire_heartbeat_decode(text, strlen(text));
    assert_non_null(read);
    assert_string_equal(read->machine, "m-1");
    assert_true(read->spot && read->incarnation == 3 && read->sequence == 8 && read->fencing_token == 41 &&
                read->reclaim_notice_s < 0);
    assert_int_equal(read->tasks->len, 2);
    const struct ow_task_status *second = &g_array_index(read->tasks, struct ow_task_status, 1);
    assert_int_equal(second->cause, OW_CAUSE_STOPPED);
    assert_true(second->saved);
    assert_int_equal(g_array_index(read->tasks, struct ow_task_status, 0).attempt, 2);
    ow_heartbeat_free(read);
    g_array_free(heartbeat.tasks, TRUE);
    g_free(text);
}

static void test_commands_written_by_controllers_are_read(void **state)
{
    (void)state;
    GArray *commands = g_array_new(FALSE, TRUE, sizeof(struct ow_worker_command));
    struct ow_worker_command stop = {OW_WORKER_STOP, "run-7", 12, 5, 2.5};
    g_array_append_val(commands, stop);
    char *direct = wire_direct_commands_encode(9, 2, commands);
    struct wire_command_batch *orders = wire_worker_commands_decode(direct, strlen(direct));
    assert_true(orders->has_fencing_token && orders->fencing_token == 9 && orders->has_incarnation &&
                orders->incarnation == 2);
    const struct ow_worker_command *read = &g_array_index(orders->commands, struct ow_worker_command, 0);
    assert_int_equal(read->kind, OW_WORKER_STOP);
    assert_string_equal(read->job, "run-7");
    assert_true(read->task == 12 && read->attempt == 5 && read->grace_s == 2.5);
    wire_command_batch_free(orders);
    g_free(direct);
    char *misdirected = wire_redirect_encode("two");
    char *name = wire_redirect_decode(misdirected, strlen(misdirected));
    assert_string_equal(name, "two");
    g_free(name);
    g_free(misdirected);
    static const char unknown[] =
        "{\"crest\":1,\"calls\":[{\"call\":\"dance\",\"talon\":\"run-1/0\",\"dive\":1}]}";
    static const char *const malformed[] = {"", "[]", "{\"crest\":1}", "{\"crest\":1,\"calls\":[{}]}",
                                            unknown};
    for (guint i = 0; i < G_N_ELEMENTS(malformed); i++)
        assert_null(wire_worker_commands_decode(malformed[i], strlen(malformed[i])));
    g_array_free(commands, TRUE);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_heartbeats_follow_the_interval_and_changes),
        cmocka_unit_test(test_higher_fencing_token_counts_as_a_change_now_and_then),
        cmocka_unit_test(test_other_controllers_are_tried),
        cmocka_unit_test(test_heartbeat_is_read_by_controllers),
        cmocka_unit_test(test_commands_written_by_controllers_are_read),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
