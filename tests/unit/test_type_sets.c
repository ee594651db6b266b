/* Sets of machine types. Guards against sets whose members depend on the order in which names become known,
 * or on names that are no types. */
#include "check.h"
#include "core/type_sets.h"

#include <glib.h>

/* More types, and more names, than a machine word has bits. */
enum { MANY = 200 };

static char *numbered(const char *prefix, int number)
{
    return g_strdup_printf("%s-%d", prefix, number);
}

static void intern_many(struct ow_type_sets *sets)
{
    for (int i = 0; i < MANY; i++) {
        g_autofree char *name = numbered("type", i);
        assert_int_equal(ow_type_sets_intern(sets, name), i);
    }
}

/* Every third type, and a name that is no type for each of the others. */
static char **names_of_every_third(void)
{
    char **names = g_new0(char *, MANY + 1);
    for (int i = 0; i < MANY; i++)
        names[i] = numbered(i % 3 == 0 ? "type" : "no-type", i);
    return names;
}

static void assert_has_every_third(const struct ow_type_set *set)
{
    for (int i = 0; i < MANY; i++)
        assert_int_equal(ow_type_set_has(set, i), i % 3 == 0);
}

/* Guards against members that are missing because the job was read before the types, or after them. */
static void test_members_do_not_depend_on_the_order_in_which_names_are_learned(void **state)
{
    (void)state;
    g_auto(GStrv) names = names_of_every_third();
    g_auto(GStrv) reversed = g_strdupv(names);
    for (int i = 0; i < MANY / 2; i++) {
        char *name = reversed[i];
        reversed[i] = reversed[MANY - 1 - i];
        reversed[MANY - 1 - i] = name;
    }
    struct ow_type_sets *sets = ow_type_sets_new();
    struct ow_type_set *before = ow_type_sets_get(sets, names);
    struct ow_type_set *any = ow_type_sets_get(sets, NULL);
    intern_many(sets);
    struct ow_type_set *after = ow_type_sets_get(sets, reversed);
    assert_has_every_third(before);
    assert_has_every_third(after);
    assert_true(ow_type_set_equal(before, after));
    assert_false(ow_type_set_equal(before, any));
    for (int i = 0; i < MANY; i++)
        assert_true(ow_type_set_has(any, i));
    ow_type_set_unref(before);
    ow_type_set_unref(after);
    ow_type_set_unref(any);
    ow_type_sets_free(sets);
}

/* Guards against names of users that take up indices of types. */
static void test_names_in_sets_get_no_index(void **state)
{
    (void)state;
    g_auto(GStrv) names = names_of_every_third();
    struct ow_type_sets *sets = ow_type_sets_new();
    struct ow_type_set *set = ow_type_sets_get(sets, names);
    assert_int_equal(ow_type_sets_intern(sets, "big"), 0);
    assert_int_equal(ow_type_sets_intern(sets, "type-0"), 1);
    assert_int_equal(ow_type_sets_intern(sets, "big"), 0);
    assert_string_equal(ow_type_sets_name(sets, 1), "type-0");
    assert_false(ow_type_set_has(set, 0));
    assert_true(ow_type_set_has(set, 1));
    assert_false(ow_type_set_has(set, 2));
    assert_false(ow_type_set_has(set, -1));
    assert_false(ow_type_set_has(NULL, 0));
    ow_type_set_unref(set);
    ow_type_sets_free(sets);
}

/* Guards against sets that are shared by lists which only look alike, and against sets freed too early. */
static void test_sets_of_the_same_names_are_shared_until_the_last_reference(void **state)
{
    (void)state;
    char *pair[] = {"a", "b", NULL};
    char *joined[] = {"ab", NULL};
    char *none[] = {NULL};
    struct ow_type_sets *sets = ow_type_sets_new();
    ow_type_sets_intern(sets, "a");
    struct ow_type_set *first = ow_type_sets_get(sets, pair);
    struct ow_type_set *second = ow_type_sets_get(sets, pair);
    struct ow_type_set *other = ow_type_sets_get(sets, joined);
    struct ow_type_set *empty = ow_type_sets_get(sets, none);
    assert_ptr_equal(first, second);
    assert_ptr_not_equal(first, other);
    assert_false(ow_type_set_has(empty, 0));
    assert_true(ow_type_set_equal(empty, other));
    ow_type_set_unref(first);
    assert_true(ow_type_set_has(second, 0));
    ow_type_set_unref(second);
    ow_type_set_unref(other);
    ow_type_set_unref(empty);
    ow_type_sets_free(sets);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_members_do_not_depend_on_the_order_in_which_names_are_learned),
        cmocka_unit_test(test_names_in_sets_get_no_index),
        cmocka_unit_test(test_sets_of_the_same_names_are_shared_until_the_last_reference),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
