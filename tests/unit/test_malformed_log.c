/* A message that can't be read leaves a line that tells why, at a bounded rate. */
#include "check.h"
#include "io/malformed_log.h"
#include "log_capture.h"
#include "wire/json_reader.h"
#include "wire/submission_json.h"
#include "wire/worker_json.h"

#include <glib.h>
#include <string.h>

static int setup(void **state)
{
    log_capture_clear();
    *state = ow_malformed_log_new(0);
    return 0;
}

static int teardown(void **state)
{
    ow_malformed_log_free(*state);
    return 0;
}

static void note(struct ow_malformed_log *log, enum ow_message_interface interface, double now)
{
    const struct ow_malformed_message message = {
        .interface = interface,
        .endpoint = "127.0.0.1:9",
        .bytes = 468,
        .reason = "byte 7: why",
    };
    ow_malformed_log_note(log, &message, now);
}

static void test_line_tells_interface_sender_size_and_reason(void **state)
{
    note(*state, OW_INTERFACE_USER, 0);
    note(*state, OW_INTERFACE_CLOUD, 0);
    assert_string_equal(log_capture_lines(),
                        "info malformed request refused: interface=user endpoint=127.0.0.1:9 "
                        "bytes=468 unlogged=0 reason=\"byte 7: why\"\n"
                        "warning message can't be read: interface=cloud endpoint=127.0.0.1:9 "
                        "bytes=468 unlogged=0 reason=\"byte 7: why\"\n");
}

static void test_flood_on_one_interface_is_counted_and_hides_no_other(void **state)
{
    enum { MESSAGES = 10000, LINES_MAX = 20 };
    for (int i = 0; i < MESSAGES; i++)
        note(*state, OW_INTERFACE_USER, i * 0.001);
    assert_in_range(log_capture_count("interface=user"), 1, LINES_MAX);
    note(*state, OW_INTERFACE_STORE, 10);
    assert_int_equal(log_capture_count("interface=store"), 1);
    ow_malformed_log_flush(*state);
    assert_int_equal(log_capture_count("malformed messages: user=10000 worker=0 cloud=0 store=1"), 1);
    ow_malformed_log_flush(*state);
    assert_int_equal(log_capture_count("malformed messages"), 1);
}

static void test_errors_tell_the_position_and_the_text_near_it(void **state)
{
    (void)state;
    static const char *const cases[][2] = {
        {"{\"ref\":\"run-1\",\"x\":01}", "byte 20: "},
        {"{\"x\":\"\xff\"}", "byte 6: not UTF-8, near {\\\"x\\\":\\\"\\377"},
        {"{\"ref\":1,\"ref\":2}", "a field is repeated"},
        {"{} {}", "near {} {}"},
        {"[]", "not an object"},
        {"", "byte 0: "},
        {"{\"x\":[", "byte 6: the text ends before its object does"},
        {"{\"x\":1\n\"forged line", "\\n"},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        g_autoptr(GError) error = NULL;
        const char *text = cases[i][0];
        assert_null(wire_json_read_object(text, strlen(text), &wire_submission_fields, &error));
        if (strstr(error->message, cases[i][1]) == NULL || strchr(error->message, '\n') != NULL)
            fail_msg("%s: %s", text, error->message);
    }
}

static void test_heartbeat_error_names_the_field(void **state)
{
    (void)state;
    g_autoptr(GError) error = NULL;
    const char *text = "{\"stint\":1,\"chirp\":-1}";
    assert_null(wire_heartbeat_decode(text, strlen(text), &error));
    assert_string_equal(error->message, "chirp: missing or invalid");
}

int main(void)
{
    log_capture_start();
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(test_line_tells_interface_sender_size_and_reason, setup, teardown),
        cmocka_unit_test_setup_teardown(test_flood_on_one_interface_is_counted_and_hides_no_other, setup,
                                        teardown),
        cmocka_unit_test(test_errors_tell_the_position_and_the_text_near_it),
        cmocka_unit_test(test_heartbeat_error_names_the_field),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
