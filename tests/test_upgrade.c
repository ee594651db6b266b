/* Rolling upgrades from the production version, and falling limits of the state service. Production's own
 * code wrote the files in fixtures/production. */
#include "check.h"
#include "world.h"

#include "core/records/records.h"
#include "wire/json.h"
#include "wire/peer_xdr.h"
#include "wire/records_json.h"

#include <string.h>

static char *fixture(const char *name)
{
    char *path = g_strconcat("tests/fixtures/production/", name, NULL), *text = NULL;
    if (!g_file_get_contents(path, &text, NULL, NULL))
        fail_msg("cannot read %s", path);
    g_free(path);
    return text;
}

static json_t *fixture_json(const char *name)
{
    char *text = fixture(name);
    json_t *value = json_loads(text, 0, NULL);
    g_free(text);
    assert_non_null(value);
    return value;
}

/* ---- production's records and messages ---- */

static void test_records_of_production_are_read(void **state)
{
    (void)state;
    struct ow_job_record record;
    json_t *value = fixture_json("job-queued.json");
    assert_true(wire_job_record_parse(value, &record));
    assert_true(record.state == OW_JOB_QUEUED && record.accepted_at == 1700001000 &&
                record.submission->tasks == 300);
    ow_submission_free(record.submission);
    json_decref(value);
    value = fixture_json("job-cancelled.json");
    assert_true(wire_job_record_parse(value, &record));
    assert_true(record.state == OW_JOB_CANCELLED && record.leader_token == 42 && record.submission->gang);
    ow_submission_free(record.submission);
    json_decref(value);
    value = fixture_json("job-ended.json");
    assert_true(wire_job_record_parse(value, &record));
    assert_true(record.state == OW_JOB_CANCELLED && record.submission == NULL);
    json_decref(value);
    value = fixture_json("job-done.json");
    assert_true(wire_job_record_parse(value, &record));
    assert_true(record.state == OW_JOB_DONE && record.submission == NULL);
    json_decref(value);
    const char *controller = NULL, *nonce = NULL;
    value = fixture_json("coordinator.json");
    wire_leader_record_parse(value, &controller, &nonce);
    assert_string_equal(controller, "node-0");
    assert_string_equal(nonce, "0123456789abcdef");
    json_decref(value);
}

static struct ow_peer_message *fixture_message(const char *name)
{
    char *text = fixture(name);
    GByteArray *bytes = g_byte_array_new();
    for (const char *p = text; *p != '\0'; p++) {
        if (!g_ascii_isxdigit(p[0]))
            continue;
        guint8 byte = (guint8)(g_ascii_xdigit_value(p[0]) * 16 + g_ascii_xdigit_value(p[1]));
        g_byte_array_append(bytes, &byte, 1);
        p++;
    }
    struct ow_peer_message *message = NULL;
    assert_true(wire_peer_decode((const char *)bytes->data + 4, bytes->len - 4, &message));
    assert_non_null(message);
    assert_int_equal(message->version, OW_FORMAT_FIRST);
    g_byte_array_free(bytes, TRUE);
    g_free(text);
    return message;
}

static void test_messages_of_production_are_read(void **state)
{
    (void)state;
    struct ow_peer_message *message = fixture_message("peer-hello.hex");
    assert_true(message->kind == OW_PEER_HELLO && message->number == 77 && message->leads &&
                message->state_ok && !message->receives_reports);
    assert_string_equal(message->sender, "node-1");
    ow_peer_message_free(message);
    message = fixture_message("peer-summary.hex");
    assert_true(message->kind == OW_PEER_SUMMARY && message->jobs->len == 1);
    assert_string_equal(g_array_index(message->jobs, struct ow_peer_job, 0).reason, "because");
    ow_peer_message_free(message);
    message = fixture_message("peer-nudge.hex");
    assert_true(message->kind == OW_PEER_JOB_CHANGED && message->number == 77);
    ow_peer_message_free(message);
    message = fixture_message("peer-machines.hex");
    assert_true(message->kind == OW_PEER_MACHINES && message->machines->len == 1);
    assert_string_equal(g_array_index(message->machines, struct ow_peer_machine, 0).addr, "m-0:9000");
    ow_peer_message_free(message);
    message = fixture_message("peer-cancellation.hex");
    assert_true(message->kind == OW_PEER_CANCELLATION && message->number == 77 && message->revision == 99);
    assert_string_equal(message->job, "run-2");
    ow_peer_message_free(message);
    message = fixture_message("peer-taken.hex");
    assert_true(message->kind == OW_PEER_CANCELLATION_ACK && message->number == 77 &&
                message->revision == 99);
    ow_peer_message_free(message);
}

