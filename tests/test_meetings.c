/* Where two troubles meet (docs/meetings.md). The rules are checked from outside by the fake world: what
 * users are told and what is on the machines. Each test fails without the guard that docs/meetings.md names.
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

static int beside(const struct world *w)
{
    return (world_leader(w) + 1) % WORLD_CONTROLLERS;
}

static struct world_machine *start_job(struct world *w, struct ow_submission *job)
{
    char id[OW_ID_MAX + 1];
    g_strlcpy(id, job->id, sizeof id);
    world_submit(w, beside(w), job);
    assert_true(world_until(w, 10, world_some_running, id));
    world_run(w, 4);
    return world_where(w, id);
}

/* A user who asks every second until the cancellation is confirmed. */
struct canceller {
    const char *id;
    int controller;
    uint64_t request;
    double asked_at, told_at;
};

static void cancel_step(struct world *w, struct canceller *c)
{
    if (c->told_at > 0)
        return;
    if (c->request != 0 && world_status(w, c->request) == 200)
        c->told_at = w->now;
    else if (w->now >= c->asked_at + 1) {
        c->asked_at = w->now;
        c->request = world_cancel(w, c->controller, c->id);
    }
}

static void run_cancelling(struct world *w, struct canceller *c, double seconds)
{
    for (double end = w->now + seconds; w->now < end;) {
        cancel_step(w, c);
        world_run(w, 0.1);
    }
}

/* ---- the gap: the leader is refused alone, then everybody for longer than cancel_s ---- */

static void test_the_gap(void **state)
{
    (void)state;
    struct world *w = start_world(2);
    start_job(w, world_job("run-1", 3, 1));
    w->denied_controller = world_leader(w);
    struct canceller c = {.id = "run-1", .controller = beside(w)};
    run_cancelling(w, &c, 1);
    assert_true(c.told_at > 0);
    w->state_down = true;
    world_run(w, 60);
    assert_int_equal(world_running(w, "run-1"), 0);
    world_finish(w);
}

/* The same where the leader can't be told either: nobody may hear of it before somebody can end the tasks. */
static void test_the_gap_without_peers(void **state)
{
    (void)state;
    struct world *w = start_world(2);
    start_job(w, world_job("run-1", 3, 1));
    w->denied_controller = world_leader(w);
    w->peers_cut = true;
    struct canceller c = {.id = "run-1", .controller = beside(w)};
    run_cancelling(w, &c, 1.2);
    w->state_down = true;
    run_cancelling(w, &c, 60);
    assert_true(c.told_at == 0);
    world_run(w, 1);
    assert_int_equal(world_status(w, c.request), 503);
    assert_true(world_answer(w, c.request)->retry_after_s > 0);
    uint64_t poll = world_poll(w, c.controller, "run-1");
    world_run(w, 1);
    assert_int_equal(world_status(w, poll), 503);
    /* The commit is kept: what was asked for comes true, and is told, once a leader has it. */
    w->state_down = w->peers_cut = false;
    w->denied_controller = -1;
    run_cancelling(w, &c, 12);
    assert_true(c.told_at > 0);
    assert_int_equal(world_running(w, "run-1"), 0);
    world_finish(w);
}

static void say_taken(struct world *w, int controller, const char *job, uint64_t revision, uint64_t token)
{
    struct ow_event *c = g_new0(struct ow_event, 1);
    c->kind = OW_EVENT_PEER;
    c->peer = ow_peer_message_new(OW_PEER_CANCELLATION_ACK);
    g_strlcpy(c->peer->job, job, sizeof c->peer->job);
    c->peer->revision = revision;
    c->peer->number = token;
    ow_core_push(w->cores[controller], c);
}

/* What a leader says that was deposed before the cancellation was recorded counts for nothing: its
   successor need not have it. */
static void test_the_acknowledgement_of_a_deposed_leader(void **state)
{
    (void)state;
    struct world *w = start_world(2);
    start_job(w, world_job("run-1", 1, 1));
    uint64_t token = ow_core_token(w->cores[world_leader(w)]);
    w->denied_controller = world_leader(w);
    w->peers_cut = true;
    int controller = beside(w);
    world_cancel(w, controller, "run-1");
    world_run(w, 1);
    w->state_down = true;
    say_taken(w, controller, "run-1", w->revision, token - 1);
    uint64_t poll = world_poll(w, controller, "run-1");
    world_run(w, 1);
    assert_int_equal(world_status(w, poll), 503);
    say_taken(w, controller, "run-1", w->revision, token);
    poll = world_poll(w, controller, "run-1");
    world_run(w, 1);
    assert_int_equal(world_status(w, poll), 200);
    world_free(w); /* that word was made up: the tasks go on */
}

