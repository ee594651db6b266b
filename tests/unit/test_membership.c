/* Failure detection between controllers: heartbeats, probes through others, and suspicion. */
#include "check.h"
#include "model/peer.h"
#include "sharding/membership.h"

#include <string.h>

static const double HEARTBEAT_S = 0.5;
/* Digest and process number of this controller. */
enum { DIGEST = 7, SELF_NUMBER = 99 };

/* A controller "self" with three peers, and what it has sent. */
struct bench {
    struct ow_sharding_settings *sharding;
    GArray *peers, *own_shards;
    struct ow_membership *membership;
    GPtrArray *sent; /* struct ow_peer_message, owned */
    double now;
    uint64_t sequence;
    bool silent[3]; /* peers that send no heartbeat */
};

static char *const names[] = {"one", "two", "three"};

static void free_message(void *message)
{
    ow_peer_message_free(message);
}

static int setup_bench(void **state)
{
    struct bench *bench = g_new0(struct bench, 1);
    bench->sharding = ow_sharding_settings_new();
    bench->now = 100;
    bench->sharding->heartbeat_s = HEARTBEAT_S;
    bench->peers = g_array_new(FALSE, TRUE, sizeof(struct ow_peer_settings));
    for (guint i = 0; i < G_N_ELEMENTS(names); i++) {
        struct ow_peer_settings peer = {.controller_name = names[i]};
        g_array_append_val(bench->peers, peer);
    }
    bench->own_shards = ow_peer_shards_new();
    bench->sent = g_ptr_array_new_with_free_func(free_message);
    bench->membership = ow_membership_new(bench->sharding, "self", bench->peers, SELF_NUMBER, DIGEST);
    *state = bench;
    return 0;
}

static int teardown_bench(void **state)
{
    struct bench *bench = *state;
    ow_membership_free(bench->membership);
    g_ptr_array_free(bench->sent, TRUE);
    g_array_free(bench->own_shards, TRUE);
    g_array_free(bench->peers, TRUE);
    ow_sharding_settings_free(bench->sharding);
    g_free(bench);
    return 0;
}

static struct ow_peer_message *heartbeat(const char *sender, uint64_t incarnation, uint64_t sequence)
{
    struct ow_peer_message *message = ow_peer_message_new(OW_PEER_HEARTBEAT);
    message->sender = g_strdup(sender);
    message->heartbeat.incarnation = incarnation;
    message->heartbeat.sequence = sequence;
    message->heartbeat.digest = DIGEST;
    return message;
}

/* Takes over the message. */
static void receive(struct bench *bench, struct ow_peer_message *message)
{
    ow_membership_receive(bench->membership, bench->now, message, bench->sent);
    ow_peer_message_free(message);
}

static void tick(struct bench *bench)
{
    ow_membership_tick(bench->membership, bench->now, bench->own_shards, bench->sent);
}

/* Lets time pass with the heartbeats of all that are not silent. */
static void run(struct bench *bench, double seconds)
{
    for (double end = bench->now + seconds; bench->now < end;) {
        bench->now += HEARTBEAT_S;
        bench->sequence++;
        for (guint i = 0; i < G_N_ELEMENTS(names); i++)
            if (!bench->silent[i])
                receive(bench, heartbeat(names[i], i + 1, bench->sequence));
        tick(bench);
    }
}

static enum ow_member_state state_of(const struct bench *bench, const char *name)
{
    return ow_membership_find(bench->membership, name)->state;
}

