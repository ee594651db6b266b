/* A fleet divided into shards, on the simulated cluster: who leads what, where jobs go, handovers. */
#include "check.h"
#include "control/shard_map.h"
#include "control/shard_settings.h"
#include "world.h"

#include <string.h>

enum { EAST, WEST, SHARDS };

static const struct ow_shard *shard_view(const struct world *w, int controller, guint shard)
{
    return g_ptr_array_index(ow_control_shards(w->controllers[controller]), shard);
}

static uint64_t shard_token(const struct world *w, guint shard)
{
    return shard_view(w, world_shard_leader(w, shard), shard)->status.token;
}

/* The controllers that believe that they lead the shard, stopped ones left out. */
static int count_leaders(const struct world *w, guint shard)
{
    int count = 0;
    for (int i = 0; i < WORLD_CONTROLLERS; i++)
        if (w->controllers[i] != NULL && !w->frozen[i])
            count += shard_view(w, i, shard)->status.token != 0 ? 1 : 0;
    return count;
}

static bool handed_over(struct world *w, const void *old_token)
{
    return world_shard_leader(w, EAST) >= 0 && shard_token(w, EAST) > *(const uint64_t *)old_token;
}

/* A job that runs in one zone only. */
static struct ow_submission *job_in(const char *id, const char *zone, uint32_t tasks)
{
    struct ow_submission *job = world_job(id, tasks, 1);
    job->zone = g_strdup(zone);
    return job;
}

static void accept(struct world *w, int controller, struct ow_submission *job)
{
    uint64_t request = world_submit(w, controller, job);
    world_run(w, 3);
    assert_int_equal(world_status(w, request), 201);
}

/* ---- who leads ---- */

static void test_shards_are_led_by_different_controllers(void **state)
{
    (void)state;
    struct world *w = world_with_shards(2);
    assert_int_equal(count_leaders(w, EAST), 1);
    assert_int_equal(count_leaders(w, WEST), 1);
    assert_int_not_equal(world_shard_leader(w, EAST), world_shard_leader(w, WEST));
    assert_int_not_equal(shard_token(w, EAST), shard_token(w, WEST));
    /* Each machine has seen the token of its own shard. */
    assert_int_equal(world_machine(w, "east-0")->token, shard_token(w, EAST));
    assert_int_equal(world_machine(w, "west-1")->token, shard_token(w, WEST));
    world_finish(w);
}

static void test_ended_controller_hands_over_and_gets_nothing_back(void **state)
{
    (void)state;
    struct world *w = world_with_shards(2);
    w->run_s = 60;
    int old = world_shard_leader(w, EAST);
    uint64_t token = shard_token(w, EAST);
    uint64_t west_token = shard_token(w, WEST);
    accept(w, 0, job_in("run-1", "east", 2));
    world_kill_controller(w, old);
    assert_true(world_until(w, 15, handed_over, &token));
    int successor = world_shard_leader(w, EAST);
    /* Its tasks ran on through the handover, and new ones start. */
    accept(w, successor, job_in("run-2", "east", 1));
    assert_int_equal(world_running(w, "run-1"), 2);
    assert_int_equal(world_running(w, "run-2"), 1);
    assert_int_equal(shard_token(w, WEST), west_token);
    /* When it is back, work does not bounce. */
    token = shard_token(w, EAST);
    world_start_controller(w, old);
    world_run(w, 20);
    assert_int_equal(world_shard_leader(w, EAST), successor);
    assert_int_equal(shard_token(w, EAST), token);
    world_finish(w);
}