/* A cancellation announced ahead of the job itself: an older record of the job, read later, must not let it
 * start.
 */
static void test_a_cancellation_overtakes_its_job(void **state)
{
    (void)state;
    struct world *w = start_world(2);
    int leader = world_leader(w);
    w->slow_controller = leader;
    w->state_slow_s = 1.2; /* what it reads is as old when it comes */
    world_submit(w, beside(w), world_job("run-1", 1, 1));
    world_run(w, 0.3);
    struct canceller c = {.id = "run-1", .controller = beside(w)};
    run_cancelling(w, &c, 0.6);
    assert_true(c.told_at > 0);
    world_run(w, 4);
    w->state_slow_s = 0;
    world_run(w, 16);
    assert_int_equal(world_leader(w), leader);
    assert_int_equal(world_machine(w, "m-0")->starts + world_machine(w, "m-1")->starts, 0);
    /* Its last record is written all the same. */
    assert_string_equal(world_value_text(w, OW_KEY_JOBS "run-1"), "{\"e\":3}");
    world_finish(w);
}

/* A record that reaches the state service only after a take-over would be unknown to who has read before: it
   expects the leader that was known to its writer. */
static void test_a_cancellation_that_comes_after_a_take_over(void **state)
{
    (void)state;
    struct world *w = start_world(2);
    start_job(w, world_job("run-1", 1, 1));
    int old = world_leader(w);
    w->hold_controller = beside(w);
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

/* Until another controller than `old` has taken the leader's key; its answer is still on the way. */
static void run_until_taken(struct world *w, int old)
{
    for (int i = 0; i < 200; i++) {
        const char *key = world_value_text(w, OW_KEY_LEADER);
        if (key != NULL && strstr(key, w->settings[old].controller_name) == NULL)
            return;
        world_run(w, 0.05);
    }
    fail_msg("nobody takes over");
}

/* A new leader that has read nothing yet, in an outage: it keeps no task alive that others told to be
 * cancelled. */
static void test_a_leader_that_has_read_nothing_renews_nothing(void **state)
{
    (void)state;
    struct world *w = start_world(2);
    struct world_machine *m = start_job(w, world_job("run-1", 1, 1));
    int old = world_leader(w);
    m->hangs = true; /* so that the stop does not get there */
    struct canceller c = {.id = "run-1", .controller = beside(w)};
    run_cancelling(w, &c, 0.5);
    assert_true(c.told_at > 0);
    world_kill_controller(w, old);
    w->state_slow_s = 0.5;
    run_until_taken(w, old);
    w->state_down = true;
    m->hangs = false;
    world_run(w, 60);
    assert_true(world_leader(w) >= 0);
    assert_int_equal(world_running(w, "run-1"), 0);
    world_finish(w);
}

/* One that learns of a cancellation before it knows what there is to end acknowledges nothing. */
static void test_a_leader_that_is_not_ready_gives_no_word(void **state)
{
    (void)state;
    struct world *w = start_world(2);
    struct world_machine *m = start_job(w, world_job("run-1", 1, 1));
    w->cloud_down = true;
    int old = world_leader(w);
    m->cut = true;
    world_kill_controller(w, old);
    run_until_taken(w, old);
    while (world_leader(w) < 0)
        world_run(w, 0.05);
    w->slow_controller = world_leader(w);
    w->state_slow_s = 3;
    world_run(w, 0.3); /* the others learn who leads */
    struct canceller c = {.id = "run-1", .controller = 3 - old - world_leader(w)};
    run_cancelling(w, &c, 2);
    assert_true(c.told_at == 0);
    w->state_slow_s = 0;
    m->cut = false;
    run_cancelling(w, &c, 15);
    assert_true(c.told_at > 0);
    assert_int_equal(world_running(w, "run-1"), 0);
    world_finish(w);
}

/* ---- a leader cut off together with its workers, while others cancel ---- */

static void cut_off_with_its_leader(bool cloud_down)
{
    struct world *w = start_world(2);
    struct world_machine *m = start_job(w, world_job("run-1", 1, 1));
    int old = world_leader(w);
    w->isolated_controller = m->only_controller = old;
    w->cloud_down = cloud_down;
    world_run(w, 6);
    assert_true(world_leader(w) != old);
    struct canceller c = {.id = "run-1", .controller = world_leader(w)};
    run_cancelling(w, &c, 45);
    /* The leader inside stops answering in time; outside, only proof lets the user hear. */
    assert_int_equal(world_running(w, "run-1"), 0);
    assert_true(m->gone == !cloud_down);
    assert_true((c.told_at > 0) == !cloud_down);
    w->isolated_controller = m->only_controller = -1;
    w->cloud_down = false;
    run_cancelling(w, &c, 10);
    assert_true(c.told_at > 0);
    world_finish(w);
}

static void test_a_zone_cut_off_with_its_leader(void **state)
{
    (void)state;
    cut_off_with_its_leader(false);
    cut_off_with_its_leader(true);
}

/* A token that was given up is not taken up again: launches sent under it may be on their way. */
static void test_a_leader_returns_with_a_new_token(void **state)
{
    (void)state;
    struct world *w = start_world(2);
    int old = world_leader(w);
    uint64_t before = ow_core_token(w->cores[old]);
    w->isolated_controller = old;
    w->state_down = true; /* its key stays where it is: leases don't run out */
    world_run(w, 30);
    assert_int_equal(ow_core_token(w->cores[old]), 0);
    w->isolated_controller = -1;
    w->state_down = false;
    world_run(w, 8);
    assert_int_equal(world_leader(w), old);
    assert_true(ow_core_token(w->cores[old]) > before);
    world_finish(w);
}

/* ---- cancellations and what else ends a job ---- */

static void test_a_cancellation_at_the_end_of_the_last_task(void **state)
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

/* A machine hangs as the job is called off, and goes on before its lease is over. */
static void test_a_cancelled_task_on_a_machine_that_hung(void **state)
{
    (void)state;
    struct world *w = start_world(2);
    struct world_machine *m = start_job(w, world_job("run-1", 2, 1));
    m->hangs = true;
    struct canceller c = {.id = "run-1", .controller = beside(w)};
    run_cancelling(w, &c, 16);
    m->hangs = false;
    run_cancelling(w, &c, 4);
    assert_true(c.told_at > 0);
    assert_int_equal(world_running(w, "run-1"), 0);
    world_finish(w);
}

/* A launch is held up on its way to a machine that hangs; the job is called off, and then the machine goes
 * on. */
static void test_a_held_launch_after_a_cancellation(void **state)
{
    (void)state;
    struct world *w = start_world(1);
    struct world_machine *m = world_machine(w, "m-0");
    w->hold_directs = true;
    m->report_at = w->now + 10;
    world_submit(w, 0, world_job("run-1", 1, 1));
    world_run(w, 1);
    struct canceller c = {.id = "run-1", .controller = beside(w)};
    run_cancelling(w, &c, 3);
    w->hold_directs = false;
    run_cancelling(w, &c, 15);
    assert_true(c.told_at > 0);
    assert_int_equal(world_running(w, "run-1"), 0);
    world_finish(w);
}

/* A team at its limit, a change of leader, a machine that can't be asked, and a cancellation. */
static void test_a_limit_across_a_change_of_leader(void **state)
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
    struct world_machine *m = world_where(w, "run-1");
    m->cut = true;
    world_kill_controller(w, world_leader(w));
    struct canceller c = {.id = "run-1", .controller = world_leader(w) == 0 ? 1 : 0};
    for (int i = 0; i < WORLD_CONTROLLERS; i++)
        c.controller = w->cores[i] != NULL ? i : c.controller;
    run_cancelling(w, &c, 50);
    m->cut = false;
    run_cancelling(w, &c, 20);
    assert_true(c.told_at > 0);
    assert_true(world_until(w, 20, world_some_running, "run-2"));
    world_finish(w);
}

