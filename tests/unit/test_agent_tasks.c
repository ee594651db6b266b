/* The agent: state that survives a restart, and tasks that end on a command, when the lease expires or when
 * the agent dies. Tasks are real processes. */
#include "agent/tasks.h"
#include "agent_setup.h"
#include "check.h"
#include "model/worker.h"
#include "wire/worker_json.h"

#include <signal.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

/* Limit of each wait for a process. */
static const double WAIT_LIMIT_S = 30;

static void test_incarnation_and_fencing_token_survive_a_restart(void **state)
{
    (void)state;
    char *directory = agent_setup_create_directory();
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
    /* A malformed file is an error: the incarnation must not start at 1 again. */
    char *path = g_build_filename(directory, "session", NULL);
    assert_true(g_file_set_contents(path, "what", -1, NULL));
    g_free(path);
    GError *error = NULL;
    assert_false(agent_incarnation_open(&incarnation, directory, &error));
    assert_true(g_error_matches(error, G_FILE_ERROR, G_FILE_ERROR_INVAL));
    g_error_free(error);
    agent_incarnation_close(&incarnation);
    agent_setup_remove_directory(directory);
}

/* ---- tasks ---- */

struct fixture {
    char *directory;
    struct agent_options options;
    struct agent_incarnation incarnation;
    struct agent_lease *lease;
    struct agent_history history;
    struct agent_tasks *tasks;
};