/* A lost link is no evidence: before the lease has ended nobody is replaced. */
static void test_lost_link_moves_nothing(void **state)
{
    (void)state;
    struct world *w = world_with_shards(1);
    world_run(w, 10);
    int old = world_shard_leader(w, EAST);
    uint64_t token = shard_token(w, EAST);
    world_lose_link(w, (old + 1) % WORLD_CONTROLLERS, old);
    w->peers_cut = true;
    world_run(w, 30);
    assert_int_equal(shard_token(w, EAST), token);
    int other = (old + 1) % WORLD_CONTROLLERS;
    const struct ow_member *member = g_ptr_array_index(ow_control_members(w->controllers[other]), 0);
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
    g_ptr_array_set_size(w->control->shards, 1);
    struct ow_shard_settings *only = g_ptr_array_index(w->control->shards, 0);
    g_free(only->name);
    only->name = g_strdup("default");
    only->share = 1;
    g_strfreev(only->zones);
    only->zones = g_strsplit("east west", " ", 0);
    world_start_controllers(w);
    world_add_group(w, "east", 1, "east", false);
    world_run(w, 20);
    accept(w, 0, world_job("run-1", 1, 1));
    assert_non_null(world_value_text(w, "coordinator"));
    assert_non_null(world_value_text(w, "j/run-1"));
    int old = world_shard_leader(w, 0);
    uint64_t token = shard_token(w, 0);
    world_lose_link(w, (old + 1) % WORLD_CONTROLLERS, old);
    world_run(w, 10);
    assert_int_equal(world_shard_leader(w, 0), old);
    assert_int_equal(shard_token(w, 0), token);
    world_finish(w);
}

/* The state service fails for all: nobody is condemned, and tasks run on. */
static void test_outage_condemns_nobody(void **state)
{
    (void)state;
    struct world *w = world_with_shards(2);
    w->run_s = 200;
    accept(w, 0, job_in("run-1", "east", 2));
    uint64_t token = shard_token(w, EAST);
    w->state_down = true;
    world_run(w, 60);
    w->state_down = false;
    world_run(w, 10);
    assert_int_equal(shard_token(w, EAST), token);
    assert_int_equal(world_running(w, "run-1"), 2);
    world_finish(w);
}

/* ---- a frozen controller ---- */

static void test_frozen_leader_never_shares_its_machines(void **state)
{
    (void)state;
    struct world *w = world_with_shards(2);
    int old = world_shard_leader(w, EAST);
    uint64_t token = shard_token(w, EAST);
    accept(w, (old + 1) % WORLD_CONTROLLERS, job_in("run-1", "east", 3));
    world_freeze(w, old);
    world_run(w, 30);
    assert_true(shard_token(w, EAST) > token);
    uint64_t successor_token = shard_token(w, EAST);
    accept(w, (old + 1) % WORLD_CONTROLLERS, job_in("run-2", "east", 3));
    unsigned directs = w->directs;
    world_thaw(w, old);
    /* Its first run after the pause has much that is due, and sends none of it. */
    world_run(w, 0.05);
    assert_true(w->directs - directs <= 2);
    world_run(w, 10);
    assert_int_equal(count_leaders(w, EAST), 1);
    assert_int_equal(shard_token(w, EAST), successor_token);
    assert_int_equal(world_machine(w, "east-0")->token, successor_token);
    world_finish(w);
}

static unsigned withheld(const struct world *w, int controller, guint shard)
{
    return shard_view(w, controller, shard)->withheld;
}

/* A leader that goes on after a pause longer than its lease, while nobody has taken its place: it sends
   nothing before the state service has answered, and then learns that its lease is over. */
static void test_nothing_leaves_after_a_pause_before_the_lease_is_proven(void **state)
{
    (void)state;
    struct world *w = world_with_shards(2);
    w->run_s = 100;
    int old = world_shard_leader(w, EAST);
    accept(w, old, job_in("run-1", "east", 2));
    for (int i = 0; i < WORLD_CONTROLLERS; i++)
        if (i != old)
            world_kill_controller(w, i);
    world_freeze(w, old);
    world_run(w, 8);
    world_thaw(w, old);
    w->state_slow_s = 1;
    unsigned before = withheld(w, old, EAST);
    assert_int_equal(ow_lease_guard_check(&shard_view(w, old, EAST)->guard, w->now), OW_LEASE_UNPROVEN);
    /* Reports come in, and what would be answered is not. */
    world_report(w, old, world_machine(w, "east-0"), 1000, world_machine(w, "east-0")->token);
    world_run(w, 0.6);
    assert_true(withheld(w, old, EAST) > before);
    w->state_slow_s = 0;
    world_run(w, 20);
    assert_int_equal(count_leaders(w, EAST), 1);
    world_finish(w);
}

/* ---- jobs ---- */