/* ---- machines that are half there ---- */

/* Its reports reach nobody, so its lease runs out again and again, however well it answers commands. */
static void test_a_mute_machine_gets_nothing_more(void **state)
{
    (void)state;
    struct world *w = start_world(2);
    w->run_s = 15;
    struct world_machine *m = start_job(w, world_job("run-1", 1, 1));
    m->stopped_reporting = true;
    /* A new leader asks it at its own address, is answered, and goes on being answered whenever it sends
     * commands. */
    world_kill_controller(w, world_leader(w));
    world_run(w, 6);
    unsigned before = m->starts;
    for (int i = 2; i < 32; i++) {
        char id[16];
        g_snprintf(id, sizeof id, "run-%d", i);
        world_submit(w, world_leader(w), world_job(id, 1, 0.5));
        world_run(w, 1);
        before = i == 10 ? m->starts : before;
    }
    assert_int_equal(m->starts, before);
    assert_true(world_until(w, 120, world_all_done, "run-31"));
    assert_true(world_until(w, 70, world_all_done, "run-1"));
    world_finish(w);
}

/* Tasks of one zone lose their machine while another controller takes over: no other zone before they are
 * gone. */
static void test_a_zone_bound_array_loses_a_machine(void **state)
{
    (void)state;
    struct world *w = start_world(1);
    w->capacity = 4;
    world_add_machine(w, "w-0", "big", "west", false);
    world_add_machine(w, "w-1", "big", "west", false);
    struct ow_submission *job = world_job("run-1", 4, 8);
    job->one_zone = true;
    struct world_machine *m = start_job(w, job);
    m->hangs = true;
    world_kill_controller(w, world_leader(w));
    world_run(w, 15);
    m->hangs = false;
    w->run_s = 3;
    world_run(w, 5);
    for (int i = 0; i < WORLD_CONTROLLERS; i++)
        if (w->cores[i] == NULL)
            world_start_controller(w, i);
    m->gone = true;
    g_array_set_size(m->tasks, 0);
    world_run(w, 60);
    w->run_s = 3;
    for (guint i = 0; i < w->machines->len; i++) {
        struct world_machine *other = g_ptr_array_index(w->machines, i);
        for (guint k = 0; k < other->tasks->len; k++)
            g_array_index(other->tasks, struct world_task, k).phase_at = w->now;
    }
    assert_true(world_until(w, 60, world_all_done, "run-1"));
    world_finish(w);
}

