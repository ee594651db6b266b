/* Submissions of users: valid ones are parsed, invalid ones are rejected and the field is named. */
#include "check.h"
#include "model/submission.h"
#include "wire/submission_json.h"

#include <string.h>

#define JOB                                                                                                  \
    "{\"ref\":\"run-000412\",\"flock\":\"train\",\"roost\":\"vision\",\"shape\":\"ensemble\",\"rank\":"      \
    "\"urgent\","                                                                                            \
    "\"talons\":16,\"cores\":8.0,\"gpus\":1,\"ram_gb\":64.0,\"plumage\":\"img-07\",\"image_gb\":6.2,"        \
    "\"breeds\":[\"g8\"],"                                                                                   \
    "\"range\":null,\"same_place\":true,\"scatter\":false,\"windfall\":true,\"flight_s\":240.0,\"molt_s\":"  \
    "30.0,"                                                                                                  \
    "\"preen_s\":4.0,\"dusk_s\":900.0,\"later_field\":{}}"

static struct ow_submission *parse_job(const char *text)
{
    g_autoptr(GError) error = NULL;
    char id[OW_ID_MAX + 1];
    struct ow_submission *submission = wire_submission_decode(text, strlen(text), id, &error);
    assert_true((submission == NULL) == (error != NULL));
    assert_true(submission == NULL || strcmp(id, submission->id) == 0);
    return submission;
}

static void test_submission_survives_encoding(void **state)
{
    (void)state;
    g_autoptr(GError) error = NULL;
    struct ow_submission *submission = parse_job(JOB);
    assert_non_null(submission);
    json_t *stored = wire_submission_to_json(submission);
    struct ow_submission *decoded = wire_submission_from_json(stored, &error);
    assert_non_null(decoded);
    assert_null(error);
    assert_true(ow_submission_is_gang(decoded) && decoded->tasks == 16 && decoded->rank == OW_RANK_URGENT &&
                decoded->zone == NULL);
    assert_true(decoded->need.gpus == 1 && decoded->one_zone && decoded->spot && decoded->deadline_s == 900);
    assert_string_equal(decoded->types[0], "g8");
    json_decref(stored);
    ow_submission_free(decoded);
    ow_submission_free(submission);
}

/* A deadline that is null or absent means no deadline; 0 is accepted, as a deadline that cannot be met. */
static void test_deadline_is_optional(void **state)
{
    (void)state;
    static const char *const fields[] = {"\"dusk_s\":null,", "", "\"dusk_s\":0,"};
    for (size_t i = 0; i < G_N_ELEMENTS(fields); i++) {
        char **parts = g_strsplit(JOB, "\"dusk_s\":900.0,", 2);
        char *text = g_strconcat(parts[0], fields[i], parts[1], NULL);
        struct ow_submission *submission = parse_job(text);
        assert_non_null(submission);
        assert_true(submission->deadline_s == 0);
        ow_submission_free(submission);
        g_free(text);
        g_strfreev(parts);
    }
}

static void test_invalid_deadline_is_named_in_the_error(void **state)
{
    (void)state;
    static const char *const values[] = {"-0.5", "true", "\"soon\"", "1e10"};
    for (size_t i = 0; i < G_N_ELEMENTS(values); i++) {
        char **parts = g_strsplit(JOB, "\"dusk_s\":900.0", 2);
        char *text = g_strconcat(parts[0], "\"dusk_s\":", values[i], parts[1], NULL);
        g_autoptr(GError) error = NULL;
        char id[OW_ID_MAX + 1];
        assert_null(wire_submission_decode(text, strlen(text), id, &error));
        assert_true(g_str_has_prefix(error->message, "dusk_s"));
        g_free(text);
        g_strfreev(parts);
    }
}

/* A change to JOB that makes one field invalid, and the error that the user receives. */
struct invalid_field {
    const char *from;
    const char *to;
    const char *error;
    enum wire_submission_error code;
};

