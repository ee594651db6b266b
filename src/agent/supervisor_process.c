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

/* Interval at which the lease, the agent and stop requests are checked. */
enum { POLL_INTERVAL_MS = 50 };
/* Exit status of a task whose command can't be executed, as in a shell. */
enum { STATUS_NOT_STARTED = 127 };
/* Exit status that is reported to the agent after a signal. */
enum { STATUS_SIGNAL = -1 };
/* Enough for the decimal digits of a 64-bit number and a terminator. */
enum { NUMBER_BYTES = 24 };

/* State of the supervisor process. */
struct watch {
    const struct agent_task_command *command;
    struct agent_supervisor_page *page;
    pid_t agent;
    pid_t task;
    bool is_term_sent; /* SIGTERM has been sent to the task */
};

/* ---- startup ---- */

/* Closes every descriptor except the standard ones, the lock and the history. An inherited listening socket
 * would keep the next agent from binding its address. */
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

/* Executes the task's command in this process; does not return. */
static void exec_task(const struct agent_task_command *command, pid_t supervisor)
{
    /* A separate process group, so that processes started by the task can be killed with it. */
    setsid();
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    /* The supervisor may have died before the parent-death signal was set. */
    if (getppid() != supervisor)
        _exit(STATUS_NOT_STARTED);
    setenv("OSPREYWELL_JOB", command->attempt.job, 1);
    set_number("OSPREYWELL_TASK", command->attempt.task);
    set_number("OSPREYWELL_ATTEMPT", command->attempt.attempt);
    execvp(command->argv[0], command->argv);
    _exit(STATUS_NOT_STARTED);
}

/* ---- supervision ---- */

static void kill_task(const struct watch *watch, int signal)
{
    /* Until the task has called setsid(), its process group does not exist and only the process can be
     * signalled. */
    if (kill(-watch->task, signal) != 0)
        kill(watch->task, signal);
}

/* The reason why the task must be killed now; AGENT_END_NONE if there is none. */
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

/* Sends SIGTERM to the task, once, if the agent has requested a stop. */
static void forward_stop(struct watch *watch)
{
    if (watch->is_term_sent || atomic_load(&watch->page->stop_deadline) <= 0)
        return;
    watch->is_term_sent = true;
    kill_task(watch, SIGTERM);
}

/* Waits until the task has ended. Returns why it was killed, or AGENT_END_NONE if it exited by itself;
 * *status is that of waitpid(). */
static enum agent_task_end wait_for_task(struct watch *watch, int *status)
{
    int task_fd = (int)syscall(SYS_pidfd_open, watch->task, 0);
    enum agent_task_end reason = AGENT_END_NONE;
    while (waitpid(watch->task, status, WNOHANG) == 0) {
        struct pollfd ready = {.fd = task_fd, .events = POLLIN};
        forward_stop(watch);
        if (reason == AGENT_END_NONE)
            reason = reason_to_kill(watch);
        if (reason != AGENT_END_NONE)
            kill_task(watch, SIGKILL);
        poll(&ready, 1, POLL_INTERVAL_MS);
    }
    /* Kills processes of the task's group that are still running. */
    kill(-watch->task, SIGKILL);
    return reason;
}

static enum agent_task_end watch_task(struct watch *watch, int *status)
{
    enum agent_task_end reason = wait_for_task(watch, status);
    if (reason != AGENT_END_NONE)
        return reason;
    if (watch->is_term_sent)
        return AGENT_END_STOPPED;
    if (WIFSIGNALED(*status))
        return AGENT_END_SIGNAL;
    return WEXITSTATUS(*status) == STATUS_NOT_STARTED ? AGENT_END_NOT_STARTED : AGENT_END_EXIT;
}

int agent_supervisor_process_run(const struct agent_task_command *command, struct agent_supervisor_page *page,
                                 pid_t agent)
{
    struct watch watch = {.command = command, .page = page, .agent = agent};
    int status = 0;
    pid_t self = getpid();
    close_other_descriptors(command);
    /* Recorded before the fork, so that the recorded time is never later than the actual start. */
    agent_history_record_task_start(command->history, &command->attempt);
    watch.task = fork();
    if (watch.task == 0)
        exec_task(command, self);
    enum agent_task_end end = watch.task > 0 ? watch_task(&watch, &status) : AGENT_END_NOT_STARTED;
    agent_history_record_task_end(command->history, &command->attempt, end);
    atomic_store(&page->status, WIFEXITED(status) ? WEXITSTATUS(status) : STATUS_SIGNAL);
    atomic_store(&page->end, (int)end);
    return EXIT_SUCCESS;
}
