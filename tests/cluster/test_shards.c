/* A fleet divided into shards: which controller leads which shard, and handovers. Guards against two
 * controllers that command the machines of one shard, and against shards that change their leader without
 * need. */
#include "check.h"
#include "sim_cluster.h"

enum { EAST, WEST };

static const struct ow_shard *shard_of_controller(const struct sim_cluster *cluster, int controller,
                                                  guint shard)
{
    return g_ptr_array_index(ow_shard_manager_shards(cluster->controllers[controller]), shard);
}

static uint64_t shard_fencing_token(const struct sim_cluster *cluster, guint shard)
{
    return shard_of_controller(cluster, sim_shard_leader(cluster, shard), shard)->status.fencing_token;
}

/* Returns the number of running controllers that consider themselves leaders of the shard, frozen ones
 * excluded. */
static int count_leaders(const struct sim_cluster *cluster, guint shard)
{
    int count = 0;
    for (int i = 0; i < SIM_CONTROLLERS; i++)
        if (cluster->controllers[i] != NULL && !cluster->frozen[i])
            count += shard_of_controller(cluster, i, shard)->status.fencing_token != 0 ? 1 : 0;
    return count;
}

static bool east_is_handed_over(struct sim_cluster *cluster, const void *old_fencing_token)
{
    return sim_shard_leader(cluster, EAST) >= 0 &&
           shard_fencing_token(cluster, EAST) > *(const uint64_t *)old_fencing_token;
}

/* ---- leadership ---- */

static int setup_two_shards_of_two_machines(void **state)
{
    *state = sim_with_shards(2);
    return 0;
}

static int setup_two_shards_of_one_machine(void **state)
{
    *state = sim_with_shards(1);
    return 0;
}

static void test_shards_are_led_by_different_controllers(void **state)
{
    struct sim_cluster *cluster = *state;
    assert_int_equal(count_leaders(cluster, EAST), 1);
    assert_int_equal(count_leaders(cluster, WEST), 1);
    assert_int_not_equal(sim_shard_leader(cluster, EAST), sim_shard_leader(cluster, WEST));
    assert_int_not_equal(shard_fencing_token(cluster, EAST), shard_fencing_token(cluster, WEST));
    /* Each machine has seen the fencing token of its own shard. */
    assert_int_equal(sim_machine(cluster, "east-0")->fencing_token, shard_fencing_token(cluster, EAST));
    assert_int_equal(sim_machine(cluster, "west-1")->fencing_token, shard_fencing_token(cluster, WEST));
    sim_check_safety(cluster);
}

static void test_restarted_controller_does_not_regain_its_shard(void **state)
{
    struct sim_cluster *cluster = *state;
    cluster->run_time_s = 60;
    int old_leader = sim_shard_leader(cluster, EAST);
    uint64_t fencing_token = shard_fencing_token(cluster, EAST);
    uint64_t west_fencing_token = shard_fencing_token(cluster, WEST);
    sim_submit_accepted(cluster, 0, sim_job_in_zone("run-1", "east", 2));
    sim_kill_controller(cluster, old_leader);
    assert_true(sim_run_until(cluster, 15, east_is_handed_over, &fencing_token));
    int successor = sim_shard_leader(cluster, EAST);
    /* The shard's tasks have kept running through the handover, and new ones start. */
    sim_submit_accepted(cluster, successor, sim_job_in_zone("run-2", "east", 1));
    assert_int_equal(sim_count_running(cluster, "run-1"), 2);
    assert_int_equal(sim_count_running(cluster, "run-2"), 1);
    assert_int_equal(shard_fencing_token(cluster, WEST), west_fencing_token);
    /* When the old leader is back, the shard stays with its successor. */
    fencing_token = shard_fencing_token(cluster, EAST);
    sim_start_controller(cluster, old_leader);
    sim_run(cluster, 20);
    assert_int_equal(sim_shard_leader(cluster, EAST), successor);
    assert_int_equal(shard_fencing_token(cluster, EAST), fencing_token);
    sim_check_safety(cluster);
}

/* A lost link between controllers does not prove a failure: before its lease has ended, no leader may be
 * replaced. */