static void test_any_controller_answers_about_any_job(void **state)
{
    (void)state;
    struct world *w = world_with_shards(2);
    w->run_s = 100;
    accept(w, 0, job_in("run-1", "east", 1));
    accept(w, 1, job_in("run-2", "west", 1));
    for (int i = 0; i < WORLD_CONTROLLERS; i++) {
        uint64_t east = world_poll(w, i, "run-1");
        uint64_t west = world_poll(w, i, "run-2");
        uint64_t nobody = world_poll(w, i, "run-3");
        world_run(w, 2);
        assert_int_equal(world_status(w, east), 200);
        assert_int_equal(world_status(w, west), 200);
        assert_int_equal(world_status(w, nobody), 404);
    }
    assert_string_equal(world_where(w, "run-1")->zone, "east");
    assert_string_equal(world_where(w, "run-2")->zone, "west");
    world_finish(w);
}

/* The same id goes to different shards at the same moment: one of them gets it. */
static void test_job_submitted_twice_is_in_one_shard(void **state)
{
    (void)state;
    struct world *w = world_with_shards(2);
    w->run_s = 100;
    uint64_t first = world_submit(w, 0, job_in("run-1", "east", 1));
    uint64_t second = world_submit(w, 1, job_in("run-1", "west", 1));
    world_run(w, 3);
    assert_int_equal(MIN(world_status(w, first), world_status(w, second)), 200);
    assert_int_equal(MAX(world_status(w, first), world_status(w, second)), 201);
    assert_int_equal(world_running(w, "run-1"), 1);
    unsigned records = (world_value_text(w, "shard/east/j/run-1") != NULL ? 1 : 0) +
                       (world_value_text(w, "shard/west/j/run-1") != NULL ? 1 : 0);
    assert_int_equal(records, 1);
    world_finish(w);
}

/* Repeats are known by their id alone, also where they would now go to another shard or could not run. */
static void test_repeats_reach_the_shard_that_has_the_job(void **state)
{
    (void)state;
    struct world *w = world_with_shards(2);
    w->run_s = 100;
    accept(w, 0, job_in("run-1", "east", 1));
    for (int i = 0; i < WORLD_CONTROLLERS; i++) {
        struct ow_submission *impossible = world_job("run-1", 1, 1e6);
        uint64_t other_zone = world_submit(w, i, job_in("run-1", "west", 1));
        uint64_t too_large = world_submit(w, i, impossible);
        uint64_t malformed = world_submit_malformed(w, i, "run-1");
        world_run(w, 3);
        assert_int_equal(world_status(w, other_zone), 200);
        assert_int_equal(world_status(w, too_large), 200);
        assert_int_equal(world_status(w, malformed), 200);
    }
    assert_int_equal(world_running(w, "run-1"), 1);
    world_finish(w);
}

/* A controller that has not read of the job yet refuses its repeat for what it says: other shards are asked
 * first. */
static void test_unread_job_is_not_refused(void **state)
{
    (void)state;
    struct world *w = world_with_shards(2);
    uint64_t accepted = world_submit(w, 0, job_in("run-1", "east", 1));
    world_run(w, 0.1);
    uint64_t repeat = world_submit(w, 1, world_job("run-1", 1, 1e6));
    uint64_t malformed = world_submit_malformed(w, 2, "run-1");
    world_run(w, 3);
    assert_int_equal(world_status(w, accepted), 201);
    assert_int_equal(world_status(w, repeat), 200);
    assert_int_equal(world_status(w, malformed), 200);
    world_finish(w);
}

static void test_impossible_jobs_are_refused(void **state)
{
    (void)state;
    struct world *w = world_with_shards(2);
    uint64_t too_large = world_submit(w, 0, world_job("run-1", 1, 1e6));
    uint64_t malformed = world_submit_malformed(w, 1, "run-2");
    world_run(w, 3);
    assert_int_equal(world_status(w, too_large), 422);
    assert_int_equal(world_status(w, malformed), 400);
    world_finish(w);
}

