/* A fleet divided into shards, on the simulated cluster: who leads what, and handovers. */
#include "check.h"
#include "world.h"

enum { EAST, WEST };

static const struct ow_shard *shard_view(const struct world *w, int controller, guint shard)
{
    return g_ptr_array_index(ow_shard_manager_shards(w->controllers[controller]), shard);
}

static uint64_t shard_fencing_token(const struct world *w, guint shard)
{
    return shard_view(w, world_shard_leader(w, shard), shard)->status.fencing_token;
}

/* The controllers that believe that they lead the shard, stopped ones left out. */
static int count_leaders(const struct world *w, guint shard)
{
    int count = 0;
    for (int i = 0; i < WORLD_CONTROLLERS; i++)
        if (w->controllers[i] != NULL && !w->frozen[i])
            count += shard_view(w, i, shard)->status.fencing_token != 0 ? 1 : 0;
    return count;
}

static bool handed_over(struct world *w, const void *old_fencing_token)
{
    return world_shard_leader(w, EAST) >= 0 &&
           shard_fencing_token(w, EAST) > *(const uint64_t *)old_fencing_token;
}

/* ---- who leads ---- */

static void test_shards_are_led_by_different_controllers(void **state)
{
    (void)state;
    struct world *w = world_with_shards(2);
    assert_int_equal(count_leaders(w, EAST), 1);
    assert_int_equal(count_leaders(w, WEST), 1);
    assert_int_not_equal(world_shard_leader(w, EAST), world_shard_leader(w, WEST));
    assert_int_not_equal(shard_fencing_token(w, EAST), shard_fencing_token(w, WEST));
    /* Each machine has seen the fencing token of its own shard. */
    assert_int_equal(world_machine(w, "east-0")->fencing_token, shard_fencing_token(w, EAST));
    assert_int_equal(world_machine(w, "west-1")->fencing_token, shard_fencing_token(w, WEST));
    world_finish(w);
}

static void test_ended_controller_hands_over_and_gets_nothing_back(void **state)
{
    (void)state;
    struct world *w = world_with_shards(2);
    w->run_time_s = 60;
    int old = world_shard_leader(w, EAST);
    uint64_t fencing_token = shard_fencing_token(w, EAST);
    uint64_t west_fencing_token = shard_fencing_token(w, WEST);
    world_accept(w, 0, world_job_in("run-1", "east", 2));
    world_kill_controller(w, old);
    assert_true(world_until(w, 15, handed_over, &fencing_token));
    int successor = world_shard_leader(w, EAST);
    /* Its tasks ran on through the handover, and new ones start. */
    world_accept(w, successor, world_job_in("run-2", "east", 1));
    assert_int_equal(world_running(w, "run-1"), 2);
    assert_int_equal(world_running(w, "run-2"), 1);
    assert_int_equal(shard_fencing_token(w, WEST), west_fencing_token);
    /* When it is back, work does not bounce. */
    fencing_token = shard_fencing_token(w, EAST);
    world_start_controller(w, old);
    world_run(w, 20);
    assert_int_equal(world_shard_leader(w, EAST), successor);
    assert_int_equal(shard_fencing_token(w, EAST), fencing_token);
    world_finish(w);
}

/* A lost link is no evidence: before the lease has ended nobody is replaced. */
static void test_lost_link_moves_nothing(void **state)
{
    (void)state;
    struct world *w = world_with_shards(1);
    world_run(w, 10);
    int old = world_shard_leader(w, EAST);
    uint64_t fencing_token = shard_fencing_token(w, EAST);
    world_lose_link(w, (old + 1) % WORLD_CONTROLLERS, old);
    w->peers_cut = true;
    world_run(w, 30);
    assert_int_equal(shard_fencing_token(w, EAST), fencing_token);
    int other = (old + 1) % WORLD_CONTROLLERS;
    const struct ow_member *member = g_ptr_array_index(ow_shard_manager_members(w->controllers[other]), 0);
    assert_int_equal(member->state, OW_MEMBER_SUSPECTED);
    world_finish(w);
}

/* The same for a fleet of the default shard alone, whose records and messages are those of a fleet without
 * shards. */
static void test_default_shard_keeps_keys_and_leader(void **state)
{
    (void)state;
    struct world *w = world_new();
    world_divide(w);
    g_ptr_array_set_size(w->sharding->shards, 1);
    struct ow_shard_settings *only = g_ptr_array_index(w->sharding->shards, 0);
    g_free(only->name);
    only->name = g_strdup("default");
    only->share = 1;
    g_strfreev(only->zones);
    only->zones = g_strsplit("east west", " ", 0);
    world_start_controllers(w);
    world_add_group(w, "east", 1, "east", false);
    world_run(w, 20);
    world_accept(w, 0, world_job("run-1", 1, 1));
    assert_non_null(world_value_text(w, "coordinator"));
    assert_non_null(world_value_text(w, "j/run-1"));
    int old = world_shard_leader(w, 0);
    uint64_t fencing_token = shard_fencing_token(w, 0);
    world_lose_link(w, (old + 1) % WORLD_CONTROLLERS, old);
    world_run(w, 10);
    assert_int_equal(world_shard_leader(w, 0), old);
    assert_int_equal(shard_fencing_token(w, 0), fencing_token);
    world_finish(w);
}

