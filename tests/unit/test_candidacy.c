/* The order in which controllers become candidates for a shard without a leader. */
#include "check.h"
#include "model/peer.h"
#include "sharding/candidacy.h"

#include <string.h>

enum { CONTROLLERS = 4 };
static char *const names[CONTROLLERS] = {"self", "one", "two", "three"};

/* The membership in the view of one controller. */
struct fixture {
    struct ow_sharding_settings *sharding;
    GArray *peers;
    struct ow_membership *membership;
};

static void fixture_init(struct fixture *fixture, int self)
{
    fixture->sharding = ow_sharding_settings_new();
    fixture->peers = g_array_new(FALSE, TRUE, sizeof(struct ow_peer_settings));
    for (int i = 0; i < CONTROLLERS; i++) {
        struct ow_peer_settings peer = {.controller_name = names[i]};
        if (i != self)
            g_array_append_val(fixture->peers, peer);
    }
    fixture->membership = ow_membership_new(fixture->sharding, names[self], fixture->peers, 1, 1);
}

static void fixture_clear(struct fixture *fixture)
{
    ow_membership_free(fixture->membership);
    g_array_free(fixture->peers, TRUE);
    ow_sharding_settings_free(fixture->sharding);
}

static int setup_fixture_of_self(void **state)
{
    struct fixture *fixture = g_new0(struct fixture, 1);
    fixture_init(fixture, 0);
    *state = fixture;
    return 0;
}

static int teardown_fixture(void **state)
{
    fixture_clear(*state);
    g_free(*state);
    return 0;
}

/* Receives a heartbeat of a controller that leads `count` shards. */
static void receive_heartbeat(struct fixture *fixture, const char *name, unsigned count)
{
    struct ow_peer_message *message = ow_peer_message_new(OW_PEER_HEARTBEAT);
    struct ow_peer_shard shard = {.name = names[0], .fencing_token = 1};
    GPtrArray *sent_messages = g_ptr_array_new();
    message->sender = g_strdup(name);
    message->heartbeat.incarnation = message->heartbeat.sequence = message->heartbeat.digest = 1;
    for (unsigned i = 0; i < count; i++)
        ow_peer_shards_add(message->heartbeat.shards, &shard);
    ow_membership_receive(fixture->membership, 1, message, sent_messages);
    ow_peer_message_free(message);
    g_ptr_array_free(sent_messages, TRUE);
}

static void test_controller_leading_fewest_shards_ranks_first(void **state)
{
    struct fixture *fixture = *state;
    /* Without heartbeats from others no controller ranks before this one. */
    assert_int_equal(ow_candidacy_compute_rank(fixture->membership, "self", 9, "north"), 0);
    assert_null(ow_candidacy_find_successor(fixture->membership, "self", 9, "north"));
    receive_heartbeat(fixture, "one", 2);
    receive_heartbeat(fixture, "two", 0);
    receive_heartbeat(fixture, "three", 4);
    assert_int_equal(ow_candidacy_compute_rank(fixture->membership, "self", 1, "north"), 1);
    assert_int_equal(ow_candidacy_compute_rank(fixture->membership, "self", 3, "north"), 2);
    assert_string_equal(ow_candidacy_find_successor(fixture->membership, "self", 1, "north"), "two");
}

/* Controllers that lead equally many shards get distinct ranks, and each is first for some shard. */
static void test_equal_candidates_get_distinct_ranks_for_each_shard(void **state)
{
    (void)state;
    bool was_first[CONTROLLERS] = {false};
    for (int shard = 0; shard < 40; shard++) {
        char name[16];
        unsigned ranks = 0;
        g_snprintf(name, sizeof name, "shard-%d", shard);
        for (int self = 0; self < CONTROLLERS; self++) {
            struct fixture fixture;
            fixture_init(&fixture, self);
            for (int i = 0; i < CONTROLLERS; i++)
                if (i != self)
                    receive_heartbeat(&fixture, names[i], 0);
            unsigned rank = ow_candidacy_compute_rank(fixture.membership, names[self], 0, name);
            ranks |= 1U << rank;
            was_first[self] |= rank == 0;
            fixture_clear(&fixture);
        }
        assert_int_equal(ranks, (1U << CONTROLLERS) - 1);
    }
    for (int i = 0; i < CONTROLLERS; i++)
        assert_true(was_first[i]);
}

/* Controllers start one after the other: the first must not take every shard before it has received
 * heartbeats from the others. */
static void test_first_started_controller_leaves_shards_to_the_others(void **state)
{
    struct fixture *fixture = *state;
    GArray *no_shards = ow_peer_shards_new();
    GPtrArray *sent_messages = g_ptr_array_new();
    ow_membership_tick(fixture->membership, 100, no_shards, sent_messages);
    unsigned not_first_count = 0;
    for (int shard = 0; shard < 40; shard++) {
        char name[16];
        g_snprintf(name, sizeof name, "shard-%d", shard);
        not_first_count += ow_candidacy_compute_rank(fixture->membership, "self", 0, name) > 0 ? 1 : 0;
    }
    assert_true(not_first_count > 20);
    /* Controllers that send no heartbeat soon stop being candidates. */
    for (int second = 1; second < 8; second++)
        ow_membership_tick(fixture->membership, 100 + second, no_shards, sent_messages);
    assert_int_equal(ow_candidacy_compute_rank(fixture->membership, "self", 9, "shard-0"), 0);
    for (guint i = 0; i < sent_messages->len; i++)
        ow_peer_message_free(g_ptr_array_index(sent_messages, i));
    g_ptr_array_free(sent_messages, TRUE);
    g_array_free(no_shards, TRUE);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(test_controller_leading_fewest_shards_ranks_first,
                                        setup_fixture_of_self, teardown_fixture),
        cmocka_unit_test(test_equal_candidates_get_distinct_ranks_for_each_shard),
        cmocka_unit_test_setup_teardown(test_first_started_controller_leaves_shards_to_the_others,
                                        setup_fixture_of_self, teardown_fixture),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
