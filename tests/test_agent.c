/* The thin agent: when and where it reports, what outlives its process, and that its tasks end with their
 * lease, their agent, or when told. Tasks are real processes. */
#include "agent/reporter.h"
#include "agent/tasks.h"
#include "check.h"
#include "wire/agent_json.h"
#include "wire/worker_json.h"

#include <glib/gstdio.h>
#include <signal.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

/* Longer than anything that is waited for takes. */
static const double PATIENCE_S = 30;

static struct agent_options new_options(void)
{
    static char machine[] = "m-1", type[] = "m8", zone[] = "a", address[] = "127.0.0.1:1";
    struct agent_options options = {.machine = machine,
                                    .type = type,
                                    .zone = zone,
                                    .listen = address,
                                    .advertise = address,
                                    .size = {4, 0, 16},
                                    .report_s = 3,
                                    .lease_s = 20};
    static char *names[] = {"one", "two", "three"};
    options.controllers = g_array_new(FALSE, FALSE, sizeof(struct agent_controller));
    for (int i = 0; i < 3; i++) {
        struct agent_controller controller = {names[i], address};
        g_array_append_val(options.controllers, controller);
    }
    return options;
}

/* ---- reports ---- */

static void test_reports_follow_the_interval_and_changes(void **state)
{
    (void)state;
    struct agent_options options = new_options();
    struct agent_reporter reporter;
    agent_reporter_init(&reporter, &options, 100);
    assert_true(agent_reporter_is_due(&reporter, 100));
    agent_reporter_sent(&reporter, 100, 1);
    assert_false(agent_reporter_is_due(&reporter, 200)); /* one at a time */
    agent_reporter_taken(&reporter);
    assert_false(agent_reporter_is_due(&reporter, 103.7));
    assert_true(agent_reporter_is_due(&reporter, 103.8));
    agent_reporter_changed(&reporter);
    assert_false(agent_reporter_is_due(&reporter, 100.4));
    assert_true(agent_reporter_is_due(&reporter, 100.5));
    g_array_free(options.controllers, TRUE);
}

static void test_higher_token_counts_as_a_change_now_and_then(void **state)
{
    (void)state;
    struct agent_options options = new_options();
    struct agent_reporter reporter;
    agent_reporter_init(&reporter, &options, 100);
    agent_reporter_sent(&reporter, 100, 0);
    agent_reporter_taken(&reporter);
    agent_reporter_token_changed(&reporter, 100.1);
    assert_true(agent_reporter_is_due(&reporter, 100.6));
    agent_reporter_sent(&reporter, 100.6, 0);
    agent_reporter_taken(&reporter);
    agent_reporter_token_changed(&reporter, 101);
    assert_false(agent_reporter_is_due(&reporter, 101.5));
    agent_reporter_token_changed(&reporter, 110.2);
    assert_true(agent_reporter_is_due(&reporter, 110.2));
    g_array_free(options.controllers, TRUE);
}

static void test_other_controllers_are_tried(void **state)
{
    (void)state;
    struct agent_options options = new_options();
    struct agent_reporter reporter;
    agent_reporter_init(&reporter, &options, 100);
    agent_reporter_sent(&reporter, 100, 0);
    agent_reporter_misdirected(&reporter, "three", 100, 0.25);
    assert_string_equal(agent_reporter_controller(&reporter)->name, "three");
    assert_false(agent_reporter_is_due(&reporter, 100.2));
    assert_true(agent_reporter_is_due(&reporter, 100.25));
    /* Its own name, an unknown one or none: the next controller, a second later, whatever changes. */
    static const char *const useless[] = {"three", "nobody", NULL};
    static const char *const next[] = {"one", "two", "three"};
    for (int i = 0; i < 3; i++) {
        agent_reporter_sent(&reporter, 200, 0);
        agent_reporter_misdirected(&reporter, useless[i], 200, 0);
        assert_string_equal(agent_reporter_controller(&reporter)->name, next[i]);
        agent_reporter_changed(&reporter);
        assert_false(agent_reporter_is_due(&reporter, 200.9));
        assert_true(agent_reporter_is_due(&reporter, 201));
    }
    agent_reporter_sent(&reporter, 300, 0);
    agent_reporter_failed(&reporter, 304);
    assert_string_equal(agent_reporter_controller(&reporter)->name, "one");
    assert_false(agent_reporter_is_due(&reporter, 304.9));
    g_array_free(options.controllers, TRUE);
}