/* While an old controller may be alive, records are written byte for byte as production writes them. */
static void test_records_are_written_as_production_does(void **state)
{
    (void)state;
    char *text = fixture("progress.json");
    json_t *record_value = fixture_json("progress.json");
    GString *again = g_string_new(NULL);
    const char *name;
    json_t *value;
    json_object_foreach(record_value, name, value)
    {
        struct ow_progress_record record;
        uint32_t chunk = 0, tasks = 0;
        char *job = wire_progress_name_parse(name, &chunk, &tasks);
        assert_int_equal(tasks, OW_CHUNK_TASKS);
        assert_true(wire_progress_record_parse(value, &record));
        char *record_text = wire_progress_record(&record);
        wire_progress_value_add(again, job, chunk, tasks, record_text);
        wire_progress_record_clear(&record);
        g_free(record_text);
        g_free(job);
    }
    wire_progress_value_end(again);
    g_strchomp(text);
    assert_string_equal(again->str, text);
    g_string_free(again, TRUE);
    json_decref(record_value);
    g_free(text);
    struct ow_job_record record;
    const char *const jobs[] = {"job-queued.json", "job-cancelled.json", "job-ended.json", "job-done.json"};
    for (int i = 0; i < 4; i++) {
        value = fixture_json(jobs[i]);
        assert_true(wire_job_record_parse(value, &record));
        char *ours = wire_job_record(&record), *theirs = g_strchomp(fixture(jobs[i]));
        assert_string_equal(ours, theirs);
        ow_submission_free(record.submission);
        json_decref(value);
        g_free(ours);
        g_free(theirs);
    }
}

/* ---- mixed versions ----  */

static void set_all_old(struct world *w, bool old)
{
    for (int i = 0; i < WORLD_CONTROLLERS; i++)
        w->old_controller[i] = old;
}

/* Announces lower limits, which only the new version can read. */
static void announce(struct world *w, double value_kb, unsigned txn_ops)
{
    for (int i = 0; i < WORLD_CONTROLLERS; i++) {
        w->settings[i].next_value_kb = w->old_controller[i] ? w->settings[i].value_kb : value_kb;
        w->settings[i].next_txn_ops = w->old_controller[i] ? w->settings[i].txn_ops : txn_ops;
    }
}

static void upgrade(struct world *w, int controller, double away_s)
{
    if (w->cores[controller] != NULL)
        world_kill_controller(w, controller);
    world_run(w, away_s);
    w->old_controller[controller] = false;
    announce(w, 0.6, 4);
    world_start_controller(w, controller);
}

static struct world *world_of_old_controllers(int machines)
{
    struct world *w = world_new();
    set_all_old(w, true);
    world_start_controllers(w);
    world_add_machines(w, machines);
    world_run(w, 6);
    return w;
}

/* Submits an array whose consecutive tasks run on different machines, so that its ranges can't merge. */
static void submit_spread(struct world *w, const char *id, uint32_t tasks)
{
    world_submit(w, 0, world_job(id, tasks, 0.4));
    world_run(w, 6);
    assert_int_equal(world_running(w, id), tasks);
    for (guint i = 0; i < w->machines->len; i++) {
        struct world_machine *machine = world_machine_at(w, i);
        for (guint k = 0; k < machine->tasks->len; k += 2)
            g_array_index(machine->tasks, struct world_task, k).phase_at = w->now + 1;
    }
    world_run(w, 4);
}

/* Running tasks end one after the other, so that progress is recorded repeatedly. */
static void end_tasks_gradually(struct world *w, double within_s)
{
    int ended = 0;
    for (guint i = 0; i < w->machines->len; i++) {
        struct world_machine *machine = world_machine_at(w, i);
        for (guint k = 0; k < machine->tasks->len; k++) {
            struct world_task *task = &g_array_index(machine->tasks, struct world_task, k);
            if (task->phase == OW_PHASE_RUNNING)
                task->phase_at = w->now + 1 + 0.01 * within_s * (ended++ % 100);
        }
    }
}

static bool format_gate_is_open(struct world *w, const void *what)
{
    (void)what;
    return world_value_text(w, OW_KEY_FORMAT) != NULL;
}

/* A complete rolling upgrade: three controllers, one after the other, then smaller values without notice.
 * Running tasks keep running and are not started twice; results are recorded in values that fit. */