static const struct invalid_field invalid_fields[] = {
    {"{", "[{", "not a JSON object", WIRE_SUBMISSION_ERROR_NOT_AN_OBJECT},
    {"\"run-000412\"", "412", "ref: not the id of a job", WIRE_SUBMISSION_ERROR_FIELD},
    {"\"train\"", "\"\"", "flock: missing or not a name", WIRE_SUBMISSION_ERROR_FIELD},
    {"\"vision\"", "1", "roost: missing or not a name", WIRE_SUBMISSION_ERROR_FIELD},
    {"\"ensemble\"", "\"duet\"", "shape: missing or unknown", WIRE_SUBMISSION_ERROR_FIELD},
    {"\"urgent\"", "\"soon\"", "rank: missing or unknown", WIRE_SUBMISSION_ERROR_FIELD},
    {"\"talons\":16", "\"talons\":0", "talons: missing or not from 1 to 100000", WIRE_SUBMISSION_ERROR_FIELD},
    {"\"cores\":8.0", "\"cores\":-1", "cores: missing or out of range", WIRE_SUBMISSION_ERROR_FIELD},
    {"\"gpus\":1", "\"gpus\":1e10", "gpus: missing or out of range", WIRE_SUBMISSION_ERROR_FIELD},
    {"\"ram_gb\":64.0", "\"ram_gb\":null", "ram_gb: missing or out of range", WIRE_SUBMISSION_ERROR_FIELD},
    {"\"img-07\"", "null", "plumage: missing or not a name", WIRE_SUBMISSION_ERROR_FIELD},
    {"\"image_gb\":6.2", "\"image_gb\":\"6\"", "image_gb: missing or out of range",
     WIRE_SUBMISSION_ERROR_FIELD},
    {"[\"g8\"]", "[8]", "breeds: not a list of names", WIRE_SUBMISSION_ERROR_FIELD},
    {"[\"g8\"]", "[\"\"]", "breeds: not a list of names", WIRE_SUBMISSION_ERROR_FIELD},
    {"\"range\":null", "\"range\":7", "range: not a name", WIRE_SUBMISSION_ERROR_FIELD},
    {"\"same_place\":true", "\"same_place\":1", "same_place: missing or not true or false",
     WIRE_SUBMISSION_ERROR_FIELD},
    {"\"scatter\":false,", "", "scatter: missing or not true or false", WIRE_SUBMISSION_ERROR_FIELD},
    {"\"windfall\":true", "\"windfall\":null", "windfall: missing or not true or false",
     WIRE_SUBMISSION_ERROR_FIELD},
    {"\"flight_s\":240.0", "\"flight_s\":-1", "flight_s: missing or out of range",
     WIRE_SUBMISSION_ERROR_FIELD},
    {"\"molt_s\":30.0", "\"molt_s\":-1", "molt_s: missing or out of range", WIRE_SUBMISSION_ERROR_FIELD},
    {"\"preen_s\":4.0", "\"preen_s\":-1", "preen_s: missing or out of range", WIRE_SUBMISSION_ERROR_FIELD},
    {"\"dusk_s\":900.0", "\"dusk_s\":-1", "dusk_s: out of range", WIRE_SUBMISSION_ERROR_FIELD},
    {"\"flight_s\":240.0", "\"flight_s\":0", "flight_s: must be above 0", WIRE_SUBMISSION_ERROR_ESTIMATE},
    {"\"ensemble\"", "\"standing\"", "flight_s: must be 0 for a service", WIRE_SUBMISSION_ERROR_ESTIMATE},
    /* Of two invalid fields the first one in the order of the protocol is named. */
    {"\"urgent\",\"talons\":16", "\"soon\",\"talons\":0", "rank: missing or unknown",
     WIRE_SUBMISSION_ERROR_FIELD},
};

