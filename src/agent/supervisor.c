#include "agent/supervisor.h"

#include <errno.h>
#include <inttypes.h>
#include <poll.h>
#include <signal.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/mman.h>
#include <sys/prctl.h>
#include <sys/syscall.h>
#include <sys/wait.h>
#include <unistd.h>

/* How often the lease, the agent and the stop are looked at. */
enum { LOOK_MS = 50 };
/* The exit status of a task whose command can't be run, as a shell's. */
enum { STATUS_NOT_BEGUN = 127 };

/* Shared by the agent and the supervisor. */
struct page {
    _Atomic double stop_until; /* the task must be gone by then; 0: it need not */
    _Atomic int end;           /* enum agent_task_end */
    _Atomic int status;
};

struct agent_supervisor {
    pid_t pid; /* of the supervisor */
    bool reaped;
    struct page *page;
};

/* ---- in the supervisor's process: nothing is allocated here ---- */

/* The state of the supervisor's process. */
struct watch {
    const struct agent_task_command *command;
    struct page *page;
    pid_t agent, task;
    bool told; /* the task has been asked to end */
};

/* Closes every descriptor that the supervisor does not need: the agent's listener must be free for another.
 */
static void close_others(const struct agent_task_command *command)
{
    int kept[] = {command->lock_fd, command->history->fd};
    int first = kept[0] < kept[1] ? kept[0] : kept[1];
    int second = kept[0] < kept[1] ? kept[1] : kept[0];
    unsigned from = STDERR_FILENO + 1;
    if (first >= (int)from) {
        if (first > (int)from)
            syscall(SYS_close_range, from, (unsigned)first - 1, 0);
        from = (unsigned)first + 1;
    }
    if (second >= (int)from) {
        if (second > (int)from)
            syscall(SYS_close_range, from, (unsigned)second - 1, 0);
        from = (unsigned)second + 1;
    }
    syscall(SYS_close_range, from, ~0U, 0);
}

static void set_number(const char *name, uint64_t number)
{
    char text[24];
    snprintf(text, sizeof text, "%" PRIu64, number);
    setenv(name, text, 1);
}

/* Becomes the task; does not return. */
static void become_task(const struct agent_task_command *command, pid_t supervisor)
{
    setsid();
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (getppid() != supervisor)
        _exit(STATUS_NOT_BEGUN);
    setenv("OSPREYWELL_JOB", command->job, 1);
    set_number("OSPREYWELL_TASK", command->task);
    set_number("OSPREYWELL_ATTEMPT", command->attempt);
    execvp(command->words[0], command->words);
    _exit(STATUS_NOT_BEGUN);
}

static void kill_task(const struct watch *watch, int signal)
{
    /* The task leads an incarnation of its own; until it has got there it is one process. */
    if (kill(-watch->task, signal) != 0)
        kill(watch->task, signal);
}

/* Why the task must be killed now; AGENT_END_NONE: it need not. */
static enum agent_task_end reason_to_kill(const struct watch *watch)
{
    double stop_until = atomic_load(&watch->page->stop_until);
    if (agent_lease_is_over(watch->command->lease))
        return AGENT_END_LEASE;
    if (getppid() != watch->agent)
        return AGENT_END_NO_AGENT;
    if (stop_until > 0 && agent_clock() >= stop_until)
        return AGENT_END_KILLED;
    return AGENT_END_NONE;
}

static void ask_to_end(struct watch *watch)
{
    if (watch->told || atomic_load(&watch->page->stop_until) <= 0)
        return;
    watch->told = true;
    kill_task(watch, SIGTERM);
}

