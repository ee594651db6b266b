/* Failure detection between controllers: heartbeats, indirect probes and suspicion. */
#include "check.h"
#include "model/peer.h"
#include "sharding/membership.h"

#include <string.h>

static const double HEARTBEAT_S = 0.5;
/* Settings digest and incarnation of the controller under test. */
enum { SETTINGS_DIGEST = 7, SELF_INCARNATION = 99 };

/* A controller "self" with three peers, and the messages that it has sent. */
struct fixture {
    struct ow_sharding_settings *sharding;
    GArray *peers, *own_shards;
    struct ow_membership *membership;
    GPtrArray *sent; /* struct ow_peer_message, owned */
    double now;
    uint64_t sequence;
    bool is_silent[3]; /* peers that send no heartbeat */
};

static char *const peer_names[] = {"one", "two", "three"};

static void free_message(void *message)
{
    ow_peer_message_free(message);
}

static int setup_fixture(void **state)
{
    struct fixture *fixture = g_new0(struct fixture, 1);
    fixture->sharding = ow_sharding_settings_new();
    fixture->now = 100;
    fixture->sharding->heartbeat_s = HEARTBEAT_S;
    fixture->peers = g_array_new(FALSE, TRUE, sizeof(struct ow_peer_settings));
    for (guint i = 0; i < G_N_ELEMENTS(peer_names); i++) {
        struct ow_peer_settings peer = {.controller_name = peer_names[i]};
        g_array_append_val(fixture->peers, peer);
    }
    fixture->own_shards = ow_peer_shards_new();
    fixture->sent = g_ptr_array_new_with_free_func(free_message);
    fixture->membership =
        ow_membership_new(fixture->sharding, "self", fixture->peers, SELF_INCARNATION, SETTINGS_DIGEST);
    *state = fixture;
    return 0;
}

static int teardown_fixture(void **state)
{
    struct fixture *fixture = *state;
    ow_membership_free(fixture->membership);
    g_ptr_array_free(fixture->sent, TRUE);
    g_array_free(fixture->own_shards, TRUE);
    g_array_free(fixture->peers, TRUE);
    ow_sharding_settings_free(fixture->sharding);
    g_free(fixture);
    return 0;
}

static struct ow_peer_message *heartbeat(const char *sender, uint64_t incarnation, uint64_t sequence)
{
    struct ow_peer_message *message = ow_peer_message_new(OW_PEER_HEARTBEAT);
    message->sender = g_strdup(sender);
    message->heartbeat.incarnation = incarnation;
    message->heartbeat.sequence = sequence;
    message->heartbeat.digest = SETTINGS_DIGEST;
    return message;
}

/* Receives the message and frees it. */
static void receive(struct fixture *fixture, struct ow_peer_message *message)
{
    ow_membership_receive(fixture->membership, fixture->now, message, fixture->sent);
    ow_peer_message_free(message);
}

static void tick(struct fixture *fixture)
{
    ow_membership_tick(fixture->membership, fixture->now, fixture->own_shards, fixture->sent);
}

/* Advances time, with a heartbeat of every peer that is not silent in each interval. */
static void run_for(struct fixture *fixture, double seconds)
{
    for (double end = fixture->now + seconds; fixture->now < end;) {
        fixture->now += HEARTBEAT_S;
        fixture->sequence++;
        for (guint i = 0; i < G_N_ELEMENTS(peer_names); i++)
            if (!fixture->is_silent[i])
                receive(fixture, heartbeat(peer_names[i], i + 1, fixture->sequence));
        tick(fixture);
    }
}

static enum ow_member_state state_of(const struct fixture *fixture, const char *name)
{
    return ow_membership_find(fixture->membership, name)->state;
}

/* Number of probe messages of this step and target that were sent. */
static unsigned count_sent(const struct fixture *fixture, enum ow_probe_step step, const char *target)
{
    unsigned count = 0;
    for (guint i = 0; i < fixture->sent->len; i++) {
        const struct ow_peer_message *message = g_ptr_array_index(fixture->sent, i);
        if (message->kind == OW_PEER_PROBE && message->probe.step == step &&
            strcmp(message->probe.target, target) == 0)
            count++;
    }
    return count;
}

static struct ow_peer_message *probe(enum ow_probe_step step, const char *sender, const char *origin,
                                     const char *relay, const char *target, uint64_t number)
{
    struct ow_peer_message *message = ow_peer_message_new(OW_PEER_PROBE);
    message->probe.step = step;
    message->sender = g_strdup(sender);
    message->probe.origin = g_strdup(origin);
    message->probe.relay = g_strdup(relay);
    message->probe.target = g_strdup(target);
    message->probe.number = number;
    return message;
}

static void test_silent_controller_is_probed_and_then_suspected(void **state)
{
    struct fixture *fixture = *state;
    assert_int_equal(state_of(fixture, "one"), OW_MEMBER_UNKNOWN);
    run_for(fixture, 30);
    for (guint i = 0; i < G_N_ELEMENTS(peer_names); i++)
        assert_int_equal(state_of(fixture, peer_names[i]), OW_MEMBER_ALIVE);
    fixture->is_silent[0] = true;
    run_for(fixture, 2);
    assert_int_equal(state_of(fixture, "one"), OW_MEMBER_PROBING);
    /* Both other peers are asked to probe it; the test sends no replies. */
    assert_int_equal(count_sent(fixture, OW_PROBE_REQUEST, "one"), 2);
    run_for(fixture, fixture->sharding->probe_timeout_s + 1);
    assert_int_equal(state_of(fixture, "one"), OW_MEMBER_SUSPECTED);
    assert_int_equal(state_of(fixture, "two"), OW_MEMBER_ALIVE);
    fixture->is_silent[0] = false;
    run_for(fixture, 1);
    assert_int_equal(state_of(fixture, "one"), OW_MEMBER_ALIVE);
    assert_int_equal(ow_membership_find(fixture->membership, "one")->suspicions, 1);
}