/* The messages of this step that were sent. */
static unsigned count_sent(const struct bench *bench, enum ow_probe_step step, const char *target)
{
    unsigned count = 0;
    for (guint i = 0; i < bench->sent->len; i++) {
        const struct ow_peer_message *message = g_ptr_array_index(bench->sent, i);
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
    struct bench *bench = *state;
    assert_int_equal(state_of(bench, "one"), OW_MEMBER_UNKNOWN);
    run(bench, 30);
    for (guint i = 0; i < G_N_ELEMENTS(names); i++)
        assert_int_equal(state_of(bench, names[i]), OW_MEMBER_ALIVE);
    bench->silent[0] = true;
    run(bench, 2);
    assert_int_equal(state_of(bench, "one"), OW_MEMBER_PROBING);
    /* The two others are asked; nobody answers for them here. */
    assert_int_equal(count_sent(bench, OW_PROBE_REQUEST, "one"), 2);
    run(bench, bench->sharding->probe_timeout_s + 1);
    assert_int_equal(state_of(bench, "one"), OW_MEMBER_SUSPECTED);
    assert_int_equal(state_of(bench, "two"), OW_MEMBER_ALIVE);
    bench->silent[0] = false;
    run(bench, 1);
    assert_int_equal(state_of(bench, "one"), OW_MEMBER_ALIVE);
    assert_int_equal(ow_membership_find(bench->membership, "one")->suspicions, 1);
}

/* Only our link to it is broken: it is not suspected. */
static void test_controller_that_others_reach_is_not_suspected(void **state)
{
    struct bench *bench = *state;
    run(bench, 30);
    bench->silent[0] = true;
    for (int i = 0; i < 60; i++) {
        run(bench, HEARTBEAT_S);
        uint64_t number = ow_membership_find(bench->membership, "one")->probe_number;
        receive(bench, probe(OW_PROBE_RELAYED, "two", "self", "two", "one", number));
        assert_int_not_equal(state_of(bench, "one"), OW_MEMBER_SUSPECTED);
    }
    assert_true(ow_member_is_live(ow_membership_find(bench->membership, "one")));
    /* An answer to an earlier probe proves nothing of now. */
    run(bench, 10);
    assert_int_equal(state_of(bench, "one"), OW_MEMBER_SUSPECTED);
    uint64_t old = ow_membership_find(bench->membership, "one")->probe_number - 1;
    receive(bench, probe(OW_PROBE_RELAYED, "two", "self", "two", "one", old));
    assert_int_equal(state_of(bench, "one"), OW_MEMBER_SUSPECTED);
}

static void test_probe_requests_are_relayed(void **state)
{
    struct bench *bench = *state;
    run(bench, 5);
    receive(bench, probe(OW_PROBE_REQUEST, "one", "one", "self", "two", 4));
    assert_int_equal(count_sent(bench, OW_PROBE_PING, "two"), 1);
    const struct ow_peer_message *ping = g_ptr_array_index(bench->sent, bench->sent->len - 1);
    assert_string_equal(ping->addressee, "two");
    receive(bench, probe(OW_PROBE_ACK, "two", "one", "self", "two", 4));
    const struct ow_peer_message *relayed = g_ptr_array_index(bench->sent, bench->sent->len - 1);
    assert_int_equal(relayed->probe.step, OW_PROBE_RELAYED);
    assert_string_equal(relayed->addressee, "one");
    receive(bench, probe(OW_PROBE_PING, "three", "one", "three", "self", 4));
    const struct ow_peer_message *ack = g_ptr_array_index(bench->sent, bench->sent->len - 1);
    assert_int_equal(ack->probe.step, OW_PROBE_ACK);
    assert_string_equal(ack->addressee, "three");
}

/* After a pause of its own a process has received nothing: it must not suspect the others for that. */
static void test_own_pause_suspects_no_controller(void **state)
{
    struct bench *bench = *state;
    run(bench, 30);
    bench->now += 60;
    tick(bench);
    for (guint i = 0; i < G_N_ELEMENTS(names); i++)
        assert_int_equal(state_of(bench, names[i]), OW_MEMBER_ALIVE);
    run(bench, 3);
    for (guint i = 0; i < G_N_ELEMENTS(names); i++) {
        assert_int_equal(state_of(bench, names[i]), OW_MEMBER_ALIVE);
        assert_int_equal(ow_membership_find(bench->membership, names[i])->suspicions, 0);
    }
}

static void test_invalid_and_stale_messages_are_dropped(void **state)
{
    struct bench *bench = *state;
    run(bench, 5);
    unsigned before = ow_membership_dropped_count(bench->membership);
    uint64_t last = bench->sequence;
    receive(bench, heartbeat("stranger", 1, 1));
    receive(bench, heartbeat(NULL, 1, 1));
    receive(bench, heartbeat("one", 1, last));     /* a duplicate */
    receive(bench, heartbeat("one", 1, last - 3)); /* older */
    receive(bench, heartbeat("one", 0, last + 5)); /* of no process */
    receive(bench, probe(OW_PROBE_STEPS, "one", "one", "self", "two", 4));
    receive(bench, probe(OW_PROBE_PING, "one", "one", "two", "three", 4));
    assert_int_equal(ow_membership_dropped_count(bench->membership), before + 7);
    /* After a restart the earlier process counts no more, however late its messages come. */
    receive(bench, heartbeat("one", 55, 1));
    assert_int_equal(ow_membership_dropped_count(bench->membership), before + 7);
    receive(bench, heartbeat("one", 1, last + 9));
    assert_int_equal(ow_membership_dropped_count(bench->membership), before + 8);
    assert_true(ow_membership_find(bench->membership, "one")->incarnation == 55);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(test_silent_controller_is_probed_and_then_suspected, setup_bench,
                                        teardown_bench),
        cmocka_unit_test_setup_teardown(test_controller_that_others_reach_is_not_suspected, setup_bench,
                                        teardown_bench),
        cmocka_unit_test_setup_teardown(test_probe_requests_are_relayed, setup_bench, teardown_bench),
        cmocka_unit_test_setup_teardown(test_own_pause_suspects_no_controller, setup_bench, teardown_bench),
        cmocka_unit_test_setup_teardown(test_invalid_and_stale_messages_are_dropped, setup_bench,
                                        teardown_bench),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
