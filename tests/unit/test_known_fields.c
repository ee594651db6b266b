/* Known fields are checked as strictly as ever, whatever may be written around them: texts that are not JSON
 * are refused, and integers are exact up to 2^64 - 1, in every spelling. */
#include "check.h"
#include "json_interfaces.h"
#include "model/submission.h"
#include "wire/submission_json.h"

#include <glib.h>
#include <string.h>

#define MAX_COUNT "18446744073709551615"

/* ---- texts that are not JSON ---- */

/* Members that no JSON text may have. */
static const char *const malformed_members[] = {
    "\"x\":01",
    "\"x\":1.",
    "\"x\":.5",
    "\"x\":+1",
    "\"x\":-",
    "\"x\":1e",
    "\"x\":1e+",
    "\"x\":0x1",
    "\"x\":NaN",
    "\"x\":-Infinity",
    "\"x\":True",
    "\"x\":nul",
    "\"x\":[1,]",
    "\"x\":[,1]",
    "\"x\":[1 2]",
    "\"x\":{\"a\":1,}",
    "\"x\":{,}",
    "\"x\":{\"a\"}",
    "\"x\":{1:2}",
    "\"x\":]",
    "\"x\":[}",
    "\"x\":\"\t\"",
    "\"x\":\"\n\"",
    "\"x\":\"\x01\"",
    "\"x\":\"\\x41\"",
    "\"x\":\"\\u12\"",
    "\"x\":\"\\u12g4\"",
    "\"x\":'a'",
    "x:1",
    "'x':1",
    "\"x\":1 /* */",
    "\"x\":1\v",
    "\"x\":1\f",
    "\"x\":\"\xff\"",
    "\"x\":\"\xc0\x80\"",
    "\"x\":\"\xed\xa0\x80\"",
    "\"x\":\"\xf5\x80\x80\x80\"",
    "\"x\":\"\xe6\x97\"",
    "\"x\":1,",
    "\"x\"",
    "\"x\":",
    "\"\xff\":1",
    "\"x\":1\xc2\xa0",
};

static void assert_refused(const struct json_interface *interface, const char *text, size_t size)
{
    g_autofree char *read = interface->read(text, size);
    if (read != NULL)
        fail_msg("%s accepts %.*s", interface->name, (int)MIN(size, 400), text);
}

static void test_texts_that_are_not_json_are_refused(void **state)
{
    (void)state;
    for (size_t i = 0; i < json_interfaces_count; i++) {
        const struct json_interface *interface = &json_interfaces[i];
        for (size_t member = 0; member < G_N_ELEMENTS(malformed_members); member++)
            for (size_t place = 0; place < json_interface_places(interface); place++) {
                g_autofree char *text = json_interface_insert(interface, place, malformed_members[member]);
                assert_refused(interface, text, strlen(text));
            }
    }
}

static void test_texts_that_are_cut_are_refused(void **state)
{
    (void)state;
    for (size_t i = 0; i < json_interfaces_count; i++)
        for (size_t size = 0; size < strlen(json_interfaces[i].message); size++)
            assert_refused(&json_interfaces[i], json_interfaces[i].message, size);
}

static void test_second_values_are_refused(void **state)
{
    (void)state;
    static const char *const endings[] = {"{}", "1", "\"a", " \"",          "tru", "]",
                                          "}",  ",", "\v",  "\xef\xbb\xbf", " -"};
    for (size_t i = 0; i < json_interfaces_count; i++) {
        for (size_t ending = 0; ending < G_N_ELEMENTS(endings); ending++) {
            g_autofree char *text = g_strconcat(json_interfaces[i].message, endings[ending], NULL);
            assert_refused(&json_interfaces[i], text, strlen(text));
        }
        /* A NUL byte after the message. */
        assert_refused(&json_interfaces[i], json_interfaces[i].message,
                       strlen(json_interfaces[i].message) + 1);
        g_autofree char *array = g_strconcat("[", json_interfaces[i].message, "]", NULL);
        assert_refused(&json_interfaces[i], array, strlen(array));
    }
}