/* ---- messages ---- */

static void test_report_is_what_controllers_read(void **state)
{
    (void)state;
    static char machine[] = "m-1", type[] = "m8", zone[] = "a", address[] = "127.0.0.1:1";
    struct ow_report report = {.machine = machine,
                               .addr = address,
                               .type = type,
                               .zone = zone,
                               .spot = true,
                               .session = 3,
                               .seq = 8,
                               .token = 41,
                               .notice_s = -1,
                               .tasks = g_array_new(FALSE, FALSE, sizeof(struct ow_task_report))};
    struct ow_task_report running = {"run-1", 3, 2, OW_PHASE_RUNNING, OW_CAUSE_NONE, false};
    struct ow_task_report stopped = {"run-2", 0, 1, OW_PHASE_EXITED, OW_CAUSE_STOPPED, true};
    g_array_append_val(report.tasks, running);
    g_array_append_val(report.tasks, stopped);
    char *text = wire_report(&report);
    struct ow_report *read = wire_report_parse(text, strlen(text));
    assert_non_null(read);
    assert_string_equal(read->machine, "m-1");
    assert_true(read->spot && read->session == 3 && read->seq == 8 && read->token == 41 &&
                read->notice_s < 0);
    assert_int_equal(read->tasks->len, 2);
    const struct ow_task_report *second = &g_array_index(read->tasks, struct ow_task_report, 1);
    assert_int_equal(second->cause, OW_CAUSE_STOPPED);
    assert_true(second->saved);
    assert_int_equal(g_array_index(read->tasks, struct ow_task_report, 0).attempt, 2);
    ow_report_free(read);
    g_array_free(report.tasks, TRUE);
    g_free(text);
}

static void test_orders_are_what_controllers_write(void **state)
{
    (void)state;
    GArray *commands = g_array_new(FALSE, TRUE, sizeof(struct ow_worker_command));
    struct ow_worker_command stop = {OW_WORKER_STOP, "run-7", 12, 5, 2.5};
    g_array_append_val(commands, stop);
    char *direct = wire_direct_commands(9, 2, commands);
    struct ow_worker_orders *orders = wire_worker_orders_parse(direct, strlen(direct));
    assert_true(orders->has_token && orders->token == 9 && orders->has_session && orders->session == 2);
    const struct ow_worker_command *read = &g_array_index(orders->commands, struct ow_worker_command, 0);
    assert_int_equal(read->kind, OW_WORKER_STOP);
    assert_string_equal(read->job, "run-7");
    assert_true(read->task == 12 && read->attempt == 5 && read->grace_s == 2.5);
    wire_worker_orders_free(orders);
    g_free(direct);
    char *misdirected = wire_misdirected("two");
    char *name = wire_misdirected_parse(misdirected, strlen(misdirected));
    assert_string_equal(name, "two");
    g_free(name);
    g_free(misdirected);
    static const char unknown[] =
        "{\"crest\":1,\"calls\":[{\"call\":\"dance\",\"talon\":\"run-1/0\",\"dive\":1}]}";
    static const char *const malformed[] = {"", "[]", "{\"crest\":1}", "{\"crest\":1,\"calls\":[{}]}",
                                            unknown};
    for (guint i = 0; i < G_N_ELEMENTS(malformed); i++)
        assert_null(wire_worker_orders_parse(malformed[i], strlen(malformed[i])));
    g_array_free(commands, TRUE);
}

/* ---- sessions ---- */

static char *new_directory(void)
{
    return g_dir_make_tmp("ospreywell-agent-XXXXXX", NULL);
}

/* Removes the directory with the files that an agent leaves in it. */
static void remove_directory(char *directory)
{
    static const char *const names[] = {"session", "lock", "run-1.json", "history"};
    for (guint i = 0; i < G_N_ELEMENTS(names); i++) {
        char *path = g_build_filename(directory, names[i], NULL);
        g_unlink(path);
        g_free(path);
    }
    g_rmdir(directory);
    g_free(directory);
}

