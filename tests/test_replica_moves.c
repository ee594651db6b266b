/* Services: replicas move off machines that are reclaimed, faulty, shared or about to lose their lease. */
#include "check.h"
#include "world.h"

/* A spot machine is about to be reclaimed: its replica moves while it is still running, once there is a place
 * for it.
 */
static void test_replica_moves_off_a_preempted_spot_machine(void **state)
{
    (void)state;
    struct world *w = world_with_capacity(0, 4);
    world_add_machine(w, "s-0", "big", "east", true);
    struct ow_submission *service = world_service("run-1", 1, 1);
    service->spot = true;
    world_start_job(w, service);
    struct world_machine *old = world_where(w, "run-1");
    /* Another machine that has the image. */
    world_add_machine(w, "m-0", "big", "east", false);
    struct ow_submission *other = world_job("run-2", 16, 1);
    w->run_time_s = 2;
    world_submit(w, 0, other);
    world_run(w, 12);
    old->reclaim_notice_s = 12;
    old->heartbeat_at = w->now;
    world_run(w, 4);
    assert_true(world_where(w, "run-1") != NULL && world_where(w, "run-1") != old);
    world_finish(w);
}

static unsigned replicas_on_spot(struct world *w, const char *job)
{
    unsigned count = 0;
    for (guint i = 0; i < w->machines->len; i++) {
        const struct world_machine *machine = world_machine_at(w, i);
        count += machine->spot && !machine->gone ? world_tasks_on(machine, job) : 0;
    }
    return count;
}

/* Every spot machine reports its remaining time each second until it is reclaimed. */
static void take_spot_machines(struct world *w, int reclaim_notice_s)
{
    for (int left = reclaim_notice_s; left > 0; left--) {
        for (guint i = 0; i < w->machines->len; i++) {
            struct world_machine *machine = world_machine_at(w, i);
            if (!machine->spot)
                continue;
            machine->reclaim_notice_s = left;
            machine->heartbeat_at = w->now;
        }
        world_run(w, 1);
    }
}

/* A service whose replicas run on spot machines, one on each. */
static struct world *with_replicas_on_spot_machines(uint32_t replicas)
{
    struct world *w = world_with_capacity(0, 4);
    struct ow_submission *service = world_service("run-1", replicas, 1);
    w->capacity = 0;
    service->spot = true;
    world_add_group(w, "s", (int)replicas, "east", true);
    world_run(w, 4);
    world_submit(w, 0, service);
    world_run(w, 6);
    assert_int_equal(replicas_on_spot(w, "run-1"), replicas);
    return w;
}

/* No other machine has the image. The replica is still stopped before its machine is reclaimed: proof that it
 * has ended would come much later. */
static void test_replica_moves_to_a_machine_without_its_image(void **state)
{
    (void)state;
    struct world *w = with_replicas_on_spot_machines(1);
    struct world_machine *old = world_machine(w, "s-0");
    world_add_machine(w, "m-0", "big", "east", false);
    world_run(w, 4);
    take_spot_machines(w, 7);
    assert_int_equal(world_tasks_on(old, "run-1"), 0);
    assert_int_equal(world_tasks_on(world_machine(w, "m-0"), "run-1"), 1);
    world_finish(w);
}

/* All machines of a service are reclaimed at once, and soon: there is no time to move the replicas one by
 * one. */
static void test_all_replicas_move_before_a_spot_reclaim(void **state)
{
    (void)state;
    struct world *w = with_replicas_on_spot_machines(6);
    struct ow_submission *other = world_job("run-2", 96, 1);
    other->spot = false;
    world_add_machines(w, 6);
    w->run_time_s = 2;
    world_submit(w, 0, other);
    assert_true(world_until(w, 30, world_all_done, "run-2"));
    w->run_time_s = 200;
    take_spot_machines(w, 8);
    assert_int_equal(replicas_on_spot(w, "run-1"), 0);
    world_run(w, 2);
    assert_int_equal(world_running(w, "run-1"), 6);
    world_finish(w);
}

/* A job with its own class that may only run in the west zone. */
static struct ow_submission *western_job(const char *id)
{
    struct ow_submission *submission = world_job(id, 1, 1);
    g_free(submission->class_name);
    submission->class_name = g_strdup(id);
    submission->zone = g_strdup("west");
    return submission;
}

