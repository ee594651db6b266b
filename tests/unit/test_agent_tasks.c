/* The thin agent: what outlives its process, and that its tasks end with their lease, their agent, or when
 * told. Tasks are real processes. */
#include "agent/tasks.h"
#include "agent_setup.h"
#include "check.h"
#include "model/worker.h"
#include "wire/worker_json.h"

#include <signal.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

/* An upper bound of every wait. */
static const double PATIENCE_S = 30;

static void test_incarnation_and_fencing_token_outlive_the_process(void **state)
{
    (void)state;
    char *directory = agent_setup_directory();
    struct agent_incarnation incarnation;
    assert_true(agent_incarnation_open(&incarnation, directory, NULL));
    assert_int_equal(incarnation.number, 1);
    agent_incarnation_set_fencing_token(&incarnation, 77);
    agent_incarnation_begin_next(&incarnation);
    agent_incarnation_close(&incarnation);
    assert_true(agent_incarnation_open(&incarnation, directory, NULL));
    assert_int_equal(incarnation.number, 3);
    assert_int_equal(incarnation.fencing_token, 77);
    agent_incarnation_close(&incarnation);
    /* A file that can't be read is no new machine. */
    char *path = g_build_filename(directory, "session", NULL);
    assert_true(g_file_set_contents(path, "what", -1, NULL));
    g_free(path);
    GError *error = NULL;
    assert_false(agent_incarnation_open(&incarnation, directory, &error));
    assert_true(g_error_matches(error, G_FILE_ERROR, G_FILE_ERROR_INVAL));
    g_error_free(error);
    agent_incarnation_close(&incarnation);
    agent_setup_remove(directory);
}

/* ---- tasks ---- */

struct bench {
    char *directory;
    struct agent_options options;
    struct agent_incarnation incarnation;
    struct agent_lease *lease;
    struct agent_history history;
    struct agent_tasks *tasks;
};

/* The description of the job "run-1", of which each task runs a shell command. */
static void describe_job(const struct bench *bench, double cpus, double checkpoint_interval_s,
                         const char *command)
{
    char *path = g_build_filename(bench->directory, "run-1.json", NULL);
    char *text = g_strdup_printf(
        "{\"ref\":\"run-1\",\"flock\":\"f\",\"roost\":\"t\",\"shape\":\"batch\",\"rank\":\"low\",\"talons\":"
        "4,"
        "\"cores\":%g,\"gpus\":0,\"ram_gb\":1,\"plumage\":\"i\",\"image_gb\":0,\"same_place\":false,"
        "\"scatter\":false,\"windfall\":false,\"flight_s\":1,\"molt_s\":%g,\"preen_s\":1,"
        "\"command\":[\"sh\",\"-c\",\"%s\"]}",
        cpus, checkpoint_interval_s, command);
    assert_true(g_file_set_contents(path, text, -1, NULL));
    g_free(text);
    g_free(path);
}

static void open_bench(struct bench *bench, double lease_s)
{
    *bench = (struct bench){
        .directory = agent_setup_directory(), .options = agent_setup_options(), .history = {-1, "m-1"}};
    bench->options.jobs_dir = bench->directory;
    bench->options.lease_s = lease_s;
    assert_true(agent_incarnation_open(&bench->incarnation, bench->directory, NULL));
    bench->lease = agent_lease_new(lease_s);
    bench->tasks = agent_tasks_new(&bench->options, &bench->incarnation, bench->lease, &bench->history);
}

static void close_bench(struct bench *bench)
{
    agent_tasks_free(bench->tasks);
    agent_lease_free(bench->lease);
    agent_incarnation_close(&bench->incarnation);
    g_array_free(bench->options.controllers, TRUE);
    agent_setup_remove(bench->directory);
}

static void obey(struct bench *bench, enum ow_worker_command_kind kind, uint32_t task, uint64_t attempt,
                 double grace_s)
{
    GArray *commands = g_array_new(FALSE, TRUE, sizeof(struct ow_worker_command));
    struct ow_worker_command command = {kind, "run-1", task, attempt, grace_s};
    g_array_append_val(commands, command);
    agent_tasks_apply(bench->tasks, commands);
    g_array_free(commands, TRUE);
}

/* What a heartbeat says of the first task, after all have ended. */
static struct ow_task_status wait_for_end(struct bench *bench)
{
    double until = agent_clock_now() + PATIENCE_S;
    while (agent_tasks_has_running(bench->tasks) && agent_clock_now() < until) {
        agent_tasks_poll(bench->tasks);
        g_usleep(10000);
    }
    GArray *heartbeats = g_array_new(FALSE, TRUE, sizeof(struct ow_task_status));
    agent_tasks_append_status(bench->tasks, heartbeats);
    assert_true(heartbeats->len > 0);
    struct ow_task_status first = g_array_index(heartbeats, struct ow_task_status, 0);
    g_array_free(heartbeats, TRUE);
    assert_int_equal(first.phase, OW_PHASE_EXITED);
    return first;
}

static guint count_tasks(const struct bench *bench)
{
    GArray *heartbeats = g_array_new(FALSE, TRUE, sizeof(struct ow_task_status));
    agent_tasks_append_status(bench->tasks, heartbeats);
    guint count = heartbeats->len;
    g_array_free(heartbeats, TRUE);
    return count;
}