static void run_rolling_upgrade(double away_s, int crash)
{
    struct world *w = world_of_old_controllers(6);
    w->run_s = 60;
    submit_spread(w, "run-1", 200);
    for (int i = 0; i < WORLD_CONTROLLERS; i++) {
        upgrade(w, i, away_s);
        world_run(w, 4);
        if (crash == i) {
            /* A controller that is not upgraded yet restarts with the old version, and may lead. */
            int controller = (i + 1) % WORLD_CONTROLLERS;
            world_kill_controller(w, controller);
            world_run(w, 1);
            world_start_controller(w, controller);
            world_run(w, 5);
        }
    }
    world_run(w, 12);
    assert_string_equal(world_value_text(w, OW_KEY_FORMAT), "{\"v\":2}");
    w->value_kb = 0.6;
    w->txn_ops = 4;
    world_run(w, 4);
    assert_int_equal(world_running(w, "run-1"), 100);
    end_tasks_gradually(w, 30);
    uint64_t more = world_submit(w, 1, world_job("run-2", 150, 0.4)), cancel = 0;
    world_run(w, 6);
    assert_int_equal(world_answer(w, more)->status, 201);
    cancel = world_cancel(w, 2, "run-2");
    world_run(w, 3);
    assert_int_equal(world_answer(w, cancel)->state, OW_JOB_CANCELLED);
    assert_true(world_until(w, 90, world_all_done, "run-1"));
    assert_true(world_total_starts(w) >= 200 && world_total_starts(w) <= 350);
    world_finish(w);
}

static void test_rolling_upgrade(void **state)
{
    (void)state;
    for (int crash = -1; crash < 2; crash++) {
        run_rolling_upgrade(0.3, crash);
        run_rolling_upgrade(5, crash);
    }
}

/* Of two running controllers one is upgraded: it takes over before the other is upgraded. */
static void test_leadership_moves_to_the_new_version_once(void **state)
{
    (void)state;
    struct world *w = world_of_old_controllers(4);
    int old = world_leader(w), first = (old + 1) % WORLD_CONTROLLERS, last = (old + 2) % WORLD_CONTROLLERS;
    upgrade(w, first, 0.3);
    world_run(w, 8);
    assert_int_equal(world_leader(w), first);
    upgrade(w, old, 0.3);
    world_run(w, 8);
    upgrade(w, last, 0.3);
    world_run(w, 8);
    assert_int_equal(world_leader(w), first);
    world_finish(w);
}

/* A controller that restarts with the old version does not change the leader. */
static void test_old_version_does_not_regain_leadership(void **state)
{
    (void)state;
    struct world *w = world_of_old_controllers(4);
    int first = (world_leader(w) + 1) % WORLD_CONTROLLERS, other = (first + 1) % WORLD_CONTROLLERS;
    upgrade(w, first, 0.3);
    world_run(w, 8);
    for (int i = 0; i < 3; i++) {
        world_kill_controller(w, other);
        world_run(w, 0.3);
        world_start_controller(w, other);
        world_run(w, 6);
        assert_int_equal(world_leader(w), first);
    }
    world_finish(w);
}

/* Records in chunks that are too large are split in steps: none is lost whenever the leader crashes. */
static void test_interrupted_record_split_loses_nothing(void **state)
{
    (void)state;
    for (int step = 0; step < 30; step++) {
        struct world *w = world_of_old_controllers(6);
        w->run_s = 60;
        submit_spread(w, "run-1", 200);
        for (int i = 0; i < WORLD_CONTROLLERS; i++)
            upgrade(w, i, 0.3);
        assert_true(world_until(w, 20, format_gate_is_open, NULL));
        end_tasks_gradually(w, 40);
        world_run(w, 1 + 0.1 * step);
        int leader = world_leader(w);
        if (leader >= 0) {
            world_kill_controller(w, leader);
            world_run(w, 0.3);
            world_start_controller(w, leader);
        }
        world_run(w, 14);
        w->value_kb = 0.6;
        w->txn_ops = 4;
        assert_true(world_running(w, "run-1") > 20);
        assert_true(world_until(w, 90, world_all_done, "run-1"));
        assert_int_equal(world_total_starts(w), 200);
        world_finish(w);
    }
}

static size_t largest_progress(struct world *w)
{
    size_t largest = 0;
    for (int i = 0; i < 200; i++) {
        char *key = g_strdup_printf("%s%d", OW_KEY_PROGRESS, i);
        const char *text = world_value_text(w, key);
        largest = MAX(largest, text != NULL ? strlen(text) : 0);
        g_free(key);
    }
    return largest;
}

/* A new leader splits stored values above the announced limit, even if their records don't change.
 */