/* Waits for the end of the task, and says how it came about. */
static enum agent_task_end watch_task(struct watch *watch, int *status)
{
    int pidfd = (int)syscall(SYS_pidfd_open, watch->task, 0);
    enum agent_task_end killed = AGENT_END_NONE;
    while (waitpid(watch->task, status, WNOHANG) == 0) {
        struct pollfd ready = {.fd = pidfd, .events = POLLIN};
        ask_to_end(watch);
        if (killed == AGENT_END_NONE)
            killed = reason_to_kill(watch);
        if (killed != AGENT_END_NONE)
            kill_task(watch, SIGKILL);
        poll(&ready, 1, LOOK_MS);
    }
    /* Whatever the task has started and left behind goes with it. */
    kill(-watch->task, SIGKILL);
    if (killed != AGENT_END_NONE)
        return killed;
    if (watch->told)
        return AGENT_END_STOPPED;
    if (WIFSIGNALED(*status))
        return AGENT_END_SIGNAL;
    return WEXITSTATUS(*status) == STATUS_NOT_BEGUN ? AGENT_END_NOT_BEGUN : AGENT_END_EXIT;
}

static void record(const struct watch *watch, const char *event, enum agent_task_end end)
{
    const struct agent_task_command *command = watch->command;
    agent_history_add(command->history, event,
                      ",\"task\":\"%s/%" PRIu32 "\",\"attempt\":%" PRIu64 ",\"end\":%d", command->job,
                      command->task, command->attempt, (int)end);
}

/* The supervisor's process. */
static int supervise(const struct agent_task_command *command, struct page *page, pid_t agent)
{
    struct watch watch = {.command = command, .page = page, .agent = agent};
    int status = 0;
    pid_t self = getpid();
    close_others(command);
    /* Recorded before it can run: the record may only be too early. */
    record(&watch, "task-begins", AGENT_END_NONE);
    watch.task = fork();
    if (watch.task == 0)
        become_task(command, self);
    enum agent_task_end end = watch.task > 0 ? watch_task(&watch, &status) : AGENT_END_NOT_BEGUN;
    record(&watch, "task-ended", end);
    atomic_store(&page->status, WIFEXITED(status) ? WEXITSTATUS(status) : -1);
    atomic_store(&page->end, (int)end);
    return EXIT_SUCCESS;
}

/* ---- in the agent's process ---- */

struct agent_supervisor *agent_supervisor_start(const struct agent_task_command *command)
{
    struct page *page = mmap(NULL, sizeof *page, PROT_READ | PROT_WRITE, MAP_SHARED | MAP_ANONYMOUS, -1, 0);
    if (page == MAP_FAILED)
        return NULL;
    atomic_store(&page->stop_until, 0);
    atomic_store(&page->end, AGENT_END_NONE);
    pid_t agent = getpid();
    pid_t pid = fork();
    if (pid == 0)
        _exit(supervise(command, page, agent));
    if (pid < 0) {
        munmap(page, sizeof *page);
        return NULL;
    }
    struct agent_supervisor *supervisor = g_new0(struct agent_supervisor, 1);
    supervisor->pid = pid;
    supervisor->page = page;
    return supervisor;
}

void agent_supervisor_stop(struct agent_supervisor *supervisor, double grace_s)
{
    double until = agent_clock() + grace_s;
    double earlier = atomic_load(&supervisor->page->stop_until);
    if (earlier <= 0 || until < earlier)
        atomic_store(&supervisor->page->stop_until, until);
}

enum agent_task_end agent_supervisor_poll(struct agent_supervisor *supervisor, int *status)
{
    if (!supervisor->reaped && waitpid(supervisor->pid, NULL, WNOHANG) != supervisor->pid)
        return AGENT_END_NONE;
    supervisor->reaped = true;
    int end = atomic_load(&supervisor->page->end);
    *status = atomic_load(&supervisor->page->status);
    /* A supervisor that was killed took its task with it. */
    return end != AGENT_END_NONE ? (enum agent_task_end)end : AGENT_END_SIGNAL;
}

void agent_supervisor_free(struct agent_supervisor *supervisor)
{
    if (!supervisor->reaped) {
        agent_supervisor_stop(supervisor, 0);
        while (waitpid(supervisor->pid, NULL, 0) < 0 && errno == EINTR)
            ;
    }
    munmap(supervisor->page, sizeof *supervisor->page);
    g_free(supervisor);
}