/* Writes the description of the job "run-1", whose tasks each run a shell command. */
static void write_job_description(const struct fixture *fixture, double cpus, double checkpoint_interval_s,
                                  const char *command)
{
    char *path = g_build_filename(fixture->directory, "run-1.json", NULL);
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

static void fixture_init(struct fixture *fixture, double lease_s)
{
    *fixture = (struct fixture){.directory = agent_setup_create_directory(),
                                .options = agent_setup_options(),
                                .history = {-1, "m-1"}};
    fixture->options.jobs_dir = fixture->directory;
    fixture->options.lease_s = lease_s;
    assert_true(agent_incarnation_open(&fixture->incarnation, fixture->directory, NULL));
    fixture->lease = agent_lease_new(lease_s);
    fixture->tasks =
        agent_tasks_new(&fixture->options, &fixture->incarnation, fixture->lease, &fixture->history);
}

static void fixture_clear(struct fixture *fixture)
{
    agent_tasks_free(fixture->tasks);
    agent_lease_free(fixture->lease);
    agent_incarnation_close(&fixture->incarnation);
    g_array_free(fixture->options.controllers, TRUE);
    agent_setup_remove_directory(fixture->directory);
}

static void apply_command(struct fixture *fixture, enum ow_worker_command_kind kind, uint32_t task,
                          uint64_t attempt, double grace_s)
{
    GArray *commands = g_array_new(FALSE, TRUE, sizeof(struct ow_worker_command));
    struct ow_worker_command command = {kind, "run-1", task, attempt, grace_s};
    g_array_append_val(commands, command);
    agent_tasks_apply(fixture->tasks, commands);
    g_array_free(commands, TRUE);
}

/* Waits until no task is running; returns the reported status of the first one. */
static struct ow_task_status wait_for_end(struct fixture *fixture)
{
    double deadline = agent_clock_now() + WAIT_LIMIT_S;
    while (agent_tasks_has_running(fixture->tasks) && agent_clock_now() < deadline) {
        agent_tasks_poll(fixture->tasks);
        g_usleep(10000);
    }
    GArray *statuses = g_array_new(FALSE, TRUE, sizeof(struct ow_task_status));
    agent_tasks_append_status(fixture->tasks, statuses);
    assert_true(statuses->len > 0);
    struct ow_task_status first = g_array_index(statuses, struct ow_task_status, 0);
    g_array_free(statuses, TRUE);
    assert_int_equal(first.phase, OW_PHASE_EXITED);
    return first;
}

static guint count_tasks(const struct fixture *fixture)
{
    GArray *statuses = g_array_new(FALSE, TRUE, sizeof(struct ow_task_status));
    agent_tasks_append_status(fixture->tasks, statuses);
    guint count = statuses->len;
    g_array_free(statuses, TRUE);
    return count;
}

static void test_exited_task_is_reported_with_its_cause(void **state)
{
    (void)state;
    static const struct {
        const char *command;
        enum ow_exit_cause cause;
    } cases[] = {{"exit 0", OW_CAUSE_DONE},
                 {"exit 1", OW_CAUSE_ERROR},
                 {"exit 75", OW_CAUSE_PEERS},
                 {"kill -9 $$", OW_CAUSE_ERROR},
                 {"test $OSPREYWELL_JOB/$OSPREYWELL_TASK/$OSPREYWELL_ATTEMPT = run-1/2/6", OW_CAUSE_DONE}};
    for (guint i = 0; i < G_N_ELEMENTS(cases); i++) {
        struct fixture fixture;
        fixture_init(&fixture, 60);
        write_job_description(&fixture, 1, 0, cases[i].command);
        apply_command(&fixture, OW_WORKER_LAUNCH, 2, 6, 0);
        assert_int_equal(wait_for_end(&fixture).cause, cases[i].cause);
        fixture_clear(&fixture);
    }
}

static void test_impossible_launches_are_refused(void **state)
{
    (void)state;
    struct fixture fixture;
    fixture_init(&fixture, 60);
    apply_command(&fixture, OW_WORKER_LAUNCH, 0, 1, 0);
    assert_int_equal(wait_for_end(&fixture).cause, OW_CAUSE_UNKNOWN);
    apply_command(&fixture, OW_WORKER_CLEAR, 0, 1, 0);
    write_job_description(&fixture, 3, 0, "sleep 60");
    apply_command(&fixture, OW_WORKER_LAUNCH, 0, 2, 0);
    apply_command(&fixture, OW_WORKER_LAUNCH, 0, 2, 0); /* a repeated command has no effect */
    assert_int_equal(count_tasks(&fixture), 1);
    apply_command(&fixture, OW_WORKER_LAUNCH, 0, 3, 0); /* another attempt of the task is running */
    apply_command(&fixture, OW_WORKER_LAUNCH, 1, 1, 0); /* 3 of 4 CPUs are in use */
    apply_command(&fixture, OW_WORKER_LAUNCH, 9, 1, 0); /* the job has 4 tasks */
    GArray *statuses = g_array_new(FALSE, TRUE, sizeof(struct ow_task_status));
    agent_tasks_append_status(fixture.tasks, statuses);
    static const enum ow_exit_cause causes[] = {OW_CAUSE_NONE, OW_CAUSE_BUSY, OW_CAUSE_FULL,
                                                OW_CAUSE_UNKNOWN};
    assert_int_equal(statuses->len, G_N_ELEMENTS(causes));
    for (guint i = 0; i < statuses->len; i++)
        assert_int_equal(g_array_index(statuses, struct ow_task_status, i).cause, causes[i]);
    g_array_free(statuses, TRUE);
    /* A running task is not cleared. */
    apply_command(&fixture, OW_WORKER_CLEAR, 0, 2, 0);
    assert_int_equal(count_tasks(&fixture), 4);
    fixture_clear(&fixture);
}

static void test_stopped_task_is_saved_only_after_clean_exit_within_grace(void **state)
{
    (void)state;
    static const struct {
        double checkpoint_interval_s, grace_s;
        const char *command;
        bool saved;
    } cases[] = {
        {10, 20, "trap 'exit 0' TERM; while :; do sleep 0.05; done", true},
        {10, 20, "trap 'exit 3' TERM; while :; do sleep 0.05; done", false},
        {10, 0.5, "trap 'exit 0' TERM; while :; do sleep 0.05; done", false}, /* grace too short to save */
        {0, 20, "trap 'exit 0' TERM; while :; do sleep 0.05; done", false},   /* no checkpoints */
        {10, 1.5, "trap '' TERM; while :; do sleep 0.05; done", false}};      /* killed */
    for (guint i = 0; i < G_N_ELEMENTS(cases); i++) {
        struct fixture fixture;
        fixture_init(&fixture, 120);
        write_job_description(&fixture, 1, cases[i].checkpoint_interval_s, cases[i].command);
        apply_command(&fixture, OW_WORKER_LAUNCH, 0, 1, 0);
        g_usleep(300000); /* lets the shell install its trap */
        apply_command(&fixture, OW_WORKER_STOP, 0, 1, cases[i].grace_s);
        struct ow_task_status end = wait_for_end(&fixture);
        assert_int_equal(end.cause, OW_CAUSE_STOPPED);
        assert_int_equal(end.saved, cases[i].saved);
        fixture_clear(&fixture);
    }
}

/* The lease is not renewed and the agent sends no signal: the supervisor processes end the tasks. */
static void test_supervisors_end_tasks_when_the_lease_expires(void **state)
{
    (void)state;
    struct fixture fixture;
    fixture_init(&fixture, 1);
    write_job_description(&fixture, 1, 0, "sleep 600");
    apply_command(&fixture, OW_WORKER_LAUNCH, 0, 1, 0);
    apply_command(&fixture, OW_WORKER_LAUNCH, 1, 1, 0);
    double started_at = agent_clock_now();
    assert_int_equal(wait_for_end(&fixture).cause, OW_CAUSE_ERROR);
    assert_true(agent_clock_now() - started_at < WAIT_LIMIT_S);
    assert_true(agent_lease_is_expired(fixture.lease));
    fixture_clear(&fixture);
}

static void test_lease_renewal_counts_from_heartbeat_send_time(void **state)
{
    (void)state;
    struct agent_lease *lease = agent_lease_new(10);
    double now = agent_clock_now();
    agent_lease_renew(lease, now - 4);
    assert_true(agent_lease_expires_at(lease) >= now + 9); /* an earlier heartbeat changes nothing */
    agent_lease_renew(lease, now + 5);
    assert_true(agent_lease_expires_at(lease) == now + 15);
    agent_lease_free(lease);
}

/* Whether a process with this id exists. It must not be a child of this process: a zombie would count. */
static bool process_exists(pid_t pid)
{
    return kill(pid, 0) == 0;
}

/* The tasks of a killed agent end, and its successor waits for that before it begins a new incarnation. */
static void test_restarted_agent_waits_for_tasks_of_the_killed_agent(void **state)
{
    (void)state;
    char *directory = agent_setup_create_directory();
    char *pid_file = g_build_filename(directory, "history", NULL);
    pid_t agent = fork();
    if (agent == 0) {
        /* The agent process: runs a task until it is killed. */
        struct fixture fixture = {
            .directory = directory, .options = agent_setup_options(), .history = {-1, "m-1"}};
        fixture.options.jobs_dir = directory;
        bool ok = agent_incarnation_open(&fixture.incarnation, directory, NULL);
        fixture.lease = agent_lease_new(600);
        fixture.tasks =
            agent_tasks_new(&fixture.options, &fixture.incarnation, fixture.lease, &fixture.history);
        char *command = g_strdup_printf("echo $$ > %s; exec sleep 600", pid_file);
        write_job_description(&fixture, 1, 0, command);
        apply_command(&fixture, OW_WORKER_LAUNCH, 0, 1, 0);
        if (ok)
            sleep((unsigned)WAIT_LIMIT_S);
        _exit(1);
    }
    char *text = NULL;
    for (double deadline = agent_clock_now() + WAIT_LIMIT_S; agent_clock_now() < deadline; g_usleep(10000)) {
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
    agent_setup_remove_directory(directory);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_incarnation_and_fencing_token_survive_a_restart),
        cmocka_unit_test(test_exited_task_is_reported_with_its_cause),
        cmocka_unit_test(test_impossible_launches_are_refused),
        cmocka_unit_test(test_stopped_task_is_saved_only_after_clean_exit_within_grace),
        cmocka_unit_test(test_supervisors_end_tasks_when_the_lease_expires),
        cmocka_unit_test(test_lease_renewal_counts_from_heartbeat_send_time),
        cmocka_unit_test(test_restarted_agent_waits_for_tasks_of_the_killed_agent),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
