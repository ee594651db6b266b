/* Services: replicas move off machines that are reclaimed, faulty, shared or about to lose their lease.
 * Guards against replicas that are down until the end of their last attempt is proven, although there was
 * time to move them first. */
#include "check.h"
#include "sim_cluster.h"
#include "model/submission.h"

/* A spot machine is about to be reclaimed: its replica moves while it is still running, once another
 * machine has room for it. */
static void test_replica_moves_off_a_preempted_spot_machine(void **state)
{
    (void)state;
    struct sim_cluster *cluster = sim_with_provisionable_machines(0, 4);
    sim_add_machine(cluster, "s-0", "big", "east", true);
    struct ow_submission *service = sim_service("run-1", 1, 1);
    service->spot = true;
    sim_start_job(cluster, service);
    struct sim_machine *old_machine = sim_find_machine_of_job(cluster, "run-1");
    /* A job that brings the image to another machine. */
    sim_add_machine(cluster, "m-0", "big", "east", false);
    struct ow_submission *other_job = sim_job("run-2", 16, 1);
    cluster->run_time_s = 2;
    sim_submit(cluster, 0, other_job);
    sim_run(cluster, 12);
    old_machine->reclaim_notice_s = 12;
    old_machine->next_heartbeat_at = cluster->now;
    sim_run(cluster, 4);
    assert_true(sim_find_machine_of_job(cluster, "run-1") != NULL &&
                sim_find_machine_of_job(cluster, "run-1") != old_machine);
    sim_finish(cluster);
}

static unsigned count_replicas_on_spot_machines(struct sim_cluster *cluster, const char *job)
{
    unsigned count = 0;
    for (guint i = 0; i < cluster->machines->len; i++) {
        const struct sim_machine *machine = sim_machine_at(cluster, i);
        count += machine->spot && !machine->deleted ? sim_count_running_on(machine, job) : 0;
    }
    return count;
}

/* Every spot machine reports its remaining time every second until it is reclaimed. */
static void reclaim_spot_machines(struct sim_cluster *cluster, int reclaim_notice_s)
{
    for (int remaining_s = reclaim_notice_s; remaining_s > 0; remaining_s--) {
        for (guint i = 0; i < cluster->machines->len; i++) {
            struct sim_machine *machine = sim_machine_at(cluster, i);
            if (!machine->spot)
                continue;
            machine->reclaim_notice_s = remaining_s;
            machine->next_heartbeat_at = cluster->now;
        }
        sim_run(cluster, 1);
    }
}

/* A cluster with a service whose replicas run on spot machines, one on each. */
static struct sim_cluster *sim_with_replicas_on_spot_machines(uint32_t replicas)
{
    struct sim_cluster *cluster = sim_with_provisionable_machines(0, 4);
    struct ow_submission *service = sim_service("run-1", replicas, 1);
    cluster->provisionable_machines = 0;
    service->spot = true;
    sim_add_group(cluster, "s", (int)replicas, "east", true);
    sim_run(cluster, 4);
    sim_submit(cluster, 0, service);
    sim_run(cluster, 6);
    assert_int_equal(count_replicas_on_spot_machines(cluster, "run-1"), replicas);
    return cluster;
}

/* No other machine has the image. The replica must still be stopped before its machine is reclaimed: proof
 * of its end would come much later. */
static void test_replica_moves_to_a_machine_without_its_image(void **state)
{
    (void)state;
    struct sim_cluster *cluster = sim_with_replicas_on_spot_machines(1);
    struct sim_machine *old_machine = sim_machine(cluster, "s-0");
    sim_add_machine(cluster, "m-0", "big", "east", false);
    sim_run(cluster, 4);
    reclaim_spot_machines(cluster, 7);
    assert_int_equal(sim_count_running_on(old_machine, "run-1"), 0);
    assert_int_equal(sim_count_running_on(sim_machine(cluster, "m-0"), "run-1"), 1);
    sim_finish(cluster);
}

/* All machines of a service are reclaimed at once and soon: there is no time to move the replicas one by
 * one. */
static void test_all_replicas_move_before_a_spot_reclaim(void **state)
{
    (void)state;
    struct sim_cluster *cluster = sim_with_replicas_on_spot_machines(6);
    struct ow_submission *other_job = sim_job("run-2", 96, 1);
    other_job->spot = false;
    sim_add_machines(cluster, 6);
    cluster->run_time_s = 2;
    sim_submit(cluster, 0, other_job);
    assert_true(sim_run_until(cluster, 30, sim_job_is_done, "run-2"));
    cluster->run_time_s = 200;
    reclaim_spot_machines(cluster, 8);
    assert_int_equal(count_replicas_on_spot_machines(cluster, "run-1"), 0);
    sim_run(cluster, 2);
    assert_int_equal(sim_count_running(cluster, "run-1"), 6);
    sim_finish(cluster);
}

/* A job of a class of its own that may run in the west zone only. */
static struct ow_submission *job_of_own_class_in_west_zone(const char *id)
{
    struct ow_submission *submission = sim_job(id, 1, 1);
    g_free(submission->class_name);
    submission->class_name = g_strdup(id);
    submission->zone = g_strdup("west");
    return submission;
}

