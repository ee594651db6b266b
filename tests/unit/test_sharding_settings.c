/* The <control> element: valid settings are parsed, invalid ones are rejected with their line and name. */
#include "check.h"
#include "config/operators_file.h"
#include "sharding/sharding_settings_check.h"

#include <glib.h>
#include <glib/gstdio.h>
#include <string.h>
#include <unistd.h>

/* Loads the text as an operators' file. Returns NULL, or the error message, to be freed with g_free(). */
static char *load(const char *text, struct ow_tuning *tuning, struct ow_sharding_settings *sharding)
{
    char *path = NULL;
    char *message = NULL;
    GError *error = NULL;
    int fd = g_file_open_tmp("ospreywell-XXXXXX", &path, NULL);
    assert_true(fd >= 0);
    close(fd);
    assert_true(g_file_set_contents(path, text, -1, NULL));
    bool ok = ow_operators_load(path, tuning, sharding, &error);
    assert_int_equal(ok, error == NULL);
    if (error != NULL)
        message = g_strdup(error->message);
    g_clear_error(&error);
    g_unlink(path);
    g_free(path);
    return message;
}

/* Settings of a platform with two zones and two teams. */
struct platform {
    struct ow_settings settings;
    struct ow_tuning tuning;
};

static void platform_init(struct platform *platform)
{
    static char *zones[] = {"a", "b", NULL};
    static char vision[] = "vision";
    static char speech[] = "speech";
    struct ow_team_settings teams[] = {{vision, 16, 64, 0, 0}, {speech, 0, 0, 4, 8}};
    *platform = (struct platform){.tuning = ow_tuning_default()};
    platform->settings.zones = zones;
    platform->settings.lease_s = 20;
    platform->settings.txn_ops = platform->settings.next_txn_ops = 8;
    platform->settings.teams = g_array_new(FALSE, FALSE, sizeof(struct ow_team_settings));
    g_array_append_vals(platform->settings.teams, teams, G_N_ELEMENTS(teams));
}

static void platform_clear(struct platform *platform)
{
    g_array_free(platform->settings.teams, TRUE);
}

/* Loads and checks the text. Returns NULL, or the first error message, to be freed with g_free(). */
static char *load_and_check(const char *text)
{
    struct platform platform;
    struct ow_sharding_settings *sharding = ow_sharding_settings_new();
    platform_init(&platform);
    char *message = load(text, &platform.tuning, sharding);
    if (message == NULL) {
        g_autoptr(GError) error = NULL;
        bool is_consistent =
            ow_sharding_settings_check(sharding, &platform.settings, &platform.tuning, &error);
        assert_int_equal(is_consistent, error == NULL);
        if (error != NULL) {
            assert_true(error->domain == OW_SHARDING_SETTINGS_ERROR);
            message = g_strdup(error->message);
        }
    }
    ow_sharding_settings_free(sharding);
    platform_clear(&platform);
    return message;
}

#define ROOT_BEGIN "<ospreywell>\n"
#define ROOT_END "</ospreywell>"
#define NORTH "<shard name='north' zones='a' share='0.5'/>\n"
#define SOUTH "<shard name='south' zones='b' share='0.5'/>\n"

