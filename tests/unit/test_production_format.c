/* Compatibility with records and messages of the production version, whose code wrote the files in
 * fixtures/production. */
#include "check.h"
#include "sim_cluster.h"

#include "model/peer.h"
#include "model/records.h"
#include "model/submission.h"
#include "wire/json.h"
#include "wire/peer_xdr.h"
#include "wire/progress_json.h"
#include "wire/records_json.h"

static char *read_fixture(const char *name)
{
    char *path = g_strconcat("tests/fixtures/production/", name, NULL);
    char *text = NULL;
    if (!g_file_get_contents(path, &text, NULL, NULL))
        fail_msg("cannot read %s", path);
    g_free(path);
    return text;
}

static json_t *read_fixture_json(const char *name)
{
    char *text = read_fixture(name);
    json_t *value = wire_json_parse_object(text, strlen(text), &wire_json_any_fields);
    g_free(text);
    assert_non_null(value);
    return value;
}

static void test_production_records_are_decoded(void **state)
{
    (void)state;
    struct ow_job_record record;
    json_t *value = read_fixture_json("job-queued.json");
    assert_true(wire_job_record_decode(value, &record));
    assert_true(record.state == OW_JOB_QUEUED && record.accepted_at == 1700001000 &&
                record.submission->tasks == 300);
    ow_submission_free(record.submission);
    json_decref(value);
    value = read_fixture_json("job-cancelled.json");
    assert_true(wire_job_record_decode(value, &record));
    assert_true(record.state == OW_JOB_CANCELLED && record.leader_fencing_token == 42 &&
                ow_submission_is_gang(record.submission));
    ow_submission_free(record.submission);
    json_decref(value);
    value = read_fixture_json("job-ended.json");
    assert_true(wire_job_record_decode(value, &record));
    assert_true(record.state == OW_JOB_CANCELLED && record.submission == NULL);
    json_decref(value);
    value = read_fixture_json("job-done.json");
    assert_true(wire_job_record_decode(value, &record));
    assert_true(record.state == OW_JOB_DONE && record.submission == NULL);
    json_decref(value);
    const char *controller = NULL;
    const char *nonce = NULL;
    value = read_fixture_json("coordinator.json");
    wire_leader_record_decode(value, &controller, &nonce);
    assert_string_equal(controller, "node-0");
    assert_string_equal(nonce, "0123456789abcdef");
    json_decref(value);
}

static struct ow_peer_message *read_fixture_message(const char *name)
{
    char *text = read_fixture(name);
    GByteArray *bytes = g_byte_array_new();
    for (const char *digits = text; *digits != '\0'; digits++) {
        if (!g_ascii_isxdigit(digits[0]))
            continue;
        guint8 byte = (guint8)(g_ascii_xdigit_value(digits[0]) * 16 + g_ascii_xdigit_value(digits[1]));
        g_byte_array_append(bytes, &byte, 1);
        digits++;
    }
    struct ow_peer_message *message = NULL;
    assert_true(wire_peer_decode((const char *)bytes->data + 4, bytes->len - 4, &message));
    assert_non_null(message);
    assert_int_equal(message->version, OW_FORMAT_FIRST);
    g_byte_array_free(bytes, TRUE);
    g_free(text);
    return message;
}

static void test_production_messages_are_decoded(void **state)
{
    (void)state;
    struct ow_peer_message *message = read_fixture_message("peer-hello.hex");
    assert_true(message->kind == OW_PEER_HELLO && message->fencing_token == 77 && message->hello.leads &&
                message->hello.store_ok && !message->hello.receives_heartbeats);
    assert_string_equal(message->sender, "node-1");
    ow_peer_message_free(message);
    message = read_fixture_message("peer-summary.hex");
    assert_true(message->kind == OW_PEER_SUMMARY && message->summary.jobs->len == 1);
    assert_string_equal(g_array_index(message->summary.jobs, struct ow_peer_job, 0).reason, "because");
    ow_peer_message_free(message);
    message = read_fixture_message("peer-nudge.hex");
    assert_true(message->kind == OW_PEER_JOB_CHANGED && message->job_change.revision == 77);
    ow_peer_message_free(message);
    message = read_fixture_message("peer-machines.hex");
    assert_true(message->kind == OW_PEER_MACHINES && message->machine_list.machines->len == 1);
    assert_string_equal(g_array_index(message->machine_list.machines, struct ow_peer_machine, 0).addr,
                        "m-0:9000");
    ow_peer_message_free(message);
    message = read_fixture_message("peer-cancellation.hex");
    assert_true(message->kind == OW_PEER_CANCELLATION && message->fencing_token == 77 &&
                message->cancellation.revision == 99);
    assert_string_equal(message->cancellation.job, "run-2");
    ow_peer_message_free(message);
    message = read_fixture_message("peer-taken.hex");
    assert_true(message->kind == OW_PEER_CANCELLATION_ACK && message->fencing_token == 77 &&
                message->cancellation.revision == 99);
    ow_peer_message_free(message);
}

/* While a controller of the production version may be running, records are written byte for byte as it writes
 * them. */
static void test_records_are_encoded_byte_for_byte_as_in_production(void **state)
{
    (void)state;
    char *text = read_fixture("progress.json");
    json_t *record_value = read_fixture_json("progress.json");
    GString *encoded = g_string_new(NULL);
    const char *name;
    json_t *value;
    json_object_foreach(record_value, name, value)
    {
        struct ow_progress_record record;
        uint32_t chunk = 0;
        uint32_t tasks = 0;
        char *job = wire_progress_name_decode(name, &chunk, &tasks);
        assert_int_equal(tasks, OW_CHUNK_MAX_TASKS);
        assert_true(wire_progress_record_decode(value, &record));
        char *record_text = wire_progress_record_encode(&record);
        wire_progress_value_add(encoded, job, chunk, tasks, record_text);
        wire_progress_record_clear(&record);
        g_free(record_text);
        g_free(job);
    }
    wire_progress_value_end(encoded);
    g_strchomp(text);
    assert_string_equal(encoded->str, text);
    g_string_free(encoded, TRUE);
    json_decref(record_value);
    g_free(text);
    struct ow_job_record record;
    const char *const jobs[] = {"job-queued.json", "job-cancelled.json", "job-ended.json", "job-done.json"};
    for (int i = 0; i < 4; i++) {
        value = read_fixture_json(jobs[i]);
        assert_true(wire_job_record_decode(value, &record));
        char *encoded_record = wire_job_record_encode(&record);
        char *production_record = g_strchomp(read_fixture(jobs[i]));
        assert_string_equal(encoded_record, production_record);
        ow_submission_free(record.submission);
        json_decref(value);
        g_free(encoded_record);
        g_free(production_record);
    }
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_production_records_are_decoded),
        cmocka_unit_test(test_production_messages_are_decoded),
        cmocka_unit_test(test_records_are_encoded_byte_for_byte_as_in_production),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