static void test_exited_task_is_in_heartbeats_with_its_cause(void **state)
{
    (void)state;
    static const struct {
        const char *command;
        enum ow_exit_cause cause;
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

static void test_impossible_launches_are_refused(void **state)
{
    (void)state;
    struct bench bench;
    open_bench(&bench, 60);
    obey(&bench, OW_WORKER_LAUNCH, 0, 1, 0);
    assert_int_equal(wait_for_end(&bench).cause, OW_CAUSE_UNKNOWN);
    obey(&bench, OW_WORKER_CLEAR, 0, 1, 0);
    describe_job(&bench, 3, 0, "sleep 60");
    obey(&bench, OW_WORKER_LAUNCH, 0, 2, 0);
    obey(&bench, OW_WORKER_LAUNCH, 0, 2, 0); /* a duplicate has no effect */
    assert_int_equal(count_tasks(&bench), 1);
    obey(&bench, OW_WORKER_LAUNCH, 0, 3, 0); /* the task is here with another attempt */
    obey(&bench, OW_WORKER_LAUNCH, 1, 1, 0); /* 3 of 4 CPUs are taken */
    obey(&bench, OW_WORKER_LAUNCH, 9, 1, 0); /* the job has 4 tasks */
    GArray *heartbeats = g_array_new(FALSE, TRUE, sizeof(struct ow_task_status));
    agent_tasks_append_status(bench.tasks, heartbeats);
    static const enum ow_exit_cause causes[] = {OW_CAUSE_NONE, OW_CAUSE_BUSY, OW_CAUSE_FULL,
                                                OW_CAUSE_UNKNOWN};
    assert_int_equal(heartbeats->len, G_N_ELEMENTS(causes));
    for (guint i = 0; i < heartbeats->len; i++)
        assert_int_equal(g_array_index(heartbeats, struct ow_task_status, i).cause, causes[i]);
    g_array_free(heartbeats, TRUE);
    /* Running tasks are not cleared. */
    obey(&bench, OW_WORKER_CLEAR, 0, 2, 0);
    assert_int_equal(count_tasks(&bench), 4);
    close_bench(&bench);
}

static void test_stopped_task_saves_in_its_grace(void **state)
{
    (void)state;
    static const struct {
        double checkpoint_interval_s, grace_s;
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
        describe_job(&bench, 1, stops[i].checkpoint_interval_s, stops[i].command);
        obey(&bench, OW_WORKER_LAUNCH, 0, 1, 0);
        g_usleep(300000); /* until the trap is set */
        obey(&bench, OW_WORKER_STOP, 0, 1, stops[i].grace_s);
        struct ow_task_status end = wait_for_end(&bench);
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
    double begun = agent_clock_now();
    assert_int_equal(wait_for_end(&bench).cause, OW_CAUSE_ERROR);
    assert_true(agent_clock_now() - begun < PATIENCE_S);
    assert_true(agent_lease_is_expired(bench.lease));
    close_bench(&bench);
}

static void test_renewal_counts_from_when_the_heartbeat_was_sent(void **state)
{
    (void)state;
    struct agent_lease *lease = agent_lease_new(10);
    double now = agent_clock_now();
    agent_lease_renew(lease, now - 4);
    assert_true(agent_lease_expires_at(lease) >= now + 9); /* an earlier heartbeat takes nothing away */
    agent_lease_renew(lease, now + 5);
    assert_true(agent_lease_expires_at(lease) == now + 15);
    agent_lease_free(lease);
}

/* Whether a process of this id is there and no zombie of ours. */
static bool process_exists(pid_t pid)
{
    return kill(pid, 0) == 0;
}

/* An agent that is killed leaves no task: the next one waits for that, and begins a new incarnation. */
static void test_restarted_agent_waits_until_no_task_is_left(void **state)
{
    (void)state;
    char *directory = agent_setup_directory();
    char *pid_file = g_build_filename(directory, "history", NULL);
    pid_t agent = fork();
    if (agent == 0) {
        /* An agent's life up to the moment at which it is killed. */
        struct bench bench = {
            .directory = directory, .options = agent_setup_options(), .history = {-1, "m-1"}};
        bench.options.jobs_dir = directory;
        bool ok = agent_incarnation_open(&bench.incarnation, directory, NULL);
        bench.lease = agent_lease_new(600);
        bench.tasks = agent_tasks_new(&bench.options, &bench.incarnation, bench.lease, &bench.history);
        char *command = g_strdup_printf("echo $$ > %s; exec sleep 600", pid_file);
        describe_job(&bench, 1, 0, command);
        obey(&bench, OW_WORKER_LAUNCH, 0, 1, 0);
        if (ok)
            sleep((unsigned)PATIENCE_S);
        _exit(1);
    }
    char *text = NULL;
    for (double until = agent_clock_now() + PATIENCE_S; agent_clock_now() < until; g_usleep(10000)) {
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
    struct agent_incarnation incarnation;
    assert_true(agent_incarnation_open(&incarnation, directory, NULL));
    assert_false(process_exists(task));
    assert_int_equal(incarnation.number, 2);
    agent_incarnation_close(&incarnation);
    g_free(text);
    g_free(pid_file);
    agent_setup_remove(directory);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_incarnation_and_fencing_token_outlive_the_process),
        cmocka_unit_test(test_exited_task_is_in_heartbeats_with_its_cause),
        cmocka_unit_test(test_impossible_launches_are_refused),
        cmocka_unit_test(test_stopped_task_saves_in_its_grace),
        cmocka_unit_test(test_tasks_end_with_the_lease_while_the_agent_stands_still),
        cmocka_unit_test(test_renewal_counts_from_when_the_heartbeat_was_sent),
        cmocka_unit_test(test_restarted_agent_waits_until_no_task_is_left),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
