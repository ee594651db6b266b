/* Unknown fields with any value that RFC 8259 allows change nothing, at every interface that reads JSON. */
#include "check.h"
#include "json_interfaces.h"

#include <glib.h>
#include <string.h>

/* Levels of the deepest value: four bytes a level in a body of 64 KiB, with room for the message. */
enum { DEEP_LEVELS = 14000 };
/* Length of a long number, name or string. */
enum { LONG_BYTES = 20000 };

/* Members of an object that no interface knows. */
static const char *const unknown_members[] = {
    /* numbers */
    "\"x\":18446744073709551615",
    "\"x\":18446744073709551616",
    "\"x\":9223372036854775808",
    "\"x\":-9223372036854775809",
    "\"x\":[0,-0,0.0,-0.0,0e0,0E+0,0e-0,1e1,1E1,1.5e+3,1.25]",
    "\"x\":1e400",
    "\"x\":-1e400",
    "\"x\":1E+99999999999999999999",
    "\"x\":1e-99999999999999999999",
    "\"x\":123456789012345678901234567890.5e-7",
    /* strings */
    "\"x\":\"\"",
    "\"x\":\"\\\"\\\\\\/\\b\\f\\n\\r\\t\\u00e9\\u00E9\\ud83d\\ude00\"",
    "\"x\":\"\\u0000\"",
    "\"x\":\"\\ud800\"",
    "\"x\":\"\\udc00\"",
    "\"x\":\"\\ud800\\u0041\"",
    "\"x\":\"\\udc00\\ud800\"",
    "\"x\":\"gr\xc3\xb6\xc3\237e \xe6\x97\xa5\xe6\x9c\xac\xe8\xaa\x9e \xf0\x9f\x98\x80 \x7f\"",
    "\"x\":\"\xef\xbf\xbf \xe2\x80\xa8 \xf4\x8f\xbf\xbf \\uFFFF \\uDBFF\\uDFFF\"",
    "\"x\":[1e007,0.10E-00]",
    /* literals, arrays and objects */
    "\"x\":null",
    "\"x\":[true,false,null]",
    "\"x\":[[],{},[{}],{\"a\":[]}]",
    "\"x\" :\t[ 1 ,\n2 ,\r3 ]",
    /* names */
    "\"\":1",
    "\"\\u0000\":1",
    "\"\\ud800\":1",
    "\"ref\\u0000\":1",
    "\"perch\\u0000\":1",
    "\"x\":{\"a\":1,\"a\":2}",
    "\"x\":{\"ref\":1,\"ref\":2,\"talons\":[],\"talons\":{}}",
    "\"x\":1,\"x\":2",
    "\"REF\":1,\"Perch\":2",
};

static void assert_member_is_ignored(const struct json_interface *interface, const char *member)
{
    g_autofree char *plain = interface->read(interface->message, strlen(interface->message));
    assert_non_null(plain);
    for (size_t place = 0; place < json_interface_places(interface); place++) {
        g_autofree char *text = json_interface_insert(interface, place, member);
        g_autofree char *read = interface->read(text, strlen(text));
        if (g_strcmp0(read, plain) != 0)
            fail_msg("%s, object %zu, %.60s: %s", interface->name, place, member,
                     read != NULL ? read : "refused");
    }
}

static void assert_member_is_ignored_everywhere(const char *member)
{
    for (size_t i = 0; i < json_interfaces_count; i++)
        assert_member_is_ignored(&json_interfaces[i], member);
}

/* The submission of the incident: a label of 2^64 - 1, which is above what 63 bits hold. */
static void test_submission_with_a_label_above_63_bits_is_accepted(void **state)
{
    (void)state;
    assert_member_is_ignored(
        json_interface_find("submission"),
        "\"x_labels\":{\"gr\xc3\xb6\xc3\237e\":\"\xe6\x97\xa5\xe6\x9c\xac\xe8\xaa\x9e \xe2\x9c\x93\","
        "\"n\":18446744073709551615,\"m\":-7,\"f\":1.25,\"none\":null,"
        "\"l\":[[],{},true],\"deep\":[[[[[]]]]]}");
}

static void test_unknown_members_change_nothing(void **state)
{
    (void)state;
    for (size_t i = 0; i < G_N_ELEMENTS(unknown_members); i++)
        assert_member_is_ignored_everywhere(unknown_members[i]);
}

static char *repeated(const char *text, size_t count)
{
    GString *result = g_string_new(NULL);
    for (size_t i = 0; i < count; i++)
        g_string_append(result, text);
    return g_string_free(result, FALSE);
}

static void test_unknown_values_of_any_depth_change_nothing(void **state)
{
    (void)state;
    g_autofree char *opened = repeated("[", DEEP_LEVELS);
    g_autofree char *closed = repeated("]", DEEP_LEVELS);
    g_autofree char *arrays = g_strconcat("\"x\":", opened, closed, NULL);
    assert_member_is_ignored_everywhere(arrays);
    g_autofree char *opened_objects = repeated("{\"\":", DEEP_LEVELS / 2);
    g_autofree char *closed_objects = repeated("}", DEEP_LEVELS / 2);
    g_autofree char *objects = g_strconcat("\"x\":", opened_objects, "0", closed_objects, NULL);
    assert_member_is_ignored_everywhere(objects);
}

static void test_unknown_values_of_any_length_change_nothing(void **state)
{
    (void)state;
    g_autofree char *digits = repeated("9", LONG_BYTES);
    g_autofree char *integer = g_strconcat("\"x\":-", digits, NULL);
    g_autofree char *fraction = g_strconcat("\"x\":0.", digits, "e", digits, NULL);
    g_autofree char *name = g_strconcat("\"", digits, "\":\"", digits, "\"", NULL);
    assert_member_is_ignored_everywhere(integer);
    assert_member_is_ignored_everywhere(fraction);
    assert_member_is_ignored_everywhere(name);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_submission_with_a_label_above_63_bits_is_accepted),
        cmocka_unit_test(test_unknown_members_change_nothing),
        cmocka_unit_test(test_unknown_values_of_any_depth_change_nothing),
        cmocka_unit_test(test_unknown_values_of_any_length_change_nothing),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
