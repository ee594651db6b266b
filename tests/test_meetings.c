/* Overlapping failures (docs/meetings.md). The fake world checks the safety rules from outside: the answers
 * that users get and the tasks on the machines. Each test fails without the guard that docs/meetings.md
 * names.
 */
#include "check.h"
#include "world.h"

#include "core/records/records.h"

#include <string.h>

static struct world *start_world(int machines)
{
    struct world *w = world_with_machines(machines);
    w->run_s = 300;
    return w;
}

static int follower(const struct world *w)
{
    return (world_leader(w) + 1) % WORLD_CONTROLLERS;
}

static struct world_machine *start_job(struct world *w, struct ow_submission *job)
{
    char id[OW_ID_MAX + 1];
    g_strlcpy(id, job->id, sizeof id);
    world_submit(w, follower(w), job);
    assert_true(world_until(w, 10, world_some_running, id));
    world_run(w, 4);
    return world_where(w, id);
}

/* A user who repeats a cancellation every second until it is confirmed. */
struct canceller {
    const char *id;
    int controller;
    uint64_t request;
    double asked_at, answered_at;
};

static void cancel_step(struct world *w, struct canceller *canceller)
{
    if (canceller->answered_at > 0)
        return;
    if (canceller->request != 0 && world_status(w, canceller->request) == 200)
        canceller->answered_at = w->now;
    else if (w->now >= canceller->asked_at + 1) {
        canceller->asked_at = w->now;
        canceller->request = world_cancel(w, canceller->controller, canceller->id);
    }
}

static void run_cancelling(struct world *w, struct canceller *canceller, double seconds)
{
    for (double end = w->now + seconds; w->now < end;) {
        cancel_step(w, canceller);
        world_run(w, 0.1);
    }
}

/* ---- the state service denies the leader alone, then every controller for longer than cancel_s ---- */

static void test_acknowledged_cancellation_holds_through_an_outage(void **state)
{
    (void)state;
    struct world *w = start_world(2);
    start_job(w, world_job("run-1", 3, 1));
    w->denied_controller = world_leader(w);
    struct canceller canceller = {.id = "run-1", .controller = follower(w)};
    run_cancelling(w, &canceller, 1);
    assert_true(canceller.answered_at > 0);
    w->state_down = true;
    world_run(w, 60);
    assert_int_equal(world_running(w, "run-1"), 0);
    world_finish(w);
}

/* The same without a link to the leader: no user may get a confirmation before a leader can end the tasks. */
static void test_unacknowledged_cancellation_is_not_answered_in_an_outage(void **state)
{
    (void)state;
    struct world *w = start_world(2);
    start_job(w, world_job("run-1", 3, 1));
    w->denied_controller = world_leader(w);
    w->peers_cut = true;
    struct canceller canceller = {.id = "run-1", .controller = follower(w)};
    run_cancelling(w, &canceller, 1.2);
    w->state_down = true;
    run_cancelling(w, &canceller, 60);
    assert_true(canceller.answered_at == 0);
    world_run(w, 1);
    assert_int_equal(world_status(w, canceller.request), 503);
    assert_true(world_answer(w, canceller.request)->retry_after_s > 0);
    uint64_t poll = world_poll(w, canceller.controller, "run-1");
    world_run(w, 1);
    assert_int_equal(world_status(w, poll), 503);
    /* The commit is kept: the cancellation takes effect and is confirmed once a leader has read it. */
    w->state_down = w->peers_cut = false;
    w->denied_controller = -1;
    run_cancelling(w, &canceller, 12);
    assert_true(canceller.answered_at > 0);
    assert_int_equal(world_running(w, "run-1"), 0);
    world_finish(w);
}