/* ---- leaders that change ---- */

static void test_all_away_for_longer_than_a_lease(void **state)
{
    (void)state;
    struct world *w = start_world(2);
    start_job(w, world_job("run-1", 3, 1));
    for (int i = 0; i < WORLD_CONTROLLERS; i++)
        world_kill_controller(w, i);
    world_run(w, 30);
    assert_int_equal(world_running(w, "run-1"), 0);
    w->run_s = 3;
    for (int i = 0; i < WORLD_CONTROLLERS; i++)
        world_start_controller(w, i);
    assert_true(world_until(w, 30, world_all_done, "run-1"));
    world_finish(w);
}

/* Tasks that end far apart: what was recorded under one leader counts under the next, and nothing twice. */
static void test_tasks_that_end_far_apart(void **state)
{
    (void)state;
    struct world *w = start_world(3);
    start_job(w, world_job("run-1", 3, 1));
    struct world_task *tasks[3];
    guint count = 0;
    for (guint i = 0; i < w->machines->len; i++) {
        struct world_machine *m = g_ptr_array_index(w->machines, i);
        for (guint k = 0; k < m->tasks->len; k++)
            tasks[count++] = &g_array_index(m->tasks, struct world_task, k);
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
    unsigned starts = 0;
    for (guint i = 0; i < w->machines->len; i++)
        starts += ((struct world_machine *)g_ptr_array_index(w->machines, i))->starts;
    assert_int_equal(starts, 3);
    world_finish(w);
}

static void test_ten_changes_of_leader(void **state)
{
    (void)state;
    struct world *w = start_world(3);
    w->run_s = 8;
    struct canceller c = {.id = "run-3", .controller = 0};
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
        run_cancelling(w, &c, 1);
        if (old >= 0)
            world_start_controller(w, old);
        c.controller = change % WORLD_CONTROLLERS;
        w->state_down = change == 4 || change == 5;
        run_cancelling(w, &c, 10);
    }
    run_cancelling(w, &c, 5);
    assert_true(c.told_at > 0);
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
        cmocka_unit_test(test_the_gap),
        cmocka_unit_test(test_the_gap_without_peers),
        cmocka_unit_test(test_the_acknowledgement_of_a_deposed_leader),
        cmocka_unit_test(test_a_cancellation_overtakes_its_job),
        cmocka_unit_test(test_a_cancellation_that_comes_after_a_take_over),
        cmocka_unit_test(test_a_leader_that_has_read_nothing_renews_nothing),
        cmocka_unit_test(test_a_leader_that_is_not_ready_gives_no_word),
        cmocka_unit_test(test_a_zone_cut_off_with_its_leader),
        cmocka_unit_test(test_a_leader_returns_with_a_new_token),
        cmocka_unit_test(test_a_cancellation_at_the_end_of_the_last_task),
        cmocka_unit_test(test_a_cancelled_task_on_a_machine_that_hung),
        cmocka_unit_test(test_a_held_launch_after_a_cancellation),
        cmocka_unit_test(test_a_limit_across_a_change_of_leader),
        cmocka_unit_test(test_a_mute_machine_gets_nothing_more),
        cmocka_unit_test(test_a_zone_bound_array_loses_a_machine),
        cmocka_unit_test(test_all_away_for_longer_than_a_lease),
        cmocka_unit_test(test_tasks_that_end_far_apart),
        cmocka_unit_test(test_ten_changes_of_leader),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
