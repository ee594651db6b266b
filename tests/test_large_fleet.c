/* A fleet of 5,000 machines: no list may be cut, and the work and the messages grow with the machines alone.
 */
#include "check.h"
#include "world.h"

enum { MACHINES = 5000 };
/* Direct commands to each machine in a phase of a test, on average. */
static const double DIRECTS_MOST = 4;

static struct world *large_world(void)
{
    struct world *w = world_new();
    world_set_large_rates(w);
    for (int i = 0; i < WORLD_CONTROLLERS; i++)
        w->settings[i].sockets = 2 * MACHINES;
    world_start_controllers(w);
    for (int i = 0; i < MACHINES; i++) {
        char name[16];
        g_snprintf(name, sizeof name, "m-%05d", i);
        world_add_machine(w, name, "big", "east", false);
    }
    world_run(w, 20);
    w->run_time_s = 600;
    return w;
}

/* One task on every machine. */
static void fill(struct world *w)
{
    world_submit(w, 0, world_job("run-1", MACHINES, 16));
    world_run(w, 25);
    assert_int_equal(world_running(w, "run-1"), MACHINES);
    for (int i = 0; i < MACHINES; i++)
        assert_int_equal(world_machine_at(w, (guint)i)->starts, 1);
}

/* The cloud's list has ten pages, and the array a task for every machine; the cancellation ends them all. */
static void test_array_on_all_machines_is_cancelled(void **state)
{
    (void)state;
    struct world *w = large_world();
    fill(w);
    w->directs = 0;
    uint64_t request = world_cancel(w, 1, "run-1");
    assert_true(world_until(w, 20, world_none_running, "run-1"));
    world_run(w, 2);
    assert_int_equal(world_answer(w, request)->state, OW_JOB_CANCELLED);
    assert_true(w->directs <= DIRECTS_MOST * MACHINES);
    world_finish(w);
}

static void set_reporting(struct world *w, bool reporting)
{
    for (int i = 0; i < MACHINES; i++)
        world_machine_at(w, (guint)i)->stopped_reporting = !reporting;
}

/* The successor reaches every machine with what the leader told it alone: no heartbeat comes, and no list of
   the cloud. Of a list that was cut it would reach the first machines only, and the others' tasks would end
   with their leases. */
static void test_successor_reaches_all_machines_by_the_leaders_list(void **state)
{
    (void)state;
    struct world *w = large_world();
    fill(w);
    w->cloud_down = true;
    w->directs = 0;
    set_reporting(w, false);
    uint64_t old_fencing_token = world_machine_at(w, 0)->fencing_token;
    world_kill_controller(w, world_leader(w));
    world_run(w, 15);
    assert_true(world_leader(w) >= 0);
    for (int i = 0; i < MACHINES; i++)
        assert_true(world_machine_at(w, (guint)i)->fencing_token > old_fencing_token);
    set_reporting(w, true);
    world_run(w, 20);
    assert_int_equal(world_running(w, "run-1"), MACHINES);
    assert_int_equal(world_total_starts(w), MACHINES);
    assert_true(w->directs <= DIRECTS_MOST * MACHINES);
    world_finish(w);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_array_on_all_machines_is_cancelled),
        cmocka_unit_test(test_successor_reaches_all_machines_by_the_leaders_list),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
