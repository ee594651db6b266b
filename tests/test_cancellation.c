/* Cancellations while controllers, links or the key-value store fail (docs/meetings.md). The simulated
 * cluster checks the safety rules from outside: the answers that users get and the tasks on the machines. */
#include "check.h"
#include "failure_setup.h"
#include "world.h"

#include "core/records/records.h"

#include <string.h>

static void test_acknowledged_cancellation_holds_through_an_outage(void **state)
{
    (void)state;
    struct world *w = failure_world(2);
    failure_start_job(w, world_job("run-1", 3, 1));
    w->denied_controller = world_leader(w);
    struct canceller canceller = {.id = "run-1", .controller = world_follower(w)};
    run_cancelling(w, &canceller, 1);
    assert_true(canceller.answered_at > 0);
    w->store_down = true;
    world_run(w, 60);
    assert_int_equal(world_running(w, "run-1"), 0);
    world_finish(w);
}

/* The same without a link to the leader: no user may get a confirmation before a leader can end the tasks. */
static void test_unacknowledged_cancellation_is_not_answered_in_an_outage(void **state)
{
    (void)state;
    struct world *w = failure_world(2);
    failure_start_job(w, world_job("run-1", 3, 1));
    w->denied_controller = world_leader(w);
    w->peers_cut = true;
    struct canceller canceller = {.id = "run-1", .controller = world_follower(w)};
    run_cancelling(w, &canceller, 1.2);
    w->store_down = true;
    run_cancelling(w, &canceller, 60);
    assert_true(canceller.answered_at == 0);
    world_run(w, 1);
    assert_int_equal(world_status(w, canceller.request), 503);
    assert_true(world_answer(w, canceller.request)->retry_after_s > 0);
    uint64_t poll = world_poll(w, canceller.controller, "run-1");
    world_run(w, 1);
    assert_int_equal(world_status(w, poll), 503);
    /* The commit is kept: the cancellation takes effect and is confirmed once a leader has read it. */
    w->store_down = w->peers_cut = false;
    w->denied_controller = -1;
    run_cancelling(w, &canceller, 12);
    assert_true(canceller.answered_at > 0);
    assert_int_equal(world_running(w, "run-1"), 0);
    world_finish(w);
}

static void send_cancellation_ack(struct world *w, int controller, const char *job, uint64_t revision,
                                  uint64_t fencing_token)
{
    struct ow_event *event = g_new0(struct ow_event, 1);
    event->kind = OW_EVENT_PEER;
    event->peer = ow_peer_message_new(OW_PEER_CANCELLATION_ACK);
    g_strlcpy(event->peer->job, job, sizeof event->peer->job);
    event->peer->revision = revision;
    event->peer->number = fencing_token;
    ow_shard_manager_push(w->controllers[controller], event);
}

/* An acknowledgement by a leader that was deposed before the cancellation was recorded is ignored: its
 * successor may not have read it. */
static void test_acknowledgement_of_a_deposed_leader_is_ignored(void **state)
{
    (void)state;
    struct world *w = failure_world(2);
    failure_start_job(w, world_job("run-1", 1, 1));
    uint64_t fencing_token = world_fencing_token(w, world_leader(w));
    w->denied_controller = world_leader(w);
    w->peers_cut = true;
    int controller = world_follower(w);
    world_cancel(w, controller, "run-1");
    world_run(w, 1);
    w->store_down = true;
    send_cancellation_ack(w, controller, "run-1", w->revision, fencing_token - 1);
    uint64_t poll = world_poll(w, controller, "run-1");
    world_run(w, 1);
    assert_int_equal(world_status(w, poll), 503);
    send_cancellation_ack(w, controller, "run-1", w->revision, fencing_token);
    poll = world_poll(w, controller, "run-1");
    world_run(w, 1);
    assert_int_equal(world_status(w, poll), 200);
    world_free(w); /* the acknowledgement was forged: the tasks keep running */
}

/* A cancellation reaches the leader before the job itself: an older record of the job, read later, must not
 * start it.
 */
static void test_cancellation_received_before_its_job_prevents_the_start(void **state)
{
    (void)state;
    struct world *w = failure_world(2);
    int leader = world_leader(w);
    w->slow_controller = leader;
    w->store_slow_s = 1.2; /* each read is stale by this time when it arrives */
    world_submit(w, world_follower(w), world_job("run-1", 1, 1));
    world_run(w, 0.3);
    struct canceller canceller = {.id = "run-1", .controller = world_follower(w)};
    run_cancelling(w, &canceller, 0.6);
    assert_true(canceller.answered_at > 0);
    world_run(w, 4);
    w->store_slow_s = 0;
    world_run(w, 16);
    assert_int_equal(world_leader(w), leader);
    assert_int_equal(world_machine(w, "m-0")->starts + world_machine(w, "m-1")->starts, 0);
    /* Its final record is written nevertheless. */
    assert_string_equal(world_value_text(w, OW_KEY_JOBS "run-1"), "{\"e\":3}");
    world_finish(w);
}

/* A record that commits only after a failover would be missed by a leader that has already read the table:
 * the transaction therefore expects the leader key that its writer knew. */
