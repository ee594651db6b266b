/* Wire formats of a sharded fleet: messages between controllers, stored shard map, answers to operators. */
#include "check.h"
#include "model/operator_view.h"
#include "model/peer.h"
#include "wire/json.h"
#include "wire/peer_xdr.h"
#include "wire/sharding_json.h"

#include <string.h>

/* The length field at the start of a frame. */
enum { FRAME_LENGTH_BYTES = 4 };

/* Encodes and frees the message, and returns the decoded copy, owned by the caller. */
static struct ow_peer_message *encode_and_decode(struct ow_peer_message *message)
{
    GString *frame = g_string_new(NULL);
    struct ow_peer_message *decoded = NULL;
    assert_true(wire_peer_encode(message, frame));
    assert_true(wire_peer_decode(frame->str + FRAME_LENGTH_BYTES, frame->len - FRAME_LENGTH_BYTES, &decoded));
    assert_non_null(decoded);
    g_string_free(frame, TRUE);
    ow_peer_message_free(message);
    return decoded;
}

static struct ow_peer_message *new_heartbeat(unsigned shards)
{
    struct ow_peer_message *message = ow_peer_message_new(OW_PEER_HEARTBEAT);
    message->sender = g_strdup("controller-1");
    message->heartbeat.incarnation = UINT64_C(1) << 50;
    message->heartbeat.sequence = 17;
    message->heartbeat.digest = 99;
    for (unsigned i = 0; i < shards; i++) {
        struct ow_peer_shard shard = {"north", 5 + i, true, 12};
        ow_peer_shards_add(message->heartbeat.shards, &shard);
    }
    return message;
}

static void test_peer_heartbeat_survives_encoding(void **state)
{
    (void)state;
    struct ow_peer_message *message = encode_and_decode(new_heartbeat(2));
    assert_int_equal(message->kind, OW_PEER_HEARTBEAT);
    assert_string_equal(message->sender, "controller-1");
    assert_true(message->heartbeat.incarnation == UINT64_C(1) << 50 && message->heartbeat.sequence == 17 &&
                message->heartbeat.digest == 99);
    assert_int_equal(message->heartbeat.shards->len, 2);
    const struct ow_peer_shard *shard = &g_array_index(message->heartbeat.shards, struct ow_peer_shard, 1);
    assert_string_equal(shard->name, "north");
    assert_true(shard->fencing_token == 6 && shard->serving && shard->machines == 12);
    assert_null(message->shard);
    ow_peer_message_free(message);
}

static void test_heartbeat_with_too_many_shards_is_rejected_by_the_encoder(void **state)
{
    (void)state;
    struct ow_peer_message *message = new_heartbeat(33);
    GString *frame = g_string_new(NULL);
    assert_false(wire_peer_encode(message, frame));
    assert_int_equal(frame->len, 0);
    g_string_free(frame, TRUE);
    ow_peer_message_free(message);
}

static void test_probe_survives_encoding(void **state)
{
    (void)state;
    struct ow_peer_message *message = ow_peer_message_new(OW_PEER_PROBE);
    message->probe.step = OW_PROBE_ACK;
    message->sender = g_strdup("a");
    message->probe.origin = g_strdup("b");
    message->probe.relay = g_strdup("c");
    message->probe.target = g_strdup("d");
    message->probe.number = 7;
    message->addressee = g_strdup("c");
    message = encode_and_decode(message);
    assert_int_equal(message->probe.step, OW_PROBE_ACK);
    assert_string_equal(message->probe.origin, "b");
    assert_string_equal(message->probe.relay, "c");
    assert_string_equal(message->probe.target, "d");
    assert_int_equal(message->probe.number, 7);
    assert_null(message->addressee);
    ow_peer_message_free(message);
}

static void test_message_of_a_shard_keeps_its_shard(void **state)
{
    (void)state;
    struct ow_peer_message *message = ow_peer_message_new(OW_PEER_JOB_CHANGED);
    message->job_change.revision = 44;
    message->shard = g_strdup("south");
    message = encode_and_decode(message);
    assert_int_equal(message->kind, OW_PEER_JOB_CHANGED);
    assert_int_equal(message->job_change.revision, 44);
    assert_string_equal(message->shard, "south");
    ow_peer_message_free(message);
}

/* A message without a shard is encoded as in earlier versions, with the kind at the same offset in the
 * envelope. */
static void test_message_without_a_shard_is_encoded_as_in_earlier_versions(void **state)
{
    (void)state;
    static const unsigned char expected[] = {0, 0, 0, 20, 0, 0, 0, 2, 0, 0, 0, 3,
                                             0, 0, 0, 8,  0, 0, 0, 0, 0, 0, 0, 44};
    struct ow_peer_message *message = ow_peer_message_new(OW_PEER_JOB_CHANGED);
    GString *frame = g_string_new(NULL);
    message->job_change.revision = 44;
    assert_true(wire_peer_encode(message, frame));
    assert_int_equal(frame->len, sizeof expected);
    assert_memory_equal(frame->str, expected, sizeof expected);
    g_string_free(frame, TRUE);
    ow_peer_message_free(message);
}