/* ---- repeated fields ---- */

/* Returns a member with the name of the first member of the object (g_free). */
static char *repeat_first_name(const struct json_interface *interface, size_t place)
{
    g_autofree char *marked = json_interface_insert(interface, place, "@");
    const char *name = strstr(marked, "@,") + strlen("@,");
    return g_strdup_printf("%.*s:null", (int)strcspn(name, ":"), name);
}

static void test_repeated_known_fields_are_malformed(void **state)
{
    (void)state;
    for (size_t i = 0; i < json_interfaces_count; i++) {
        const struct json_interface *interface = &json_interfaces[i];
        g_autofree char *plain = interface->read(interface->message, strlen(interface->message));
        for (size_t place = 0; place < json_interface_places(interface); place++) {
            g_autofree char *member = repeat_first_name(interface, place);
            g_autofree char *text = json_interface_insert(interface, place, member);
            g_autofree char *read = interface->read(text, strlen(text));
            if (g_strcmp0(read, plain) == 0)
                fail_msg("%s, object %zu: %s is read twice", interface->name, place, member);
        }
    }
}

/* ---- submissions ---- */

static char *replace(const char *text, const char *part, const char *replacement)
{
    g_auto(GStrv) parts = g_strsplit(text, part, 2);
    assert_non_null(parts[1]);
    return g_strjoinv(replacement, parts);
}

static struct ow_submission *read_submission(const char *part, const char *replacement, GError **error)
{
    g_autofree char *text = replace(json_interface_find("submission")->message, part, replacement);
    char id[OW_ID_MAX + 1];
    return wire_submission_decode(text, strlen(text), id, error);
}

static void test_known_fields_with_wrong_values_are_named(void **state)
{
    (void)state;
    static const char *const cases[][3] = {
        {"\"talons\":16", "\"talons\":" MAX_COUNT, "talons"},
        {"\"talons\":16", "\"talons\":18446744073709551632", "talons"},
        {"\"talons\":16", "\"talons\":16.5", "talons"},
        {"\"talons\":16", "\"talons\":-16", "talons"},
        {"\"talons\":16", "\"talons\":1e400", "talons"},
        {"\"talons\":16", "\"talons\":\"16\"", "talons"},
        {"\"talons\":16", "\"talons\":[[[[16]]]]", "talons"},
        {"\"cores\":8.0", "\"cores\":1e400", "cores"},
        {"\"cores\":8.0", "\"cores\":-1e-9", "cores"},
        {"\"cores\":8.0", "\"cores\":{\"a\":8}", "cores"},
        {"\"flock\":\"train\"", "\"flock\":\"tr\\u0000in\"", "flock"},
        {"\"flock\":\"train\"", "\"flock\":\"tr\\ud800in\"", "flock"},
        {"\"flock\":\"train\"", "\"flock\":\"tr\\udc00in\"", "flock"},
        {"\"flock\":\"train\"", "\"flock\":\"\\ud800\\u0041\"", "flock"},
        {"\"breeds\":[\"g8\",\"m8\"]", "\"breeds\":[[\"g8\"]]", "breeds"},
        {"\"breeds\":[\"g8\",\"m8\"]", "\"breeds\":[{}]", "breeds"},
        {"\"range\":\"a\"", "\"range\":{}", "range"},
        {"\"windfall\":true", "\"windfall\":null", "windfall"},
        {"\"rank\":\"urgent\"", "\"rank\":\"URGENT\"", "rank"},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        g_autoptr(GError) error = NULL;
        assert_null(read_submission(cases[i][0], cases[i][1], &error));
        if (!g_str_has_prefix(error->message, cases[i][2]))
            fail_msg("%s: %s", cases[i][1], error->message);
    }
}

