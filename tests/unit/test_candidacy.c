/* Who runs for a shard that nobody leads. */
#include "check.h"
#include "model/peer.h"
#include "sharding/candidacy.h"

#include <string.h>

enum { CONTROLLERS = 4 };
static char *const names[CONTROLLERS] = {"self", "one", "two", "three"};

/* The membership as one controller sees it. */
struct bench {
    struct ow_sharding_settings *sharding;
    GArray *peers;
    struct ow_membership *membership;
};

static void open_bench(struct bench *bench, int self)
{
    bench->sharding = ow_sharding_settings_new();
    bench->peers = g_array_new(FALSE, TRUE, sizeof(struct ow_peer_settings));
    for (int i = 0; i < CONTROLLERS; i++) {
        struct ow_peer_settings peer = {.controller_name = names[i]};
        if (i != self)
            g_array_append_val(bench->peers, peer);
    }
    bench->membership = ow_membership_new(bench->sharding, names[self], bench->peers, 1, 1);
}

static void close_bench(struct bench *bench)
{
    ow_membership_free(bench->membership);
    g_array_free(bench->peers, TRUE);
    ow_sharding_settings_free(bench->sharding);
}

static int setup_bench_of_self(void **state)
{
    struct bench *bench = g_new0(struct bench, 1);
    open_bench(bench, 0);
    *state = bench;
    return 0;
}

static int teardown_bench(void **state)
{
    close_bench(*state);
    g_free(*state);
    return 0;
}

/* A heartbeat of a controller that leads so many shards. */
static void hear(struct bench *bench, const char *name, unsigned count)
{
    struct ow_peer_message *message = ow_peer_message_new(OW_PEER_HEARTBEAT);
    struct ow_peer_shard shard = {.name = names[0], .fencing_token = 1};
    GPtrArray *sent = g_ptr_array_new();
    message->sender = g_strdup(name);
    message->heartbeat.incarnation = message->heartbeat.sequence = message->heartbeat.digest = 1;
    for (unsigned i = 0; i < count; i++)
        ow_peer_shards_add(message->heartbeat.shards, &shard);
    ow_membership_receive(bench->membership, 1, message, sent);
    ow_peer_message_free(message);
    g_ptr_array_free(sent, TRUE);
}

static void test_controller_leading_fewest_shards_ranks_first(void **state)
{
    struct bench *bench = *state;
    /* Nobody is heard: nobody comes before us. */
    assert_int_equal(ow_candidacy_compute_rank(bench->membership, "self", 9, "north"), 0);
    assert_null(ow_candidacy_find_successor(bench->membership, "self", 9, "north"));
    hear(bench, "one", 2);
    hear(bench, "two", 0);
    hear(bench, "three", 4);
    assert_int_equal(ow_candidacy_compute_rank(bench->membership, "self", 1, "north"), 1);
    assert_int_equal(ow_candidacy_compute_rank(bench->membership, "self", 3, "north"), 2);
    assert_string_equal(ow_candidacy_find_successor(bench->membership, "self", 1, "north"), "two");
}

/* Among equals no two have the same rank, and different shards go to different controllers. */
static void test_equal_candidates_are_ordered_by_shard(void **state)
{
    (void)state;
    bool was_first[CONTROLLERS] = {false};
    for (int shard = 0; shard < 40; shard++) {
        char name[16];
        unsigned ranks = 0;
        g_snprintf(name, sizeof name, "shard-%d", shard);
        for (int self = 0; self < CONTROLLERS; self++) {
            struct bench bench;
            open_bench(&bench, self);
            for (int i = 0; i < CONTROLLERS; i++)
                if (i != self)
                    hear(&bench, names[i], 0);
            unsigned rank = ow_candidacy_compute_rank(bench.membership, names[self], 0, name);
            ranks |= 1U << rank;
            was_first[self] |= rank == 0;
            close_bench(&bench);
        }
        assert_int_equal(ranks, (1U << CONTROLLERS) - 1);
    }
    for (int i = 0; i < CONTROLLERS; i++)
        assert_true(was_first[i]);
}

/* Controllers start one after the other: the first must not take every shard before the others are heard. */
static void test_first_started_controller_leaves_shards_to_the_others(void **state)
{
    struct bench *bench = *state;
    GArray *nothing = ow_peer_shards_new();
    GPtrArray *sent = g_ptr_array_new();
    ow_membership_tick(bench->membership, 100, nothing, sent);
    unsigned later = 0;
    for (int shard = 0; shard < 40; shard++) {
        char name[16];
        g_snprintf(name, sizeof name, "shard-%d", shard);
        later += ow_candidacy_compute_rank(bench->membership, "self", 0, name) > 0 ? 1 : 0;
    }
    assert_true(later > 20);
    /* Those that stay silent are no candidates for long. */
    for (int second = 1; second < 8; second++)
        ow_membership_tick(bench->membership, 100 + second, nothing, sent);
    assert_int_equal(ow_candidacy_compute_rank(bench->membership, "self", 9, "shard-0"), 0);
    for (guint i = 0; i < sent->len; i++)
        ow_peer_message_free(g_ptr_array_index(sent, i));
    g_ptr_array_free(sent, TRUE);
    g_array_free(nothing, TRUE);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(test_controller_leading_fewest_shards_ranks_first,
                                        setup_bench_of_self, teardown_bench),
        cmocka_unit_test(test_equal_candidates_are_ordered_by_shard),
        cmocka_unit_test_setup_teardown(test_first_started_controller_leaves_shards_to_the_others,
                                        setup_bench_of_self, teardown_bench),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
