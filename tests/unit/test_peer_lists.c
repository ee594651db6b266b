/* Machine lists that are too long for one message between controllers: they are sent in parts, and an
 * incomplete set of parts is never used as the list. */
#include "check.h"
#include "core/peers/machine_hints.h"
#include "model/peer.h"
#include "wire/peer_xdr.h"

enum { FRAME_LENGTH_BYTES = 4, PART_MACHINES_MAX = 1000, LIST_MACHINES_MAX = 4000 };

static struct ow_peer_machine new_machine(unsigned number)
{
    struct ow_peer_machine machine = {.name = g_strdup_printf("m-%06u", number),
                                      .addr = g_strdup_printf("10.1.%u.%u:9000", number / 250, number % 250),
                                      .type = g_strdup("big"),
                                      .zone = g_strdup("east"),
                                      .spot = number % 2 == 0};
    return machine;
}

static struct ow_peer_message *new_machines_message(enum ow_peer_kind kind, uint64_t fencing_token,
                                                    unsigned first, unsigned count)
{
    struct ow_peer_message *message = ow_peer_message_new(kind);
    message->fencing_token = fencing_token;
    for (unsigned i = 0; i < count; i++) {
        struct ow_peer_machine machine = new_machine(first + i);
        g_array_append_val(message->machine_list.machines, machine);
    }
    return message;
}

/* One of the three parts of a list; its only machine has the number of the part. */
static struct ow_peer_message *new_part_of_three(uint64_t fencing_token, uint32_t part)
{
    struct ow_peer_message *message = new_machines_message(OW_PEER_MACHINES_PART, fencing_token, part, 1);
    message->machine_list.part_index = part;
    message->machine_list.part_count = 3;
    return message;
}

static void receive(struct ow_machine_hints *hints, struct ow_peer_message *message)
{
    ow_machine_hints_receive(hints, message);
    ow_peer_message_free(message);
}

static guint count_hints(const struct ow_machine_hints *hints)
{
    return ow_machine_hints_list(hints)->len;
}

static void test_machine_list_part_survives_encoding(void **state)
{
    (void)state;
    struct ow_peer_message *message =
        new_machines_message(OW_PEER_MACHINES_PART, UINT64_C(1) << 40, 7, PART_MACHINES_MAX);
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
    assert_int_equal(message->machine_list.machines->len, PART_MACHINES_MAX);
    const struct ow_peer_machine *last =
        &g_array_index(message->machine_list.machines, struct ow_peer_machine, PART_MACHINES_MAX - 1);
    assert_string_equal(last->name, "m-001006");
    assert_true(last->spot);
    ow_peer_message_free(message);
    g_string_free(frame, TRUE);
}

/* Guards against a list above the limit being truncated without an error, as it once was. */
static void test_list_above_the_limit_is_rejected_by_the_encoder(void **state)
{
    (void)state;
    GString *frame = g_string_new(NULL);
    struct ow_peer_message *oversized_list =
        new_machines_message(OW_PEER_MACHINES, 1, 0, LIST_MACHINES_MAX + 1);
    assert_false(wire_peer_encode(oversized_list, frame));
    struct ow_peer_message *part = new_machines_message(OW_PEER_MACHINES_PART, 1, 0, PART_MACHINES_MAX + 1);
    assert_false(wire_peer_encode(part, frame));
    assert_int_equal(frame->len, 0);
    ow_peer_message_free(oversized_list);
    ow_peer_message_free(part);
    g_string_free(frame, TRUE);
}

static void test_parts_in_order_replace_the_list_once_complete(void **state)
{
    (void)state;
    struct ow_machine_hints *hints = ow_machine_hints_new();
    receive(hints, new_machines_message(OW_PEER_MACHINES, 5, 0, 2));
    receive(hints, new_part_of_three(5, 0));
    receive(hints, new_part_of_three(5, 1));
    assert_int_equal(count_hints(hints), 2); /* the last complete list is used until all parts have come */
    receive(hints, new_part_of_three(5, 2));
    assert_int_equal(count_hints(hints), 3);
    assert_string_equal(g_array_index(ow_machine_hints_list(hints), struct ow_peer_machine, 2).name,
                        "m-000002");
    ow_machine_hints_free(hints);
}

static void test_incomplete_part_sequences_are_dropped(void **state)
{
    (void)state;
    static const uint32_t part_sequences[][4] = {
        {0, 2, 2, 2}, /* part 1 is missing */
        {0, 0, 2, 1}, /* restarted, then out of order */
        {0, 1, 1, 2}, /* part 1 is repeated */
        {1, 2, 1, 2}, /* part 0 is missing */
    };
    for (size_t i = 0; i < G_N_ELEMENTS(part_sequences); i++) {
        struct ow_machine_hints *hints = ow_machine_hints_new();
        for (size_t position = 0; position < G_N_ELEMENTS(part_sequences[i]); position++)
            receive(hints, new_part_of_three(5, part_sequences[i][position]));
        assert_int_equal(count_hints(hints), 0);
        /* A complete list is accepted afterwards. */
        for (uint32_t part = 0; part < 3; part++)
            receive(hints, new_part_of_three(5, part));
        assert_int_equal(count_hints(hints), 3);
        ow_machine_hints_free(hints);
    }
}

/* A deposed leader's list names machines that its successor has terminated since. */
static void test_lists_of_older_leaders_are_dropped(void **state)
{
    (void)state;
    struct ow_machine_hints *hints = ow_machine_hints_new();
    receive(hints, new_machines_message(OW_PEER_MACHINES, 7, 0, 2));
    receive(hints, new_machines_message(OW_PEER_MACHINES, 6, 0, 9));
    assert_int_equal(count_hints(hints), 2);
    /* Parts from two leaders are not combined into one list. */
    receive(hints, new_part_of_three(7, 0));
    receive(hints, new_part_of_three(8, 1));
    receive(hints, new_part_of_three(8, 2));
    receive(hints, new_part_of_three(7, 1));
    assert_int_equal(count_hints(hints), 2);
    ow_machine_hints_free(hints);
}

static void test_list_parts_with_invalid_part_numbers_are_dropped(void **state)
{
    (void)state;
    struct ow_machine_hints *hints = ow_machine_hints_new();
    struct ow_peer_message *message = new_part_of_three(5, 0);
    message->machine_list.part_count = 0;
    receive(hints, message);
    message = new_part_of_three(5, 3);
    receive(hints, message);
    assert_int_equal(count_hints(hints), 0);
    ow_machine_hints_free(hints);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_machine_list_part_survives_encoding),
        cmocka_unit_test(test_list_above_the_limit_is_rejected_by_the_encoder),
        cmocka_unit_test(test_parts_in_order_replace_the_list_once_complete),
        cmocka_unit_test(test_incomplete_part_sequences_are_dropped),
        cmocka_unit_test(test_lists_of_older_leaders_are_dropped),
        cmocka_unit_test(test_list_parts_with_invalid_part_numbers_are_dropped),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