static void test_session_and_token_outlive_the_process(void **state)
{
    (void)state;
    char *directory = new_directory();
    struct agent_session session;
    assert_true(agent_session_open(&session, directory));
    assert_int_equal(session.number, 1);
    agent_session_set_token(&session, 77);
    agent_session_begin_next(&session);
    agent_session_close(&session);
    assert_true(agent_session_open(&session, directory));
    assert_int_equal(session.number, 3);
    assert_int_equal(session.token, 77);
    agent_session_close(&session);
    /* A file that can't be read is no new machine. */
    char *path = g_build_filename(directory, "session", NULL);
    assert_true(g_file_set_contents(path, "what", -1, NULL));
    g_free(path);
    assert_false(agent_session_open(&session, directory));
    agent_session_close(&session);
    remove_directory(directory);
}

/* ---- tasks ---- */

struct bench {
    char *directory;
    struct agent_options options;
    struct agent_session session;
    struct agent_lease *lease;
    struct agent_history history;
    struct agent_tasks *tasks;
};

/* The description of the job "run-1", of which each task runs a shell command. */
static void describe_job(const struct bench *bench, double cpus, double checkpoint_s, const char *command)
{
    char *path = g_build_filename(bench->directory, "run-1.json", NULL);
    char *text = g_strdup_printf(
        "{\"ref\":\"run-1\",\"flock\":\"f\",\"roost\":\"t\",\"shape\":\"batch\",\"rank\":\"low\",\"talons\":"
        "4,"
        "\"cores\":%g,\"gpus\":0,\"ram_gb\":1,\"plumage\":\"i\",\"image_gb\":0,\"same_place\":false,"
        "\"scatter\":false,\"windfall\":false,\"flight_s\":1,\"molt_s\":%g,\"preen_s\":1,"
        "\"command\":[\"sh\",\"-c\",\"%s\"]}",
        cpus, checkpoint_s, command);
    assert_true(g_file_set_contents(path, text, -1, NULL));
    g_free(text);
    g_free(path);
}

static void open_bench(struct bench *bench, double lease_s)
{
    *bench = (struct bench){.directory = new_directory(), .options = new_options(), .history = {-1, "m-1"}};
    bench->options.jobs_dir = bench->directory;
    bench->options.lease_s = lease_s;
    assert_true(agent_session_open(&bench->session, bench->directory));
    bench->lease = agent_lease_new(lease_s);
    bench->tasks = agent_tasks_new(&bench->options, &bench->session, bench->lease, &bench->history);
}

static void close_bench(struct bench *bench)
{
    agent_tasks_free(bench->tasks);
    agent_lease_free(bench->lease);
    agent_session_close(&bench->session);
    g_array_free(bench->options.controllers, TRUE);
    remove_directory(bench->directory);
}

static void obey(struct bench *bench, enum ow_worker_command_kind kind, uint32_t task, uint64_t attempt,
                 double grace_s)
{
    GArray *commands = g_array_new(FALSE, TRUE, sizeof(struct ow_worker_command));
    struct ow_worker_command command = {kind, "run-1", task, attempt, grace_s};
    g_array_append_val(commands, command);
    agent_tasks_obey(bench->tasks, commands);
    g_array_free(commands, TRUE);
}

/* What a report says of the first task, after all have ended. */
static struct ow_task_report wait_for_end(struct bench *bench)
{
    double until = agent_clock() + PATIENCE_S;
    while (agent_tasks_any_running(bench->tasks) && agent_clock() < until) {
        agent_tasks_poll(bench->tasks);
        g_usleep(10000);
    }
    GArray *reports = g_array_new(FALSE, TRUE, sizeof(struct ow_task_report));
    agent_tasks_report(bench->tasks, reports);
    assert_true(reports->len > 0);
    struct ow_task_report first = g_array_index(reports, struct ow_task_report, 0);
    g_array_free(reports, TRUE);
    assert_int_equal(first.phase, OW_PHASE_EXITED);
    return first;
}

static guint count_tasks(const struct bench *bench)
{
    GArray *reports = g_array_new(FALSE, TRUE, sizeof(struct ow_task_report));
    agent_tasks_report(bench->tasks, reports);
    guint count = reports->len;
    g_array_free(reports, TRUE);
    return count;
}