/* The key-value store fails for all: nobody is condemned, and tasks run on. */
static void test_outage_condemns_nobody(void **state)
{
    (void)state;
    struct world *w = world_with_shards(2);
    w->run_time_s = 200;
    world_accept(w, 0, world_job_in("run-1", "east", 2));
    uint64_t fencing_token = shard_fencing_token(w, EAST);
    w->store_down = true;
    world_run(w, 60);
    w->store_down = false;
    world_run(w, 10);
    assert_int_equal(shard_fencing_token(w, EAST), fencing_token);
    assert_int_equal(world_running(w, "run-1"), 2);
    world_finish(w);
}

/* ---- a frozen controller ---- */

static void test_frozen_leader_never_shares_its_machines(void **state)
{
    (void)state;
    struct world *w = world_with_shards(2);
    int old = world_shard_leader(w, EAST);
    uint64_t fencing_token = shard_fencing_token(w, EAST);
    world_accept(w, (old + 1) % WORLD_CONTROLLERS, world_job_in("run-1", "east", 3));
    world_freeze(w, old);
    world_run(w, 30);
    assert_true(shard_fencing_token(w, EAST) > fencing_token);
    uint64_t successor_fencing_token = shard_fencing_token(w, EAST);
    world_accept(w, (old + 1) % WORLD_CONTROLLERS, world_job_in("run-2", "east", 3));
    unsigned directs = w->directs;
    world_thaw(w, old);
    /* Its first run after the pause has much that is due, and sends none of it. */
    world_run(w, 0.05);
    assert_true(w->directs - directs <= 2);
    world_run(w, 10);
    assert_int_equal(count_leaders(w, EAST), 1);
    assert_int_equal(shard_fencing_token(w, EAST), successor_fencing_token);
    assert_int_equal(world_machine(w, "east-0")->fencing_token, successor_fencing_token);
    world_finish(w);
}

/* Workers of a leader that stands still turn to its successor only when they have waited for its answer. With
   short report intervals the successor took that for a loss of its own and gave the shard back: seen on a
   loopback cluster. */
static void test_successor_waits_for_workers_of_a_frozen_leader(void **state)
{
    (void)state;
    struct world *w = world_new();
    for (int i = 0; i < WORLD_CONTROLLERS; i++)
        w->settings[i].heartbeat_interval_s = 1;
    w->tuning.leader_lease_s = 2;
    world_divide(w);
    world_start_controllers(w);
    world_add_group(w, "east", 3, "east", false);
    world_add_group(w, "west", 3, "west", false);
    world_run(w, 10);
    int old = world_shard_leader(w, EAST);
    uint64_t fencing_token = shard_fencing_token(w, EAST);
    world_freeze(w, old);
    assert_true(world_until(w, 4, handed_over, &fencing_token));
    fencing_token = shard_fencing_token(w, EAST);
    world_run(w, 2.9); /* the workers still wait for the one that stands still */
    world_thaw(w, old);
    world_run(w, 20);
    assert_int_equal(shard_fencing_token(w, EAST), fencing_token);
    world_finish(w);
}

static unsigned withheld(const struct world *w, int controller, guint shard)
{
    return shard_view(w, controller, shard)->withheld;
}

/* A leader that goes on after a pause longer than its lease, while nobody has taken its place: it sends
   nothing before the key-value store has answered, and then learns that its lease is over. */
static void test_nothing_leaves_after_a_pause_before_the_lease_is_proven(void **state)
{
    (void)state;
    struct world *w = world_with_shards(2);
    w->run_time_s = 100;
    int old = world_shard_leader(w, EAST);
    world_accept(w, old, world_job_in("run-1", "east", 2));
    for (int i = 0; i < WORLD_CONTROLLERS; i++)
        if (i != old)
            world_kill_controller(w, i);
    world_freeze(w, old);
    world_run(w, 8);
    world_thaw(w, old);
    w->store_slow_s = 1;
    unsigned before = withheld(w, old, EAST);
    assert_int_equal(ow_lease_guard_check(&shard_view(w, old, EAST)->guard, w->now), OW_LEASE_UNPROVEN);
    /* Reports come in, and what would be answered is not. */
    world_heartbeat(w, old, world_machine(w, "east-0"), 1000, world_machine(w, "east-0")->fencing_token);
    world_run(w, 0.6);
    assert_true(withheld(w, old, EAST) > before);
    w->store_slow_s = 0;
    world_run(w, 20);
    assert_int_equal(count_leaders(w, EAST), 1);
    world_finish(w);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_shards_are_led_by_different_controllers),
        cmocka_unit_test(test_ended_controller_hands_over_and_gets_nothing_back),
        cmocka_unit_test(test_lost_link_moves_nothing),
        cmocka_unit_test(test_default_shard_keeps_keys_and_leader),
        cmocka_unit_test(test_outage_condemns_nobody),
        cmocka_unit_test(test_frozen_leader_never_shares_its_machines),
        cmocka_unit_test(test_successor_waits_for_workers_of_a_frozen_leader),
        cmocka_unit_test(test_nothing_leaves_after_a_pause_before_the_lease_is_proven),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
