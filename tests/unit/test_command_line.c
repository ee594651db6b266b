/* The command line of ospreywell: exit status, output and error text. */
#include "check.h"

#include <glib.h>
#include <string.h>

static int run_program(const char *arguments, char **out, char **err)
{
    char *command_line = g_strdup_printf("%s %s", g_getenv("OSPREYWELL"), arguments);
    int status = -1;
    assert_true(g_spawn_command_line_sync(command_line, out, err, &status, NULL));
    g_free(command_line);
    return status;
}

static void test_command_line_prints_its_output_or_names_the_error(void **state)
{
    (void)state;
    char *out = NULL;
    char *err = NULL;
    assert_int_equal(run_program("--version", &out, &err), 0);
    assert_non_null(strstr(out, "ospreywell "));
    g_free(out);
    g_free(err);
    assert_int_equal(run_program("--help", &out, &err), 0);
    assert_non_null(strstr(out, "--config"));
    g_free(out);
    g_free(err);
    assert_int_not_equal(run_program("--config /nonexistent.toml", &out, &err), 0);
    assert_non_null(strstr(err, "/nonexistent.toml"));
    g_free(out);
    g_free(err);
    assert_int_not_equal(run_program("dance", &out, &err), 0);
    g_free(out);
    g_free(err);
    assert_int_not_equal(run_program("show run-1 --server 127.0.0.1:1", &out, &err), 0);
    assert_non_null(strstr(err, "does not answer"));
    g_free(out);
    g_free(err);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_command_line_prints_its_output_or_names_the_error),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
