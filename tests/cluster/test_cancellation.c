/* Cancellations while controllers, links or the key-value store fail (docs/overlapping-failures.md).
 * Guards against a cancellation that is confirmed to its user while a task of the job still runs or may
 * start later. The simulated cluster compares the responses to users with the tasks on the machines. */
#include "check.h"
#include "failure_setup.h"
#include "sim_cluster.h"

#include "model/event.h"
#include "model/peer.h"
#include "model/records.h"
#include "model/submission.h"

#include <string.h>

static int setup_two_machines_with_long_tasks(void **state)
{
    *state = sim_with_long_tasks(2);
    return 0;
}

static void test_acknowledged_cancellation_holds_through_an_outage(void **state)
{
    struct sim_cluster *cluster = *state;
    sim_start_job_at_follower(cluster, sim_job("run-1", 3, 1));
    cluster->controller_without_store = sim_leader(cluster);
    struct canceller canceller = {.id = "run-1", .controller = sim_follower(cluster)};
    sim_run_with_canceller(cluster, &canceller, 1);
    assert_true(canceller.answered_at > 0);
    cluster->store_down = true;
    sim_run(cluster, 60);
    assert_int_equal(sim_count_running(cluster, "run-1"), 0);
    sim_check_safety(cluster);
}

/* The leader can neither read the key-value store nor receive messages from other controllers, so it does
 * not learn of the cancellation: no user may get a confirmation before a leader can end the tasks. */
static void test_unacknowledged_cancellation_is_not_answered_in_an_outage(void **state)
{
    struct sim_cluster *cluster = *state;
    sim_start_job_at_follower(cluster, sim_job("run-1", 3, 1));
    cluster->controller_without_store = sim_leader(cluster);
    cluster->peers_partitioned = true;
    struct canceller canceller = {.id = "run-1", .controller = sim_follower(cluster)};
    sim_run_with_canceller(cluster, &canceller, 1.2);
    cluster->store_down = true;
    sim_run_with_canceller(cluster, &canceller, 60);
    assert_true(canceller.answered_at == 0);
    sim_run(cluster, 1);
    assert_int_equal(sim_status(cluster, canceller.request), 503);
    assert_true(sim_response(cluster, canceller.request)->retry_after_s > 0);
    uint64_t poll = sim_poll(cluster, canceller.controller, "run-1");
    sim_run(cluster, 1);
    assert_int_equal(sim_status(cluster, poll), 503);
    /* The cancellation has been committed: it takes effect and is confirmed once a leader has read it. */
    cluster->store_down = cluster->peers_partitioned = false;
    cluster->controller_without_store = -1;
    sim_run_with_canceller(cluster, &canceller, 12);
    assert_true(canceller.answered_at > 0);
    assert_int_equal(sim_count_running(cluster, "run-1"), 0);
    sim_check_safety(cluster);
}

static void send_cancellation_ack(struct sim_cluster *cluster, int controller, const char *job,
                                  uint64_t revision, uint64_t fencing_token)
{
    struct ow_event *event = g_new0(struct ow_event, 1);
    event->kind = OW_EVENT_PEER;
    event->peer = ow_peer_message_new(OW_PEER_CANCELLATION_ACK);
    g_strlcpy(event->peer->cancellation.job, job, sizeof event->peer->cancellation.job);
    event->peer->cancellation.revision = revision;
    event->peer->fencing_token = fencing_token;
    ow_shard_manager_push(cluster->controllers[controller], event);
}

/* A leader that was deposed before the cancellation was recorded acknowledges it late. The acknowledgement
 * must be ignored, because the successor may not have read the cancellation. */
static void test_acknowledgement_of_a_deposed_leader_is_ignored(void **state)
{
    (void)state;
    struct sim_cluster *cluster = sim_with_long_tasks(2);
    sim_start_job_at_follower(cluster, sim_job("run-1", 1, 1));
    uint64_t fencing_token = sim_fencing_token(cluster, sim_leader(cluster));
    cluster->controller_without_store = sim_leader(cluster);
    cluster->peers_partitioned = true;
    int controller = sim_follower(cluster);
    sim_cancel(cluster, controller, "run-1");
    sim_run(cluster, 1);
    cluster->store_down = true;
    send_cancellation_ack(cluster, controller, "run-1", cluster->revision, fencing_token - 1);
    uint64_t poll = sim_poll(cluster, controller, "run-1");
    sim_run(cluster, 1);
    assert_int_equal(sim_status(cluster, poll), 503);
    send_cancellation_ack(cluster, controller, "run-1", cluster->revision, fencing_token);
    poll = sim_poll(cluster, controller, "run-1");
    sim_run(cluster, 1);
    assert_int_equal(sim_status(cluster, poll), 200);
    sim_free(cluster); /* no safety check: the test forged the acknowledgement, so the tasks keep running */
}