/* A replica that keeps running on a machine where every new task fails would keep it provisioned for ever. */
static void test_replica_moves_off_a_faulty_machine(void **state)
{
    (void)state;
    struct world *w = world_with_capacity(3, 4);
    struct world_machine *faulty = world_add_machine(w, "w-0", "big", "west", false);
    w->capacity = 0;
    w->run_time_s = 200;
    world_run(w, 4);
    world_submit(w, 0, world_service("run-1", 3, 1));
    world_run(w, 6);
    assert_int_equal(world_tasks_on(faulty, "run-1"), 1);
    /* The machine without a replica has the image and is not idle. */
    struct ow_submission *other = world_job("run-9", 3, 15);
    other->zone = g_strdup("east");
    world_submit(w, 0, other);
    world_run(w, 6);
    faulty->faulty = true;
    world_submit(w, 0, western_job("run-2"));
    world_run(w, 26);
    world_submit(w, 0, western_job("run-3"));
    assert_true(world_until(w, 40, world_is_gone, faulty));
    assert_true(world_until(w, 4, world_three_running, "run-1"));
    world_finish(w);
}

/* Capacity was short, and two replicas share a machine. Once there is another machine one of them moves. */
static void test_replicas_separate_when_capacity_returns(void **state)
{
    (void)state;
    struct world *w = world_with_capacity(1, 4);
    w->capacity = 0;
    w->run_time_s = 200;
    world_submit(w, 0, world_service("run-1", 2, 1));
    world_run(w, 6);
    assert_int_equal(world_tasks_on(world_machine(w, "m-0"), "run-1"), 2);
    world_add_machine(w, "n-0", "big", "west", false);
    world_submit(w, 0, world_job("run-2", 20, 1));
    world_run(w, 90);
    assert_int_equal(world_tasks_on(world_machine(w, "m-0"), "run-1"), 1);
    assert_int_equal(world_tasks_on(world_machine(w, "n-0"), "run-1"), 1);
    world_finish(w);
}

static bool has_no_replica(struct world *w, const void *machine)
{
    (void)w;
    return world_tasks_on(machine, "run-1") == 0;
}

/* A machine whose reports don't arrive loses its lease, although it answers commands: its replica moves
 * before that. */
static void test_replica_moves_before_its_machine_loses_its_lease(void **state)
{
    (void)state;
    struct world *w = world_with_service(4, 3);
    w->run_time_s = 200;
    world_submit(w, 0, world_job("run-9", 4, 12));
    world_run(w, 6);
    struct world_machine *machine = world_where(w, "run-1");
    unsigned starts = machine->starts;
    machine->stopped_reporting = true;
    double lost_at = w->now + w->settings[0].lease_s;
    assert_true(world_until(w, w->settings[0].lease_s, has_no_replica, machine));
    assert_true(world_until(w, 4, world_three_running, "run-1"));
    assert_true(w->now < lost_at - 2);
    assert_int_equal(machine->starts, starts);
    world_finish(w);
}

/* Nobody else has the image, and it takes long to fetch: the machine may report again in time, so its replica
 * is left alone. */
static void test_replica_with_a_large_image_waits_for_its_machine(void **state)
{
    (void)state;
    struct world *w = world_with_machines(1);
    w->capacity = 0;
    struct ow_submission *service = world_service("run-1", 1, 1);
    service->image_gb = 60;
    world_submit(w, 0, service);
    assert_true(world_until(w, 10, world_some_running, "run-1"));
    struct world_machine *machine = world_where(w, "run-1");
    world_add_machine(w, "n-0", "big", "west", false);
    world_run(w, 4);
    machine->heartbeat_at = w->now;
    world_run(w, 0.5);
    machine->stopped_reporting = true;
    world_run(w, w->settings[0].lease_s - 2);
    machine->stopped_reporting = false;
    machine->heartbeat_at = w->now;
    world_run(w, 10);
    assert_int_equal(world_tasks_on(machine, "run-1"), 1);
    assert_int_equal(machine->starts, 1);
    world_finish(w);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_replica_moves_off_a_preempted_spot_machine),
        cmocka_unit_test(test_replica_moves_to_a_machine_without_its_image),
        cmocka_unit_test(test_all_replicas_move_before_a_spot_reclaim),
        cmocka_unit_test(test_replica_moves_off_a_faulty_machine),
        cmocka_unit_test(test_replicas_separate_when_capacity_returns),
        cmocka_unit_test(test_replica_moves_before_its_machine_loses_its_lease),
        cmocka_unit_test(test_replica_with_a_large_image_waits_for_its_machine),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