static void test_lost_peer_link_keeps_the_leader(void **state)
{
    struct sim_cluster *cluster = *state;
    sim_run(cluster, 10);
    int old_leader = sim_shard_leader(cluster, EAST);
    uint64_t fencing_token = shard_fencing_token(cluster, EAST);
    sim_break_peer_link(cluster, (old_leader + 1) % SIM_CONTROLLERS, old_leader);
    cluster->peers_partitioned = true;
    sim_run(cluster, 30);
    assert_int_equal(shard_fencing_token(cluster, EAST), fencing_token);
    int other_controller = (old_leader + 1) % SIM_CONTROLLERS;
    const struct ow_member *member =
        g_ptr_array_index(ow_shard_manager_members(cluster->controllers[other_controller]), 0);
    assert_int_equal(member->state, OW_MEMBER_SUSPECTED);
    sim_check_safety(cluster);
}

/* As above, for a fleet with the default shard alone. Its keys and messages must be those of a fleet
 * without shards. */
static void test_default_shard_uses_plain_keys_and_keeps_its_leader(void **state)
{
    (void)state;
    struct sim_cluster *cluster = sim_new();
    sim_enable_sharding(cluster);
    g_ptr_array_set_size(cluster->sharding->shards, 1);
    struct ow_shard_settings *default_shard = g_ptr_array_index(cluster->sharding->shards, 0);
    g_free(default_shard->name);
    default_shard->name = g_strdup("default");
    default_shard->share = 1;
    g_strfreev(default_shard->zones);
    default_shard->zones = g_strsplit("east west", " ", 0);
    sim_start_controllers(cluster);
    sim_add_group(cluster, "east", 1, "east", false);
    sim_run(cluster, 20);
    sim_submit_accepted(cluster, 0, sim_job("run-1", 1, 1));
    assert_non_null(sim_read_value(cluster, "coordinator"));
    assert_non_null(sim_read_value(cluster, "j/run-1"));
    int old_leader = sim_shard_leader(cluster, 0);
    uint64_t fencing_token = shard_fencing_token(cluster, 0);
    sim_break_peer_link(cluster, (old_leader + 1) % SIM_CONTROLLERS, old_leader);
    sim_run(cluster, 10);
    assert_int_equal(sim_shard_leader(cluster, 0), old_leader);
    assert_int_equal(shard_fencing_token(cluster, 0), fencing_token);
    sim_finish(cluster);
}

/* The key-value store fails for all controllers: no shard changes its leader, and tasks keep running. */
static void test_store_outage_changes_no_leader(void **state)
{
    struct sim_cluster *cluster = *state;
    cluster->run_time_s = 200;
    sim_submit_accepted(cluster, 0, sim_job_in_zone("run-1", "east", 2));
    uint64_t fencing_token = shard_fencing_token(cluster, EAST);
    cluster->store_down = true;
    sim_run(cluster, 60);
    cluster->store_down = false;
    sim_run(cluster, 10);
    assert_int_equal(shard_fencing_token(cluster, EAST), fencing_token);
    assert_int_equal(sim_count_running(cluster, "run-1"), 2);
    sim_check_safety(cluster);
}

/* ---- frozen leaders ---- */

static void test_thawed_leader_does_not_regain_its_shard(void **state)
{
    struct sim_cluster *cluster = *state;
    int old_leader = sim_shard_leader(cluster, EAST);
    uint64_t fencing_token = shard_fencing_token(cluster, EAST);
    sim_submit_accepted(cluster, (old_leader + 1) % SIM_CONTROLLERS, sim_job_in_zone("run-1", "east", 3));
    sim_freeze_controller(cluster, old_leader);
    sim_run(cluster, 30);
    assert_true(shard_fencing_token(cluster, EAST) > fencing_token);
    uint64_t successor_fencing_token = shard_fencing_token(cluster, EAST);
    sim_submit_accepted(cluster, (old_leader + 1) % SIM_CONTROLLERS, sim_job_in_zone("run-2", "east", 3));
    unsigned commands_before = cluster->direct_commands_sent;
    sim_thaw_controller(cluster, old_leader);
    /* Many commands are due in its first run after the pause: it must not send them. */
    sim_run(cluster, 0.05);
    assert_true(cluster->direct_commands_sent - commands_before <= 2);
    sim_run(cluster, 10);
    assert_int_equal(count_leaders(cluster, EAST), 1);
    assert_int_equal(shard_fencing_token(cluster, EAST), successor_fencing_token);
    assert_int_equal(sim_machine(cluster, "east-0")->fencing_token, successor_fencing_token);
    sim_check_safety(cluster);
}