static void send_cancellation_ack(struct world *w, int controller, const char *job, uint64_t revision,
                                  uint64_t token)
{
    struct ow_event *event = g_new0(struct ow_event, 1);
    event->kind = OW_EVENT_PEER;
    event->peer = ow_peer_message_new(OW_PEER_CANCELLATION_ACK);
    g_strlcpy(event->peer->job, job, sizeof event->peer->job);
    event->peer->revision = revision;
    event->peer->number = token;
    ow_core_push(w->cores[controller], event);
}

/* An acknowledgement by a leader that was deposed before the cancellation was recorded is ignored: its
 * successor may not have read it. */
static void test_acknowledgement_of_a_deposed_leader_is_ignored(void **state)
{
    (void)state;
    struct world *w = start_world(2);
    start_job(w, world_job("run-1", 1, 1));
    uint64_t token = ow_core_token(w->cores[world_leader(w)]);
    w->denied_controller = world_leader(w);
    w->peers_cut = true;
    int controller = follower(w);
    world_cancel(w, controller, "run-1");
    world_run(w, 1);
    w->state_down = true;
    send_cancellation_ack(w, controller, "run-1", w->revision, token - 1);
    uint64_t poll = world_poll(w, controller, "run-1");
    world_run(w, 1);
    assert_int_equal(world_status(w, poll), 503);
    send_cancellation_ack(w, controller, "run-1", w->revision, token);
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
    struct world *w = start_world(2);
    int leader = world_leader(w);
    w->slow_controller = leader;
    w->state_slow_s = 1.2; /* each read is stale by this time when it arrives */
    world_submit(w, follower(w), world_job("run-1", 1, 1));
    world_run(w, 0.3);
    struct canceller canceller = {.id = "run-1", .controller = follower(w)};
    run_cancelling(w, &canceller, 0.6);
    assert_true(canceller.answered_at > 0);
    world_run(w, 4);
    w->state_slow_s = 0;
    world_run(w, 16);
    assert_int_equal(world_leader(w), leader);
    assert_int_equal(world_machine(w, "m-0")->starts + world_machine(w, "m-1")->starts, 0);
    /* Its final record is written nevertheless. */
    assert_string_equal(world_value_text(w, OW_KEY_JOBS "run-1"), "{\"e\":3}");
    world_finish(w);
}

/* A record that commits only after a takeover would be missed by a leader that has already read the table:
 * the transaction therefore expects the leader key that its writer knew. */
static void test_cancellation_written_after_a_takeover_is_rejected(void **state)
{
    (void)state;
    struct world *w = start_world(2);
    start_job(w, world_job("run-1", 1, 1));
    int old = world_leader(w);
    w->hold_controller = follower(w);
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
    struct world *w = start_world(2);
    struct world_machine *machine = start_job(w, world_job("run-1", 1, 1));
    int old = world_leader(w);
    machine->hangs = true; /* so that it does not receive the stop */
    struct canceller canceller = {.id = "run-1", .controller = follower(w)};
    run_cancelling(w, &canceller, 0.5);
    assert_true(canceller.answered_at > 0);
    world_kill_controller(w, old);
    w->state_slow_s = 0.5;
    run_until_taken(w, old);
    w->state_down = true;
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
    struct world *w = start_world(2);
    struct world_machine *machine = start_job(w, world_job("run-1", 1, 1));
    w->cloud_down = true;
    int old = world_leader(w);
    machine->cut = true;
    world_kill_controller(w, old);
    run_until_taken(w, old);
    while (world_leader(w) < 0)
        world_run(w, 0.05);
    w->slow_controller = world_leader(w);
    w->state_slow_s = 3;
    world_run(w, 0.3); /* the others learn who leads */
    struct canceller canceller = {.id = "run-1", .controller = 3 - old - world_leader(w)};
    run_cancelling(w, &canceller, 2);
    assert_true(canceller.answered_at == 0);
    w->state_slow_s = 0;
    machine->cut = false;
    run_cancelling(w, &canceller, 15);
    assert_true(canceller.answered_at > 0);
    assert_int_equal(world_running(w, "run-1"), 0);
    world_finish(w);
}