/* Truncated messages with random bytes are decoded or rejected; a rejected one must leave no result. */
static void test_corrupted_messages_are_decoded_or_rejected(void **state)
{
    (void)state;
    GRand *rand = g_rand_new_with_seed(7);
    for (int round = 0; round < 3000; round++) {
        struct ow_peer_message *message = new_heartbeat(3);
        struct ow_peer_message *decoded = NULL;
        GString *frame = g_string_new(NULL);
        message->shard = round % 2 == 0 ? g_strdup("north") : NULL;
        assert_true(wire_peer_encode(message, frame));
        gsize size = frame->len - FRAME_LENGTH_BYTES;
        for (int i = 0; i < 3; i++)
            frame->str[FRAME_LENGTH_BYTES + g_rand_int_range(rand, 0, (gint32)size)] = (char)g_rand_int(rand);
        size = (gsize)g_rand_int_range(rand, 0, (gint32)size + 1);
        bool ok = wire_peer_decode(frame->str + FRAME_LENGTH_BYTES, size, &decoded);
        assert_true(ok || decoded == NULL);
        ow_peer_message_free(decoded);
        g_string_free(frame, TRUE);
        ow_peer_message_free(message);
    }
    g_rand_free(rand);
}

static void test_stored_shard_map_is_decoded_or_rejected(void **state)
{
    (void)state;
    GHashTable *values = g_hash_table_new(g_str_hash, g_str_equal);
    g_hash_table_insert(values, "shards", "north south");
    g_hash_table_insert(values, "election lease_s", "4");
    char *text = wire_shard_map_encode(values);
    json_t *object = wire_json_parse_object(text, strlen(text), &wire_json_any_fields);
    GHashTable *decoded = wire_shard_map_from_json(object);
    assert_int_equal(g_hash_table_size(decoded), 2);
    assert_string_equal(g_hash_table_lookup(decoded, "shards"), "north south");
    g_hash_table_destroy(decoded);
    json_decref(object);
    g_free(text);
    g_hash_table_destroy(values);
    static const char *const invalid_maps[] = {"{}", "{\"v\":2,\"values\":{}}", "{\"v\":1,\"values\":[]}",
                                               "{\"v\":1,\"values\":{\"a\":1}}"};
    for (guint i = 0; i < G_N_ELEMENTS(invalid_maps); i++) {
        object = wire_json_parse_object(invalid_maps[i], strlen(invalid_maps[i]), &wire_json_any_fields);
        assert_null(wire_shard_map_from_json(object));
        json_decref(object);
    }
}

/* Tools of operators parse these answers, so they must not change by a byte. */
static void test_controllers_view_is_encoded_byte_for_byte(void **state)
{
    (void)state;
    GArray *led_shards = ow_peer_shards_new();
    char west[] = "west";
    struct ow_peer_shard led = {.name = west, .fencing_token = 7};
    ow_peer_shards_add(led_shards, &led);
    struct ow_controller_view controller = {"node-1", "suspected", 1.5, "phi 9.0", 0.25, 2, led_shards};
    struct ow_controllers_view *view = ow_controllers_view_new();
    g_array_append_val(view->controllers, controller);
    view->dropped_messages = 3;
    char *text = wire_controllers_encode(view);
    assert_string_equal(text,
                        "{\"controllers\":[{\"name\":\"node-1\",\"state\":\"suspected\",\"since_s\":1.5,"
                        "\"cause\":\"phi 9.0\",\"phi\":0.25,\"suspicions\":2,\"leads\":[\"west\"]}],"
                        "\"agreement\":\"agreed\",\"dropped\":3}");
    g_free(text);
    g_array_set_size(view->controllers, 0);
    view->difference = "team vision";
    text = wire_controllers_encode(view);
    assert_string_equal(text, "{\"controllers\":[],\"agreement\":\"team vision\",\"dropped\":3}");
    g_free(text);
    ow_controllers_view_free(view);
    g_array_free(led_shards, TRUE);
}

static void test_shards_view_is_encoded_byte_for_byte(void **state)
{
    (void)state;
    struct ow_failover_step_view step = {"lease gone", 2.5, "its key is gone"};
    struct ow_shard_view led = {"east", "serving", 12, 4, 3, 1, NULL, "node-0", "node-2"};
    struct ow_shard_view unknown = {"west", "unknown", 0, 0, 0, 0, NULL, NULL, "node-0"};
    led.steps = g_array_new(FALSE, FALSE, sizeof step);
    unknown.steps = g_array_new(FALSE, FALSE, sizeof step);
    g_array_append_val(led.steps, step);
    GArray *views = ow_shard_views_new();
    g_array_append_val(views, led);
    g_array_append_val(views, unknown);
    char *text = wire_shards_encode(views);
    assert_string_equal(
        text,
        "{\"shards\":[{\"name\":\"east\",\"state\":\"serving\",\"token\":12,\"machines\":4,\"fenced\":3,"
        "\"withheld\":1,\"steps\":[{\"state\":\"lease gone\",\"since_s\":2.5,"
        "\"cause\":\"its key is gone\"}],\"leader\":\"node-0\",\"successor\":\"node-2\"},"
        "{\"name\":\"west\",\"state\":\"unknown\",\"token\":0,\"machines\":0,\"fenced\":0,"
        "\"withheld\":0,\"steps\":[],\"successor\":\"node-0\"}]}");
    g_free(text);
    g_array_unref(views);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_peer_heartbeat_survives_encoding),
        cmocka_unit_test(test_heartbeat_with_too_many_shards_is_rejected_by_the_encoder),
        cmocka_unit_test(test_probe_survives_encoding),
        cmocka_unit_test(test_message_of_a_shard_keeps_its_shard),
        cmocka_unit_test(test_message_without_a_shard_is_encoded_as_in_earlier_versions),
        cmocka_unit_test(test_corrupted_messages_are_decoded_or_rejected),
        cmocka_unit_test(test_stored_shard_map_is_decoded_or_rejected),
        cmocka_unit_test(test_controllers_view_is_encoded_byte_for_byte),
        cmocka_unit_test(test_shards_view_is_encoded_byte_for_byte),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