static void test_oversized_values_are_split_after_a_takeover(void **state)
{
    (void)state;
    struct world *w = world_of_old_controllers(6);
    w->run_s = 200;
    submit_spread(w, "run-1", 200);
    assert_true(largest_progress(w) > 614);
    for (int i = 0; i < WORLD_CONTROLLERS; i++)
        upgrade(w, i, 0.3);
    assert_true(world_until(w, 20, format_gate_is_open, NULL));
    int leader = world_leader(w);
    world_kill_controller(w, leader);
    world_run(w, 6);
    world_start_controller(w, leader);
    world_run(w, 20);
    assert_true(largest_progress(w) <= 614);
    assert_int_equal(world_running(w, "run-1"), 100);
    world_finish(w);
}

/* While one controller knows only the first format, no leader writes what it would drop. */
static void test_format_gate_stays_closed_beside_an_old_controller(void **state)
{
    (void)state;
    struct world *w = world_of_old_controllers(4);
    w->run_s = 20;
    upgrade(w, 0, 0.3);
    upgrade(w, 1, 0.3);
    world_run(w, 10);
    world_submit(w, 0, world_job("run-1", 100, 0.4));
    world_run(w, 8);
    assert_null(world_value_text(w, OW_KEY_FORMAT));
    /* Nor while it is down: it would restart with the old version. */
    world_kill_controller(w, 2);
    world_run(w, 20);
    assert_null(world_value_text(w, OW_KEY_FORMAT));
    world_start_controller(w, 2);
    assert_true(world_until(w, 60, world_all_done, "run-1"));
    world_finish(w);
}

/* Cancellations confirmed with mixed versions hold under either version's leader. */
static void test_cancellations_across_versions(void **state)
{
    (void)state;
    for (int first = 0; first < WORLD_CONTROLLERS; first++) {
        struct world *w = world_of_old_controllers(3);
        w->run_s = 300;
        world_submit(w, 0, world_job("run-1", 6, 1));
        world_run(w, 6);
        upgrade(w, first, 0.3);
        world_run(w, 10);
        w->denied_controller = world_leader(w);
        uint64_t cancel = world_cancel(w, (world_leader(w) + 1) % WORLD_CONTROLLERS, "run-1");
        world_run(w, 1);
        assert_int_equal(world_answer(w, cancel)->state, OW_JOB_CANCELLED);
        w->state_down = true;
        world_run(w, 60);
        assert_int_equal(world_running(w, "run-1"), 0);
        world_finish(w);
    }
}

/* ---- limits that fall without notice ---- */

static void test_unannounced_lower_limits(void **state)
{
    (void)state;
    struct world *w = world_with_machines(6);
    w->run_s = 20;
    submit_spread(w, "run-1", 200);
    w->value_kb = 0.8;
    w->txn_ops = 3;
    world_submit(w, 1, world_job("run-2", 40, 0.4));
    assert_true(world_until(w, 10, world_some_running, "run-2"));
    assert_true(world_until(w, 90, world_all_done, "run-1"));
    assert_true(world_until(w, 60, world_all_done, "run-2"));
    /* Each refusal halves the size of the next attempt, so that retries are bounded. */
    assert_true(w->too_large > 0 && w->too_large < 20);
    assert_string_equal(w->violations->str, "");
    world_free(w);
}

/* Transactions are refused for their number of changes; the limit of a single value has fallen less, and a
 * job's own record still fits. */
static void test_lower_txn_ops_does_not_lower_the_value_size(void **state)
{
    (void)state;
    struct world *w = world_new();
    for (int i = 0; i < WORLD_CONTROLLERS; i++) {
        w->settings[i].txn_ops = 64;
        world_start_controller(w, i);
    }
    world_add_machines(w, 6);
    world_run(w, 8);
    w->capacity = 4;
    w->txn_ops = 1;
    w->value_kb = 1;
    for (int i = 0; i < 40; i++) {
        char id[OW_ID_MAX + 1];
        g_snprintf(id, sizeof id, "run-%d", 100 + i);
        world_submit(w, world_leader(w), world_job(id, 1, 0.4));
    }
    world_run(w, 30);
    assert_true(w->too_large > 0);
    uint64_t asked = world_submit(w, world_leader(w), world_job("run-1", 2, 0.4));
    world_run(w, 2);
    assert_int_equal(world_status(w, asked), 201);
    assert_true(world_until(w, 30, world_all_done, "run-1"));
    assert_string_equal(w->violations->str, "");
    world_free(w);
}

/* Limits fall before every controller is known to read smaller records: values that can't be split yet
 * wait, and all other writes go on. */
