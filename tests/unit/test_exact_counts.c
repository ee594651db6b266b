/* Counts, versions, tokens and attempts are exact up to 2^64 - 1, in every spelling, read and written. */
#include "check.h"
#include "model/store.h"
#include "model/worker.h"
#include "wire/json.h"
#include "wire/progress_json.h"
#include "wire/records_json.h"
#include "wire/store_json.h"
#include "wire/worker_json.h"

#include <glib.h>
#include <inttypes.h>
#include <string.h>

#define MAX_COUNT "18446744073709551615"

/* Counts at the bounds of doubles and of signed integers, and the largest one, each in some spellings. */
static const struct {
    uint64_t count;
    const char *spellings[4];
} counts[] = {
    {0, {"0", "-0", "0.000", "0e99999999999"}},
    {UINT64_C(9007199254740993), {"9007199254740993", "9007199254740993.0", "9.007199254740993e15"}},
    {UINT64_C(9223372036854775807), {"9223372036854775807", "9223372036854775807.0"}},
    {UINT64_C(9223372036854775808), {"9223372036854775808", "0.9223372036854775808e19"}},
    {UINT64_C(10000000000000000000), {"1e19", "10000000000000000000", "100000000000000000000000000.0e-7"}},
    {UINT64_MAX, {MAX_COUNT, MAX_COUNT ".0", "1.8446744073709551615e19", MAX_COUNT "000000e-6"}},
};

static void check_heartbeat_counts(const char *spelling, uint64_t count)
{
    g_autofree char *text = g_strdup_printf(
        "{\"perch\":\"n\",\"addr\":\"a:1\",\"breed\":\"g8\",\"range\":\"a\",\"windfall\":true,\"stint\":%s,"
        "\"chirp\":%s,\"crest\":%s,\"talons\":[{\"talon\":\"run-1/0\",\"dive\":%s,\"stance\":\"running\"}]}",
        spelling, spelling, spelling, spelling);
    g_autoptr(ow_heartbeat) heartbeat = wire_heartbeat_decode(text, strlen(text), NULL);
    assert_non_null(heartbeat);
    assert_true(heartbeat->incarnation == count && heartbeat->sequence == count &&
                heartbeat->fencing_token == count);
    assert_true(g_array_index(heartbeat->tasks, struct ow_task_status, 0).attempt == count);
    g_autofree char *encoded = wire_heartbeat_encode(heartbeat);
    g_autoptr(ow_heartbeat) again = wire_heartbeat_decode(encoded, strlen(encoded), NULL);
    assert_non_null(again);
    assert_true(again->incarnation == count && again->sequence == count && again->fencing_token == count);
}

static void check_command_counts(const char *spelling, uint64_t count)
{
    g_autofree char *text = g_strdup_printf(
        "{\"crest\":%s,\"stint\":%s,\"calls\":[{\"call\":\"clear\",\"talon\":\"run-1/0\",\"dive\":%s}]}",
        spelling, spelling, spelling);
    g_autoptr(wire_command_batch) batch = wire_worker_commands_decode(text, strlen(text));
    assert_non_null(batch);
    assert_true(batch->fencing_token == count && batch->incarnation == count);
    assert_true(g_array_index(batch->commands, struct ow_worker_command, 0).attempt == count);
    g_autofree char *encoded =
        wire_direct_commands_encode(batch->fencing_token, batch->incarnation, batch->commands);
    g_autofree char *expected =
        g_strdup_printf("{\"crest\":%" PRIu64 ",\"stint\":%" PRIu64
                        ",\"calls\":[{\"call\":\"clear\",\"talon\":\"run-1/0\",\"dive\":%" PRIu64 "}]}",
                        count, count, count);
    assert_string_equal(encoded, expected);
}

static void check_store_counts(const char *spelling, uint64_t count)
{
    g_autofree char *text = g_strdup_printf(
        "{\"pairs\":[{\"k\":\"a\",\"value\":{\"v\":%s},\"mark\":%s}],\"has_next\":false,\"tide\":%s}",
        spelling, spelling, spelling);
    struct ow_store_reply reply = {0};
    wire_store_reply_decode(OW_STORE_LIST, 200, text, strlen(text), &reply, NULL);
    assert_int_equal(reply.status, 200);
    const struct ow_store_item *item = &g_array_index(reply.items, struct ow_store_item, 0);
    uint64_t value = ~count;
    assert_true(wire_json_get_count(item->value, "v", &value) && value == count);
    assert_true(item->mod_revision == count && reply.revision == count);
    ow_store_reply_clear(&reply);
    g_autofree char *lease = g_strdup_printf("{\"tether\":%s}", spelling);
    wire_store_reply_decode(OW_STORE_GRANT_LEASE, 200, lease, strlen(lease), &reply, NULL);
    assert_true(reply.status == 200 && reply.lease == count);
    ow_store_reply_clear(&reply);
}

static void test_counts_are_exact_in_every_spelling(void **state)
{
    (void)state;
    for (size_t i = 0; i < G_N_ELEMENTS(counts); i++)
        for (size_t j = 0; j < G_N_ELEMENTS(counts[i].spellings) && counts[i].spellings[j] != NULL; j++) {
            check_heartbeat_counts(counts[i].spellings[j], counts[i].count);
            check_command_counts(counts[i].spellings[j], counts[i].count);
            check_store_counts(counts[i].spellings[j], counts[i].count);
        }
}

static void test_transactions_carry_exact_counts_and_values(void **state)
{
    (void)state;
    g_autoptr(ow_store_request) request = ow_store_request_new(OW_STORE_TXN, NULL);
    ow_store_request_compare(request, "a\"b", UINT64_MAX);
    ow_store_request_put(request, "c", g_strdup("{\"a\":" MAX_COUNT ",\"f\":4.0}"), UINT64_MAX);
    ow_store_request_put(request, "d", NULL, 0);
    struct wire_http_request http = wire_store_request_encode(request);
    assert_string_equal(http.body, "{\"if\":[{\"k\":\"a\\\"b\",\"mark\":" MAX_COUNT "}],\"apply\":["
                                   "{\"write\":\"c\",\"value\":{\"a\":" MAX_COUNT ",\"f\":4.0},"
                                   "\"tether\":" MAX_COUNT "},{\"drop\":\"d\"}]}");
    wire_http_request_clear(&http);
}

static void test_records_keep_exact_counts(void **state)
{
    (void)state;
    const char *text = "{\"e\":2,\"c\":" MAX_COUNT "}";
    json_t *value = wire_json_parse_object(text, strlen(text), &wire_json_any_fields);
    struct ow_job_record job;
    assert_true(wire_job_record_decode(value, &job));
    g_autofree char *encoded_job = wire_job_record_encode(&job);
    assert_string_equal(encoded_job, text);
    json_decref(value);
    text = "{\"a\":" MAX_COUNT ",\"d\":\"\",\"l\":{\"m-0 " MAX_COUNT "\":\"3@" MAX_COUNT "\"}}";
    value = wire_json_parse_object(text, strlen(text), &wire_json_any_fields);
    struct ow_progress_record progress;
    assert_true(wire_progress_record_decode(value, &progress));
    g_autofree char *encoded_progress = wire_progress_record_encode(&progress);
    assert_string_equal(encoded_progress, text);
    wire_progress_record_clear(&progress);
    json_decref(value);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_counts_are_exact_in_every_spelling),
        cmocka_unit_test(test_records_keep_exact_counts),
        cmocka_unit_test(test_transactions_carry_exact_counts_and_values),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