/* A cancellation reaches the leader before the job itself: an older record of the job, read later, must not
 * start it.
 */
static void test_cancellation_received_before_its_job_prevents_the_start(void **state)
{
    struct sim_cluster *cluster = *state;
    int leader = sim_leader(cluster);
    cluster->store_latency_controller = leader;
    cluster->store_latency_s = 1.2; /* the age of each read when its response arrives */
    sim_submit(cluster, sim_follower(cluster), sim_job("run-1", 1, 1));
    sim_run(cluster, 0.3);
    struct canceller canceller = {.id = "run-1", .controller = sim_follower(cluster)};
    sim_run_with_canceller(cluster, &canceller, 0.6);
    assert_true(canceller.answered_at > 0);
    sim_run(cluster, 4);
    cluster->store_latency_s = 0;
    sim_run(cluster, 16);
    assert_int_equal(sim_leader(cluster), leader);
    assert_int_equal(sim_machine(cluster, "m-0")->launches + sim_machine(cluster, "m-1")->launches, 0);
    /* The final record of the job is still written. */
    assert_string_equal(sim_read_value(cluster, OW_KEY_JOBS "run-1"), "{\"e\":3}");
    sim_check_safety(cluster);
}

/* A cancellation that commits after a failover would be missed by a leader that has already read the
 * table. The transaction therefore requires the leader key that its writer knew. */
static void test_cancellation_written_after_a_failover_is_rejected(void **state)
{
    struct sim_cluster *cluster = *state;
    sim_start_job_at_follower(cluster, sim_job("run-1", 1, 1));
    int old_leader = sim_leader(cluster);
    cluster->delay_next_controller = sim_follower(cluster);
    cluster->delay_next_txns = 1;
    cluster->keep_txns_delayed = true;
    uint64_t first_request = sim_cancel(cluster, cluster->delay_next_controller, "run-1");
    sim_run(cluster, 3);
    assert_int_equal(sim_status(cluster, first_request), 503);
    sim_kill_controller(cluster, old_leader);
    sim_run(cluster, 10);
    assert_true(sim_leader(cluster) >= 0 && sim_leader(cluster) != old_leader);
    cluster->keep_txns_delayed = false;
    sim_run(cluster, 3);
    assert_int_equal(cluster->delayed_txns->len, 0);
    assert_int_equal(sim_job_state(cluster, "run-1"), OW_JOB_RUNNING);
    sim_check_safety(cluster);
}

/* Runs until a controller other than `old_leader` holds the leader key. The response to its transaction is
 * still in flight. */
static void run_until_leader_key_changes(struct sim_cluster *cluster, int old_leader)
{
    for (int i = 0; i < 200; i++) {
        const char *key = sim_read_value(cluster, OW_KEY_LEADER);
        if (key != NULL && strstr(key, cluster->settings[old_leader].controller_name) == NULL)
            return;
        sim_run(cluster, 0.05);
    }
    fail_msg("no other controller took the leader key within 10 s");
}

/* An outage begins before the first read of a new leader: it must not renew leases, since a machine may
 * run a task whose cancellation was confirmed. */
static void test_leader_renews_no_lease_before_its_first_read(void **state)
{
    struct sim_cluster *cluster = *state;
    struct sim_machine *machine = sim_start_job_at_follower(cluster, sim_job("run-1", 1, 1));
    int old_leader = sim_leader(cluster);
    machine->hung = true; /* the machine does not receive the stop command */
    struct canceller canceller = {.id = "run-1", .controller = sim_follower(cluster)};
    sim_run_with_canceller(cluster, &canceller, 0.5);
    assert_true(canceller.answered_at > 0);
    sim_kill_controller(cluster, old_leader);
    cluster->store_latency_s = 0.5;
    run_until_leader_key_changes(cluster, old_leader);
    cluster->store_down = true;
    machine->hung = false;
    sim_run(cluster, 60);
    assert_true(sim_leader(cluster) >= 0);
    assert_int_equal(sim_count_running(cluster, "run-1"), 0);
    sim_check_safety(cluster);
}

