/* The machines, limits and budgets of each shard, and controllers whose settings differ from the stored
 * map of shards. Guards against two leaders of one machine, and against shards that exceed a limit
 * together. */
#include "check.h"
#include "sharding/shard_map.h"
#include "sharding/shard_platform.h"
#include "sim_cluster.h"

#include <string.h>

enum { EAST, WEST, SHARDS };

static int setup_two_shards_of_one_machine(void **state)
{
    *state = sim_with_shards(1);
    return 0;
}

static int setup_two_shards_of_no_machines(void **state)
{
    *state = sim_with_shards(0);
    return 0;
}

static void test_controller_with_different_shard_settings_leads_no_shard(void **state)
{
    struct sim_cluster *cluster = *state;
    sim_kill_controllers(cluster);
    ((struct ow_shard_settings *)g_ptr_array_index(cluster->sharding->shards, EAST))->share = 0.4;
    sim_start_controller(cluster, 0);
    sim_run(cluster, 30);
    assert_int_equal(sim_fencing_token(cluster, 0), 0);
    const char *difference = ow_shard_manager_difference(cluster->controllers[0]);
    assert_non_null(difference);
    assert_non_null(
        strstr(difference, "shard east: share of team open: \"0.4\" here, \"0.5\" in the stored map"));
    sim_check_safety(cluster);
}

/* A fleet that is in use without shards must not be divided: its records are under keys that no shard
 * reads. */
static void test_fleet_in_use_without_shards_is_not_divided(void **state)
{
    (void)state;
    struct sim_cluster *cluster = sim_with_controllers(SIM_CONTROLLERS, 1);
    struct sim_cluster *sharded = sim_with_shards(0);
    sim_kill_controllers(cluster);
    cluster->sharding = g_steal_pointer(&sharded->sharding);
    sim_kill_controllers(sharded);
    sim_start_controllers(cluster);
    sim_run(cluster, 10);
    for (int i = 0; i < SIM_CONTROLLERS; i++) {
        assert_int_equal(sim_fencing_token(cluster, i), 0);
        assert_non_null(
            strstr(ow_shard_manager_difference(cluster->controllers[i]), "in use without shards"));
    }
    sim_finish(cluster);
    sim_free(sharded);
}

/* A controller without shards in its settings must not lead the machines of a sharded fleet. */
static void test_controller_without_shards_does_not_lead_a_sharded_fleet(void **state)
{
    struct sim_cluster *cluster = *state;
    struct ow_sharding_settings *sharding = g_steal_pointer(&cluster->sharding);
    sim_kill_controller(cluster, 0);
    sim_start_controller(cluster, 0);
    sim_run(cluster, 30);
    assert_int_equal(sim_fencing_token(cluster, 0), 0);
    sim_kill_controllers(cluster);
    cluster->sharding = sharding;
    sim_check_safety(cluster);
}

static void test_machines_belong_to_one_shard(void **state)
{
    (void)state;
    struct ow_sharding_settings *sharding = ow_sharding_settings_new();
    static const struct {
        const char *name, *zones, *types;
    } shards[] = {{"rest", "a b", NULL}, {"gpu", "a", "g4 g8"}, {"far", "c", NULL}};
    for (guint i = 0; i < G_N_ELEMENTS(shards); i++) {
        struct ow_shard_settings *shard = g_new0(struct ow_shard_settings, 1);
        shard->name = g_strdup(shards[i].name);
        shard->zones = g_strsplit(shards[i].zones, " ", 0);
        shard->types = shards[i].types != NULL ? g_strsplit(shards[i].types, " ", 0) : NULL;
        g_ptr_array_add(sharding->shards, shard);
    }
    assert_int_equal(ow_shard_map_find_shard(sharding, "a", "m8"), 0);
    assert_int_equal(ow_shard_map_find_shard(sharding, "a", "g8"), 1);
    assert_int_equal(ow_shard_map_find_shard(sharding, "b", "g8"), 0);
    assert_int_equal(ow_shard_map_find_shard(sharding, "c", "g8"), 2);
    assert_int_equal(ow_shard_map_find_shard(sharding, "d", "m8"), -1);
    ow_sharding_settings_free(sharding);
}

/* The parts of limits and budgets never add up to more than the whole. A part of size zero must not be
 * taken for a missing limit. */
static void test_limits_of_shards_never_exceed_the_whole(void **state)
{
    struct sim_cluster *cluster = *state;
    const struct ow_settings *whole = &cluster->settings[0];
    ((struct ow_shard_settings *)g_ptr_array_index(cluster->sharding->shards, EAST))->share = 1;
    ((struct ow_shard_settings *)g_ptr_array_index(cluster->sharding->shards, WEST))->share = 0;
    double store_rps = 0;
    double write_rps = 0;
    double cloud_rps = 0;
    double cpu_limit = 0;
    for (guint shard = 0; shard < SHARDS; shard++) {
        struct ow_settings *part = ow_shard_platform_new(cluster->sharding, shard, whole);
        const struct ow_team_settings *tight = &g_array_index(part->teams, struct ow_team_settings, 1);
        assert_true(tight->cpus_max > 0);
        assert_true(tight->gpus_max == 0);
        store_rps += part->store_rps;
        write_rps += part->store_write_rps;
        cloud_rps += part->cloud_rps;
        cpu_limit += tight->cpus_max;
        ow_shard_platform_free(part);
    }
    assert_true(store_rps <= whole->store_rps && write_rps <= whole->store_write_rps);
    assert_true(cloud_rps <= whole->cloud_rps);
    assert_true(cpu_limit <= 8.001);
    sim_check_safety(cluster);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(test_controller_with_different_shard_settings_leads_no_shard,
                                        setup_two_shards_of_one_machine, sim_teardown),
        cmocka_unit_test(test_fleet_in_use_without_shards_is_not_divided),
        cmocka_unit_test_setup_teardown(test_controller_without_shards_does_not_lead_a_sharded_fleet,
                                        setup_two_shards_of_one_machine, sim_teardown),
        cmocka_unit_test(test_machines_belong_to_one_shard),
        cmocka_unit_test_setup_teardown(test_limits_of_shards_never_exceed_the_whole,
                                        setup_two_shards_of_no_machines, sim_teardown),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
