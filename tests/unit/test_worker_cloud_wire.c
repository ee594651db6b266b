/* Messages to and from workers and the cloud: valid ones are parsed completely, invalid ones are rejected. */
#include "check.h"
#include "model/cloud.h"
#include "model/http_status.h"
#include "model/worker.h"
#include "wire/cloud_json.h"
#include "wire/worker_json.h"

#include <string.h>

static const char heartbeat[] =
    "{\"perch\":\"n-1\",\"addr\":\"10.1.0.2:9000\",\"breed\":\"g8\",\"range\":\"a\",\"windfall\":true,"
    "\"stint\":1,\"chirp\":88,\"crest\":41,\"warning_s\":7.5,"
    "\"talons\":[{\"talon\":\"run-000412/3\",\"dive\":2,\"stance\":\"flushing\"},"
    "{\"talon\":\"run-000398/0\",\"dive\":1,\"stance\":\"exited\",\"cause\":\"halted\",\"saved\":true}]}";

static void test_heartbeat_is_parsed_completely_or_not_at_all(void **state)
{
    (void)state;
    struct ow_heartbeat *parsed = wire_heartbeat_decode(heartbeat, strlen(heartbeat), NULL);
    assert_non_null(parsed);
    assert_true(parsed->incarnation == 1 && parsed->sequence == 88 && parsed->fencing_token == 41 &&
                parsed->reclaim_notice_s == 7.5 && parsed->tasks->len == 2);
    const struct ow_task_status *task = &g_array_index(parsed->tasks, struct ow_task_status, 1);
    assert_true(task->task == 0 && task->phase == OW_PHASE_EXITED && task->cause == OW_CAUSE_STOPPED &&
                task->saved);
    ow_heartbeat_free(parsed);
    /* One malformed task invalidates the whole heartbeat: if it were left out, it would look ended. */
    char **parts = g_strsplit(heartbeat, "run-000398/0", 2);
    char *text = g_strjoinv("run-000398", parts);
    assert_null(wire_heartbeat_decode(text, strlen(text), NULL));
    g_free(text);
    g_strfreev(parts);
}

static void test_direct_commands_are_encoded_byte_for_byte(void **state)
{
    (void)state;
    GArray *commands = g_array_new(FALSE, TRUE, sizeof(struct ow_worker_command));
    struct ow_worker_command command = {
        .kind = OW_WORKER_STOP, .job = "run-7", .task = 1, .attempt = 3, .grace_s = 2};
    g_array_append_val(commands, command);
    char *text = wire_direct_commands_encode(41, 2, commands);
    assert_string_equal(
        text, "{\"crest\":41,\"stint\":2,\"calls\":[{\"call\":\"stop\",\"talon\":\"run-7/1\",\"dive\":3,"
              "\"glide_s\":2.0}]}");
    g_free(text);
    g_array_free(commands, TRUE);
}

static void test_cloud_lists_are_parsed_or_rejected(void **state)
{
    (void)state;
    const char list[] =
        "{\"perches\":[{\"ref\":\"n-7\",\"addr\":\"10.1.0.2:9000\",\"breed\":\"g8\",\"range\":\"a\","
        "\"windfall\":true,\"stance\":\"running\",\"age_s\":61.5},{\"ref\":\"n-8\"}],\"has_next\":true}";
    struct ow_cloud_reply reply = {0};
    wire_cloud_reply_decode(OW_CLOUD_LIST, OW_HTTP_STATUS_OK, list, strlen(list), &reply, NULL);
    assert_non_null(reply.listed);
    assert_true(reply.has_more && reply.listed->len == 1);
    assert_true(g_array_index(reply.listed, struct ow_listed_machine, 0).state == OW_LISTED_RUNNING);
    ow_cloud_reply_clear(&reply);
    wire_cloud_reply_decode(OW_CLOUD_LIST, OW_HTTP_STATUS_OK, "{}", 2, &reply, NULL);
    assert_null(reply.listed);
    wire_cloud_reply_decode(OW_CLOUD_TYPES, OW_HTTP_STATUS_OK, "[]", 2, &reply, NULL);
    assert_null(reply.types);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_heartbeat_is_parsed_completely_or_not_at_all),
        cmocka_unit_test(test_direct_commands_are_encoded_byte_for_byte),
        cmocka_unit_test(test_cloud_lists_are_parsed_or_rejected),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