static void test_cancellation_written_after_a_failover_is_rejected(void **state)
{
    (void)state;
    struct world *w = failure_world(2);
    failure_start_job(w, world_job("run-1", 1, 1));
    int old = world_leader(w);
    w->hold_controller = world_follower(w);
    w->hold_next = 1;
    w->keep_held = true;
    uint64_t first = world_cancel(w, w->hold_controller, "run-1");
    world_run(w, 3);
    assert_int_equal(world_status(w, first), 503);
    world_kill_controller(w, old);
    world_run(w, 10);
    assert_true(world_leader(w) >= 0 && world_leader(w) != old);
    w->keep_held = false;
    world_run(w, 3);
    assert_int_equal(w->held->len, 0);
    assert_int_equal(world_job_state(w, "run-1"), OW_JOB_RUNNING);
    world_finish(w);
}

/* Runs until another controller than `old` holds the leader key; the response to it is still in flight. */
static void run_until_taken(struct world *w, int old)
{
    for (int i = 0; i < 200; i++) {
        const char *key = world_value_text(w, OW_KEY_LEADER);
        if (key != NULL && strstr(key, w->settings[old].controller_name) == NULL)
            return;
        world_run(w, 0.05);
    }
    fail_msg("no controller takes over");
}

/* A new leader in an outage, before its first read: it keeps no task alive whose cancellation was confirmed.
 */
static void test_leader_renews_no_lease_before_its_first_read(void **state)
{
    (void)state;
    struct world *w = failure_world(2);
    struct world_machine *machine = failure_start_job(w, world_job("run-1", 1, 1));
    int old = world_leader(w);
    machine->hangs = true; /* so that it does not receive the stop */
    struct canceller canceller = {.id = "run-1", .controller = world_follower(w)};
    run_cancelling(w, &canceller, 0.5);
    assert_true(canceller.answered_at > 0);
    world_kill_controller(w, old);
    w->store_slow_s = 0.5;
    run_until_taken(w, old);
    w->store_down = true;
    machine->hangs = false;
    world_run(w, 60);
    assert_true(world_leader(w) >= 0);
    assert_int_equal(world_running(w, "run-1"), 0);
    world_finish(w);
}

/* A leader that receives a cancellation before it knows the running tasks acknowledges nothing. */
static void test_leader_acknowledges_no_cancellation_before_it_is_ready(void **state)
{
    (void)state;
    struct world *w = failure_world(2);
    struct world_machine *machine = failure_start_job(w, world_job("run-1", 1, 1));
    w->cloud_down = true;
    int old = world_leader(w);
    machine->cut = true;
    world_kill_controller(w, old);
    run_until_taken(w, old);
    while (world_leader(w) < 0)
        world_run(w, 0.05);
    w->slow_controller = world_leader(w);
    w->store_slow_s = 3;
    world_run(w, 0.3); /* the others learn who leads */
    struct canceller canceller = {.id = "run-1", .controller = 3 - old - world_leader(w)};
    run_cancelling(w, &canceller, 2);
    assert_true(canceller.answered_at == 0);
    w->store_slow_s = 0;
    machine->cut = false;
    run_cancelling(w, &canceller, 15);
    assert_true(canceller.answered_at > 0);
    assert_int_equal(world_running(w, "run-1"), 0);
    world_finish(w);
}

static void run_zone_partition(bool cloud_down)
{
    struct world *w = failure_world(2);
    struct world_machine *machine = failure_start_job(w, world_job("run-1", 1, 1));
    int old = world_leader(w);
    w->isolated_controller = machine->only_controller = old;
    w->cloud_down = cloud_down;
    world_run(w, 6);
    assert_true(world_leader(w) != old);
    struct canceller canceller = {.id = "run-1", .controller = world_leader(w)};
    run_cancelling(w, &canceller, 45);
    /* The partitioned leader stops answering in time; outside, only proof of the end confirms the
     * cancellation. */
    assert_int_equal(world_running(w, "run-1"), 0);
    assert_true(machine->gone == !cloud_down);
    assert_true((canceller.answered_at > 0) == !cloud_down);
    w->isolated_controller = machine->only_controller = -1;
    w->cloud_down = false;
    run_cancelling(w, &canceller, 10);
    assert_true(canceller.answered_at > 0);
    world_finish(w);
}

static void test_cancellation_while_a_zone_is_partitioned_with_the_leader(void **state)
{
    (void)state;
    run_zone_partition(false);
    run_zone_partition(true);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_acknowledged_cancellation_holds_through_an_outage),
        cmocka_unit_test(test_unacknowledged_cancellation_is_not_answered_in_an_outage),
        cmocka_unit_test(test_acknowledgement_of_a_deposed_leader_is_ignored),
        cmocka_unit_test(test_cancellation_received_before_its_job_prevents_the_start),
        cmocka_unit_test(test_cancellation_written_after_a_failover_is_rejected),
        cmocka_unit_test(test_leader_renews_no_lease_before_its_first_read),
        cmocka_unit_test(test_leader_acknowledges_no_cancellation_before_it_is_ready),
        cmocka_unit_test(test_cancellation_while_a_zone_is_partitioned_with_the_leader),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
