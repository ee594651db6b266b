/* The agent's command line: valid options are parsed, invalid ones are rejected with an error. */
#include "agent/options.h"
#include "check.h"
#include "config/config_error.h"

#include <string.h>

/* A complete, valid command line; each test replaces a part of it. */
static const char valid_command_line[] =
    "ospreywell-agent --machine m-1 --type m8 --zone a --cpus 4 --memory 16 --listen 127.0.0.1:1 "
    "--state /tmp/s --jobs /tmp/j --controller one=127.0.0.1:2 --controller two=127.0.0.1:3";

/* Parses the valid command line with `from` replaced by `to`. */
static bool parse(const char *from, const char *to, struct agent_options *options, GError **error)
{
    g_auto(GStrv) parts = g_strsplit(valid_command_line, from, 2);
    assert_int_equal(g_strv_length(parts), 2);
    g_autofree char *text = g_strjoinv(to, parts);
    g_auto(GStrv) words = g_strsplit(text, " ", -1);
    guint count = g_strv_length(words);
    /* The parser removes entries from its array; the strings stay owned by `words`. */
    g_autofree char **arguments = g_memdup2(words, ((gsize)count + 1) * sizeof *words);
    return agent_options_parse((int)count, arguments, options, error);
}

static void test_complete_options_are_parsed(void **state)
{
    (void)state;
    struct agent_options options;
    GError *error = NULL;
    assert_true(parse("--zone a", "--zone a --spot", &options, &error));
    assert_null(error);
    assert_string_equal(options.machine, "m-1");
    assert_string_equal(options.advertise, "127.0.0.1:1");
    assert_true(options.is_spot && options.size.cpus == 4 && options.size.memory_gb == 16);
    assert_true(options.heartbeat_interval_s == 3 && options.lease_s == 20);
    assert_null(options.history);
    assert_int_equal(options.controllers->len, 2);
    const struct agent_controller *second = &g_array_index(options.controllers, struct agent_controller, 1);
    assert_string_equal(second->name, "two");
    assert_string_equal(second->endpoint, "127.0.0.1:3");
    agent_options_clear(&options);
}

static const struct {
    const char *from;
    const char *to;
    enum ow_config_error code;
    const char *message;
} invalid_options[] = {
    {"--zone a ", "", OW_CONFIG_ERROR_MISSING_FIELD, "--machine, --type and --zone are required"},
    {"--listen 127.0.0.1:1", "--listen x", OW_CONFIG_ERROR_MALFORMED_VALUE,
     "--listen and --advertise must be ADDRESS:PORT"},
    {"--jobs /tmp/j ", "", OW_CONFIG_ERROR_MISSING_FIELD, "--state and --jobs are required"},
    {"--zone a", "--zone a --lease 3", OW_CONFIG_ERROR_INCONSISTENT,
     "--lease must be longer than --report, and --report must be above 0"},
    {"--zone a", "--zone a --report 0", OW_CONFIG_ERROR_INCONSISTENT,
     "--lease must be longer than --report, and --report must be above 0"},
    {"--cpus 4", "--cpus 0", OW_CONFIG_ERROR_OUT_OF_RANGE,
     "--cpus and --memory must be above 0, --gpus must not be negative"},
    {" --controller one=127.0.0.1:2 --controller two=127.0.0.1:3", "", OW_CONFIG_ERROR_MISSING_FIELD,
     "--controller is required"},
    {"two=127.0.0.1:3", "=127.0.0.1:3", OW_CONFIG_ERROR_MALFORMED_VALUE,
     "=127.0.0.1:3: must be NAME=ADDRESS:PORT"},
    {"two=127.0.0.1:3", "two=nowhere", OW_CONFIG_ERROR_MALFORMED_VALUE,
     "two=nowhere: must be NAME=ADDRESS:PORT"},
};

static void test_invalid_options_are_rejected_with_their_error(void **state)
{
    (void)state;
    for (size_t i = 0; i < G_N_ELEMENTS(invalid_options); i++) {
        struct agent_options options;
        GError *error = NULL;
        assert_false(parse(invalid_options[i].from, invalid_options[i].to, &options, &error));
        assert_non_null(error);
        assert_string_equal(error->message, invalid_options[i].message);
        assert_true(g_error_matches(error, OW_CONFIG_ERROR, (gint)invalid_options[i].code));
        g_error_free(error);
        agent_options_clear(&options);
    }
}

static void test_unknown_option_is_rejected_by_the_parser(void **state)
{
    (void)state;
    struct agent_options options;
    GError *error = NULL;
    assert_false(parse("--zone a", "--zone a --dance", &options, &error));
    assert_true(g_error_matches(error, G_OPTION_ERROR, G_OPTION_ERROR_UNKNOWN_OPTION));
    g_error_free(error);
    agent_options_clear(&options);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_complete_options_are_parsed),
        cmocka_unit_test(test_invalid_options_are_rejected_with_their_error),
        cmocka_unit_test(test_unknown_option_is_rejected_by_the_parser),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
