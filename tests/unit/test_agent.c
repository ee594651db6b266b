/* The agent: when heartbeats are sent, to which controller, and the encoding of its messages. */
#include "agent/heartbeat_schedule.h"
#include "agent_setup.h"
#include "check.h"
#include "model/worker.h"
#include "wire/worker_json.h"

#include <string.h>

/* ---- heartbeat schedule ---- */

static void test_heartbeat_is_due_after_interval_or_change(void **state)
{
    (void)state;
    struct agent_options options = agent_setup_options();
    struct agent_heartbeat_schedule schedule;
    agent_heartbeat_schedule_init(&schedule, &options, 100);
    assert_true(agent_heartbeat_schedule_is_due(&schedule, 100));
    agent_heartbeat_schedule_record_sent(&schedule, 100, 1);
    assert_false(agent_heartbeat_schedule_is_due(&schedule, 200)); /* one heartbeat is in flight at a time */
    agent_heartbeat_schedule_record_accepted(&schedule);
    assert_false(agent_heartbeat_schedule_is_due(&schedule, 103.7));
    assert_true(agent_heartbeat_schedule_is_due(&schedule, 103.8));
    agent_heartbeat_schedule_record_change(&schedule);
    assert_false(agent_heartbeat_schedule_is_due(&schedule, 100.4));
    assert_true(agent_heartbeat_schedule_is_due(&schedule, 100.5));
    g_array_free(options.controllers, TRUE);
}

static void test_higher_fencing_token_advances_heartbeat_at_most_twice_per_lease(void **state)
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

static void test_redirect_or_failure_selects_another_controller(void **state)
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
    /* A redirect to the same controller, to an unknown one or to none selects the next controller in the
     * list, 1 s later even if something changes meanwhile. */
    static const char *const invalid_targets[] = {"three", "nobody", NULL};
    static const char *const expected_controllers[] = {"one", "two", "three"};
    for (int i = 0; i < 3; i++) {
        agent_heartbeat_schedule_record_sent(&schedule, 200, 0);
        agent_heartbeat_schedule_record_redirect(&schedule, invalid_targets[i], 200, 0);
        assert_string_equal(agent_heartbeat_schedule_controller(&schedule)->name, expected_controllers[i]);
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

/* ---- message encoding ---- */

static void test_encoded_heartbeat_is_decoded_by_controllers(void **state)
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
    struct ow_heartbeat *decoded = wire_heartbeat_decode(text, strlen(text), NULL);
    assert_non_null(decoded);
    assert_string_equal(decoded->machine, "m-1");
    assert_true(decoded->spot && decoded->incarnation == 3 && decoded->sequence == 8 &&
                decoded->fencing_token == 41 && decoded->reclaim_notice_s < 0);
    assert_int_equal(decoded->tasks->len, 2);
    const struct ow_task_status *second_status = &g_array_index(decoded->tasks, struct ow_task_status, 1);
    assert_int_equal(second_status->cause, OW_CAUSE_STOPPED);
    assert_true(second_status->saved);
    assert_int_equal(g_array_index(decoded->tasks, struct ow_task_status, 0).attempt, 2);
    ow_heartbeat_free(decoded);
    g_array_free(heartbeat.tasks, TRUE);
    g_free(text);
}

static void test_messages_of_controllers_are_decoded_or_rejected(void **state)
{
    (void)state;
    GArray *commands = g_array_new(FALSE, TRUE, sizeof(struct ow_worker_command));
    struct ow_worker_command stop = {OW_WORKER_STOP, "run-7", 12, 5, 2.5};
    g_array_append_val(commands, stop);
    char *commands_text = wire_direct_commands_encode(9, 2, commands);
    struct wire_command_batch *batch = wire_worker_commands_decode(commands_text, strlen(commands_text));
    assert_true(batch->has_fencing_token && batch->fencing_token == 9 && batch->has_incarnation &&
                batch->incarnation == 2);
    const struct ow_worker_command *decoded = &g_array_index(batch->commands, struct ow_worker_command, 0);
    assert_int_equal(decoded->kind, OW_WORKER_STOP);
    assert_string_equal(decoded->job, "run-7");
    assert_true(decoded->task == 12 && decoded->attempt == 5 && decoded->grace_s == 2.5);
    wire_command_batch_free(batch);
    g_free(commands_text);
    char *redirect_text = wire_redirect_encode("two");
    char *name = wire_redirect_decode(redirect_text, strlen(redirect_text));
    assert_string_equal(name, "two");
    g_free(name);
    g_free(redirect_text);
    static const char unknown_command[] =
        "{\"crest\":1,\"calls\":[{\"call\":\"dance\",\"talon\":\"run-1/0\",\"dive\":1}]}";
    static const char *const malformed[] = {"", "[]", "{\"crest\":1}", "{\"crest\":1,\"calls\":[{}]}",
                                            unknown_command};
    for (guint i = 0; i < G_N_ELEMENTS(malformed); i++)
        assert_null(wire_worker_commands_decode(malformed[i], strlen(malformed[i])));
    g_array_free(commands, TRUE);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_heartbeat_is_due_after_interval_or_change),
        cmocka_unit_test(test_higher_fencing_token_advances_heartbeat_at_most_twice_per_lease),
        cmocka_unit_test(test_redirect_or_failure_selects_another_controller),
        cmocka_unit_test(test_encoded_heartbeat_is_decoded_by_controllers),
        cmocka_unit_test(test_messages_of_controllers_are_decoded_or_rejected),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