/* ---- a leader partitioned together with its workers, while jobs are cancelled elsewhere ---- */

static void run_zone_partition(bool cloud_down)
{
    struct world *w = start_world(2);
    struct world_machine *machine = start_job(w, world_job("run-1", 1, 1));
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

/* A token that was released is never reused: launches sent under it may still be in flight. */
static void test_returning_leader_takes_a_new_token(void **state)
{
    (void)state;
    struct world *w = start_world(2);
    int old = world_leader(w);
    uint64_t before = ow_core_token(w->cores[old]);
    w->isolated_controller = old;
    w->state_down = true; /* its key stays: leases don't expire in an outage */
    world_run(w, 30);
    assert_int_equal(ow_core_token(w->cores[old]), 0);
    w->isolated_controller = -1;
    w->state_down = false;
    world_run(w, 8);
    assert_int_equal(world_leader(w), old);
    assert_true(ow_core_token(w->cores[old]) > before);
    world_finish(w);
}

/* ---- cancellations that race with other events ---- */

static void test_cancellation_races_with_the_last_task_exit(void **state)
{
    (void)state;
    for (int offset = 0; offset < 40; offset++) {
        struct world *w = world_with_machines(2);
        w->run_s = 1;
        w->state_slow_s = offset % 2 == 0 ? 0 : 0.2;
        world_submit(w, offset % WORLD_CONTROLLERS, world_job("run-1", 2, 1));
        world_run(w, 1 + 0.1 * offset);
        uint64_t cancel = world_cancel(w, (offset + 1) % WORLD_CONTROLLERS, "run-1");
        uint64_t poll = world_poll(w, (offset + 2) % WORLD_CONTROLLERS, "run-1");
        world_submit(w, offset % WORLD_CONTROLLERS, world_job("run-1", 2, 1));
        world_run(w, 0.1);
        uint64_t again = world_poll(w, offset % WORLD_CONTROLLERS, "run-1");
        world_run(w, 6);
        assert_int_not_equal(world_status(w, cancel), 0);
        assert_int_not_equal(world_status(w, poll), 0);
        assert_int_not_equal(world_status(w, again), 0);
        int end = world_job_state(w, "run-1");
        assert_true(end == OW_JOB_DONE || end == OW_JOB_CANCELLED);
        if (world_status(w, cancel) == 200)
            assert_int_equal(world_answer(w, cancel)->state, end);
        world_finish(w);
    }
}

/* A machine hangs while the job is cancelled, and resumes before its lease expires. */
static void test_cancelled_task_ends_on_a_machine_that_hung(void **state)
{
    (void)state;
    struct world *w = start_world(2);
    struct world_machine *machine = start_job(w, world_job("run-1", 2, 1));
    machine->hangs = true;
    struct canceller canceller = {.id = "run-1", .controller = follower(w)};
    run_cancelling(w, &canceller, 16);
    machine->hangs = false;
    run_cancelling(w, &canceller, 4);
    assert_true(canceller.answered_at > 0);
    assert_int_equal(world_running(w, "run-1"), 0);
    world_finish(w);
}

/* A launch to a hanging machine is delayed; the job is cancelled, and then the machine resumes. */
static void test_delayed_launch_does_not_outlive_a_cancellation(void **state)
{
    (void)state;
    struct world *w = start_world(1);
    struct world_machine *machine = world_machine(w, "m-0");
    w->hold_directs = true;
    machine->report_at = w->now + 10;
    world_submit(w, 0, world_job("run-1", 1, 1));
    world_run(w, 1);
    struct canceller canceller = {.id = "run-1", .controller = follower(w)};
    run_cancelling(w, &canceller, 3);
    w->hold_directs = false;
    run_cancelling(w, &canceller, 15);
    assert_true(canceller.answered_at > 0);
    assert_int_equal(world_running(w, "run-1"), 0);
    world_finish(w);
}

/* A team at its limit, a leader change, an unreachable machine, and a cancellation. */
static void test_team_limit_holds_across_a_leader_change(void **state)
{
    (void)state;
    struct world *w = start_world(2);
    w->cloud_down = true;
    const char *ids[] = {"run-1", "run-2"};
    for (int i = 0; i < 2; i++) {
        struct ow_submission *job = world_job(ids[i], 2, 4);
        world_set_team(job, "tight");
        world_submit(w, 0, job);
        world_run(w, 4);
    }
    assert_int_equal(world_running(w, "run-1"), 2);
    struct world_machine *machine = world_where(w, "run-1");
    machine->cut = true;
    world_kill_controller(w, world_leader(w));
    struct canceller canceller = {.id = "run-1", .controller = world_leader(w) == 0 ? 1 : 0};
    for (int i = 0; i < WORLD_CONTROLLERS; i++)
        canceller.controller = w->cores[i] != NULL ? i : canceller.controller;
    run_cancelling(w, &canceller, 50);
    machine->cut = false;
    run_cancelling(w, &canceller, 20);
    assert_true(canceller.answered_at > 0);
    assert_true(world_until(w, 20, world_some_running, "run-2"));
    world_finish(w);
}

/* ---- machines with partial connectivity ---- */

/* Its reports reach no controller, so its lease expires repeatedly although it answers commands. */
static void test_machine_that_stopped_reporting_gets_no_new_tasks(void **state)
{
    (void)state;
    struct world *w = start_world(2);
    w->run_s = 15;
    struct world_machine *machine = start_job(w, world_job("run-1", 1, 1));
    machine->stopped_reporting = true;
    /* A new leader queries it at its own address and gets responses to every command. */
    world_kill_controller(w, world_leader(w));
    world_run(w, 6);
    unsigned before = machine->starts;
    for (int i = 2; i < 32; i++) {
        char id[16];
        g_snprintf(id, sizeof id, "run-%d", i);
        world_submit(w, world_leader(w), world_job(id, 1, 0.5));
        world_run(w, 1);
        before = i == 10 ? machine->starts : before;
    }
    assert_int_equal(machine->starts, before);
    assert_true(world_until(w, 120, world_all_done, "run-31"));
    assert_true(world_until(w, 70, world_all_done, "run-1"));
    world_finish(w);
}

/* Tasks bound to one zone lose their machine during a takeover: none starts in another zone before they have
 * ended. */
static void test_one_zone_array_survives_a_machine_loss(void **state)
{
    (void)state;
    struct world *w = start_world(1);
    w->capacity = 4;
    world_add_machine(w, "w-0", "big", "west", false);
    world_add_machine(w, "w-1", "big", "west", false);
    struct ow_submission *job = world_job("run-1", 4, 8);
    job->one_zone = true;
    struct world_machine *machine = start_job(w, job);
    machine->hangs = true;
    world_kill_controller(w, world_leader(w));
    world_run(w, 15);
    machine->hangs = false;
    w->run_s = 3;
    world_run(w, 5);
    world_start_controllers(w);
    world_delete_machine(machine);
    world_run(w, 60);
    w->run_s = 3;
    for (guint i = 0; i < w->machines->len; i++) {
        struct world_machine *other = world_machine_at(w, i);
        for (guint k = 0; k < other->tasks->len; k++)
            g_array_index(other->tasks, struct world_task, k).phase_at = w->now;
    }
    assert_true(world_until(w, 60, world_all_done, "run-1"));
    world_finish(w);
}

/* ---- leader changes ---- */

static void test_all_controllers_down_for_longer_than_a_lease(void **state)
{
    (void)state;
    struct world *w = start_world(2);
    start_job(w, world_job("run-1", 3, 1));
    world_kill_controllers(w);
    world_run(w, 30);
    assert_int_equal(world_running(w, "run-1"), 0);
    w->run_s = 3;
    world_start_controllers(w);
    assert_true(world_until(w, 30, world_all_done, "run-1"));
    world_finish(w);
}

/* Tasks that end far apart: a result recorded under one leader counts under the next, and no task runs twice.
 */
static void test_recorded_results_survive_leader_changes(void **state)
{
    (void)state;
    struct world *w = start_world(3);
    start_job(w, world_job("run-1", 3, 1));
    struct world_task *tasks[3];
    guint count = 0;
    for (guint i = 0; i < w->machines->len; i++) {
        struct world_machine *machine = world_machine_at(w, i);
        for (guint k = 0; k < machine->tasks->len; k++)
            tasks[count++] = &g_array_index(machine->tasks, struct world_task, k);
    }
    assert_int_equal(count, 3);
    for (guint i = 0; i < count; i++)
        tasks[i]->phase_at = w->now + 2 + 15 * i;
    for (int i = 0; i < 3; i++) {
        world_run(w, 9);
        int old = world_leader(w);
        world_kill_controller(w, old);
        world_run(w, 6);
        world_start_controller(w, old);
        assert_int_equal(world_job_state(w, "run-1") == OW_JOB_DONE, i == 2);
    }
    assert_int_equal(world_total_starts(w), 3);
    world_finish(w);
}

static void test_ten_leader_changes(void **state)
{
    (void)state;
    struct world *w = start_world(3);
    w->run_s = 8;
    struct canceller canceller = {.id = "run-3", .controller = 0};
    for (int i = 1; i <= 6; i++) {
        char id[16];
        g_snprintf(id, sizeof id, "run-%d", i);
        world_submit(w, i % WORLD_CONTROLLERS, i % 2 == 0 ? world_gang(id, 3, 6) : world_job(id, 20, 4));
    }
    world_run(w, 2);
    for (int change = 0; change < 10; change++) {
        int old = world_leader(w);
        if (old >= 0)
            world_kill_controller(w, old);
        run_cancelling(w, &canceller, 1);
        if (old >= 0)
            world_start_controller(w, old);
        canceller.controller = change % WORLD_CONTROLLERS;
        w->state_down = change == 4 || change == 5;
        run_cancelling(w, &canceller, 10);
    }
    run_cancelling(w, &canceller, 5);
    assert_true(canceller.answered_at > 0);
    for (int i = 1; i <= 6; i++) {
        char id[16];
        g_snprintf(id, sizeof id, "run-%d", i);
        if (i != 3)
            assert_true(world_until(w, 90, world_all_done, id));
    }
    world_finish(w);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_acknowledged_cancellation_holds_through_an_outage),
        cmocka_unit_test(test_unacknowledged_cancellation_is_not_answered_in_an_outage),
        cmocka_unit_test(test_acknowledgement_of_a_deposed_leader_is_ignored),
        cmocka_unit_test(test_cancellation_received_before_its_job_prevents_the_start),
        cmocka_unit_test(test_cancellation_written_after_a_takeover_is_rejected),
        cmocka_unit_test(test_leader_renews_no_lease_before_its_first_read),
        cmocka_unit_test(test_leader_acknowledges_no_cancellation_before_it_is_ready),
        cmocka_unit_test(test_cancellation_while_a_zone_is_partitioned_with_the_leader),
        cmocka_unit_test(test_returning_leader_takes_a_new_token),
        cmocka_unit_test(test_cancellation_races_with_the_last_task_exit),
        cmocka_unit_test(test_cancelled_task_ends_on_a_machine_that_hung),
        cmocka_unit_test(test_delayed_launch_does_not_outlive_a_cancellation),
        cmocka_unit_test(test_team_limit_holds_across_a_leader_change),
        cmocka_unit_test(test_machine_that_stopped_reporting_gets_no_new_tasks),
        cmocka_unit_test(test_one_zone_array_survives_a_machine_loss),
        cmocka_unit_test(test_all_controllers_down_for_longer_than_a_lease),
        cmocka_unit_test(test_recorded_results_survive_leader_changes),
        cmocka_unit_test(test_ten_leader_changes),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