/* Optional fields, too: a wrong value is not taken for an absent one. */
static void test_optional_fields_with_wrong_values_are_refused(void **state)
{
    (void)state;
    static const char *const cases[][3] = {
        {"heartbeat", "\"crest\":41", "\"crest\":18446744073709551616"},
        {"heartbeat", "\"crest\":41", "\"crest\":1e400"},
        {"heartbeat", "\"warning_s\":7.5", "\"warning_s\":1e400"},
        {"heartbeat", "\"windfall\":true", "\"windfall\":1"},
        {"heartbeat", "\"saved\":true", "\"saved\":\"\\u0000\""},
        {"heartbeat", "\"cause\":\"halted\"", "\"cause\":\"\\ud800\""},
        {"commands", "\"glide_s\":10.5", "\"glide_s\":1e400"},
        {"transaction", "\"tide\":432", "\"tide\":18446744073709551616"},
        {"transaction", "\"tide\":432", "\"tide\":-1"},
        {"key list", "\"tide\":431", "\"tide\":1e400"},
        {"key list", "\"has_next\":true", "\"has_next\":1"},
        {"machine list", "\"has_next\":true", "\"has_next\":\"\\ud800\""},
        {"watch", "\"tide\":433", "\"tide\":18446744073709551616"},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        const struct json_interface *interface = json_interface_find(cases[i][0]);
        g_autofree char *text = replace(interface->message, cases[i][1], cases[i][2]);
        assert_refused(interface, text, strlen(text));
    }
}

static void test_spellings_of_one_value_are_the_same(void **state)
{
    (void)state;
    static const char *const cases[][2] = {
        {"\"talons\":16", "\"talons\":16.0"},
        {"\"talons\":16", "\"talons\":1.6e1"},
        {"\"talons\":16", "\"talons\":1600E-2"},
        {"\"talons\":16", "\"talons\":0.0000000000000000000000000000016e+31"},
        {"\"talons\":16", "\"talons\":16.00000000000000000000000000000000000"},
        {"\"cores\":8.0", "\"cores\":8"},
        {"\"cores\":8.0", "\"cores\":0.8E1"},
        {"\"cores\":8.0", "\"cores\":80000000000000000000000e-22"},
        {"\"gpus\":1", "\"gpus\":1.0"},
        {"\"flock\":\"train\"", "\"\\u0066lock\":\"tr\\u0061in\""},
        {"\"flock\":\"train\"", " \"flock\"\t:\r\n\"train\" "},
        {"\"breeds\":[\"g8\",\"m8\"]", "\"breeds\":[ \"\\u00678\" ,\"m8\"]"},
    };
    const struct json_interface *interface = json_interface_find("submission");
    g_autofree char *plain = interface->read(interface->message, strlen(interface->message));
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        g_autofree char *text = replace(interface->message, cases[i][0], cases[i][1]);
        g_autofree char *read = interface->read(text, strlen(text));
        assert_non_null(read);
        assert_string_equal(read, plain);
    }
}

static void test_escaped_strings_are_decoded(void **state)
{
    (void)state;
    g_autoptr(ow_submission) submission =
        read_submission("\"flock\":\"train\"", "\"flock\":\"\\\"\\\\\\/\\b\\u00e9\\ud83d\\ude00?\"", NULL);
    assert_non_null(submission);
    assert_string_equal(submission->class_name, "\"\\/\b\xc3\xa9\xf0\x9f\x98\x80?");
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_texts_that_are_not_json_are_refused),
        cmocka_unit_test(test_texts_that_are_cut_are_refused),
        cmocka_unit_test(test_second_values_are_refused),
        cmocka_unit_test(test_repeated_known_fields_are_malformed),
        cmocka_unit_test(test_known_fields_with_wrong_values_are_named),
        cmocka_unit_test(test_optional_fields_with_wrong_values_are_refused),
        cmocka_unit_test(test_spellings_of_one_value_are_the_same),
        cmocka_unit_test(test_escaped_strings_are_decoded),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