static void test_cancellation_reaches_the_shard_that_has_the_job(void **state)
{
    (void)state;
    struct world *w = world_with_shards(2);
    w->run_s = 100;
    accept(w, 0, job_in("run-1", "west", 2));
    int elsewhere = world_shard_leader(w, EAST);
    uint64_t request = world_cancel(w, elsewhere, "run-1");
    uint64_t nobody = world_cancel(w, elsewhere, "run-9");
    world_run(w, 4);
    assert_int_equal(world_status(w, request), 200);
    assert_int_equal(world_answer(w, request)->state, OW_JOB_CANCELLED);
    assert_int_equal(world_status(w, nobody), 404);
    assert_int_equal(world_running(w, "run-1"), 0);
    world_finish(w);
}

/* Without a zone a job goes where less work waits. */
static void test_new_jobs_go_where_less_waits(void **state)
{
    (void)state;
    struct world *w = world_with_shards(1);
    w->run_s = 200;
    accept(w, 0, job_in("run-1", "east", 60));
    for (int i = 2; i <= 4; i++) {
        char id[16];
        g_snprintf(id, sizeof id, "run-%d", i);
        accept(w, i % WORLD_CONTROLLERS, world_job(id, 1, 1));
        assert_int_equal(world_running_in(w, id, "west"), 1);
    }
    world_finish(w);
}

/* The limit of a team is divided: both shards together stay within it. */
static void test_team_limit_holds_across_shards(void **state)
{
    (void)state;
    struct world *w = world_with_shards(2);
    w->run_s = 100;
    for (int i = 0; i < 2; i++) {
        struct ow_submission *job = job_in(i == 0 ? "run-1" : "run-2", i == 0 ? "east" : "west", 8);
        world_set_team(job, "tight");
        accept(w, i, job);
    }
    world_run(w, 10);
    /* 8 CPUs at most, half of them in each shard. */
    assert_int_equal(world_running(w, "run-1"), 4);
    assert_int_equal(world_running(w, "run-2"), 4);
    world_finish(w);
}

static bool shows_reason(struct world *w, const char *id, const char *text)
{
    for (int i = 0; i < WORLD_CONTROLLERS; i++) {
        if (w->controllers[i] == NULL || w->frozen[i])
            continue;
        uint64_t request = world_poll(w, i, id);
        world_run(w, 0.3);
        const struct world_answer *answer = world_answer(w, request);
        if (answer != NULL && answer->reason != NULL && strstr(answer->reason, text) != NULL)
            return true;
    }
    return false;
}

static void test_users_are_told_of_a_handover(void **state)
{
    (void)state;
    struct world *w = world_with_shards(1);
    w->run_s = 200;
    world_run(w, 20);
    accept(w, 0, job_in("run-1", "east", 60));
    accept(w, 0, job_in("run-2", "east", 60));
    world_freeze(w, world_shard_leader(w, EAST));
    bool told = false;
    for (int i = 0; i < 20 && !told; i++)
        told = shows_reason(w, "run-2", "handover of shard east");
    assert_true(told);
    world_finish(w);
}

/* ---- settings ---- */

static void test_controller_with_other_settings_leads_nothing(void **state)
{
    (void)state;
    struct world *w = world_with_shards(1);
    world_kill_controllers(w);
    ((struct ow_shard_settings *)g_ptr_array_index(w->control->shards, EAST))->share = 0.4;
    world_start_controller(w, 0);
    world_run(w, 30);
    assert_int_equal(world_token(w, 0), 0);
    const char *difference = ow_control_difference(w->controllers[0]);
    assert_non_null(difference);
    assert_non_null(
        strstr(difference, "shard east: share of team open: \"0.4\" here, \"0.5\" in the stored map"));
    world_finish(w);
}

/* The records of a fleet in use would be lost from sight. */
static void test_fleet_in_use_is_not_divided(void **state)
{
    (void)state;
    struct world *w = world_with_controllers(WORLD_CONTROLLERS, 1);
    struct world *divided = world_with_shards(0);
    world_kill_controllers(w);
    w->control = g_steal_pointer(&divided->control);
    world_kill_controllers(divided);
    world_start_controllers(w);
    world_run(w, 10);
    for (int i = 0; i < WORLD_CONTROLLERS; i++) {
        assert_int_equal(world_token(w, i), 0);
        assert_non_null(strstr(ow_control_difference(w->controllers[i]), "in use without shards"));
    }
    world_finish(w);
    world_free(divided);
}

