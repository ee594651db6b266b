#include "agent/supervisor.h"

#include <errno.h>
#include <glib.h>
#include <sys/mman.h>
#include <sys/wait.h>
#include <unistd.h>

struct agent_supervisor {
    pid_t pid;                          /* of the supervisor's process */
    bool is_reaped;                     /* waitpid() has returned its exit status */
    struct agent_supervisor_page *page; /* shared with the supervisor's process */
};

static struct agent_supervisor_page *page_new(void)
{
    struct agent_supervisor_page *page =
        mmap(NULL, sizeof *page, PROT_READ | PROT_WRITE, MAP_SHARED | MAP_ANONYMOUS, -1, 0);
    if (page == MAP_FAILED)
        return NULL;
    atomic_store(&page->stop_deadline, 0);
    atomic_store(&page->end, AGENT_END_NONE);
    return page;
}

struct agent_supervisor *agent_supervisor_start(const struct agent_task_command *command)
{
    struct agent_supervisor_page *page = page_new();
    if (page == NULL)
        return NULL;
    pid_t agent = getpid();
    pid_t pid = fork();
    if (pid == 0)
        _exit(agent_supervisor_process_run(command, page, agent));
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
    double deadline = agent_clock_now() + grace_s;
    double previous_deadline = atomic_load(&supervisor->page->stop_deadline);
    if (previous_deadline <= 0 || deadline < previous_deadline)
        atomic_store(&supervisor->page->stop_deadline, deadline);
}

enum agent_task_end agent_supervisor_poll(struct agent_supervisor *supervisor, int *status)
{
    if (!supervisor->is_reaped && waitpid(supervisor->pid, NULL, WNOHANG) != supervisor->pid)
        return AGENT_END_NONE;
    supervisor->is_reaped = true;
    int end = atomic_load(&supervisor->page->end);
    *status = atomic_load(&supervisor->page->status);
    /* A supervisor that was killed has recorded no end; its task was killed by the parent-death signal. */
    return end != AGENT_END_NONE ? (enum agent_task_end)end : AGENT_END_SIGNAL;
}

void agent_supervisor_free(struct agent_supervisor *supervisor)
{
    if (!supervisor->is_reaped) {
        agent_supervisor_stop(supervisor, 0);
        while (waitpid(supervisor->pid, NULL, 0) < 0 && errno == EINTR)
            ;
    }
    munmap(supervisor->page, sizeof *supervisor->page);
    g_free(supervisor);
}
