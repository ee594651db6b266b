/* Encoding of messages between controllers, and decoding of messages of later versions. */
#include "check.h"
#include "model/peer.h"
#include "wire/peer_xdr.h"

static struct ow_peer_message *encode_and_decode(struct ow_peer_message *message)
{
    GString *frame = g_string_new(NULL);
    assert_true(wire_peer_encode(message, frame));
    struct ow_peer_message *decoded = NULL;
    assert_true(wire_peer_decode(frame->str + 4, frame->len - 4, &decoded));
    g_string_free(frame, TRUE);
    ow_peer_message_free(message);
    return decoded;
}

static void test_summary_survives_encoding(void **state)
{
    (void)state;
    struct ow_peer_message *message = ow_peer_message_new(OW_PEER_SUMMARY);
    struct ow_peer_job job = {.id = "run-1", .done = 2, .running = 3, .reason = g_strdup("because")};
    message->fencing_token = UINT64_C(1) << 40;
    g_array_append_val(message->summary.jobs, job);
    message = encode_and_decode(message);
    assert_non_null(message);
    assert_true(message->fencing_token == UINT64_C(1) << 40 && message->summary.jobs->len == 1);
    assert_string_equal(g_array_index(message->summary.jobs, struct ow_peer_job, 0).reason, "because");
    ow_peer_message_free(message);
}

static void test_cancellation_messages_survive_encoding(void **state)
{
    (void)state;
    for (enum ow_peer_kind kind = OW_PEER_CANCELLATION; kind <= OW_PEER_CANCELLATION_ACK; kind++) {
        struct ow_peer_message *message = ow_peer_message_new(kind);
        g_strlcpy(message->cancellation.job, "run-000412", sizeof message->cancellation.job);
        message->cancellation.revision = UINT64_C(1) << 41;
        message->fencing_token = 77;
        message = encode_and_decode(message);
        assert_non_null(message);
        assert_int_equal(message->kind, kind);
        assert_int_equal(message->version, 2);
        assert_string_equal(message->cancellation.job, "run-000412");
        assert_true(message->cancellation.revision == UINT64_C(1) << 41 && message->fencing_token == 77);
        ow_peer_message_free(message);
    }
}

/* Messages of a later version: an unknown kind is skipped, and so are the bytes after the known fields of a
 * known kind. */
static void test_unknown_kinds_and_fields_of_later_versions_are_skipped(void **state)
{
    (void)state;
    static const char unknown_kind[] = "\0\0\0\2\0\0\0\143\0\0\0\4abcd";
    static const char with_extra_bytes[] = "\0\0\0\2\0\0\0\3\0\0\0\14\0\0\0\0\0\0\0\11more";
    struct ow_peer_message *message = NULL;
    assert_true(wire_peer_decode(unknown_kind, sizeof unknown_kind - 1, &message));
    assert_null(message);
    assert_true(wire_peer_decode(with_extra_bytes, sizeof with_extra_bytes - 1, &message));
    assert_non_null(message);
    assert_int_equal(message->kind, OW_PEER_JOB_CHANGED);
    assert_int_equal(message->job_change.revision, 9);
    assert_int_equal(message->version, 2);
    ow_peer_message_free(message);
    /* A message that ends within the known fields is invalid. */
    assert_false(wire_peer_decode("\0\0\0\1\0\0\0\3\0\0\0\4\0\0\0\0", 16, &message));
    assert_null(message);
}

static void test_random_peer_messages_are_decoded_or_rejected(void **state)
{
    (void)state;
    GRand *rand = g_rand_new_with_seed(3);
    for (int round = 0; round < 2000; round++) {
        char bytes[64] = {0};
        for (size_t i = 4; i < sizeof bytes; i++)
            bytes[i] = (char)(g_rand_int(rand) & (round % 3 == 0 ? 0xff : 0x07));
        bytes[3] = (char)(round % 6);
        struct ow_peer_message *message = NULL;
        assert_true(wire_peer_decode(bytes, (size_t)g_rand_int_range(rand, 0, sizeof bytes), &message) ||
                    message == NULL);
        ow_peer_message_free(message);
    }
    struct ow_peer_message *decoded = NULL;
    assert_false(wire_peer_decode("\0\0\0\11", 4, &decoded));
    assert_null(decoded);
    g_rand_free(rand);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_summary_survives_encoding),
        cmocka_unit_test(test_cancellation_messages_survive_encoding),
        cmocka_unit_test(test_unknown_kinds_and_fields_of_later_versions_are_skipped),
        cmocka_unit_test(test_random_peer_messages_are_decoded_or_rejected),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
