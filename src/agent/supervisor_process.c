#include "agent/supervisor_process.h"

#include "agent/task_end.h"

#include <glib.h>
#include <inttypes.h>
#include <poll.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/prctl.h>
#include <sys/syscall.h>
#include <sys/wait.h>
#include <unistd.h>

/* How often the lease, the agent and the stop are looked at. */
enum { LOOK_MS = 50 };
/* The exit status of a task whose command can't be run, as a shell's. */
enum { STATUS_NOT_BEGUN = 127 };
/* The exit status that the agent is told after a signal. */
enum { STATUS_SIGNAL = -1 };
/* The digits of a number of 64 bits, and its end. */
enum { NUMBER_BYTES = 24 };

/* The state of the supervisor's process. */
struct watch {
    const struct agent_task_command *command;
    struct agent_supervisor_page *page;
    pid_t agent;
    pid_t task;
    bool is_told; /* the task has been asked to end */
};

/* ---- the beginning ---- */

/* Closes every descriptor but the standard ones, the lock and the history: the agent's listener must be free
 * for the next agent. */
static void close_other_descriptors(const struct agent_task_command *command)
{
    const int kept[] = {MIN(command->lock_fd, command->history->fd),
                        MAX(command->lock_fd, command->history->fd)};
    int from = STDERR_FILENO + 1;
    for (size_t i = 0; i < G_N_ELEMENTS(kept); i++) {
        if (kept[i] < from)
            continue;
        if (kept[i] > from)
            syscall(SYS_close_range, (unsigned)from, (unsigned)kept[i] - 1, 0);
        from = kept[i] + 1;
    }
    syscall(SYS_close_range, (unsigned)from, ~0U, 0);
}

static void set_number(const char *name, uint64_t number)
{
    char text[NUMBER_BYTES];
    snprintf(text, sizeof text, "%" PRIu64, number);
    setenv(name, text, 1);
}

/* Becomes the task; does not return. */
static void become_task(const struct agent_task_command *command, pid_t supervisor)
{
    /* A process group of its own, so that all that the task starts can be killed with it. */
    setsid();
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    /* The supervisor may have died before the signal was asked for. */
    if (getppid() != supervisor)
        _exit(STATUS_NOT_BEGUN);
    setenv("OSPREYWELL_JOB", command->attempt.job, 1);
    set_number("OSPREYWELL_TASK", command->attempt.task);
    set_number("OSPREYWELL_ATTEMPT", command->attempt.attempt);
    execvp(command->argv[0], command->argv);
    _exit(STATUS_NOT_BEGUN);
}

/* ---- the watch ---- */

static void kill_task(const struct watch *watch, int signal)
{
    /* The task leads a process group of its own; until it has got there it is one process. */
    if (kill(-watch->task, signal) != 0)
        kill(watch->task, signal);
}

/* Why the task must be killed now; AGENT_END_NONE: it need not. */
static enum agent_task_end reason_to_kill(const struct watch *watch)
{
    double stop_deadline = atomic_load(&watch->page->stop_deadline);
    if (agent_lease_is_expired(watch->command->lease))
        return AGENT_END_LEASE;
    if (getppid() != watch->agent)
        return AGENT_END_NO_AGENT;
    if (stop_deadline > 0 && agent_clock_now() >= stop_deadline)
        return AGENT_END_KILLED;
    return AGENT_END_NONE;
}

/* Passes a stop of the agent's on to the task, once. */
static void ask_to_end(struct watch *watch)
{
    if (watch->is_told || atomic_load(&watch->page->stop_deadline) <= 0)
        return;
    watch->is_told = true;
    kill_task(watch, SIGTERM);
}

/* Waits for the end of the task. Why it was killed, or AGENT_END_NONE if it ended by itself; *status is as
 * waitpid gives it. */
static enum agent_task_end wait_for_task(struct watch *watch, int *status)
{
    int task_fd = (int)syscall(SYS_pidfd_open, watch->task, 0);
    enum agent_task_end reason = AGENT_END_NONE;
    while (waitpid(watch->task, status, WNOHANG) == 0) {
        struct pollfd ready = {.fd = task_fd, .events = POLLIN};
        ask_to_end(watch);
        if (reason == AGENT_END_NONE)
            reason = reason_to_kill(watch);
        if (reason != AGENT_END_NONE)
            kill_task(watch, SIGKILL);
        poll(&ready, 1, LOOK_MS);
    }
    /* Whatever the task has started and left behind goes with it. */
    kill(-watch->task, SIGKILL);
    return reason;
}

static enum agent_task_end watch_task(struct watch *watch, int *status)
{
    enum agent_task_end reason = wait_for_task(watch, status);
    if (reason != AGENT_END_NONE)
        return reason;
    if (watch->is_told)
        return AGENT_END_STOPPED;
    if (WIFSIGNALED(*status))
        return AGENT_END_SIGNAL;
    return WEXITSTATUS(*status) == STATUS_NOT_BEGUN ? AGENT_END_NOT_STARTED : AGENT_END_EXIT;
}

int agent_supervisor_process_run(const struct agent_task_command *command, struct agent_supervisor_page *page,
                                 pid_t agent)
{
    struct watch watch = {.command = command, .page = page, .agent = agent};
    int status = 0;
    pid_t self = getpid();
    close_other_descriptors(command);
    /* Recorded before the task can run: the record may only be too early. */
    agent_history_record_task_start(command->history, &command->attempt);
    watch.task = fork();
    if (watch.task == 0)
        become_task(command, self);
    enum agent_task_end end = watch.task > 0 ? watch_task(&watch, &status) : AGENT_END_NOT_STARTED;
    agent_history_record_task_end(command->history, &command->attempt, end);
    atomic_store(&page->status, WIFEXITED(status) ? WEXITSTATUS(status) : STATUS_SIGNAL);
    atomic_store(&page->end, (int)end);
    return EXIT_SUCCESS;
}