static void test_control_element_is_parsed(void **state)
{
    (void)state;
    struct ow_sharding_settings *sharding = ow_sharding_settings_new();
    struct ow_tuning tuning = ow_tuning_default();
    char *message = load(ROOT_BEGIN "<control heartbeat_s='0.25' suspicion_phi='5' relays='2'>\n" NORTH
                                    "<shard name='gpu' zones='a  b' types='g4 g8' share='0.25'/>\n"
                                    "<allotment team='vision' shard='gpu' share='0'/>\n"
                                    "<route class='train' zone='a' shards='gpu north'/></control>" ROOT_END,
                         &tuning, sharding);
    assert_null(message);
    assert_true(sharding->is_enabled);
    assert_true(sharding->heartbeat_s == 0.25 && sharding->suspicion_phi == 5 && sharding->relays == 2);
    assert_int_equal(sharding->shards->len, 2);
    const struct ow_shard_settings *gpu = g_ptr_array_index(sharding->shards, 1);
    assert_string_equal(gpu->zones[1], "b");
    assert_string_equal(gpu->types[1], "g8");
    assert_int_equal(gpu->line, 4);
    assert_true(ow_sharding_settings_get_share(sharding, "vision", gpu) == 0);
    assert_true(ow_sharding_settings_get_share(sharding, "speech", gpu) == 0.25);
    const struct ow_route *route = g_ptr_array_index(sharding->routes, 0);
    assert_string_equal(route->shards[0], "gpu");
    assert_null(route->team);
    ow_sharding_settings_free(sharding);
}

static void test_consistent_settings_are_accepted(void **state)
{
    (void)state;
    assert_null(load_and_check(ROOT_BEGIN ROOT_END));
    assert_null(load_and_check(ROOT_BEGIN "<control>" NORTH SOUTH "</control>" ROOT_END));
    assert_null(load_and_check(ROOT_BEGIN
                               "<control><shard name='default' zones='a b' share='1'/></control>" ROOT_END));
}

static const struct {
    const char *text, *message;
} invalid_settings[] = {
    {"<control></control>", "line 2: control: has no shard"},
    {"<control>\n" NORTH "</control>",
     "line 2: control: zone b has no shard for machine types that no shard lists"},
    {"<control>\n" NORTH SOUTH "<shard name='gpu' zones='a' types='g4' share='0.1'/></control>",
     "line 2: control: the shards' shares of team vision add up to 1.1"},
    {"<control>\n" NORTH "<shard name='south' zones='a b' share='0.5'/></control>",
     "line 4: shard south: any other type in zone a already belongs to shard north"},
    {"<control>\n" NORTH SOUTH "<shard name='g1' zones='a' types='g4' share='0'/>\n"
     "<shard name='g2' zones='a' types='g8 g4' share='0'/></control>",
     "line 6: shard g2: g4 type in zone a already belongs to shard g1"},
    {"<control>\n" NORTH "<shard name='south' zones='b c' share='0.5'/></control>",
     "line 4: shard south: zone c is unknown"},
    {"<control>\n" NORTH "<shard name='north' zones='b' share='0.5'/></control>",
     "line 4: shard north: is defined twice"},
    {"<control>\n" NORTH "<shard name='default' zones='b' share='0.5'/></control>",
     "line 4: shard default: this name is reserved for a fleet with a single shard"},
    {"<control>\n" NORTH SOUTH "<allotment team='sales' shard='north' share='0.1'/></control>",
     "line 5: allotment: team sales is unknown"},
    {"<control>\n" NORTH SOUTH "<allotment team='vision' shard='east' share='0.1'/></control>",
     "line 5: allotment: shard east is unknown"},
    {"<control>\n" NORTH SOUTH "<allotment team='vision' shard='north' share='0.6'/></control>",
     "line 2: control: the shards' shares of team vision add up to 1.1"},
    {"<control>\n" NORTH SOUTH "<route class='train' shards='east'/></control>",
     "line 5: route: shard east is unknown"},
    {"<control>\n" NORTH SOUTH "<route class='train' shards=' '/></control>", "line 5: shards: is empty"},
    {"<control>\n" NORTH SOUTH "<route class='train'/></control>", "line 5: route: shards is missing"},
    {"<control>\n" NORTH SOUTH "<route zone='z' shards='north'/></control>",
     "line 5: route: zone z is unknown"},
    {"<control>\n" NORTH SOUTH "<route team='sales' shards='north'/></control>",
     "line 5: route: team sales is unknown"},
    {"<election lease_s='11'/><control>\n" NORTH SOUTH "</control>",
     "line 2: control: the election's lease_s of 11 is more than half of the workers' lease of 20 s"},
    {"<control heartbeat_s='4'>\n" NORTH SOUTH "</control>",
     "line 2: control: heartbeat_s of 4 is not below the election's lease_s of 4"},
    {"<control heartbeat_s='fast'>\n" NORTH SOUTH "</control>", "line 2: heartbeat_s: is not a number"},
    {"<control relays='1.5'>\n" NORTH SOUTH "</control>", "line 2: relays: must be a whole number"},
    {"<control suspicion_phi='0'>\n" NORTH SOUTH "</control>",
     "line 2: suspicion_phi: must be a number from 1 to 100"},
    {"<control colour='red'>\n" NORTH SOUTH "</control>", "line 2: colour: unknown attribute of control"},
    {"<control>\n<shard name='north' share='1'/></control>", "line 3: shard: zones is missing"},
    {"<control>\n<shard name='north' zones='a'/></control>", "line 3: shard: share is missing"},
    {"<control>\n<shard name='no/rth' zones='a' share='1'/></control>",
     "line 3: shard: name \"no/rth\" has characters other than letters, digits, - and _"},
    {"<control>\n<shard name='north' zones='a' share='2'/></control>",
     "line 3: share: must be a number from 0 to 1"},
    {"<shard name='north' zones='a' share='1'/>", "line 2: shard: must be inside the control element"},
    {"<control>" NORTH SOUTH "</control>\n<control/>", "line 5: control: appears more than once"},
};

