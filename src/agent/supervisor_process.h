/**
 * @file
 * What the supervisor of a task does in its own process: it starts the task, watches it, and ends it.
 *
 * Two deadlines kill the task, whichever comes first: the lease's, and that of a stop. The death of the agent
 * does so too, and the death of the supervisor (the task's parent-death signal). So a task never outlives its
 * lease, and an agent that starts again finds none of the last one's once it has the incarnation's lock.
 *
 * The process is forked without exec from one that may hold locks of the allocator: it allocates nothing.
 */
#ifndef OW_AGENT_SUPERVISOR_PROCESS_H
#define OW_AGENT_SUPERVISOR_PROCESS_H

#include "agent/attempt.h"
#include "agent/history.h"
#include "agent/lease.h"

#include <stdatomic.h>
#include <sys/types.h>

/** What a task is run with. Nothing is owned. */
struct agent_task_command {
    struct agent_attempt attempt;
    char **argv; /**< the program and its arguments, ended by NULL */
    const struct agent_lease *lease;
    const struct agent_history *history;
    int lock_fd; /**< the incarnation's lock, which the supervisor holds while it lives */
};

/** Shared by the agent and the supervisor. */
struct agent_supervisor_page {
    _Atomic double stop_deadline; /**< written by the agent: by then (agent_clock_now()) the task must be
                                  gone; 0: it need not */
    _Atomic int end;              /**< written by the supervisor, last of all: enum agent_task_end */
    _Atomic int status;           /**< written by the supervisor: the exit status; -1 after a signal */
};

/** Runs the task until it is gone; the exit status of the supervisor's process, which is to end with it.
 * `agent` is the process that the supervisor was forked from. */
int agent_supervisor_process_run(const struct agent_task_command *command, struct agent_supervisor_page *page,
                                 pid_t agent);

#endif
