/* Seeded messages of all kinds in other words are read as the plain ones are, and mutated ones end in an
 * answer. */
#include "check.h"
#include "json_interfaces.h"
#include "message_speller.h"

#include <glib.h>
#include <string.h>

/* Messages drawn for each interface, and mutations of each of them. */
enum { MESSAGES = 60, MUTATIONS = 40 };

static void check_respelled_message(const struct json_interface *interface, guint32 seed)
{
    g_autoptr(GRand) random = g_rand_new_with_seed(seed);
    g_autofree char *plain = interface->read(interface->message, strlen(interface->message));
    g_autofree char *text = message_respell(interface, random);
    g_autofree char *read = interface->read(text, strlen(text));
    if (g_strcmp0(read, plain) != 0)
        fail_msg("%s, seed %u is read as %s", interface->name, seed, read != NULL ? read : "nothing");
}

static void test_messages_in_other_words_are_the_same(void **state)
{
    (void)state;
    for (size_t i = 0; i < json_interfaces_count; i++)
        for (guint32 seed = 1; seed <= MESSAGES; seed++)
            check_respelled_message(&json_interfaces[i], seed);
}

/* Cuts the text, or replaces, removes or repeats bytes of it, and reads what is left. */
static void read_mutated(const struct json_interface *interface, const char *text, GRand *random)
{
    static const char bytes[] = "\"\\{}[]:,-.0123456789eEtfnu \t\n\v\f\x01\x7f\xc3\xed\xff";
    g_autoptr(GString) mutated = g_string_new(text);
    for (int changes = g_rand_int_range(random, 1, 4); changes > 0 && mutated->len > 1; changes--) {
        gint32 place = g_rand_int_range(random, 0, (gint32)mutated->len);
        char byte = bytes[g_rand_int_range(random, 0, sizeof bytes - 1)];
        switch (g_rand_int_range(random, 0, 4)) {
        case 0:
            g_string_truncate(mutated, (gsize)place);
            break;
        case 1:
            mutated->str[place] = byte;
            break;
        case 2:
            g_string_erase(mutated, place, 1);
            break;
        default:
            g_string_insert_c(mutated, place, byte);
            break;
        }
    }
    /* Without the terminating NUL, so that the sanitizers notice reading past the end. */
    g_autofree char *exact = g_memdup2(mutated->str, mutated->len);
    g_free(interface->read(exact, mutated->len));
}

static void test_mutated_messages_end_in_an_answer(void **state)
{
    (void)state;
    for (size_t i = 0; i < json_interfaces_count; i++)
        for (guint32 seed = 1; seed <= MESSAGES; seed++) {
            g_autoptr(GRand) random = g_rand_new_with_seed(seed);
            g_autofree char *text = message_respell(&json_interfaces[i], random);
            for (int mutation = 0; mutation < MUTATIONS; mutation++)
                read_mutated(&json_interfaces[i], text, random);
        }
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_messages_in_other_words_are_the_same),
        cmocka_unit_test(test_mutated_messages_end_in_an_answer),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
