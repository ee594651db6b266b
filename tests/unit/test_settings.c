/* The settings file and the operators' file: values, defaults, and errors that name the invalid entry. */
#include "check.h"
#include "config/config_error.h"
#include "config/operators_file.h"
#include "config/settings_file.h"

#include <glib/gstdio.h>
#include <string.h>
#include <unistd.h>

static const char valid_settings[] =
    "host_name = \"n-0\"\narea = \"a\"\nfront = \"10.0.0.1:8080\"\n"
    "peer_listen = \"10.0.0.1:8081\"\nnew_field = 3\n"
    "[[others]]\nhost_name = \"n-1\"\narea = \"b\"\nendpoint = \"10.0.0.2:8081\"\n"
    "[services]\ncloud = \"10.2.0.2:8443\"\nstate = \"10.2.0.1:2379\"\n"
    "[params]\nsize = 2\nzones = [\"a\", \"b\"]\ntime_bound_ms = 250.0\n"
    "[[params.teams]]\nname = \"ops\"\ncpus = 0.0\ncpus_max = 4\ngpus = 0.0\ngpus_max = 0.0\n"
    "[[params.objectives]]\nkind = \"wait\"\nclass = \"c\"\nwithin_s = 25\nshare = 0.8\n"
    "[[params.objectives]]\nkind = \"novel\"\nclass = \"c\"\n"
    "[params.workers]\nreport_s = 3.0\nlease_s = 20.0\ngang_wait_s = 35.0\ngang_peer_s = 4.0\n"
    "cancel_s = 40.0\n[params.state]\nrps = 80.0\nwrite_rps = 15.0\nvalue_kb = 8.0\ntxn_ops = 8\n"
    "[params.cloud]\nrps = 3.0\nlist_lag_s = 10.0\n"
    "[params.quota]\ncore_share = 0.1\nmemory_mb = 56.0\nsockets = 800\n";

static char *write_file(const char *text)
{
    char *path = NULL;
    int fd = g_file_open_tmp("ow-XXXXXX", &path, NULL);
    assert_true(fd >= 0);
    assert_int_equal(write(fd, text, strlen(text)), strlen(text));
    close(fd);
    return path;
}

static struct ow_settings *load(const char *text, GError **error)
{
    char *path = write_file(text);
    struct ow_settings *settings = ow_settings_load(path, error);
    g_unlink(path);
    g_free(path);
    return settings;
}

static void test_complete_settings_are_loaded(void **state)
{
    (void)state;
    GError *error = NULL;
    struct ow_settings *settings = load(valid_settings, &error);
    assert_null(error);
    assert_non_null(settings);
    assert_string_equal(settings->controller_name, "n-0");
    assert_int_equal(settings->peers->len, 1);
    assert_int_equal(settings->slos->len, 1); /* the objective of an unknown kind is ignored */
    assert_true(g_array_index(settings->teams, struct ow_team_settings, 0).cpus_max == 4);
    assert_int_equal(settings->txn_ops, 8);
    ow_settings_free(settings);
}

struct invalid_case {
    const char *from, *to, *expected_text;
    enum ow_config_error code;
};

/* Fails the test unless the error has the expected code and names the entry; frees the error. */
static void expect_error(GError *error, const struct invalid_case *invalid_case)
{
    if (!g_error_matches(error, OW_CONFIG_ERROR, (gint)invalid_case->code) ||
        strstr(error->message, invalid_case->expected_text) == NULL)
        fail_msg("expected \"%s\" (%d), got \"%s\" (%d)", invalid_case->expected_text,
                 (int)invalid_case->code, error->message, error->code);
    g_error_free(error);
}

static const struct invalid_case invalid_settings[] = {
    {"host_name = \"n-0\"", "", "host_name: is missing", OW_CONFIG_ERROR_MISSING_FIELD},
    {"host_name = \"n-0\"", "host_name = 4", "host_name: is not a string", OW_CONFIG_ERROR_MALFORMED_VALUE},
    {"front = \"10.0.0.1:8080\"", "front = \"nowhere\"", "front: is not ADDRESS:PORT",
     OW_CONFIG_ERROR_MALFORMED_VALUE},
    {"endpoint = \"10.0.0.2:8081\"", "", "others[0].endpoint: is missing", OW_CONFIG_ERROR_MISSING_FIELD},
    {"lease_s = 20.0", "", "params.workers.lease_s: is missing", OW_CONFIG_ERROR_MISSING_FIELD},
    {"lease_s = 20.0", "lease_s = \"x\"", "params.workers.lease_s: is not a number",
     OW_CONFIG_ERROR_MALFORMED_VALUE},
    {"lease_s = 20.0", "lease_s = -1.0", "params.workers.lease_s: is out of range",
     OW_CONFIG_ERROR_OUT_OF_RANGE},
    {"txn_ops = 8", "txn_ops = 0", "params.state.txn_ops: is out of range", OW_CONFIG_ERROR_OUT_OF_RANGE},
    {"cpus_max = 4", "cpus_max = -4", "params.teams[0].cpus_max: is out of range",
     OW_CONFIG_ERROR_OUT_OF_RANGE},
    {"zones = [\"a\", \"b\"]", "zones = []", "params.zones: is missing or empty",
     OW_CONFIG_ERROR_MISSING_FIELD},
    {"[services]", "[services", "(line", OW_CONFIG_ERROR_SYNTAX},
};