static void test_oversized_value_delays_no_other_write(void **state)
{
    (void)state;
    struct world *w = world_of_old_controllers(6);
    w->run_s = 60;
    submit_spread(w, "run-1", 200);
    for (int i = 0; i < WORLD_CONTROLLERS; i++)
        upgrade(w, i, 0.3);
    w->peers_cut = true;
    world_run(w, 3);
    assert_false(format_gate_is_open(w, NULL));
    w->value_kb = 0.6;
    w->txn_ops = 4;
    end_tasks_gradually(w, 40);
    w->run_s = 10;
    for (int i = 0; i < 10; i++) {
        char id[OW_ID_MAX + 1];
        g_snprintf(id, sizeof id, "run-%d", 100 + i);
        struct ow_submission *job = world_job(id, 2, 0.4);
        g_free(job->class_name);
        job->class_name = g_strdup("other");
        world_submit(w, world_leader(w), job);
        world_run(w, 2.5);
        assert_int_equal(world_running(w, id), 2);
    }
    assert_true(w->too_large > 0);
    w->peers_cut = false;
    assert_true(world_until(w, 90, world_all_done, "run-1"));
    assert_string_equal(w->violations->str, "");
    world_free(w);
}

/* A repeat of a job that another controller has accepted is recognized by its id, whatever the limit of this
 * controller. */
static void test_known_job_is_not_rejected_for_its_size(void **state)
{
    (void)state;
    struct world *w = world_with_machines(2);
    int here = (world_leader(w) + 1) % WORLD_CONTROLLERS;
    double value_kb = w->value_kb;
    w->value_kb = 0.1;
    world_submit(w, here, world_job("run-1", 1, 1));
    world_run(w, 2);
    w->value_kb = value_kb;
    w->silent_watches = true;
    w->peers_cut = true;
    uint64_t accepted = world_submit(w, world_leader(w), world_job("run-2", 1, 1));
    world_run(w, 1);
    assert_int_equal(world_status(w, accepted), 201);
    uint64_t repeated = world_submit(w, here, world_job("run-2", 1, 1));
    world_run(w, 2);
    assert_int_equal(world_status(w, repeated), 200);
    assert_string_equal(w->violations->str, "");
    world_free(w);
}

/* The limit has fallen below the size of a job's record, without notice: the submission is rejected at once.
 */
static void test_submission_refused_by_the_state_service_is_rejected(void **state)
{
    (void)state;
    struct world *w = world_with_machines(1);
    w->value_kb = 0.1;
    uint64_t asked = world_submit(w, 0, world_job("run-1", 1, 1));
    world_run(w, 2);
    assert_int_equal(world_status(w, asked), 422);
    world_free(w);
}

static void test_oversized_submission_is_rejected(void **state)
{
    (void)state;
    struct world *w = world_with_machines(1);
    struct ow_submission *submission = world_job("run-1", 1, 1);
    GPtrArray *types = g_ptr_array_new();
    for (int i = 0; i < 200; i++)
        g_ptr_array_add(types, g_strdup_printf("a-type-with-a-rather-long-name-and-a-number-%d", i));
    g_ptr_array_add(types, g_strdup("big"));
    g_ptr_array_add(types, NULL);
    submission->types = (char **)g_ptr_array_free(types, FALSE);
    uint64_t asked = world_submit(w, 0, submission);
    world_run(w, 1);
    assert_int_equal(world_answer(w, asked)->status, 422);
    world_finish(w);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_records_of_production_are_read),
        cmocka_unit_test(test_messages_of_production_are_read),
        cmocka_unit_test(test_records_are_written_as_production_does),
        cmocka_unit_test(test_rolling_upgrade),
        cmocka_unit_test(test_leadership_moves_to_the_new_version_once),
        cmocka_unit_test(test_old_version_does_not_regain_leadership),
        cmocka_unit_test(test_interrupted_record_split_loses_nothing),
        cmocka_unit_test(test_oversized_values_are_split_after_a_takeover),
        cmocka_unit_test(test_format_gate_stays_closed_beside_an_old_controller),
        cmocka_unit_test(test_cancellations_across_versions),
        cmocka_unit_test(test_unannounced_lower_limits),
        cmocka_unit_test(test_oversized_submission_is_rejected),
        cmocka_unit_test(test_lower_txn_ops_does_not_lower_the_value_size),
        cmocka_unit_test(test_submission_refused_by_the_state_service_is_rejected),
        cmocka_unit_test(test_oversized_value_delays_no_other_write),
        cmocka_unit_test(test_known_job_is_not_rejected_for_its_size),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