static void test_ends_are_reported_with_their_cause(void **state)
{
    (void)state;
    static const struct {
        const char *command;
        enum ow_cause cause;
    } ends[] = {{"exit 0", OW_CAUSE_DONE},
                {"exit 1", OW_CAUSE_ERROR},
                {"exit 75", OW_CAUSE_PEERS},
                {"kill -9 $$", OW_CAUSE_ERROR},
                {"test $OSPREYWELL_JOB/$OSPREYWELL_TASK/$OSPREYWELL_ATTEMPT = run-1/2/6", OW_CAUSE_DONE}};
    for (guint i = 0; i < G_N_ELEMENTS(ends); i++) {
        struct bench bench;
        open_bench(&bench, 60);
        describe_job(&bench, 1, 0, ends[i].command);
        obey(&bench, OW_WORKER_LAUNCH, 2, 6, 0);
        assert_int_equal(wait_for_end(&bench).cause, ends[i].cause);
        close_bench(&bench);
    }
}

static void test_launches_are_refused(void **state)
{
    (void)state;
    struct bench bench;
    open_bench(&bench, 60);
    obey(&bench, OW_WORKER_LAUNCH, 0, 1, 0);
    assert_int_equal(wait_for_end(&bench).cause, OW_CAUSE_UNKNOWN);
    obey(&bench, OW_WORKER_CLEAR, 0, 1, 0);
    describe_job(&bench, 3, 0, "sleep 60");
    obey(&bench, OW_WORKER_LAUNCH, 0, 2, 0);
    obey(&bench, OW_WORKER_LAUNCH, 0, 2, 0); /* a repeat has no effect */
    assert_int_equal(count_tasks(&bench), 1);
    obey(&bench, OW_WORKER_LAUNCH, 0, 3, 0); /* the task is here with another attempt */
    obey(&bench, OW_WORKER_LAUNCH, 1, 1, 0); /* 3 of 4 CPUs are taken */
    obey(&bench, OW_WORKER_LAUNCH, 9, 1, 0); /* the job has 4 tasks */
    GArray *reports = g_array_new(FALSE, TRUE, sizeof(struct ow_task_report));
    agent_tasks_report(bench.tasks, reports);
    static const enum ow_cause causes[] = {OW_CAUSE_NONE, OW_CAUSE_BUSY, OW_CAUSE_FULL, OW_CAUSE_UNKNOWN};
    assert_int_equal(reports->len, G_N_ELEMENTS(causes));
    for (guint i = 0; i < reports->len; i++)
        assert_int_equal(g_array_index(reports, struct ow_task_report, i).cause, causes[i]);
    g_array_free(reports, TRUE);
    /* Running tasks are not cleared. */
    obey(&bench, OW_WORKER_CLEAR, 0, 2, 0);
    assert_int_equal(count_tasks(&bench), 4);
    close_bench(&bench);
}

static void test_stopped_task_saves_in_its_grace(void **state)
{
    (void)state;
    static const struct {
        double checkpoint_s, grace_s;
        const char *command;
        bool saved;
    } stops[] = {
        {10, 20, "trap 'exit 0' TERM; while :; do sleep 0.05; done", true},
        {10, 20, "trap 'exit 3' TERM; while :; do sleep 0.05; done", false},
        {10, 0.5, "trap 'exit 0' TERM; while :; do sleep 0.05; done", false}, /* less than it needs */
        {0, 20, "trap 'exit 0' TERM; while :; do sleep 0.05; done", false},   /* it never saves */
        {10, 1.5, "trap '' TERM; while :; do sleep 0.05; done", false}};      /* it is killed */
    for (guint i = 0; i < G_N_ELEMENTS(stops); i++) {
        struct bench bench;
        open_bench(&bench, 120);
        describe_job(&bench, 1, stops[i].checkpoint_s, stops[i].command);
        obey(&bench, OW_WORKER_LAUNCH, 0, 1, 0);
        g_usleep(300000); /* until the trap is set */
        obey(&bench, OW_WORKER_STOP, 0, 1, stops[i].grace_s);
        struct ow_task_report end = wait_for_end(&bench);
        assert_int_equal(end.cause, OW_CAUSE_STOPPED);
        assert_int_equal(end.saved, stops[i].saved);
        close_bench(&bench);
    }
}