/* A controller that does not know of shards must not lead the machines of a divided fleet. */
static void test_undivided_controller_leads_nothing_of_a_divided_fleet(void **state)
{
    (void)state;
    struct world *w = world_with_shards(1);
    struct ow_control_settings *control = g_steal_pointer(&w->control);
    world_kill_controller(w, 0);
    world_start_controller(w, 0);
    world_run(w, 30);
    assert_int_equal(world_token(w, 0), 0);
    world_kill_controllers(w);
    w->control = control;
    world_finish(w);
}

static void test_machines_belong_to_one_shard(void **state)
{
    (void)state;
    struct ow_control_settings *control = ow_control_settings_new();
    static const struct {
        const char *name, *zones, *types;
    } shards[] = {{"rest", "a b", NULL}, {"gpu", "a", "g4 g8"}, {"far", "c", NULL}};
    for (guint i = 0; i < G_N_ELEMENTS(shards); i++) {
        struct ow_shard_settings *shard = g_new0(struct ow_shard_settings, 1);
        shard->name = g_strdup(shards[i].name);
        shard->zones = g_strsplit(shards[i].zones, " ", 0);
        shard->types = shards[i].types != NULL ? g_strsplit(shards[i].types, " ", 0) : NULL;
        g_ptr_array_add(control->shards, shard);
    }
    assert_int_equal(ow_shard_map_machine(control, "a", "m8"), 0);
    assert_int_equal(ow_shard_map_machine(control, "a", "g8"), 1);
    assert_int_equal(ow_shard_map_machine(control, "b", "g8"), 0);
    assert_int_equal(ow_shard_map_machine(control, "c", "g8"), 2);
    assert_int_equal(ow_shard_map_machine(control, "d", "m8"), -1);
    ow_control_settings_free(control);
}

/* Parts of limits and budgets never add up to more than the whole, and a part of nothing is no missing limit.
 */
static void test_parts_never_exceed_the_whole(void **state)
{
    (void)state;
    struct world *w = world_with_shards(0);
    const struct ow_settings *whole = &w->settings[0];
    ((struct ow_shard_settings *)g_ptr_array_index(w->control->shards, EAST))->share = 1;
    ((struct ow_shard_settings *)g_ptr_array_index(w->control->shards, WEST))->share = 0;
    double state_rps = 0, write_rps = 0, cloud_rps = 0, limit = 0;
    for (guint shard = 0; shard < SHARDS; shard++) {
        struct ow_settings *part = ow_shard_settings_new(w->control, shard, whole);
        const struct ow_team_settings *tight = &g_array_index(part->teams, struct ow_team_settings, 1);
        assert_true(tight->cpus_max > 0);
        assert_true(tight->gpus_max == 0);
        state_rps += part->state_rps;
        write_rps += part->state_write_rps;
        cloud_rps += part->cloud_rps;
        limit += tight->cpus_max;
        ow_shard_settings_free(part);
    }
    assert_true(state_rps <= whole->state_rps && write_rps <= whole->state_write_rps);
    assert_true(cloud_rps <= whole->cloud_rps);
    assert_true(limit <= 8.001);
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
        cmocka_unit_test(test_nothing_leaves_after_a_pause_before_the_lease_is_proven),
        cmocka_unit_test(test_any_controller_answers_about_any_job),
        cmocka_unit_test(test_job_submitted_twice_is_in_one_shard),
        cmocka_unit_test(test_repeats_reach_the_shard_that_has_the_job),
        cmocka_unit_test(test_unread_job_is_not_refused),
        cmocka_unit_test(test_impossible_jobs_are_refused),
        cmocka_unit_test(test_cancellation_reaches_the_shard_that_has_the_job),
        cmocka_unit_test(test_new_jobs_go_where_less_waits),
        cmocka_unit_test(test_team_limit_holds_across_shards),
        cmocka_unit_test(test_users_are_told_of_a_handover),
        cmocka_unit_test(test_controller_with_other_settings_leads_nothing),
        cmocka_unit_test(test_fleet_in_use_is_not_divided),
        cmocka_unit_test(test_undivided_controller_leads_nothing_of_a_divided_fleet),
        cmocka_unit_test(test_machines_belong_to_one_shard),
        cmocka_unit_test(test_parts_never_exceed_the_whole),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