/* A controller whose direct link alone has failed is still reached through relays. */
static void test_controller_reached_by_relay_is_not_suspected(void **state)
{
    struct fixture *fixture = *state;
    run_for(fixture, 30);
    fixture->is_silent[0] = true;
    for (int i = 0; i < 60; i++) {
        run_for(fixture, HEARTBEAT_S);
        uint64_t number = ow_membership_find(fixture->membership, "one")->probe_number;
        receive(fixture, probe(OW_PROBE_RELAYED, "two", "self", "two", "one", number));
        assert_int_not_equal(state_of(fixture, "one"), OW_MEMBER_SUSPECTED);
    }
    assert_true(ow_member_is_live(ow_membership_find(fixture->membership, "one")));
    /* A reply to an earlier probe does not clear the suspicion. */
    run_for(fixture, 10);
    assert_int_equal(state_of(fixture, "one"), OW_MEMBER_SUSPECTED);
    uint64_t old_number = ow_membership_find(fixture->membership, "one")->probe_number - 1;
    receive(fixture, probe(OW_PROBE_RELAYED, "two", "self", "two", "one", old_number));
    assert_int_equal(state_of(fixture, "one"), OW_MEMBER_SUSPECTED);
}

static void test_probe_requests_are_relayed(void **state)
{
    struct fixture *fixture = *state;
    run_for(fixture, 5);
    receive(fixture, probe(OW_PROBE_REQUEST, "one", "one", "self", "two", 4));
    assert_int_equal(count_sent(fixture, OW_PROBE_PING, "two"), 1);
    const struct ow_peer_message *ping = g_ptr_array_index(fixture->sent, fixture->sent->len - 1);
    assert_string_equal(ping->addressee, "two");
    receive(fixture, probe(OW_PROBE_ACK, "two", "one", "self", "two", 4));
    const struct ow_peer_message *relayed = g_ptr_array_index(fixture->sent, fixture->sent->len - 1);
    assert_int_equal(relayed->probe.step, OW_PROBE_RELAYED);
    assert_string_equal(relayed->addressee, "one");
    receive(fixture, probe(OW_PROBE_PING, "three", "one", "three", "self", 4));
    const struct ow_peer_message *ack = g_ptr_array_index(fixture->sent, fixture->sent->len - 1);
    assert_int_equal(ack->probe.step, OW_PROBE_ACK);
    assert_string_equal(ack->addressee, "three");
}

/* A process that was paused has received no heartbeats; it must not suspect the others because of that. */
static void test_own_pause_causes_no_suspicion(void **state)
{
    struct fixture *fixture = *state;
    run_for(fixture, 30);
    fixture->now += 60;
    tick(fixture);
    for (guint i = 0; i < G_N_ELEMENTS(peer_names); i++)
        assert_int_equal(state_of(fixture, peer_names[i]), OW_MEMBER_ALIVE);
    run_for(fixture, 3);
    for (guint i = 0; i < G_N_ELEMENTS(peer_names); i++) {
        assert_int_equal(state_of(fixture, peer_names[i]), OW_MEMBER_ALIVE);
        assert_int_equal(ow_membership_find(fixture->membership, peer_names[i])->suspicions, 0);
    }
}

static void test_invalid_and_stale_messages_are_dropped(void **state)
{
    struct fixture *fixture = *state;
    run_for(fixture, 5);
    unsigned dropped_before = ow_membership_dropped_count(fixture->membership);
    uint64_t last_sequence = fixture->sequence;
    receive(fixture, heartbeat("stranger", 1, 1));
    receive(fixture, heartbeat(NULL, 1, 1));
    receive(fixture, heartbeat("one", 1, last_sequence));     /* a duplicate */
    receive(fixture, heartbeat("one", 1, last_sequence - 3)); /* older */
    receive(fixture, heartbeat("one", 0, last_sequence + 5)); /* no incarnation */
    receive(fixture, probe(OW_PROBE_STEPS, "one", "one", "self", "two", 4));
    receive(fixture, probe(OW_PROBE_PING, "one", "one", "two", "three", 4));
    assert_int_equal(ow_membership_dropped_count(fixture->membership), dropped_before + 7);
    /* After a restart of the peer, late messages of its earlier incarnation are dropped. */
    receive(fixture, heartbeat("one", 55, 1));
    assert_int_equal(ow_membership_dropped_count(fixture->membership), dropped_before + 7);
    receive(fixture, heartbeat("one", 1, last_sequence + 9));
    assert_int_equal(ow_membership_dropped_count(fixture->membership), dropped_before + 8);
    assert_true(ow_membership_find(fixture->membership, "one")->incarnation == 55);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(test_silent_controller_is_probed_and_then_suspected, setup_fixture,
                                        teardown_fixture),
        cmocka_unit_test_setup_teardown(test_controller_reached_by_relay_is_not_suspected, setup_fixture,
                                        teardown_fixture),
        cmocka_unit_test_setup_teardown(test_probe_requests_are_relayed, setup_fixture, teardown_fixture),
        cmocka_unit_test_setup_teardown(test_own_pause_causes_no_suspicion, setup_fixture, teardown_fixture),
        cmocka_unit_test_setup_teardown(test_invalid_and_stale_messages_are_dropped, setup_fixture,
                                        teardown_fixture),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