/* Nobody renews the lease, and the agent itself does nothing: its supervisors end the tasks. */
static void test_tasks_end_with_the_lease_while_the_agent_stands_still(void **state)
{
    (void)state;
    struct bench bench;
    open_bench(&bench, 1);
    describe_job(&bench, 1, 0, "sleep 600");
    obey(&bench, OW_WORKER_LAUNCH, 0, 1, 0);
    obey(&bench, OW_WORKER_LAUNCH, 1, 1, 0);
    double begun = agent_clock();
    assert_int_equal(wait_for_end(&bench).cause, OW_CAUSE_ERROR);
    assert_true(agent_clock() - begun < PATIENCE_S);
    assert_true(agent_lease_is_over(bench.lease));
    close_bench(&bench);
}

static void test_renewal_counts_from_when_the_report_was_sent(void **state)
{
    (void)state;
    struct agent_lease *lease = agent_lease_new(10);
    double now = agent_clock();
    agent_lease_renew(lease, now - 4);
    assert_true(agent_lease_until(lease) >= now + 9); /* an earlier report takes nothing away */
    agent_lease_renew(lease, now + 5);
    assert_true(agent_lease_until(lease) == now + 15);
    agent_lease_free(lease);
}

/* Whether a process of this id is there and no zombie of ours. */
static bool process_exists(pid_t pid)
{
    return kill(pid, 0) == 0;
}

/* An agent that is killed leaves no task: the next one waits for that, and begins a new session. */
static void test_restarted_agent_waits_until_no_task_is_left(void **state)
{
    (void)state;
    char *directory = new_directory();
    char *pid_file = g_build_filename(directory, "history", NULL);
    pid_t agent = fork();
    if (agent == 0) {
        /* An agent's life up to the moment at which it is killed. */
        struct bench bench = {.directory = directory, .options = new_options(), .history = {-1, "m-1"}};
        bench.options.jobs_dir = directory;
        bool ok = agent_session_open(&bench.session, directory);
        bench.lease = agent_lease_new(600);
        bench.tasks = agent_tasks_new(&bench.options, &bench.session, bench.lease, &bench.history);
        char *command = g_strdup_printf("echo $$ > %s; exec sleep 600", pid_file);
        describe_job(&bench, 1, 0, command);
        obey(&bench, OW_WORKER_LAUNCH, 0, 1, 0);
        if (ok)
            sleep((unsigned)PATIENCE_S);
        _exit(1);
    }
    char *text = NULL;
    for (double until = agent_clock() + PATIENCE_S; agent_clock() < until; g_usleep(10000)) {
        g_free(text);
        text = NULL;
        if (g_file_get_contents(pid_file, &text, NULL, NULL) && strchr(text, '\n') != NULL)
            break;
    }
    assert_non_null(text);
    pid_t task = (pid_t)g_ascii_strtoll(text, NULL, 10);
    assert_true(task > 0 && process_exists(task));
    kill(agent, SIGKILL);
    waitpid(agent, NULL, 0);
    struct agent_session session;
    assert_true(agent_session_open(&session, directory));
    assert_false(process_exists(task));
    assert_int_equal(session.number, 2);
    agent_session_close(&session);
    g_free(text);
    g_free(pid_file);
    remove_directory(directory);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_reports_follow_the_interval_and_changes),
        cmocka_unit_test(test_higher_token_counts_as_a_change_now_and_then),
        cmocka_unit_test(test_other_controllers_are_tried),
        cmocka_unit_test(test_report_is_what_controllers_read),
        cmocka_unit_test(test_orders_are_what_controllers_write),
        cmocka_unit_test(test_session_and_token_outlive_the_process),
        cmocka_unit_test(test_ends_are_reported_with_their_cause),
        cmocka_unit_test(test_launches_are_refused),
        cmocka_unit_test(test_stopped_task_saves_in_its_grace),
        cmocka_unit_test(test_tasks_end_with_the_lease_while_the_agent_stands_still),
        cmocka_unit_test(test_renewal_counts_from_when_the_report_was_sent),
        cmocka_unit_test(test_restarted_agent_waits_until_no_task_is_left),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
