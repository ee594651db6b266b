/* Records in the key-value store: encoding, decoding, size and order of revisions; interned names and the
 * rate limiter. */
#include "check.h"
#include "core/jobs/job.h"
#include "core/records/store_limits.h"
#include "util/interner.h"
#include "util/rate_limiter.h"
#include "wire/json.h"
#include "wire/progress_json.h"
#include "wire/records_json.h"
#include "sim_cluster.h"
#include "model/submission.h"

#include <string.h>

/* Bound for an encoded chunk of tasks, which must stay well below the size limit of a value. */
enum { VALUE_LIMIT_BYTES = 8 * 1024 };

static void add_attempt(GArray *attempts, uint32_t task, uint64_t attempt, const char *machine,
                        uint64_t incarnation)
{
    struct ow_attempt_record record = {task, attempt, machine, incarnation};
    g_array_append_val(attempts, record);
}

static void test_progress_record_survives_encoding(void **state)
{
    (void)state;
    struct ow_progress_record record = {9, g_array_new(FALSE, FALSE, sizeof(uint32_t)),
                                        g_array_new(FALSE, FALSE, sizeof(struct ow_attempt_record)), NULL};
    for (uint32_t task = 0; task < 40; task += task == 5 ? 10 : 1)
        g_array_append_val(record.done, task);
    add_attempt(record.attempts, 6, 9, "n-1", 1);
    add_attempt(record.attempts, 7, 9, "n-1", 1);
    add_attempt(record.attempts, 8, 4, "n-1", 1);
    add_attempt(record.attempts, 9, 9, "n-1", 2);
    add_attempt(record.attempts, 10, 9, "n-2", 1);
    char *text = wire_progress_record_encode(&record);
    assert_string_equal(
        text,
        "{\"a\":9,\"d\":\"0-5,15-39\",\"l\":{\"n-1 1\":\"6-7@9,8@4\",\"n-1 2\":\"9@9\",\"n-2 1\":\"10@9\"}}");
    json_t *value = wire_json_parse_object(text, strlen(text), &wire_json_any_fields);
    struct ow_progress_record decoded;
    assert_true(wire_progress_record_decode(value, &decoded));
    assert_true(decoded.last_attempt == 9 && decoded.done->len == record.done->len &&
                decoded.attempts->len == 5);
    for (guint i = 0; i < 5; i++) {
        const struct ow_attempt_record *expected =
            &g_array_index(record.attempts, struct ow_attempt_record, i);
        const struct ow_attempt_record *actual =
            &g_array_index(decoded.attempts, struct ow_attempt_record, i);
        assert_true(expected->task == actual->task && expected->attempt == actual->attempt &&
                    expected->incarnation == actual->incarnation);
        assert_string_equal(expected->machine, actual->machine);
    }
    json_decref(value);
    g_free(text);
    wire_progress_record_clear(&record);
    wire_progress_record_clear(&decoded);
}

static void test_largest_chunk_fits_a_value(void **state)
{
    (void)state;
    struct ow_progress_record record = {UINT64_C(1) << 40, g_array_new(FALSE, FALSE, sizeof(uint32_t)),
                                        g_array_new(FALSE, FALSE, sizeof(struct ow_attempt_record)), NULL};
    /* Every task runs on a different machine. */
    for (uint32_t task = 99000; task < 99000 + OW_CHUNK_MAX_TASKS; task++) {
        char name[16];
        g_snprintf(name, sizeof name, "n-%06u", task);
        add_attempt(record.attempts, task, 1000 + task % 7, g_intern_string(name), 1);
    }
    char *text = wire_progress_record_encode(&record);
    assert_true(strlen(text) < VALUE_LIMIT_BYTES);
    g_free(text);
    wire_progress_record_clear(&record);
}

static void test_job_record_survives_encoding(void **state)
{
    (void)state;
    struct ow_job_record done = {.state = OW_JOB_DONE};
    struct ow_job_record decoded;
    char *text = wire_job_record_encode(&done);
    json_t *value = wire_json_parse_object(text, strlen(text), &wire_json_any_fields);
    assert_true(wire_job_record_decode(value, &decoded));
    assert_true(decoded.state == OW_JOB_DONE && decoded.submission == NULL);
    json_decref(value);
    g_free(text);
    value = wire_json_parse_object("{\"e\":1}", 7, &wire_json_any_fields);
    assert_false(wire_job_record_decode(value, &decoded));
    json_decref(value);
}

static void test_older_record_is_ignored(void **state)
{
    (void)state;
    struct ow_interners names = {ow_interner_new(), ow_interner_new(), ow_interner_new(), ow_interner_new(),
                                 ow_type_sets_new()};
    struct ow_jobs *jobs = ow_jobs_new(&names);
    assert_non_null(ow_jobs_apply(jobs, "run-1", 5, OW_JOB_QUEUED, sim_job("run-1", 1, 1), 0, 0));
    assert_int_equal(ow_jobs_open(jobs)->len, 1);
    assert_non_null(ow_jobs_apply(jobs, "run-1", 9, OW_JOB_DONE, NULL, 0, 0));
    /* A list page with an older revision arrives late: the job must stay ended. */
    assert_null(ow_jobs_apply(jobs, "run-1", 5, OW_JOB_QUEUED, sim_job("run-1", 1, 1), 0, 0));
    assert_int_equal(ow_jobs_find(jobs, "run-1")->state, OW_JOB_DONE);
    assert_int_equal(ow_jobs_open(jobs)->len, 0);
    ow_jobs_free(jobs);
    ow_interner_free(names.classes);
    ow_interner_free(names.teams);
    ow_interner_free(names.images);
    ow_interner_free(names.zones);
    ow_type_sets_free(names.types);
}

static void test_interned_names_keep_their_index(void **state)
{
    (void)state;
    struct ow_interner *names = ow_interner_new();
    assert_int_equal(ow_interner_intern(names, "a"), 0);
    assert_int_equal(ow_interner_intern(names, "b"), 1);
    assert_int_equal(ow_interner_intern(names, "a"), 0);
    assert_int_equal(ow_interner_find(names, "c"), OW_NO_NAME);
    assert_string_equal(ow_interner_text(names, 1), "b");
    ow_interner_free(names);
}

static void test_rate_limiter_allows_its_rate_and_burst(void **state)
{
    (void)state;
    struct ow_rate_limiter limiter;
    ow_rate_limiter_init(&limiter, 2, 4, 100);
    assert_true(ow_rate_limiter_take(&limiter, 4, 100));
    assert_false(ow_rate_limiter_take(&limiter, 1, 100.4));
    assert_true(ow_rate_limiter_take(&limiter, 1, 100.5));
    assert_true(ow_rate_limiter_level(&limiter, 200) == 4);
    ow_rate_limiter_spend(&limiter, 6, 200);
    assert_false(ow_rate_limiter_take(&limiter, 1, 201));
    ow_rate_limiter_empty(&limiter, 300);
    assert_true(ow_rate_limiter_level(&limiter, 300) == 0);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_progress_record_survives_encoding),
        cmocka_unit_test(test_largest_chunk_fits_a_value),
        cmocka_unit_test(test_job_record_survives_encoding),
        cmocka_unit_test(test_older_record_is_ignored),
        cmocka_unit_test(test_interned_names_keep_their_index),
        cmocka_unit_test(test_rate_limiter_allows_its_rate_and_burst),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