/* A replica that kept running on a machine where every new task fails would keep that machine provisioned
 * indefinitely. */
static void test_replica_moves_off_a_faulty_machine(void **state)
{
    (void)state;
    struct sim_cluster *cluster = sim_with_provisionable_machines(3, 4);
    struct sim_machine *faulty = sim_add_machine(cluster, "w-0", "big", "west", false);
    cluster->provisionable_machines = 0;
    cluster->run_time_s = 200;
    sim_run(cluster, 4);
    sim_submit(cluster, 0, sim_service("run-1", 3, 1));
    sim_run(cluster, 6);
    assert_int_equal(sim_count_running_on(faulty, "run-1"), 1);
    /* The machine without a replica gets the image and is not idle. */
    struct ow_submission *other_job = sim_job("run-9", 3, 15);
    other_job->zone = g_strdup("east");
    sim_submit(cluster, 0, other_job);
    sim_run(cluster, 6);
    faulty->fails_tasks = true;
    sim_submit(cluster, 0, job_of_own_class_in_west_zone("run-2"));
    sim_run(cluster, 26);
    sim_submit(cluster, 0, job_of_own_class_in_west_zone("run-3"));
    assert_true(sim_run_until(cluster, 40, sim_machine_is_deleted, faulty));
    assert_true(sim_run_until(cluster, 4, sim_job_runs_three_tasks, "run-1"));
    sim_finish(cluster);
}

/* Two replicas share a machine because capacity was short. Once there is another machine, one of them must
 * move to it. */
static void test_replicas_separate_when_capacity_returns(void **state)
{
    (void)state;
    struct sim_cluster *cluster = sim_with_provisionable_machines(1, 4);
    cluster->provisionable_machines = 0;
    cluster->run_time_s = 200;
    sim_submit(cluster, 0, sim_service("run-1", 2, 1));
    sim_run(cluster, 6);
    assert_int_equal(sim_count_running_on(sim_machine(cluster, "m-0"), "run-1"), 2);
    sim_add_machine(cluster, "n-0", "big", "west", false);
    sim_submit(cluster, 0, sim_job("run-2", 20, 1));
    sim_run(cluster, 90);
    assert_int_equal(sim_count_running_on(sim_machine(cluster, "m-0"), "run-1"), 1);
    assert_int_equal(sim_count_running_on(sim_machine(cluster, "n-0"), "run-1"), 1);
    sim_finish(cluster);
}

static bool machine_has_no_replica(struct sim_cluster *cluster, const void *machine)
{
    (void)cluster;
    return sim_count_running_on(machine, "run-1") == 0;
}

/* A machine whose heartbeats don't arrive loses its lease, although it answers commands: its replica must
 * move before that. */
static void test_replica_moves_before_its_machine_loses_its_lease(void **state)
{
    (void)state;
    struct sim_cluster *cluster = sim_with_service(4, 3);
    cluster->run_time_s = 200;
    sim_submit(cluster, 0, sim_job("run-9", 4, 12));
    sim_run(cluster, 6);
    struct sim_machine *machine = sim_find_machine_of_job(cluster, "run-1");
    unsigned launches_before = machine->launches;
    machine->heartbeats_lost = true;
    double lease_expires_at = cluster->now + cluster->settings[0].lease_s;
    assert_true(sim_run_until(cluster, cluster->settings[0].lease_s, machine_has_no_replica, machine));
    assert_true(sim_run_until(cluster, 4, sim_job_runs_three_tasks, "run-1"));
    assert_true(cluster->now < lease_expires_at - 2);
    assert_int_equal(machine->launches, launches_before);
    sim_finish(cluster);
}

/* No other machine has the image, and it takes a long time to fetch. The heartbeats may arrive again
 * before a replacement could run, so the replica is left where it is. */
static void test_replica_with_a_large_image_stays_on_its_machine(void **state)
{
    (void)state;
    struct sim_cluster *cluster = sim_with_machines(1);
    cluster->provisionable_machines = 0;
    struct ow_submission *service = sim_service("run-1", 1, 1);
    service->image_gb = 60;
    sim_submit(cluster, 0, service);
    assert_true(sim_run_until(cluster, 10, sim_job_is_running, "run-1"));
    struct sim_machine *machine = sim_find_machine_of_job(cluster, "run-1");
    sim_add_machine(cluster, "n-0", "big", "west", false);
    sim_run(cluster, 4);
    machine->next_heartbeat_at = cluster->now;
    sim_run(cluster, 0.5);
    machine->heartbeats_lost = true;
    sim_run(cluster, cluster->settings[0].lease_s - 2);
    machine->heartbeats_lost = false;
    machine->next_heartbeat_at = cluster->now;
    sim_run(cluster, 10);
    assert_int_equal(sim_count_running_on(machine, "run-1"), 1);
    assert_int_equal(machine->launches, 1);
    sim_finish(cluster);
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
        cmocka_unit_test(test_replica_with_a_large_image_stays_on_its_machine),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