static void test_invalid_settings_are_rejected_with_line_and_name(void **state)
{
    (void)state;
    for (size_t i = 0; i < G_N_ELEMENTS(invalid_settings); i++) {
        char *text = g_strconcat(ROOT_BEGIN, invalid_settings[i].text, ROOT_END, NULL);
        char *message = load_and_check(text);
        if (g_strcmp0(message, invalid_settings[i].message) != 0)
            fail_msg("expected \"%s\", got \"%s\"", invalid_settings[i].message, message);
        g_free(message);
        g_free(text);
    }
}

static void test_too_many_shards_are_rejected(void **state)
{
    (void)state;
    GString *text = g_string_new(ROOT_BEGIN "<control>\n<shard name='rest' zones='a b' share='0'/>");
    for (int i = 0; i < OW_SHARDS_MAX; i++)
        g_string_append_printf(text, "<shard name='s%d' zones='a' types='t%d' share='0'/>", i, i);
    g_string_append(text, "</control>" ROOT_END);
    char *message = load_and_check(text->str);
    assert_string_equal(message, "line 2: control: has 33 shards, the maximum is 32");
    g_free(message);
    g_string_free(text, TRUE);
}

static void test_sample_control_file_is_loaded_with_default_values(void **state)
{
    (void)state;
    struct ow_sharding_settings *sharding = ow_sharding_settings_new();
    struct ow_tuning tuning = ow_tuning_default();
    GError *error = NULL;
    assert_true(ow_operators_load("deploy/control.xml", &tuning, sharding, &error));
    assert_null(error);
    struct ow_sharding_settings *expected = ow_sharding_settings_new();
    assert_true(sharding->heartbeat_s == expected->heartbeat_s && sharding->relays == expected->relays);
    assert_true(sharding->suspicion_phi == expected->suspicion_phi);
    assert_true(sharding->probe_timeout_s == expected->probe_timeout_s);
    assert_true(sharding->candidacy_step_s == expected->candidacy_step_s);
    ow_sharding_settings_free(expected);
    ow_sharding_settings_free(sharding);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_control_element_is_parsed),
        cmocka_unit_test(test_consistent_settings_are_accepted),
        cmocka_unit_test(test_invalid_settings_are_rejected_with_line_and_name),
        cmocka_unit_test(test_too_many_shards_are_rejected),
        cmocka_unit_test(test_sample_control_file_is_loaded_with_default_values),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