static void test_each_invalid_field_is_named_in_the_error(void **state)
{
    (void)state;
    for (size_t i = 0; i < G_N_ELEMENTS(invalid_fields); i++) {
        g_auto(GStrv) parts = g_strsplit(JOB, invalid_fields[i].from, 2);
        g_autofree char *text = g_strjoinv(invalid_fields[i].to, parts);
        g_autoptr(GError) error = NULL;
        char id[OW_ID_MAX + 1];
        assert_string_not_equal(text, JOB);
        assert_null(wire_submission_decode(text, strlen(text), id, &error));
        assert_string_equal(error->message, invalid_fields[i].error);
        assert_true(g_error_matches(error, WIRE_SUBMISSION_ERROR, (int)invalid_fields[i].code));
    }
}

struct replacement {
    const char *from, *to;
};

static const struct replacement invalid_submissions[] = {
    {"\"run-000412\"", "\"job-000412\""},
    {"\"run-000412\"", "\"run-\""},
    {"\"run-000412\"", "\"run-1/2\""},
    {"\"run-000412\"", "412"},
    {"\"talons\":16", "\"talons\":0"},
    {"\"talons\":16", "\"talons\":100001"},
    {"\"talons\":16", "\"talons\":1.5"},
    {"\"talons\":16", "\"talons\":99999999999999999999"},
    {"\"talons\":16,", ""},
    {"\"ensemble\"", "\"duet\""},
    {"\"urgent\"", "\"soon\""},
    {"\"cores\":8.0", "\"cores\":-1"},
    {"\"cores\":8.0", "\"cores\":\"8\""},
    {"\"cores\":8.0", "\"cores\":1e300"},
    {"\"cores\":8.0", "\"cores\":1e999"},
    {"\"train\"", "\"\""},
    {"\"train\"", "null"},
    {"[\"g8\"]", "[8]"},
    {"[\"g8\"]", "\"g8\""},
    {"\"range\":null", "\"range\":7"},
    {"\"same_place\":true", "\"same_place\":1"},
    {"\"preen_s\":4.0,", ""},
    {"\"flight_s\":240.0", "\"flight_s\":0"},
    {"\"flight_s\":240.0,", ""},
    {"\"ensemble\"", "\"standing\""}, /* a service must not have a run time */
    {"\"molt_s\":30.0,", ""},
    {"\"dusk_s\":900.0", "\"dusk_s\":-1"},
    {"\"dusk_s\":900.0", "\"dusk_s\":\"900\""},
    {"\"dusk_s\":900.0", "\"dusk_s\":1e10"},
    {"\"image_gb\":6.2,", ""},
    {"\"plumage\":\"img-07\",", ""},
    {"\"windfall\":true,", ""},
    {"\"scatter\":false,", ""},
    {"\"rank\":\"urgent\",", ""},
    {"\"ram_gb\":64.0,", ""},
    {"\"gpus\":1,", ""},
    {"{\"ref\"", "[{\"ref\""},
    {"\"later_field\":{}}", "\"later_field\":{}"},
};

static void test_invalid_submissions_are_rejected(void **state)
{
    (void)state;
    for (size_t i = 0; i < G_N_ELEMENTS(invalid_submissions); i++) {
        char **parts = g_strsplit(JOB, invalid_submissions[i].from, 2);
        assert_int_equal(g_strv_length(parts), 2);
        char *text = g_strjoinv(invalid_submissions[i].to, parts);
        if (parse_job(text) != NULL)
            fail_msg("accepted: %s", text);
        g_free(text);
        g_strfreev(parts);
    }
    assert_null(parse_job(""));
    assert_null(parse_job("null"));
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_submission_survives_encoding),
        cmocka_unit_test(test_deadline_is_optional),
        cmocka_unit_test(test_invalid_deadline_is_named_in_the_error),
        cmocka_unit_test(test_each_invalid_field_is_named_in_the_error),
        cmocka_unit_test(test_invalid_submissions_are_rejected),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
