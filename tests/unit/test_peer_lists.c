/* Lists between controllers that are too long for one message: they go in parts, and no part is taken for the
 * whole list. */
#include "check.h"
#include "core/peers/machine_hints.h"
#include "model/peer.h"
#include "wire/peer_xdr.h"

enum { FRAME_LENGTH_BYTES = 4, PART_MACHINES_MOST = 1000, WHOLE_MACHINES_MOST = 4000 };

static struct ow_peer_machine hint(unsigned number)
{
    struct ow_peer_machine machine = {.name = g_strdup_printf("m-%06u", number),
                                      .addr = g_strdup_printf("10.1.%u.%u:9000", number / 250, number % 250),
                                      .type = g_strdup("big"),
                                      .zone = g_strdup("east"),
                                      .spot = number % 2 == 0};
    return machine;
}

static struct ow_peer_message *machines_message(enum ow_peer_kind kind, uint64_t fencing_token,
                                                unsigned first, unsigned count)
{
    struct ow_peer_message *message = ow_peer_message_new(kind);
    message->fencing_token = fencing_token;
    for (unsigned i = 0; i < count; i++) {
        struct ow_peer_machine machine = hint(first + i);
        g_array_append_val(message->machine_list.machines, machine);
    }
    return message;
}

/* A part of a list of three, with one machine that has the part's number. */
static struct ow_peer_message *part_of_three(uint64_t fencing_token, uint32_t part)
{
    struct ow_peer_message *message = machines_message(OW_PEER_MACHINES_PART, fencing_token, part, 1);
    message->machine_list.part_index = part;
    message->machine_list.part_count = 3;
    return message;
}

static void take(struct ow_machine_hints *hints, struct ow_peer_message *message)
{
    ow_machine_hints_receive(hints, message);
    ow_peer_message_free(message);
}

static guint known(const struct ow_machine_hints *hints)
{
    return ow_machine_hints_list(hints)->len;
}

static void test_part_survives_encoding(void **state)
{
    (void)state;
    struct ow_peer_message *message =
        machines_message(OW_PEER_MACHINES_PART, UINT64_C(1) << 40, 7, PART_MACHINES_MOST);
    message->machine_list.part_index = 2;
    message->machine_list.part_count = 5;
    GString *frame = g_string_new(NULL);
    assert_true(wire_peer_encode(message, frame));
    ow_peer_message_free(message);
    assert_true(wire_peer_decode(frame->str + FRAME_LENGTH_BYTES, frame->len - FRAME_LENGTH_BYTES, &message));
    assert_non_null(message);
    assert_int_equal(message->kind, OW_PEER_MACHINES_PART);
    assert_true(message->fencing_token == UINT64_C(1) << 40);
    assert_int_equal(message->machine_list.part_index, 2);
    assert_int_equal(message->machine_list.part_count, 5);
    assert_int_equal(message->machine_list.machines->len, PART_MACHINES_MOST);
    const struct ow_peer_machine *last =
        &g_array_index(message->machine_list.machines, struct ow_peer_machine, PART_MACHINES_MOST - 1);
    assert_string_equal(last->name, "m-001006");
    assert_true(last->spot);
    ow_peer_message_free(message);
    g_string_free(frame, TRUE);
}

/* A list that is too long was once cut without a word. */
static void test_too_long_list_is_not_sent_cut(void **state)
{
    (void)state;
    GString *frame = g_string_new(NULL);
    struct ow_peer_message *whole = machines_message(OW_PEER_MACHINES, 1, 0, WHOLE_MACHINES_MOST + 1);
    assert_false(wire_peer_encode(whole, frame));
    struct ow_peer_message *part = machines_message(OW_PEER_MACHINES_PART, 1, 0, PART_MACHINES_MOST + 1);
    assert_false(wire_peer_encode(part, frame));
    assert_int_equal(frame->len, 0);
    ow_peer_message_free(whole);
    ow_peer_message_free(part);
    g_string_free(frame, TRUE);
}

static void test_parts_in_order_make_the_list(void **state)
{
    (void)state;
    struct ow_machine_hints *hints = ow_machine_hints_new();
    take(hints, machines_message(OW_PEER_MACHINES, 5, 0, 2));
    take(hints, part_of_three(5, 0));
    take(hints, part_of_three(5, 1));
    assert_int_equal(known(hints), 2); /* the last whole list stays until all parts are there */
    take(hints, part_of_three(5, 2));
    assert_int_equal(known(hints), 3);
    assert_string_equal(g_array_index(ow_machine_hints_list(hints), struct ow_peer_machine, 2).name,
                        "m-000002");
    ow_machine_hints_free(hints);
}

static void test_incomplete_lists_are_dropped_as_a_whole(void **state)
{
    (void)state;
    static const uint32_t orders[][4] = {
        {0, 2, 2, 2}, /* one is missing */
        {0, 0, 2, 1}, /* begun anew, then out of order */
        {0, 1, 1, 2}, /* twice */
        {1, 2, 1, 2}, /* no beginning */
    };
    for (size_t i = 0; i < G_N_ELEMENTS(orders); i++) {
        struct ow_machine_hints *hints = ow_machine_hints_new();
        for (size_t k = 0; k < G_N_ELEMENTS(orders[i]); k++)
            take(hints, part_of_three(5, orders[i][k]));
        assert_int_equal(known(hints), 0);
        /* The next list is taken all the same. */
        for (uint32_t part = 0; part < 3; part++)
            take(hints, part_of_three(5, part));
        assert_int_equal(known(hints), 3);
        ow_machine_hints_free(hints);
    }
}

/* A deposed leader's list names machines that its successor has terminated since. */
static void test_lists_of_older_leaders_are_dropped(void **state)
{
    (void)state;
    struct ow_machine_hints *hints = ow_machine_hints_new();
    take(hints, machines_message(OW_PEER_MACHINES, 7, 0, 2));
    take(hints, machines_message(OW_PEER_MACHINES, 6, 0, 9));
    assert_int_equal(known(hints), 2);
    /* Parts of two leaders are not one list. */
    take(hints, part_of_three(7, 0));
    take(hints, part_of_three(8, 1));
    take(hints, part_of_three(8, 2));
    take(hints, part_of_three(7, 1));
    assert_int_equal(known(hints), 2);
    ow_machine_hints_free(hints);
}

static void test_list_parts_with_impossible_numbers_are_dropped(void **state)
{
    (void)state;
    struct ow_machine_hints *hints = ow_machine_hints_new();
    struct ow_peer_message *message = part_of_three(5, 0);
    message->machine_list.part_count = 0;
    take(hints, message);
    message = part_of_three(5, 3);
    take(hints, message);
    assert_int_equal(known(hints), 0);
    ow_machine_hints_free(hints);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_part_survives_encoding),
        cmocka_unit_test(test_too_long_list_is_not_sent_cut),
        cmocka_unit_test(test_parts_in_order_make_the_list),
        cmocka_unit_test(test_incomplete_lists_are_dropped_as_a_whole),
        cmocka_unit_test(test_lists_of_older_leaders_are_dropped),
        cmocka_unit_test(test_list_parts_with_impossible_numbers_are_dropped),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