/* A new leader that does not know the running tasks yet cannot have ended them: it must not acknowledge a
 * cancellation. */
static void test_leader_acknowledges_no_cancellation_before_it_is_ready(void **state)
{
    struct sim_cluster *cluster = *state;
    struct sim_machine *machine = sim_start_job_at_follower(cluster, sim_job("run-1", 1, 1));
    cluster->cloud_down = true;
    int old_leader = sim_leader(cluster);
    machine->partitioned = true;
    sim_kill_controller(cluster, old_leader);
    run_until_leader_key_changes(cluster, old_leader);
    while (sim_leader(cluster) < 0)
        sim_run(cluster, 0.05);
    cluster->store_latency_controller = sim_leader(cluster);
    cluster->store_latency_s = 3;
    sim_run(cluster, 0.3); /* the other controllers learn who leads */
    struct canceller canceller = {.id = "run-1", .controller = 3 - old_leader - sim_leader(cluster)};
    sim_run_with_canceller(cluster, &canceller, 2);
    assert_true(canceller.answered_at == 0);
    cluster->store_latency_s = 0;
    machine->partitioned = false;
    sim_run_with_canceller(cluster, &canceller, 15);
    assert_true(canceller.answered_at > 0);
    assert_int_equal(sim_count_running(cluster, "run-1"), 0);
    sim_check_safety(cluster);
}

static void run_cancellation_in_zone_partition(bool cloud_down)
{
    struct sim_cluster *cluster = sim_with_long_tasks(2);
    struct sim_machine *machine = sim_start_job_at_follower(cluster, sim_job("run-1", 1, 1));
    int old_leader = sim_leader(cluster);
    cluster->isolated_controller = machine->only_reachable_controller = old_leader;
    cluster->cloud_down = cloud_down;
    sim_run(cluster, 6);
    assert_true(sim_leader(cluster) != old_leader);
    struct canceller canceller = {.id = "run-1", .controller = sim_leader(cluster)};
    sim_run_with_canceller(cluster, &canceller, 45);
    /* The partitioned leader stops answering heartbeats in time, so that the task ends. On the other side
     * of the partition only proof of the end confirms the cancellation: the deletion of the machine. */
    assert_int_equal(sim_count_running(cluster, "run-1"), 0);
    assert_true(machine->deleted == !cloud_down);
    assert_true((canceller.answered_at > 0) == !cloud_down);
    cluster->isolated_controller = machine->only_reachable_controller = -1;
    cluster->cloud_down = false;
    sim_run_with_canceller(cluster, &canceller, 10);
    assert_true(canceller.answered_at > 0);
    sim_finish(cluster);
}

static void test_cancellation_holds_with_the_leader_and_a_zone_partitioned(void **state)
{
    (void)state;
    run_cancellation_in_zone_partition(false);
    run_cancellation_in_zone_partition(true);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(test_acknowledged_cancellation_holds_through_an_outage,
                                        setup_two_machines_with_long_tasks, sim_teardown),
        cmocka_unit_test_setup_teardown(test_unacknowledged_cancellation_is_not_answered_in_an_outage,
                                        setup_two_machines_with_long_tasks, sim_teardown),
        cmocka_unit_test(test_acknowledgement_of_a_deposed_leader_is_ignored),
        cmocka_unit_test_setup_teardown(test_cancellation_received_before_its_job_prevents_the_start,
                                        setup_two_machines_with_long_tasks, sim_teardown),
        cmocka_unit_test_setup_teardown(test_cancellation_written_after_a_failover_is_rejected,
                                        setup_two_machines_with_long_tasks, sim_teardown),
        cmocka_unit_test_setup_teardown(test_leader_renews_no_lease_before_its_first_read,
                                        setup_two_machines_with_long_tasks, sim_teardown),
        cmocka_unit_test_setup_teardown(test_leader_acknowledges_no_cancellation_before_it_is_ready,
                                        setup_two_machines_with_long_tasks, sim_teardown),
        cmocka_unit_test(test_cancellation_holds_with_the_leader_and_a_zone_partitioned),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