/* Workers of a frozen leader turn to its successor only after waiting for the leader's response. With
 * short heartbeat intervals, the successor once took their silence for a failure of its own and gave the
 * shard back (seen on a loopback cluster). */
static void test_successor_waits_for_workers_of_a_frozen_leader(void **state)
{
    (void)state;
    struct sim_cluster *cluster = sim_new();
    for (int i = 0; i < SIM_CONTROLLERS; i++)
        cluster->settings[i].heartbeat_interval_s = 1;
    cluster->tuning.leader_lease_s = 2;
    sim_enable_sharding(cluster);
    sim_start_controllers(cluster);
    sim_add_group(cluster, "east", 3, "east", false);
    sim_add_group(cluster, "west", 3, "west", false);
    sim_run(cluster, 10);
    int old_leader = sim_shard_leader(cluster, EAST);
    uint64_t fencing_token = shard_fencing_token(cluster, EAST);
    sim_freeze_controller(cluster, old_leader);
    assert_true(sim_run_until(cluster, 4, east_is_handed_over, &fencing_token));
    fencing_token = shard_fencing_token(cluster, EAST);
    sim_run(cluster, 2.9); /* the workers still wait for the frozen leader */
    sim_thaw_controller(cluster, old_leader);
    sim_run(cluster, 20);
    assert_int_equal(shard_fencing_token(cluster, EAST), fencing_token);
    sim_finish(cluster);
}

static unsigned count_withheld(const struct sim_cluster *cluster, int controller, guint shard)
{
    return shard_of_controller(cluster, controller, shard)->withheld;
}

/* A leader resumes after a pause longer than its lease, and no other controller has taken over meanwhile.
 * It must send nothing before the key-value store has answered; then it learns that its lease has ended. */
static void test_resumed_leader_sends_nothing_before_its_lease_is_proven(void **state)
{
    struct sim_cluster *cluster = *state;
    cluster->run_time_s = 100;
    int old_leader = sim_shard_leader(cluster, EAST);
    sim_submit_accepted(cluster, old_leader, sim_job_in_zone("run-1", "east", 2));
    for (int i = 0; i < SIM_CONTROLLERS; i++)
        if (i != old_leader)
            sim_kill_controller(cluster, i);
    sim_freeze_controller(cluster, old_leader);
    sim_run(cluster, 8);
    sim_thaw_controller(cluster, old_leader);
    cluster->store_latency_s = 1;
    unsigned withheld_before = count_withheld(cluster, old_leader, EAST);
    assert_int_equal(
        ow_lease_guard_state(&shard_of_controller(cluster, old_leader, EAST)->guard, cluster->now),
        OW_LEASE_UNPROVEN);
    /* A heartbeat arrives, and no response to it may be sent. */
    sim_send_empty_heartbeat(cluster, old_leader, sim_machine(cluster, "east-0"), 1000,
                             sim_machine(cluster, "east-0")->fencing_token);
    sim_run(cluster, 0.6);
    assert_true(count_withheld(cluster, old_leader, EAST) > withheld_before);
    cluster->store_latency_s = 0;
    sim_run(cluster, 20);
    assert_int_equal(count_leaders(cluster, EAST), 1);
    sim_check_safety(cluster);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(test_shards_are_led_by_different_controllers,
                                        setup_two_shards_of_two_machines, sim_teardown),
        cmocka_unit_test_setup_teardown(test_restarted_controller_does_not_regain_its_shard,
                                        setup_two_shards_of_two_machines, sim_teardown),
        cmocka_unit_test_setup_teardown(test_lost_peer_link_keeps_the_leader, setup_two_shards_of_one_machine,
                                        sim_teardown),
        cmocka_unit_test(test_default_shard_uses_plain_keys_and_keeps_its_leader),
        cmocka_unit_test_setup_teardown(test_store_outage_changes_no_leader, setup_two_shards_of_two_machines,
                                        sim_teardown),
        cmocka_unit_test_setup_teardown(test_thawed_leader_does_not_regain_its_shard,
                                        setup_two_shards_of_two_machines, sim_teardown),
        cmocka_unit_test(test_successor_waits_for_workers_of_a_frozen_leader),
        cmocka_unit_test_setup_teardown(test_resumed_leader_sends_nothing_before_its_lease_is_proven,
                                        setup_two_shards_of_two_machines, sim_teardown),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