static void test_invalid_settings_are_rejected_with_the_entry_name(void **state)
{
    (void)state;
    for (size_t i = 0; i < G_N_ELEMENTS(invalid_settings); i++) {
        char **parts = g_strsplit(valid_settings, invalid_settings[i].from, 2);
        char *text = g_strjoinv(invalid_settings[i].to, parts);
        GError *error = NULL;
        assert_null(load(text, &error));
        expect_error(error, &invalid_settings[i]);
        g_free(text);
        g_strfreev(parts);
    }
}

static bool load_operators(const char *text, struct ow_tuning *tuning, GError **error)
{
    char *path = write_file(text);
    struct ow_sharding_settings *sharding = ow_sharding_settings_new();
    bool ok = ow_operators_load(path, tuning, sharding, error);
    ow_sharding_settings_free(sharding);
    g_unlink(path);
    g_free(path);
    return ok;
}

static void test_operators_file_overrides_defaults(void **state)
{
    (void)state;
    GError *error = NULL;
    struct ow_tuning tuning = ow_tuning_default();
    assert_true(load_operators("<ospreywell>\n<reservation window_s='2.5' candidates='4'/></ospreywell>",
                               &tuning, &error));
    assert_null(error);
    assert_true(tuning.window_s == 2.5 && tuning.candidates == 4 && tuning.hold_life_s == 10);
}

static const struct invalid_case invalid_operators_files[] = {
    {"<ospreywell>\n<reservation window_s='9'/></ospreywell>", NULL,
     "line 2: window_s: must be a number from 0 to 5", OW_CONFIG_ERROR_OUT_OF_RANGE},
    {"<ospreywell>\n\n<reservation candidates='1.5'/></ospreywell>", NULL,
     "line 3: candidates: must be a whole number", OW_CONFIG_ERROR_OUT_OF_RANGE},
    {"<ospreywell><election lease_s='soon'/></ospreywell>", NULL, "line 1: lease_s: is not a number",
     OW_CONFIG_ERROR_MALFORMED_VALUE},
    {"<other/>", NULL, "line 1: other: the root element must be ospreywell", OW_CONFIG_ERROR_SYNTAX},
    {"<ospreywell>", NULL, "line 1: no element found", OW_CONFIG_ERROR_SYNTAX},
    {"<!DOCTYPE x [<!ENTITY a 'b'>]><ospreywell/>", NULL, "document type declarations are not allowed",
     OW_CONFIG_ERROR_SYNTAX},
};

static void test_invalid_operators_file_is_rejected_with_line_and_name(void **state)
{
    (void)state;
    for (size_t i = 0; i < G_N_ELEMENTS(invalid_operators_files); i++) {
        GError *error = NULL;
        struct ow_tuning tuning = ow_tuning_default();
        struct ow_tuning before = tuning;
        assert_false(load_operators(invalid_operators_files[i].from, &tuning, &error));
        expect_error(error, &invalid_operators_files[i]);
        /* A file with an error leaves the tuning parameters unchanged. */
        assert_memory_equal(&tuning, &before, sizeof tuning);
    }
}

static void test_sample_operators_file_equals_the_defaults(void **state)
{
    (void)state;
    GError *error = NULL;
    struct ow_tuning tuning;
    struct ow_tuning expected = ow_tuning_default();
    memset(&tuning, 0, sizeof tuning);
    struct ow_sharding_settings *sharding = ow_sharding_settings_new();
    assert_true(ow_operators_load("deploy/operators.xml", &tuning, sharding, &error));
    assert_null(error);
    assert_false(sharding->is_enabled);
    ow_sharding_settings_free(sharding);
    assert_true(tuning.window_s == expected.window_s && tuning.hold_life_s == expected.hold_life_s);
    assert_true(tuning.waiting_limit_s == expected.waiting_limit_s &&
                tuning.candidates == expected.candidates);
    assert_true(tuning.leader_lease_s == expected.leader_lease_s);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_complete_settings_are_loaded),
        cmocka_unit_test(test_invalid_settings_are_rejected_with_the_entry_name),
        cmocka_unit_test(test_operators_file_overrides_defaults),
        cmocka_unit_test(test_invalid_operators_file_is_rejected_with_line_and_name),
        cmocka_unit_test(test_sample_operators_file_equals_the_defaults),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
